"""Log set-up: one line per event, as text or as JSON."""

import json
import os
import sys

import loguru

MAX_LINES_PER_S = 500
# Limit of the output that is buffered for a slow reader.
MAX_PENDING_BYTES = 256 * 1024

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {message}"
# Fields of a structured line follow its message.
TEXT_FORMAT_FIELDS = TEXT_FORMAT + " {extra}"


def _text_format(record) -> str:
    """Returns the format of a line; only structured ones have fields."""
    text = TEXT_FORMAT_FIELDS if record["extra"] else TEXT_FORMAT
    return text + "\n{exception}"


def _write_json(message) -> None:
    record = message.record
    # Messages start with the name of the part, as in `routing: ...`.
    part, _, text = record["message"].partition(": ")
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": part if text else "",
        "message": text or part,
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line) + "\n")


def configure(log_format: str, level: str) -> None:
    """Sends logs to standard error as text or JSON."""
    loguru.logger.remove()
    if log_format == "json":
        loguru.logger.add(_write_json, level=level, format="{message}")
    else:
        loguru.logger.add(
            sys.stderr,
            level=level,
            format=_text_format,
            backtrace=False,
            diagnose=False,
        )


class BoundedWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    Lines beyond MAX_LINES_PER_S, or beyond MAX_PENDING_BYTES that the reader
    has not consumed, are dropped. A later `lines_omitted` line reports how
    many were dropped.
    """

    def __init__(self, descriptor: int, router: str):
        self._descriptor = descriptor
        self._router = router
        self._current_second = 0
        self._lines_written = 0
        self._lines_omitted = 0
        self._pending = b""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes, now: float) -> None:
        """Writes a line or drops and counts it."""
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_written = 0
            self._report_omitted_lines(now)
        if (
            self._lines_written >= MAX_LINES_PER_S
            or len(self._pending) > MAX_PENDING_BYTES
        ):
            self._lines_omitted += 1
            return
        self._lines_written += 1
        self._send(line)

    def _report_omitted_lines(self, now: float) -> None:
        if not self._lines_omitted or len(self._pending) > MAX_PENDING_BYTES:
            return
        line = json.dumps(
            {
                "t": round(now, 3),
                "router": self._router,
                "event": "lines_omitted",
                "count": self._lines_omitted,
            }
        )
        self._lines_omitted = 0
        self._send(line.encode() + b"\n")

    def _send(self, line: bytes) -> None:
        data = self._pending + line
        try:
            written_bytes = os.write(self._descriptor, data)
        except BlockingIOError:
            written_bytes = 0
        except OSError:
            # The reader closed its end, so the error cannot be reported either.
            self._pending = b""
            return
        self._pending = data[written_bytes:]


def configure_decisions(level: str, router: str) -> None:
    """Sends all logs to standard output as JSON, through a BoundedWriter."""
    writer = BoundedWriter(sys.stdout.fileno(), router)

    def write(message) -> None:
        record = message.record
        now = record["time"].timestamp()
        line = {"t": round(now, 3), "router": router}
        extra = dict(record["extra"])
        event = extra.pop("decision", "")
        if event:
            line["event"] = event
            line.update(extra)
        else:
            line["event"] = "message"
            line["level"] = record["level"].name
            line["text"] = record["message"]
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        writer.write(json.dumps(line, default=str).encode() + b"\n", now)

    loguru.logger.remove()
    loguru.logger.add(write, level=level, format="{message}", catch=False)
