"""Log set-up: one line an event, as text or as JSON lines."""

import json
import os
import sys

import loguru

# Lines a second, and bytes kept for a slow reader.
MAX_LINES_PER_S = 500
MAX_PENDING_BYTES = 256 * 1024

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


class BoundedWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond a budget a second, or that the reader does not take, are
    counted and reported in one line later.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._second = 0
        self._written = 0
        self._omitted = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes, now: float) -> None:
        """Writes a line, or counts it as left out."""
        if int(now) != self._second:
            self._second = int(now)
            self._written = 0
            self._report()
        if (
            self._written >= MAX_LINES_PER_S
            or len(self._rest) > MAX_PENDING_BYTES
        ):
            self._omitted += 1
            return
        self._written += 1
        self._send(line)

    def _report(self) -> None:
        if not self._omitted or len(self._rest) > MAX_PENDING_BYTES:
            return
        line = json.dumps({"event": "lines_omitted", "count": self._omitted})
        self._omitted = 0
        self._send(line.encode() + b"\n")

    def _send(self, line: bytes) -> None:
        data = self._rest + line
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            self._rest = b""
            return
        self._rest = data[sent:]


def configure_decisions(level: str, router: str) -> None:
    """Sends all lines to standard output as JSON, bounded, never blocking."""
    writer = BoundedWriter(sys.stdout.fileno())

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
