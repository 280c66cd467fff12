"""Reads the quarantine's documents from a store without a document feed."""

import asyncio
from collections.abc import Callable
import random

from bergamotmill.storage import key_value

# Pause between two reads, and its part for each router of the fleet: all
# together read 20 times a second at most, and only while there are entries.
PERIOD_S = 5.0
PERIOD_PER_ROUTER_S = 0.05

# Called with key, value (None for a removed document), revision and source.
Listener = Callable[[str, bytes | None, int, str], None]


class QuarantineReader:
    """Keeps the revisions of the documents, and reports what changed."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        prefix: str,
        router_count: Callable[[], int],
        rng: random.Random,
    ):
        self._store = store
        self._prefix = prefix
        self._router_count = router_count
        self._rng = rng
        self._revisions: dict[str, int] = {}

    def revision(self, key: str) -> int:
        """Returns the revision of a key as last read; 0 if it has none."""
        return self._revisions.get(key, 0)

    async def run(
        self, listener: Listener, is_needed: Callable[[], bool]
    ) -> None:
        """Reads the documents once, and again while needed, forever."""
        has_read = False
        while True:
            if not has_read or self._revisions or is_needed():
                has_read = await self._read(listener)
            period_s = PERIOD_S
            if has_read:
                period_s += PERIOD_PER_ROUTER_S * self._router_count()
            await asyncio.sleep(period_s * self._rng.uniform(0.8, 1.2))

    async def _read(self, listener: Listener) -> bool:
        """Reads all documents; False if the store does not answer."""
        scanned = await self._store.scan(self._prefix)
        if scanned.is_err():
            return False
        entries = {entry.key: entry for entry in scanned.ok()}
        for key in self._revisions.keys() - entries.keys():
            revision = self._revisions.pop(key)
            listener(key, None, revision, "store")
        for key, entry in entries.items():
            if self._revisions.get(key) != entry.revision:
                self._revisions[key] = entry.revision
                listener(key, entry.value, entry.revision, "store")
        return True
