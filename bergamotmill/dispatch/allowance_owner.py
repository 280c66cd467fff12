"""Hands out the allowance of limited upstreams to all routers.

The decisions are in routing.allowance_pool. An owner also finds out when a
limit ends that too few requests, or none, may use.
"""

import asyncio
from collections.abc import Awaitable, Callable, Set
import dataclasses
import math

from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages as dispatch_messages
from bergamotmill.dispatch import upstreams
from bergamotmill.routing import allowance_pool
from bergamotmill.routing import stated_limit
from bergamotmill.util import tasks as background

# Shortest time until waiting claims are considered again.
MIN_WAKE_S = 0.002

SendDecision = Callable[[allowance_pool.Decision], None]
# Asks an upstream for its health; returns what it says of itself, None if it
# does not respond.
Check = Callable[
    [upstreams.UpstreamEntry, str],
    Awaitable[dispatch_messages.UpstreamSignals | None],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of an upstream."""

    name: str
    born: int


class AllowanceOwner:
    """The pools of the upstreams whose allowance this router hands out."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        router_count: Callable[[], int],
        check: Check,
        now: Callable[[], float],
    ):
        """Makes an owner without pools.

        Args:
            fleet: the upstreams and their limits.
            router_count: returns the number of routers that share a limit.
            check: asks an upstream for its health.
            now: the clock that also runs during suspensions.
        """
        self._fleet = fleet
        self._router_count = router_count
        self._check = check
        self._now = now
        self._pools: dict[Target, allowance_pool.AllowancePool] = {}
        self._senders: dict[allowance_pool.Key, SendDecision] = {}
        self._checked_at: dict[Target, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tasks = background.Tasks()

    @property
    def waiting_count(self) -> int:
        """Number of claims that wait here."""
        return sum(pool.waiting_count for pool in self._pools.values())

    async def close(self) -> None:
        """Forgets the claims that wait; their senders ask elsewhere."""
        if self._timer is not None:
            self._timer.cancel()
        self._pools.clear()
        self._senders.clear()
        await self._tasks.close()

    def submit(
        self,
        target: Target,
        claim: allowance_pool.Claim,
        send_decision: SendDecision,
    ) -> None:
        """Decides on a claim at once, and again later if it has to wait."""
        if self._limit_per_s(target) == stated_limit.UNLIMITED:
            send_decision(
                allowance_pool.Decision(
                    claim.key, allowance_pool.Verdict.GRANTED, 0.0
                )
            )
            return
        decision = self._refreshed_pool(target).submit(claim, self._now())
        if decision.verdict is allowance_pool.Verdict.QUEUED:
            self._senders[claim.key] = send_decision
        send_decision(decision)
        self._schedule()

    def withdraw(self, target: Target, key: allowance_pool.Key) -> None:
        """Forgets a claim; allowance that it was granted returns."""
        self._senders.pop(key, None)
        pool = self._pools.get(target)
        if pool is not None:
            pool.withdraw(key)
            self._schedule()

    def delegate(self, target: Target, router: str, seconds: float) -> None:
        """Adds a router's share of an upstream's limit for a time."""
        pool = self._refreshed_pool(target)
        pool.delegate(router, self._now() + seconds)
        self._schedule()

    def on_limit_changed(self, target: Target) -> None:
        """Applies another limit to the claims that wait."""
        if target in self._pools:
            self._wake()

    def recent_delegators(self, target: Target) -> Set[str]:
        """Returns the routers that have just delegated their shares.

        One that has not done so lately may have started again.
        """
        pool = self._pools.get(target)
        if pool is None:
            return frozenset()
        recent_until = (
            self._now() + const.DELEGATION_S - const.RECENT_DELEGATION_S
        )
        return {
            router
            for router, until in pool.delegated_until.items()
            if until > recent_until
        }

    def tick(self) -> None:
        """Drops pools that are not needed, and checks on silent upstreams."""
        now = self._now()
        for target in list(self._pools):
            upstream = self._fleet.upstreams.by_name.get(target.name)
            limited = self._limit_per_s(target) != stated_limit.UNLIMITED
            if not limited or (
                upstream is None or upstream.entry.born != target.born
            ):
                self._drop(target)
                continue
            pool = self._refreshed_pool(target)
            if not pool.delegated_until:
                self._drop(target)
                continue
            self._check_if_silent(target, upstream, pool, now)
        self._wake()

    def _drop(self, target: Target) -> None:
        """Forgets a pool; the routers of claims that wait ask again."""
        self._checked_at.pop(target, None)
        del self._pools[target]

    def _check_if_silent(
        self,
        target: Target,
        upstream: upstreams.Upstream,
        pool: allowance_pool.AllowancePool,
        now: float,
    ) -> None:
        """Checks an upstream whose limit has not been heard for some time."""
        latest = self._fleet.limits.latest(target.name, target.born)
        checked_at = self._checked_at.get(target, -math.inf)
        since_s = now - max(latest.heard_at, checked_at)
        if since_s < const.LIMIT_CHECK_AFTER_S:
            return
        self._checked_at[target] = now
        pool.take(now)
        self._tasks.spawn(self._check_limit(upstream))

    async def _check_limit(self, upstream: upstreams.Upstream) -> None:
        entry = upstream.entry
        service = self._fleet.catalog.services.get(entry.service)
        path = "" if service is None else service.health_path
        sent_at = self._now()
        signals = await self._check(entry, path)
        if signals is not None:
            self._fleet.apply_signals(upstream, signals, sent_at)

    def _limit_per_s(self, target: Target) -> float:
        return self._fleet.limits.per_s(target.name, target.born)

    def _refreshed_pool(self, target: Target) -> allowance_pool.AllowancePool:
        now = self._now()
        pool = self._pools.get(target)
        if pool is None:
            pool = allowance_pool.AllowancePool(now)
            self._pools[target] = pool
        pool.refresh(self._limit_per_s(target), self._router_count(), now)
        return pool

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self.waiting_count:
            return
        now = self._now()
        due_s = min(pool.next_due_s(now) for pool in self._pools.values())
        due_s = min(const.ALLOWANCE_TICK_S, max(MIN_WAKE_S, due_s))
        self._timer = asyncio.get_running_loop().call_later(due_s, self._wake)

    def _wake(self) -> None:
        """Grants what is due, and refuses what can no longer wait."""
        self._timer = None
        for target, pool in list(self._pools.items()):
            if self._limit_per_s(target) == stated_limit.UNLIMITED:
                decisions = pool.grant_all()
            else:
                decisions = self._refreshed_pool(target).due(self._now())
            for decision in list(decisions):
                send_decision = self._senders.pop(decision.key, None)
                if send_decision is not None:
                    send_decision(decision)
        self._schedule()
