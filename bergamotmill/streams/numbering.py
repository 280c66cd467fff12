"""Adds event ids, with which a caller can resume its stream."""

from collections.abc import Iterator

from bergamotmill.streams import replay_buffer

_USAGE_PATTERNS = (b'"usage":{', b'"usage": {')
_NO_CHOICES = b'"choices":[]'


def has_usage(event: bytes) -> bool:
    """Whether an event carries the token usage of the request."""
    return _USAGE_PATTERNS[0] in event or _USAGE_PATTERNS[1] in event


class EventNumbering:
    """Adds ids of the form `TOKEN:NUMBER` to a stream's events.

    Events are numbered from 1 over the whole stream, including those not
    sent to the caller. An engine that continues another engine's stream
    counts only its own events; the token's `base` is the number of events
    before them.
    """

    __slots__ = ("_prefix", "_show_usage")

    def __init__(self, show_usage: bool):
        self._show_usage = show_usage
        self._prefix = b""

    def set_token(self, token: str) -> None:
        """Sets the token for the ids of later events."""
        self._prefix = b"id: " + token.encode() + b":"

    def with_id(self, number: int, event: bytes) -> bytes:
        """Returns an event with its id line."""
        return self._prefix + str(number).encode() + b"\n" + event

    def is_visible(self, event: bytes) -> bool:
        """Whether the caller gets the event.

        Only a usage chunk without choices is left out, unless the caller
        requested it.
        """
        if self._show_usage or not has_usage(event):
            return True
        return _NO_CHOICES not in event.replace(b" ", b"")

    def replay(
        self, buffer: replay_buffer.ReplayBuffer, seen: int
    ) -> Iterator[bytes]:
        """Yields the visible events after the first `seen`, with their ids."""
        for number, event in enumerate(buffer.events, buffer.base + 1):
            if number > seen and self.is_visible(event):
                yield self.with_id(number, event)
