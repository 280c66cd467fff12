"""This router's own entry in the store, under a lease."""

import asyncio
from collections.abc import Callable
import random

from bergamotmill.dispatch import const
from bergamotmill.helpers import decisions
from bergamotmill.storage import key_value


class RouterRegistration:
    """Keeps the entry there for as long as this router serves."""

    def __init__(
        self,
        store: key_value.RevisionedStore,
        key: str,
        value: bytes,
        is_listed: Callable[[], bool],
        is_large: Callable[[], bool],
        rng: random.Random,
    ):
        self._store = store
        self._key = key
        self._value = value
        self._is_listed = is_listed
        self._is_large = is_large
        self._rng = rng
        self._lease = 0
        self._term_s = 0.0
        self._written = False
        self._left = False

    async def run(self) -> None:
        """Keeps the entry for ever."""
        while True:
            if not self._left:
                await self.step()
            # What was granted decides, whatever the fleet has become since.
            pause = const.REGISTRATION_RENEW_S
            if self._term_s > const.REGISTRATION_LEASE_S:
                pause = const.REGISTRATION_LARGE_FLEET_RENEW_S
            await asyncio.sleep(pause * self._rng.uniform(0.9, 1.1))

    async def step(self) -> None:
        """Renews the lease, or takes a new one and writes the entry."""
        term_s = const.REGISTRATION_LEASE_S
        if self._is_large():
            term_s = const.REGISTRATION_LARGE_FLEET_LEASE_S
        if self._lease and self._term_s < term_s:
            # The entry moves to a longer lease; the short one just ends.
            self._lease = 0
            self._written = False
        if self._lease:
            renewed = await self._store.renew(self._lease)
            if renewed.is_err():
                return
            if not renewed.ok():
                decisions.record("roster_lapsed", key=self._key)
                self._lease = 0
                self._written = False
        if not self._lease:
            granted = await self._store.grant(term_s)
            if granted.is_err():
                return
            self._lease = granted.ok()
            self._term_s = term_s
        if not self._written or not self._is_listed():
            await self._write()

    async def _write(self) -> None:
        written = await key_value.put_settled(
            self._store, self._key, self._value, None, self._lease
        )
        if self._left:
            # It left while the write was under way.
            await self._end()
            return
        if written.is_ok():
            self._written = True
            decisions.record("roster_entered", key=self._key)

    async def deregister(self) -> None:
        """Takes the entry away."""
        self._left = True
        await self._end()

    async def _end(self) -> None:
        lease, self._lease = self._lease, 0
        if lease:
            await self._store.revoke(lease)
