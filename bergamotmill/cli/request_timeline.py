"""Tells one request's story from the logs of several routers."""

from collections.abc import Iterable, Iterator
import dataclasses
import json
import sys
from typing import Any

import result

# What changed a belief about an upstream is told with a request that used it
# when it lies within so many seconds of the request.
CONTEXT_MARGIN_S = 3.0
PROGRESS_LINES = 200_000

FIELD_EVENT = "event"
FIELD_REQUEST = "request"
FIELD_ROUTER = "router"
FIELD_TIME = "t"
FIELD_UPSTREAM = "upstream"
_SHOWN_FIRST = (FIELD_TIME, FIELD_ROUTER, FIELD_EVENT, FIELD_REQUEST)


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One structured line and where it stands."""

    place: str
    fields: dict[str, Any]

    @property
    def time(self) -> float:
        """When it was written, Unix seconds."""
        return float(self.fields[FIELD_TIME])

    def text(self) -> str:
        """Returns the line for a reader."""
        fields = self.fields
        rest = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in fields.items()
            if name not in _SHOWN_FIRST
        )
        router = fields.get(FIELD_ROUTER, "?")
        return f"{self.time:.3f} {router} {fields[FIELD_EVENT]} {rest}"


@dataclasses.dataclass(frozen=True)
class RequestTimeline:
    """What the logs say of one request.

    Attributes:
        lines: its own lines in order of time.
        context: lines on the upstreams that it used, around that time.
        unread: places of lines that could not be read.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    unread: tuple[str, ...]


def parse_line(place: str, text: str) -> result.Result[LogLine, str]:
    """Reads a line; what stands before its object is left out."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
        float(fields[FIELD_TIME])
        str(fields[FIELD_EVENT])
    except (ValueError, TypeError, KeyError):
        return result.Err(place)
    return result.Ok(LogLine(place, fields))


def read_lines(path: str) -> Iterator[tuple[str, str]]:
    """Gives the lines of a log with their places."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for number, text in enumerate(file, 1):
            if number % PROGRESS_LINES == 0:
                print(f"{path}: {number} lines read", file=sys.stderr)
            if text.strip():
                yield f"{path}:{number}", text


def collect(request: str, paths: Iterable[str]) -> RequestTimeline:
    """Reads logs and picks what concerns a request.

    Raises:
        OSError: a file cannot be read.
    """
    own: list[LogLine] = []
    beliefs: list[LogLine] = []
    unread: list[str] = []
    for path in paths:
        for place, text in read_lines(path):
            found = parse_line(place, text)
            if found.is_err():
                unread.append(found.err())
                continue
            line = found.ok()
            if line.fields.get(FIELD_REQUEST) == request:
                own.append(line)
            elif FIELD_REQUEST not in line.fields:
                beliefs.append(line)
    own.sort(key=_by_time)
    return RequestTimeline(tuple(own), _context(own, beliefs), tuple(unread))


def _by_time(line: LogLine) -> float:
    return line.time


def _context(own: list[LogLine], beliefs: list[LogLine]) -> tuple[LogLine, ...]:
    if not own:
        return ()
    first, last = (
        own[0].time - CONTEXT_MARGIN_S,
        own[-1].time + CONTEXT_MARGIN_S,
    )
    names = {line.fields.get(FIELD_UPSTREAM) for line in own} - {None, ""}
    routers = {line.fields.get(FIELD_ROUTER) for line in own}
    found = [
        line
        for line in beliefs
        if first <= line.time <= last
        and line.fields.get(FIELD_ROUTER) in routers
        and line.fields.get(FIELD_UPSTREAM, "") in names | {""}
    ]
    return tuple(sorted(found, key=_by_time))


def print_timeline(request: str, paths: Iterable[str], as_json: bool) -> int:
    """Prints a request's story; returns the exit status.

    0: it was found; 1: no line names it; 2: a file cannot be read.
    """
    try:
        timeline = collect(request, paths)
    except OSError as err:
        print(f"{err.filename}: {err.strerror}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(_as_json(timeline)))
    else:
        _print(timeline)
    if timeline.unread:
        shown = ", ".join(timeline.unread[:5])
        count = len(timeline.unread)
        print(f"{count} lines could not be read: {shown}", file=sys.stderr)
    return 0 if timeline.lines else 1


def _as_json(timeline: RequestTimeline) -> dict[str, Any]:
    return {
        "lines": [line.fields for line in timeline.lines],
        "context": [line.fields for line in timeline.context],
        "unread": list(timeline.unread),
    }


def _print(timeline: RequestTimeline) -> None:
    if not timeline.lines:
        print("no line names this request")
        return
    print("the request:")
    for line in timeline.lines:
        print("  " + line.text())
    print("what changed around it:")
    for line in timeline.context:
        print("  " + line.text())
