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
    """A change that a watch reports; no entry means a deletion."""

    key: str
    entry: Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No answer; a write may have taken effect all the same."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The compare failed; `current` is what stands there."""

    current: Entry | None


Error = Unavailable | Conflict


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


async def put_settled(
    store: KeyValueStore, key: str, value: bytes, expected: int | None
) -> result.Result[int, Error]:
    """Writes, and reads back when the answer was lost.

    Values must differ between writers, as by an operation id, so that
    finding the own value means that the write took effect.
    """
    written = await store.put(key, value, expected)
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
