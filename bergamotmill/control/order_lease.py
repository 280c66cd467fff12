"""The lease under which orders to engines are given.

The revision that made the lease's key is the fencing token of its orders. It
grows from holder to holder, as the store's revisions do.
"""

import dataclasses

from bergamotmill.control import const
from bergamotmill.storage import key_value
from bergamotmill.upstream.engine import const as engine_const
from bergamotmill.util import clock as clocks


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTerms:
    """How long a lease holds, in seconds.

    Attributes:
        margin_s: no order is given within so long of the lease's end.
        settle_s: a new holder first waits out an old one's last orders.
    """

    lease_s: float = const.LEASE_DURATION_S
    margin_s: float = const.LEASE_MARGIN_S
    takeover_wait_s: float = engine_const.ORDER_TIMEOUT_S


class OrderLease:
    """The lease under which orders are given."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        key: str,
        value: bytes,
        clock: clocks.Clock,
        terms: LeaseTerms | None = None,
    ):
        self._store = store
        self._key = key
        self._value = value
        self._clock = clock
        self._terms = terms or LeaseTerms()
        self._lease = 0
        self._until = 0.0
        self._fencing = 0
        self._taken_at = 0.0

    @property
    def fencing(self) -> int:
        """The fencing number; grows from holder to holder."""
        return self._fencing

    def time_left(self) -> float:
        """Returns seconds for which orders may surely be given."""
        if not self._fencing:
            return 0.0
        return self._until - self._terms.margin_s - self._clock.boottime()

    def takeover_wait_over(self) -> bool:
        """Whether an older holder's last orders have surely arrived."""
        waited = self._clock.boottime() - self._taken_at
        return waited >= self._terms.takeover_wait_s

    async def acquire_or_renew(self) -> bool:
        """Takes or renews the lease; False when it is not held."""
        # The lease counts from before the call, lest the answer was slow.
        before = self._clock.boottime()
        if self._fencing:
            renewed = await self._store.renew(self._lease)
            if renewed.is_ok() and renewed.ok():
                self._until = before + self._terms.lease_s
                return self.time_left() > 0
            if renewed.is_err():
                return self.time_left() > 0
            self._fencing = 0
        return await self._take()

    async def _take(self) -> bool:
        before = self._clock.boottime()
        found = await self._store.get(self._key)
        if found.is_err() or found.ok() is not None:
            return False
        granted = await self._store.grant(self._terms.lease_s)
        if granted.is_err():
            return False
        lease = granted.ok()
        written = await self._store.put(self._key, self._value, 0, lease)
        if written.is_err():
            # The put may have taken effect; the lease takes it away again.
            await self._store.revoke(lease)
            return False
        self._lease = lease
        self._fencing = written.ok()
        self._until = before + self._terms.lease_s
        self._taken_at = self._clock.boottime()
        return self.time_left() > 0

    async def release(self) -> None:
        """Gives the lease up, so that another may take it at once."""
        if self._fencing:
            self._fencing = 0
            await self._store.revoke(self._lease)
