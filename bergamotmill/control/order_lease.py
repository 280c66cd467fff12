"""The lease that a router must hold to send orders to engines.

The create revision of the lease's key is the fencing token of the orders. It
increases with each new holder, because the revisions of the store increase.
"""

import dataclasses

from bergamotmill.control import const
from bergamotmill.storage import key_value
from bergamotmill.upstream.engine import const as engine_const
from bergamotmill.util import clock as clocks


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations of a lease, in seconds.

    Attributes:
        lease_s: time to live of the lease, counted from its last renewal.
        margin_s: time before the expiry of the lease in which the holder sends
            no more orders.
        takeover_wait_s: time that a new holder waits, so that the last orders
            of the previous holder have arrived or timed out.
    """

    lease_s: float = const.LEASE_DURATION_S
    margin_s: float = const.LEASE_MARGIN_S
    takeover_wait_s: float = engine_const.ORDER_TIMEOUT_S


class OrderLease:
    """A lease in the key-value service, held by one router at a time."""

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
        self._lease_id = 0
        self._expires_at = 0.0
        self._fencing = 0
        self._acquired_at = 0.0

    @property
    def fencing(self) -> int:
        """The fencing token of the orders; 0 without a lease."""
        return self._fencing

    @property
    def acquired_at(self) -> float:
        """Boot time at which the lease was acquired."""
        return self._acquired_at

    def time_left(self) -> float:
        """Returns the seconds for which this router may safely send orders."""
        if not self._fencing:
            return 0.0
        return self._expires_at - self._terms.margin_s - self._clock.boottime()

    def takeover_wait_over(self) -> bool:
        """Whether no order of a previous holder can still be under way."""
        waited = self._clock.boottime() - self._acquired_at
        return waited >= self._terms.takeover_wait_s

    async def acquire_or_renew(self) -> bool:
        """Acquires or renews the lease; returns whether it is safely held."""
        # Count the lease from before the call: a slow reply must not extend it
        # beyond its expiry in the store.
        started_at = self._clock.boottime()
        if self._fencing:
            renewed = await self._store.renew(self._lease_id)
            if renewed.is_ok() and renewed.ok():
                self._expires_at = started_at + self._terms.lease_s
                return self.time_left() > 0
            if renewed.is_err():
                return self.time_left() > 0
            self._fencing = 0
        return await self._acquire()

    async def _acquire(self) -> bool:
        started_at = self._clock.boottime()
        current = await self._store.get(self._key)
        if current.is_err() or current.ok() is not None:
            return False
        granted = await self._store.grant(self._terms.lease_s)
        if granted.is_err():
            return False
        lease_id = granted.ok()
        written = await self._store.put(self._key, self._value, 0, lease_id)
        if written.is_err():
            # The write may have taken effect without a reply; revoking the
            # lease removes the key.
            await self._store.revoke(lease_id)
            return False
        self._lease_id = lease_id
        self._fencing = written.ok()
        self._expires_at = started_at + self._terms.lease_s
        self._acquired_at = self._clock.boottime()
        return self.time_left() > 0

    async def release(self) -> None:
        """Revokes the lease, so that another router can acquire it at once."""
        if self._fencing:
            self._fencing = 0
            await self._store.revoke(self._lease_id)

    def abandon(self) -> None:
        """Renews the lease no longer, so that it runs out."""
        self._fencing = 0
