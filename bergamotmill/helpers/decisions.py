"""Structured lines, one for each decision or change of belief."""

import loguru

DECISION = "decision"


def record(event: str, **fields: object) -> None:
    """Writes one line: what happened, with what it was decided by."""
    loguru.logger.bind(**{DECISION: event}, **fields).info(event)
