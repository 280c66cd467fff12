"""Interface to the platform's key-value service."""

from collections.abc import AsyncIterator, Callable
import dataclasses
from typing import Any, Protocol

import result

from bergamotmill.util import registry

DRIVERS: registry.Registry[Callable[[Any], "KeyValueStore"]] = (
    registry.Registry("key-value driver")
)

MAX_VALUE_BYTES = 1_000_000


# A store that may be restored from an older copy gives revisions out again, and
# counts its restores (its era). Drivers of such stores put the era above the
# store's own number, so that revisions of different eras never compare as equal
# and those of a later era are greater.
ERA_SHIFT = 42
_NUMBER_MASK = (1 << ERA_SHIFT) - 1


def with_era(era: int, number: int) -> int:
    """Returns a revision that is unique across eras."""
    return (era << ERA_SHIFT) | number


def era_of(revision: int) -> int:
    """Returns the era of a revision; 0 without eras."""
    return revision >> ERA_SHIFT


def number_in_era(revision: int) -> int:
    """Returns the store's own number of a revision."""
    return revision & _NUMBER_MASK


def format_revision(revision: int) -> str:
    """Returns a revision for logs, as ERA.NUMBER."""
    return f"{era_of(revision)}.{number_in_era(revision)}"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    Attributes:
        revision: revision of the latest write; revisions increase across the
            whole store.
        create_revision: revision at which the key was created.
    """

    key: str
    value: bytes
    revision: int
    create_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change that a watch reports.

    Attributes:
        entry: entry after the change; None if the key was deleted.
        revision: revision of the change; 0 if the driver does not know it.
    """

    key: str
    entry: Entry | None
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed; a write may nevertheless have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key's revision is not the expected one.

    Attributes:
        current: current entry of the key; None if the key does not exist or
            the service did not return its entry.
    """

    current: Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class Compacted:
    """Changes after the requested revision have been discarded.

    The client has to read all entries again.
    """

    reason: str


Error = Unavailable | Conflict


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix, as of `revision` or slightly later."""

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Events in order, and the revision after which to continue."""

    events: tuple[Event, ...]
    revision: int


class KeyValueStore(Protocol):
    """A key-value store with compare-and-swap, leases and watches."""

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
        """Writes if the key's revision is `expected`.

        Args:
            key: key to write.
            value: value of at most `MAX_VALUE_BYTES`.
            expected: 0 if the key must not exist; None for any revision.
            lease: id of the lease with which the key is deleted; 0 for none.

        Returns:
            The new revision.
        """

    async def delete(
        self, key: str, expected: int | None
    ) -> result.Result[None, Error]:
        """Deletes a key if its revision is `expected`; None for any."""

    async def grant(self, ttl_s: float) -> result.Result[int, Unavailable]:
        """Creates a lease and returns its id."""

    async def renew(self, lease: int) -> result.Result[bool, Unavailable]:
        """Renews a lease; False if it has expired."""

    async def revoke(self, lease: int) -> result.Result[None, Unavailable]:
        """Revokes a lease and deletes its keys."""

    def watch(self, prefix: str) -> AsyncIterator[list[Event]]:
        """Yields changes under a prefix; ends when the service fails."""


class RevisionedStore(KeyValueStore, Protocol):
    """A store whose watches can start at a given revision."""

    async def snapshot(
        self, prefix: str
    ) -> result.Result[Snapshot, Unavailable]:
        """Reads all keys under a prefix with the store's revision."""

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[Changes, Unavailable | Compacted]:
        """Waits up to `wait_s` for changes after a revision; may find none."""


async def put_with_read_back(
    store: KeyValueStore,
    key: str,
    value: bytes,
    expected: int | None,
    lease: int = 0,
) -> result.Result[int, Error]:
    """Writes a key, and reads it back if the write failed or was unconfirmed.

    Writers must write different values, for instance with an operation id, so
    that reading back its own value tells a writer that the write took effect.
    """
    written = await store.put(key, value, expected, lease)
    if written.is_ok():
        return written
    current = await store.get(key)
    if current.is_err():
        return written if isinstance(written.err(), Unavailable) else current
    entry = current.ok()
    if entry is not None and entry.value == value:
        return result.Ok(entry.revision)
    if isinstance(written.err(), Conflict):
        return written
    if expected is not None and _revision(entry) != expected:
        return result.Err(Conflict(entry))
    return written


def _revision(entry: Entry | None) -> int:
    return 0 if entry is None else entry.revision
