"""Splits, parses and encodes server-sent events."""

import json
from typing import Any

from bergamotmill.helpers import json_text
from bergamotmill.streams import const
from bergamotmill.upstream import errors

END = b"\n\n"


class EventSplitter:
    """Splits a byte stream into events, each with its closing blank line."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = bytearray()

    @property
    def partial(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._rest)

    @property
    def partial_bytes(self) -> int:
        """Size of the event that is incomplete so far."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the events they complete.

        Raises:
            errors.UpstreamError: an unfinished event exceeds
                `MAX_EVENT_BYTES`.
        """
        rest = self._rest
        if not rest:
            if data.endswith(END) and data.find(END) == len(data) - 2:
                return [data]
            *whole, last = data.split(END)
            rest += last
            events = [part + END for part in whole]
        else:
            # What came before has no end, but may have the half of one.
            searched = len(rest) - 1
            rest += data
            events = []
            if rest.find(END, searched) >= 0:
                *whole, last = bytes(rest).split(END)
                self._rest = rest = bytearray(last)
                events = [part + END for part in whole]
        if len(rest) > const.MAX_EVENT_BYTES:
            raise errors.UpstreamError(
                errors.Failure.BROKEN,
                "an event exceeds the size limit",
                sent=True,
            )
        return events


def is_comment(event: bytes) -> bool:
    """Whether an event is a comment, without data."""
    return event.startswith(b":")


def is_done(event: bytes) -> bool:
    """Whether an event is the `[DONE]` that ends the stream."""
    return event.endswith(const.DONE)


def parse_data(event: bytes) -> Any:
    """Returns the decoded JSON data of an event."""
    lines = [
        line[5:].strip()
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return json_text.loads(b"\n".join(lines))


def encode(value: Any) -> bytes:
    """Returns an event with a value as its JSON data."""
    text = json.dumps(value, separators=(",", ":"))
    return b"data: " + text.encode() + END
