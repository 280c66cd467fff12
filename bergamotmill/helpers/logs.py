"""Log set-up: one line an event, as text or as JSON lines."""

import json
import sys

import loguru

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {message}"


def _write_json(message) -> None:
    record = message.record
    part, _, text = record["message"].partition(": ")
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": part if text else "",
        "message": text or part,
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line) + "\n")


def configure(log_format: str, level: str) -> None:
    """Sends logs to standard error in the given format."""
    loguru.logger.remove()
    if log_format == "json":
        loguru.logger.add(_write_json, level=level, format="{message}")
    else:
        loguru.logger.add(
            sys.stderr,
            level=level,
            format=TEXT_FORMAT,
            backtrace=False,
            diagnose=False,
        )
