"""In-memory key-value store with revisions, leases and watches."""

import asyncio
from collections.abc import AsyncIterator, Mapping
import dataclasses

import result

from bergamotmill.storage import key_value

# Interval at which a call that waits for changes checks for them.
WATCH_POLL_INTERVAL_S = 0.01
# Changes that can still be read; older ones are discarded.
HISTORY_MAX_EVENTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    ttl_s: float
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """The state of a store at one time, from which it can be restored."""

    entries: Mapping[str, key_value.Entry]
    lease_by_key: Mapping[str, int]
    leases: Mapping[int, _Lease]
    revision: int
    next_lease: int
    compacted_revision: int
    history: tuple[key_value.Event, ...]


class MemoryStore:
    """Stores entries in a dict; leases expire by the event loop's clock.

    The call counters measure the load that a client puts on the service; a
    watch counts as one call, however long it waits.

    Attributes:
        reads: number of calls that read entries.
        writes: number of calls that change entries or leases.
        watches: number of calls that watch or wait for changes.
    """

    def __init__(self, first_lease: int = 1):
        """Makes an empty store.

        Args:
            first_lease: id of the first lease.
        """
        self._entries: dict[str, key_value.Entry] = {}
        self._lease_by_key: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 0
        self._next_lease = first_lease - 1
        self._watchers: dict[asyncio.Queue, str] = {}
        self._history: list[key_value.Event] = []
        self._compacted_revision = 0
        self.reads = 0
        self.writes = 0
        self.watches = 0

    @property
    def revision(self) -> int:
        """Revision of the latest change."""
        return self._revision

    @property
    def compacted_revision(self) -> int:
        """Revision up to which the history of changes is discarded."""
        return self._compacted_revision

    async def start(self) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Does nothing."""

    async def get(
        self, key: str
    ) -> result.Result[key_value.Entry | None, key_value.Unavailable]:
        """Reads one key."""
        self.reads += 1
        self._expire()
        return result.Ok(self._entries.get(key))

    async def scan(
        self, prefix: str, limit: int = 0
    ) -> result.Result[list[key_value.Entry], key_value.Unavailable]:
        """Reads all keys under a prefix in order."""
        self.reads += 1
        self._expire()
        entries = [
            self._entries[key]
            for key in sorted(self._entries)
            if key.startswith(prefix)
        ]
        return result.Ok(entries[:limit] if limit else entries)

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> result.Result[int, key_value.Error]:
        """Writes if the key's revision is as expected."""
        self.writes += 1
        self._expire()
        current = self._entries.get(key)
        if not _is_expected_revision(current, expected):
            return result.Err(key_value.Conflict(current))
        if len(value) > key_value.MAX_VALUE_BYTES:
            return result.Err(
                key_value.Unavailable("value exceeds the size limit")
            )
        if lease and lease not in self._leases:
            return result.Err(key_value.Unavailable("lease does not exist"))
        self._revision += 1
        create_revision = (
            self._revision if current is None else current.create_revision
        )
        entry = key_value.Entry(key, value, self._revision, create_revision)
        self._entries[key] = entry
        self._lease_by_key.pop(key, None)
        if lease:
            self._lease_by_key[key] = lease
        self._record_event(key_value.Event(key, entry, self._revision))
        return result.Ok(self._revision)

    async def delete(
        self, key: str, expected: int | None
    ) -> result.Result[None, key_value.Error]:
        """Deletes a key if its revision is as expected."""
        self.writes += 1
        self._expire()
        current = self._entries.get(key)
        if not _is_expected_revision(current, expected):
            return result.Err(key_value.Conflict(current))
        self._remove(key)
        return result.Ok(None)

    async def grant(
        self, ttl_s: float
    ) -> result.Result[int, key_value.Unavailable]:
        """Creates a lease and returns its id."""
        self.writes += 1
        self._next_lease += 1
        now = asyncio.get_running_loop().time()
        self._leases[self._next_lease] = _Lease(ttl_s, now + ttl_s)
        return result.Ok(self._next_lease)

    async def renew(
        self, lease: int
    ) -> result.Result[bool, key_value.Unavailable]:
        """Renews a lease; False if it has expired."""
        self.writes += 1
        self._expire()
        current = self._leases.get(lease)
        if current is None:
            return result.Ok(False)
        now = asyncio.get_running_loop().time()
        self._leases[lease] = _Lease(current.ttl_s, now + current.ttl_s)
        return result.Ok(True)

    async def revoke(
        self, lease: int
    ) -> result.Result[None, key_value.Unavailable]:
        """Revokes a lease and deletes its keys."""
        self.writes += 1
        self._delete_lease(lease)
        return result.Ok(None)

    async def watch(self, prefix: str) -> AsyncIterator[list[key_value.Event]]:
        """Yields changes under a prefix as they occur."""
        self.watches += 1
        queue: asyncio.Queue[key_value.Event] = asyncio.Queue()
        self._watchers[queue] = prefix
        try:
            while True:
                events = [await queue.get()]
                while not queue.empty():
                    events.append(queue.get_nowait())
                yield events
        finally:
            self._watchers.pop(queue, None)

    async def snapshot(
        self, prefix: str
    ) -> result.Result[key_value.Snapshot, key_value.Unavailable]:
        """Reads all keys under a prefix with the store's revision."""
        scanned = await self.scan(prefix)
        return scanned.map(
            lambda entries: key_value.Snapshot(tuple(entries), self._revision)
        )

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[
        key_value.Changes, key_value.Unavailable | key_value.Compacted
    ]:
        """Waits up to `wait_s` for changes after a revision; may find none."""
        self.watches += 1
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            self._expire()
            if not self._compacted_revision <= after <= self._revision:
                return result.Err(key_value.Compacted(f"after {after}"))
            events = tuple(
                event
                for event in self._history
                if event.revision > after and event.key.startswith(prefix)
            )
            if events or loop.time() >= end:
                return result.Ok(key_value.Changes(events, self._revision))
            await asyncio.sleep(
                min(WATCH_POLL_INTERVAL_S, max(0.0, end - loop.time()))
            )

    def copy_state(self) -> StoreCopy:
        """Returns a copy of the present state."""
        return StoreCopy(
            dict(self._entries),
            dict(self._lease_by_key),
            dict(self._leases),
            self._revision,
            self._next_lease,
            self._compacted_revision,
            tuple(self._history),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to an earlier state; all later writes are lost.

        Revisions and lease ids are given out again.
        """
        self._entries = dict(copy.entries)
        self._lease_by_key = dict(copy.lease_by_key)
        self._leases = dict(copy.leases)
        self._revision = copy.revision
        self._next_lease = copy.next_lease
        self._compacted_revision = copy.compacted_revision
        self._history = list(copy.history)

    def compact(self) -> None:
        """Discards the history of changes."""
        self._compacted_revision = self._revision
        self._history.clear()

    def _record_event(self, event: key_value.Event) -> None:
        self._history.append(event)
        if len(self._history) > HISTORY_MAX_EVENTS:
            self._compacted_revision = self._history.pop(0).revision
        for queue, prefix in self._watchers.items():
            if event.key.startswith(prefix):
                queue.put_nowait(event)

    def _remove(self, key: str) -> None:
        if self._entries.pop(key, None) is None:
            return
        self._lease_by_key.pop(key, None)
        self._revision += 1
        self._record_event(key_value.Event(key, None, self._revision))

    def _delete_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [
            key
            for key, key_lease in self._lease_by_key.items()
            if key_lease == lease
        ]
        for key in keys:
            self._remove(key)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        expired = [
            lease
            for lease, state in self._leases.items()
            if state.expires_at <= now
        ]
        for lease in expired:
            self._delete_lease(lease)


def _is_expected_revision(
    current: key_value.Entry | None, expected: int | None
) -> bool:
    if expected is None:
        return True
    return expected == (0 if current is None else current.revision)
