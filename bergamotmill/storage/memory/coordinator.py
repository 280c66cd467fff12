"""The in-memory store: revisions, leases and watches."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

import result

from bergamotmill.storage import key_value

# How often a waiting call looks for changes, and how many changes are kept.
WATCH_POLL_INTERVAL_S = 0.01
HISTORY_MAX_EVENTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    ttl_s: float
    ends: float


class MemoryStore:
    """Keeps entries in a dict; leases lapse on the event loop's clock.

    Counters of calls show what a client costs the service; a waiting watch
    counts as one call.
    """

    def __init__(self):
        self._entries: dict[str, key_value.Entry] = {}
        self._lease_of: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 0
        self._next_lease = 0
        self._watchers: dict[asyncio.Queue, str] = {}
        self._history: list[key_value.Event] = []
        self._compacted = 0
        self.reads = 0
        self.writes = 0
        self.watches = 0

    @property
    def revision(self) -> int:
        """The revision of the latest change."""
        return self._revision

    @property
    def compacted_revision(self) -> int:
        """The revision up to which the history of changes is gone."""
        return self._compacted

    async def start(self) -> None:
        """Nothing to prepare."""

    async def close(self) -> None:
        """Nothing to release."""

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
        found = [
            self._entries[key]
            for key in sorted(self._entries)
            if key.startswith(prefix)
        ]
        return result.Ok(found[:limit] if limit else found)

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> result.Result[int, key_value.Error]:
        """Writes when the key's revision is as expected."""
        self.writes += 1
        self._expire()
        current = self._entries.get(key)
        if not _matches(current, expected):
            return result.Err(key_value.Conflict(current))
        if len(value) > key_value.MAX_VALUE_BYTES:
            return result.Err(key_value.Unavailable("the value is too large"))
        if lease and lease not in self._leases:
            return result.Err(key_value.Unavailable("no such lease"))
        self._revision += 1
        created = self._revision if current is None else current.create_revision
        entry = key_value.Entry(key, value, self._revision, created)
        self._entries[key] = entry
        self._lease_of.pop(key, None)
        if lease:
            self._lease_of[key] = lease
        self._notify(key_value.Event(key, entry, self._revision))
        return result.Ok(self._revision)

    async def delete(
        self, key: str, expected: int | None
    ) -> result.Result[None, key_value.Error]:
        """Deletes a key at a revision."""
        self.writes += 1
        self._expire()
        current = self._entries.get(key)
        if not _matches(current, expected):
            return result.Err(key_value.Conflict(current))
        self._remove(key)
        return result.Ok(None)

    async def grant(
        self, ttl_s: float
    ) -> result.Result[int, key_value.Unavailable]:
        """Makes a lease."""
        self.writes += 1
        self._next_lease += 1
        now = asyncio.get_running_loop().time()
        self._leases[self._next_lease] = _Lease(ttl_s, now + ttl_s)
        return result.Ok(self._next_lease)

    async def renew(
        self, lease: int
    ) -> result.Result[bool, key_value.Unavailable]:
        """Renews a lease that has not lapsed."""
        self.writes += 1
        self._expire()
        held = self._leases.get(lease)
        if held is None:
            return result.Ok(False)
        now = asyncio.get_running_loop().time()
        self._leases[lease] = _Lease(held.ttl_s, now + held.ttl_s)
        return result.Ok(True)

    async def revoke(
        self, lease: int
    ) -> result.Result[None, key_value.Unavailable]:
        """Ends a lease with its keys."""
        self.writes += 1
        self._end_lease(lease)
        return result.Ok(None)

    async def watch(self, prefix: str) -> AsyncIterator[list[key_value.Event]]:
        """Gives changes under a prefix as they come."""
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
        found = await self.scan(prefix)
        return found.map(
            lambda entries: key_value.Snapshot(tuple(entries), self._revision)
        )

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[
        key_value.Changes, key_value.Unavailable | key_value.Compacted
    ]:
        """Waits for changes after a revision; may return none in time."""
        self.watches += 1
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            self._expire()
            if after < self._compacted:
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

    def compact(self) -> None:
        """Drops the history of changes."""
        self._compacted = self._revision
        self._history.clear()

    def _notify(self, event: key_value.Event) -> None:
        self._history.append(event)
        if len(self._history) > HISTORY_MAX_EVENTS:
            self._compacted = self._history.pop(0).revision
        for queue, prefix in self._watchers.items():
            if event.key.startswith(prefix):
                queue.put_nowait(event)

    def _remove(self, key: str) -> None:
        if self._entries.pop(key, None) is None:
            return
        self._lease_of.pop(key, None)
        self._revision += 1
        self._notify(key_value.Event(key, None, self._revision))

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, held in self._lease_of.items() if held == lease]
        for key in keys:
            self._remove(key)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        lapsed = [
            lease for lease, held in self._leases.items() if held.ends <= now
        ]
        for lease in lapsed:
            self._end_lease(lease)


def _matches(current: key_value.Entry | None, expected: int | None) -> bool:
    if expected is None:
        return True
    return expected == (0 if current is None else current.revision)
