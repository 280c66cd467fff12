"""Reconstructs the timeline of one request from the logs of several routers."""

from collections.abc import Iterable, Iterator
import dataclasses
import json
import sys
from typing import Any

import result

# State changes of the routers and upstreams of a request are shown with it if
# they were logged at most this long before its first or after its last line.
CONTEXT_MARGIN_S = 3.0
PROGRESS_INTERVAL_LINES = 200_000

FIELD_EVENT = "event"
FIELD_REQUEST = "request"
FIELD_ROUTER = "router"
FIELD_TIME = "t"
FIELD_UPSTREAM = "upstream"
FIELD_QUARANTINE = "quarantine"
FIELD_DETAIL = "detail"
# Fields that are not repeated among the `name=value` pairs of a printed line:
# the line starts with the first three, and the request is known.
_FIELDS_NOT_IN_PAIRS = (FIELD_TIME, FIELD_ROUTER, FIELD_EVENT, FIELD_REQUEST)


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One structured log line.

    Attributes:
        place: file name and line number.
        fields: fields of the logged JSON object.
    """

    place: str
    fields: dict[str, Any]

    @property
    def time(self) -> float:
        """Time of the line, in seconds since the epoch."""
        return float(self.fields[FIELD_TIME])

    def text(self) -> str:
        """Returns the line as readable text."""
        fields = self.fields
        pairs = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in fields.items()
            if name not in _FIELDS_NOT_IN_PAIRS
        )
        router = fields.get(FIELD_ROUTER, "?")
        return f"{self.time:.3f} {router} {fields[FIELD_EVENT]} {pairs}"


@dataclasses.dataclass(frozen=True)
class RequestTimeline:
    """Log lines that concern one request.

    Attributes:
        lines: lines of the request itself, by time.
        context: state changes of its routers and its upstreams around the
            time of the request, and at any time those of the quarantine that
            held it back, by time.
        unreadable: places of the lines that could not be parsed.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    unreadable: tuple[str, ...]


def parse_line(place: str, text: str) -> result.Result[LogLine, str]:
    """Parses a line, or returns its place if it is not a log line.

    Text before the JSON object, such as the prefix of a log collector, is
    ignored.
    """
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
        float(fields[FIELD_TIME])
        str(fields[FIELD_EVENT])
    except (ValueError, TypeError, KeyError):
        return result.Err(place)
    return result.Ok(LogLine(place, fields))


def read_lines(path: str) -> Iterator[tuple[str, str]]:
    """Yields the place and the text of each non-blank line of a log file."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for number, text in enumerate(file, 1):
            if number % PROGRESS_INTERVAL_LINES == 0:
                print(f"{path}: {number} lines read", file=sys.stderr)
            if text.strip():
                yield f"{path}:{number}", text


def collect(request: str, paths: Iterable[str]) -> RequestTimeline:
    """Reads logs and selects the lines that concern a request.

    Raises:
        OSError: a file cannot be read.
    """
    request_lines: list[LogLine] = []
    state_changes: list[LogLine] = []
    unreadable: list[str] = []
    for path in paths:
        for place, text in read_lines(path):
            parsed = parse_line(place, text)
            if parsed.is_err():
                unreadable.append(parsed.err())
                continue
            line = parsed.ok()
            if line.fields.get(FIELD_REQUEST) == request:
                request_lines.append(line)
            elif FIELD_REQUEST not in line.fields:
                state_changes.append(line)
    request_lines.sort(key=_line_time)
    return RequestTimeline(
        tuple(request_lines),
        _select_context(request_lines, state_changes),
        tuple(unreadable),
    )


def _line_time(line: LogLine) -> float:
    return line.time


def _select_context(
    request_lines: list[LogLine], state_changes: list[LogLine]
) -> tuple[LogLine, ...]:
    if not request_lines:
        return ()
    window_start, window_end = (
        request_lines[0].time - CONTEXT_MARGIN_S,
        request_lines[-1].time + CONTEXT_MARGIN_S,
    )
    upstreams = {line.fields.get(FIELD_UPSTREAM) for line in request_lines} - {
        None,
        "",
    }
    routers = {line.fields.get(FIELD_ROUTER) for line in request_lines}
    details = " ".join(
        str(line.fields.get(FIELD_DETAIL, "")) for line in request_lines
    )
    selected = [
        line
        for line in state_changes
        if line.fields.get(FIELD_ROUTER) in routers
        and (
            line.fields.get(FIELD_QUARANTINE, "\n") in details
            or window_start <= line.time <= window_end
            and line.fields.get(FIELD_UPSTREAM, "") in upstreams | {""}
        )
    ]
    return tuple(sorted(selected, key=_line_time))


def print_timeline(request: str, paths: Iterable[str], as_json: bool) -> int:
    """Prints the timeline of a request and returns the exit status.

    0: the request was found; 1: no line names it; 2: a file cannot be read.
    """
    try:
        timeline = collect(request, paths)
    except OSError as err:
        print(f"{err.filename}: {err.strerror}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(_as_json(timeline)))
    else:
        _print_text(timeline)
    if timeline.unreadable:
        shown = ", ".join(timeline.unreadable[:5])
        count = len(timeline.unreadable)
        print(f"{count} lines could not be read: {shown}", file=sys.stderr)
    return 0 if timeline.lines else 1


def _as_json(timeline: RequestTimeline) -> dict[str, Any]:
    return {
        "lines": [line.fields for line in timeline.lines],
        "context": [line.fields for line in timeline.context],
        "unread": list(timeline.unreadable),
    }


def _print_text(timeline: RequestTimeline) -> None:
    if not timeline.lines:
        print("no line names this request")
        return
    print("the request:")
    for line in timeline.lines:
        print("  " + line.text())
    print("state changes around it:")
    for line in timeline.context:
        print("  " + line.text())
