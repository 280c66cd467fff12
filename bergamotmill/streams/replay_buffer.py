"""Replay buffers hold the events of streams for callers that resume them."""

import collections
from collections.abc import Callable

from bergamotmill.streams import const


class ReplayBuffer:
    """The events of one stream, as the engines wrote them.

    Attributes:
        customer: name of the customer that owns the stream.
        base: number of events before the first buffered one; above 0 if
            this router took the stream over after it had continued on
            another engine.
        events: events after the first `base`, without gaps or duplicates.
        complete: whether the last event ended the stream.
        size: total length of the buffered events, in bytes.
    """

    __slots__ = ("base", "complete", "customer", "events", "size")

    def __init__(self, customer: str):
        self.customer = customer
        self.base = 0
        self.events: list[bytes] = []
        self.complete = False
        self.size = 0

    @property
    def count(self) -> int:
        """Number of events since the start of the stream."""
        return self.base + len(self.events)

    def append(self, event: bytes) -> None:
        """Appends the next event."""
        if self.complete:
            raise AssertionError("event appended after the end of the stream")
        self.events.append(event)
        self.size += len(event)


class ReplayBuffers:
    """The replay buffers of this router.

    Buffers of ended streams are dropped after `ENDED_RETENTION_S`, or earlier
    if together they exceed `MAX_ENDED_BYTES`.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._buffers: dict[str, ReplayBuffer] = {}
        self._ended: collections.deque[tuple[float, str, ReplayBuffer]] = (
            collections.deque()
        )
        self._ended_bytes = 0

    def __len__(self) -> int:
        return len(self._buffers)

    def open(self, request_id: str, customer: str) -> ReplayBuffer:
        """Creates the buffer of a new stream."""
        if request_id in self._buffers:
            raise AssertionError(f"stream {request_id} is already open")
        buffer = ReplayBuffer(customer)
        self._buffers[request_id] = buffer
        return buffer

    def find(self, request_id: str, customer: str) -> ReplayBuffer | None:
        """Returns a stream's buffer if the stream belongs to the customer."""
        buffer = self._buffers.get(request_id)
        if buffer is None or buffer.customer != customer:
            return None
        return buffer

    def replace(self, request_id: str, customer: str) -> ReplayBuffer:
        """Creates a buffer, replacing an incomplete one of the same stream."""
        old = self._buffers.pop(request_id, None)
        if old is not None and old.complete:
            raise AssertionError(f"stream {request_id} is complete")
        return self.open(request_id, customer)

    def end(self, request_id: str) -> None:
        """Marks a stream as ended; its buffer is retained for some time."""
        buffer = self._buffers[request_id]
        self._ended.append((self._now(), request_id, buffer))
        self._ended_bytes += buffer.size
        self._drop_expired()

    def _drop_expired(self) -> None:
        retained_since = self._now() - const.ENDED_RETENTION_S
        while self._ended:
            ended_at, request_id, buffer = self._ended[0]
            over_limit = self._ended_bytes > const.MAX_ENDED_BYTES
            if ended_at > retained_since and not over_limit:
                return
            self._ended.popleft()
            self._ended_bytes -= buffer.size
            if self._buffers.get(request_id) is buffer:
                del self._buffers[request_id]
