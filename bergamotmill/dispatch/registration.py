"""Registers this router in the platform's store.

The entry is attached to a lease, so that it vanishes if the router dies.
"""

import asyncio
from collections.abc import Callable
import random

from bergamotmill.dispatch import const
from bergamotmill.helpers import decisions
from bergamotmill.storage import key_value


class RouterRegistration:
    """Keeps this router's entry in the store until the router deregisters."""

    def __init__(
        self,
        store: key_value.RevisionedStore,
        key: str,
        value: bytes,
        is_entry_visible: Callable[[], bool],
        is_large_fleet: Callable[[], bool],
        rng: random.Random,
    ):
        """Initializes the registration without writing the entry.

        Args:
            store: the platform's store.
            key: key of the entry.
            value: value of the entry.
            is_entry_visible: whether the entry is in this router's copy of
                the store; if not, it is written again.
            is_large_fleet: whether to use the longer lease of large fleets.
            rng: source of random delays.
        """
        self._store = store
        self._key = key
        self._value = value
        self._is_entry_visible = is_entry_visible
        self._is_large_fleet = is_large_fleet
        self._rng = rng
        # ID of the lease; 0 while there is none.
        self._lease = 0
        self._lease_term_s = 0.0
        self._entry_written = False
        self._deregistered = False

    async def run(self) -> None:
        """Keeps the entry in the store, forever."""
        while True:
            answered = self._deregistered or await self.refresh()
            # The period follows from the term of the granted lease, not from
            # the present size of the fleet: a short lease still expires early
            # after the fleet has grown.
            pause_s = const.REGISTRATION_RENEW_S
            if self._lease_term_s > const.REGISTRATION_LEASE_S:
                pause_s = const.REGISTRATION_LARGE_FLEET_RENEW_S
            if not answered:
                pause_s = const.REGISTRATION_RETRY_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    async def refresh(self) -> bool:
        """Renews the lease, or acquires one, and writes a missing entry.

        Returns:
            Whether the store answered; if not, the caller should try again
            soon.
        """
        term_s = const.REGISTRATION_LEASE_S
        if self._is_large_fleet():
            term_s = const.REGISTRATION_LARGE_FLEET_LEASE_S
        if self._lease and self._lease_term_s < term_s:
            # Writing the entry again moves it to a longer lease. The short one
            # is left to expire: revoking it now would delete the entry.
            self._lease = 0
            self._entry_written = False
        if self._lease:
            renewed = await self._store.renew(self._lease)
            if renewed.is_err():
                return False
            if not renewed.ok():
                decisions.record("roster_lapsed", key=self._key)
                self._lease = 0
                self._entry_written = False
        if not self._lease:
            granted = await self._store.grant(term_s)
            if granted.is_err():
                return False
            self._lease = granted.ok()
            self._lease_term_s = term_s
        if not self._entry_written or not self._is_entry_visible():
            await self._write_entry()
        return True

    async def _write_entry(self) -> None:
        written = await key_value.put_with_read_back(
            self._store, self._key, self._value, None, self._lease
        )
        if self._deregistered:
            # deregister() ran during the write.
            await self._revoke_lease()
            return
        if written.is_ok():
            self._entry_written = True
            decisions.record("roster_entered", key=self._key)

    async def deregister(self) -> None:
        """Deletes the entry by revoking its lease; it is not written again."""
        self._deregistered = True
        await self._revoke_lease()

    async def _revoke_lease(self) -> None:
        lease, self._lease = self._lease, 0
        if lease:
            await self._store.revoke(lease)
