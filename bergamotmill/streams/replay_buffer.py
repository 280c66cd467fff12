"""The events of each stream, kept until some time after its end."""

import collections
from collections.abc import Callable

from bergamotmill.streams import const


class ReplayBuffer:
    """All events of one stream, as the engines wrote them.

    Attributes:
        customer: whose stream it is.
        base: events before the first that is held here; above 0 when the
            stream was taken over after it had moved between engines.
        events: the events after those; none is missing or doubled.
        complete: whether the last event ended the stream.
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
        """The number of the latest event, counted from the stream's start."""
        return self.base + len(self.events)

    def append(self, event: bytes) -> None:
        """Adds the next event."""
        if self.complete:
            raise AssertionError("an event after the end of the stream")
        self.events.append(event)
        self.size += len(event)


class ReplayBuffers:
    """All journals of this router, bounded in time and size."""

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
        """Starts a journal."""
        if request_id in self._buffers:
            raise AssertionError(f"stream {request_id} is already open")
        buffer = ReplayBuffer(customer)
        self._buffers[request_id] = buffer
        return buffer

    def find(self, request_id: str, customer: str) -> ReplayBuffer | None:
        """Returns a customer's own journal."""
        buffer = self._buffers.get(request_id)
        if buffer is None or buffer.customer != customer:
            return None
        return buffer

    def replace(self, request_id: str, customer: str) -> ReplayBuffer:
        """Starts a journal in place of one that ended incomplete."""
        old = self._buffers.pop(request_id, None)
        if old is not None and old.complete:
            raise AssertionError(f"stream {request_id} is complete")
        return self.open(request_id, customer)

    def end(self, request_id: str) -> None:
        """Marks a journal as ended; it is kept for some time."""
        buffer = self._buffers[request_id]
        self._ended.append((self._now(), request_id, buffer))
        self._ended_bytes += buffer.size
        self._sweep()

    def _sweep(self) -> None:
        oldest = self._now() - const.ENDED_RETENTION_S
        while self._ended:
            ended_at, request_id, buffer = self._ended[0]
            full = self._ended_bytes > const.MAX_ENDED_BYTES
            if ended_at > oldest and not full:
                return
            self._ended.popleft()
            self._ended_bytes -= buffer.size
            if self._buffers.get(request_id) is buffer:
                del self._buffers[request_id]
