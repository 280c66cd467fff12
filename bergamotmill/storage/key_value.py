"""What the system asks of the platform's key-value service."""

from collections.abc import AsyncIterator, Callable
import dataclasses
from typing import Any, Protocol

import result

from bergamotmill.util import registry

DRIVERS: registry.Registry[Callable[[Any], "KeyValueStore"]] = (
    registry.Registry("key-value driver")
)

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value; revisions grow over the whole store."""

    key: str
    value: bytes
    revision: int
    create_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change that a watch reports; no entry means a deletion.

    Attributes:
        revision: of the change; 0 where the driver does not know it.
    """

    key: str
    entry: Entry | None
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No answer; a write may have taken effect all the same."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The compare failed; `current` is what stands there."""

    current: Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class Compacted:
    """The changes after the revision are no longer there; read all anew."""

    reason: str


Error = Unavailable | Conflict


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix, as of a revision or a little later."""

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Events in order, and the revision from which to go on."""

    events: tuple[Event, ...]
    revision: int


class KeyValueStore(Protocol):
    """Compare-and-swap, leases and watches."""

    async def start(self) -> None:
        """Prepares the driver."""

    async def close(self) -> None:
        """Releases connections."""

    async def get(self, key: str) -> result.Result[Entry | None, Unavailable]:
        """Reads one key."""

    async def scan(
        self, prefix: str, limit: int = 0
    ) -> result.Result[list[Entry], Unavailable]:
        """Reads all keys under a prefix in order."""

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> result.Result[int, Error]:
        """Writes when the key's revision is `expected`.

        Args:
            key: the key.
            value: up to a megabyte.
            expected: 0 when the key must not exist; None for any revision.
            lease: the lease the key goes with; 0 for none.

        Returns:
            The new revision.
        """

    async def delete(
        self, key: str, expected: int | None
    ) -> result.Result[None, Error]:
        """Deletes a key at a revision."""

    async def grant(self, ttl_s: float) -> result.Result[int, Unavailable]:
        """Makes a lease and returns its number."""

    async def renew(self, lease: int) -> result.Result[bool, Unavailable]:
        """Renews a lease; False when it has lapsed."""

    async def revoke(self, lease: int) -> result.Result[None, Unavailable]:
        """Ends a lease with its keys."""

    def watch(self, prefix: str) -> AsyncIterator[list[Event]]:
        """Gives changes under a prefix; ends when the service fails."""


class RevisionedStore(KeyValueStore, Protocol):
    """A store whose watches go on from a revision."""

    async def snapshot(
        self, prefix: str
    ) -> result.Result[Snapshot, Unavailable]:
        """Reads all keys under a prefix with the store's revision."""

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[Changes, Unavailable | Compacted]:
        """Waits for changes after a revision; may return none in time."""


async def put_with_read_back(
    store: KeyValueStore,
    key: str,
    value: bytes,
    expected: int | None,
    lease: int = 0,
) -> result.Result[int, Error]:
    """Writes, and reads back when the answer was lost.

    Values must differ between writers, as by an operation id, so that
    finding the own value means that the write took effect.
    """
    written = await store.put(key, value, expected, lease)
    if written.is_ok():
        return written
    found = await store.get(key)
    if found.is_err():
        return written if isinstance(written.err(), Unavailable) else found
    entry = found.ok()
    if entry is not None and entry.value == value:
        return result.Ok(entry.revision)
    if isinstance(written.err(), Conflict):
        return written
    if expected is not None and _revision(entry) != expected:
        return result.Err(Conflict(entry))
    return written


def _revision(entry: Entry | None) -> int:
    return 0 if entry is None else entry.revision
