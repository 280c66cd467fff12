"""Structured log lines for routing decisions and observed state changes."""

import loguru

EVENT_KEY = "decision"


def record(event: str, **fields: object) -> None:
    """Writes one structured log line.

    Args:
        event: name of the event.
        fields: values that the decision was based on, written out under the
            names of the keywords.
    """
    loguru.logger.bind(**{EVENT_KEY: event}, **fields).info(event)
