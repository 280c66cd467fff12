"""Numbers events for the caller, so that a stream can be resumed."""

from collections.abc import Iterator

from bergamotmill.streams import replay_buffer

_USAGE_MARKS = (b'"usage":{', b'"usage": {')
_NO_CHOICES = b'"choices":[]'


def has_usage(event: bytes) -> bool:
    """Whether an event carries the usage of the request."""
    return _USAGE_MARKS[0] in event or _USAGE_MARKS[1] in event


class EventNumbering:
    """Writes event ids under one token.

    An event's number is its place among all events of the stream, hidden
    ones included. An engine that went on with a stream counts only its own;
    the token's base is what came before them.
    """

    __slots__ = ("_prefix", "_show_usage")

    def __init__(self, show_usage: bool):
        self._show_usage = show_usage
        self._prefix = b""

    def set_token(self, token: str) -> None:
        """Sets the token of the events that follow."""
        self._prefix = b"id: " + token.encode() + b":"

    def with_id(self, number: int, event: bytes) -> bytes:
        """Returns an event with its id."""
        return self._prefix + str(number).encode() + b"\n" + event

    def is_visible(self, event: bytes) -> bool:
        """Whether the caller gets the event."""
        if self._show_usage or not has_usage(event):
            return True
        return _NO_CHOICES not in event.replace(b" ", b"")

    def replay(
        self, buffer: replay_buffer.ReplayBuffer, seen: int
    ) -> Iterator[bytes]:
        """Gives the events after the first `seen`."""
        for number, event in enumerate(buffer.events, buffer.base + 1):
            if number > seen and self.is_visible(event):
                yield self.with_id(number, event)
