"""Keeps the routers together within the limits that upstreams name.

A router that hears a limit tells the others. Each delegates its share of it to
the router that hands out the allowance of that upstream, and claims allowance
there for each request that it sends to the upstream.
"""

import asyncio
from collections.abc import Callable, Sequence
import dataclasses
import itertools
import math
import random

from bergamotmill.control import owners as key_owners
from bergamotmill.dispatch import allowance_messages as messages
from bergamotmill.dispatch import allowance_owner
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import metrics as stats
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import allowance_pool
from bergamotmill.routing import stated_limit
from bergamotmill.util import clock as clocks

# Routers in the order of owners of an upstream's allowance: the next one is
# asked while the first is suspected.
OWNERS = 2
# A router that changes its mind on a limit in a large fleet tells this many
# others, as with upstreams that leave.
LIMIT_FANOUT = 4
# A limit that changes by less than this factor is not announced at once:
# owners learn it with the next delegation.
ANNOUNCED_RATIO = 1.25
# A notice takes up to about 70 bytes.
MAX_NOTICES_PER_MESSAGE = 12
# Routers without a delegation that an owner tells of a limit at each tick.
MAX_ROUTERS_TOLD = 8

Target = allowance_owner.Target


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceLinks:
    """How a router reaches the others.

    Attributes:
        own_name: name of this router.
        owners: the routers that hand out the allowance of each upstream.
        send: sends a message to a router; it may be lost.
        other_names: returns the routers that are not known to be dead.
        router_count: returns the number of routers that share a limit.
    """

    own_name: str
    owners: key_owners.KeyOwners
    send: Callable[[str, peer_pb2.NotifyRequest], None]
    other_names: Callable[[], Sequence[str]]
    router_count: Callable[[], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The request that allowance is claimed for.

    Attributes:
        max_wait_s: time for which it can wait for the allowance, in seconds.
        deadline_s: time until its caller's deadline, in seconds.
        spread: whether another upstream serves it without a limit, so that
            this router may leave the allowance to others for a time.
    """

    max_wait_s: float
    deadline_s: float
    priority: int
    worth: float
    customer: str
    spread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """The answer to a claim.

    Attributes:
        granted: whether the request may be sent.
        owner: the router that decided; empty without a limit or an owner.
        waited_s: how long the claim took.
        wait_s: if not granted, time until the allowance would be there.
    """

    granted: bool
    target: Target
    owner: str = ""
    claim_id: int = 0
    waited_s: float = 0.0
    wait_s: float = 0.0


# What stands for the allowance of an upstream that names no limit.
NO_LIMIT = Allowance(True, Target("", 0))


@dataclasses.dataclass(frozen=True, slots=True)
class _Delegation:
    """To whom this router has delegated its share, and until when."""

    owner: str
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingClaim:
    """A claim for which this router waits."""

    owner: str
    replies: asyncio.Queue[messages.Reply]


class Allowances:
    """Claims allowance for this router's requests."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        owner: allowance_owner.AllowanceOwner,
        links: AllowanceLinks,
        metrics: stats.Metrics,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Makes a client.

        Args:
            fleet: the upstreams and their limits.
            owner: the pools of this router.
            links: how other routers are reached.
            metrics: counters and timings.
            clock: the clocks; limits are kept on the one that also runs
                during suspensions.
            rng: selects receivers of news, and spreads claims.
        """
        self._fleet = fleet
        self._owner = owner
        self._links = links
        self._metrics = metrics
        self._now = clock.boottime
        self._monotonic = clock.monotonic
        self._rng = rng
        self._ids = itertools.count(1)
        self._pending: dict[int, _PendingClaim] = {}
        self._delegations: dict[Target, _Delegation] = {}
        self._suspected_until: dict[str, float] = {}
        fleet.add_limit_listener(self._on_limit_changed)

    @property
    def limits(self) -> dict[str, float]:
        """The limits in force, in requests per second, by upstream."""
        return {
            name: self._fleet.limits.per_s(name, born)
            for name, born in self._fleet.limits.limited().items()
        }

    async def run(self) -> None:
        """Renews delegations and tells routers that lack a limit, forever."""
        while True:
            await asyncio.sleep(
                const.ALLOWANCE_TICK_S * self._rng.uniform(0.8, 1.0)
            )
            self._tick()

    def _tick(self) -> None:
        now = self._now()
        self._fleet.limits.drop_unlimited(now - const.ENDED_LIMIT_MEMORY_S)
        limited = [
            Target(name, born)
            for name, born in self._fleet.limits.limited().items()
            if self._upstream(Target(name, born)) is not None
        ]
        notices: dict[str, list[peer_pb2.LimitNotice]] = {}
        for target in limited:
            owner = self._delegate(target)
            if owner:
                notices.setdefault(owner, []).append(
                    self._notice(target, const.DELEGATION_S)
                )
            if self._owner_of(target) == self._links.own_name:
                for name in self._routers_to_tell(target):
                    notices.setdefault(name, []).append(self._notice(target))
        self._owner.tick()
        for name, items in notices.items():
            for first in range(0, len(items), MAX_NOTICES_PER_MESSAGE):
                batch = items[first : first + MAX_NOTICES_PER_MESSAGE]
                self._links.send(name, peer_pb2.NotifyRequest(limits=batch))
        for target, delegation in list(self._delegations.items()):
            if delegation.until <= now:
                del self._delegations[target]

    def _routers_to_tell(self, target: Target) -> list[str]:
        """Returns some routers that may not know a limit.

        These are those that have not delegated their share of it lately: they
        may have started, or come back, since the others heard it.
        """
        names = set(self._links.other_names())
        names -= self._owner.recent_delegators(target)
        return self._rng.sample(
            sorted(names), min(MAX_ROUTERS_TOLD, len(names))
        )

    def _upstream(self, target: Target) -> upstreams.Upstream | None:
        upstream = self._fleet.upstreams.by_name.get(target.name)
        if upstream is None or upstream.entry.born != target.born:
            return None
        return upstream

    def _owner_of(self, target: Target) -> str:
        """Returns the first router in order that is not suspected."""
        order = self._links.owners.order(f"allowance {target.name}")
        now = self._now()
        for name in order:
            if self._suspected_until.get(name, -math.inf) <= now:
                return name
        return order[0]

    def _delegate(self, target: Target) -> str:
        """Delegates this router's share of a limit for some time.

        Returns:
            The router to be told; empty if it is this one, or if the share
            may still be in use at a previous owner.
        """
        now = self._now()
        owner = self._owner_of(target)
        delegation = self._delegations.get(target)
        if delegation is not None and (
            delegation.owner != owner and now < delegation.until
        ):
            return ""
        self._delegations[target] = _Delegation(
            owner, now + const.DELEGATION_S + const.DELEGATION_MARGIN_S
        )
        if owner != self._links.own_name:
            return owner
        self._owner.delegate(target, owner, const.DELEGATION_S)
        return ""

    def _limit(self, target: Target) -> messages.UpstreamLimit:
        latest = self._fleet.limits.latest(target.name, target.born)
        if latest is None:
            latest = stated_limit.Statement(
                stated_limit.UNLIMITED, -math.inf, -math.inf
            )
        return messages.UpstreamLimit(target.name, target.born, latest)

    def _notice(
        self, target: Target, delegated_s: float = 0.0
    ) -> peer_pb2.LimitNotice:
        return peer_pb2.LimitNotice(
            sender=self._links.own_name,
            limit=messages.encode_limit(self._limit(target), self._now()),
            delegated_ms=int(delegated_s * messages.MS_PER_S),
        )

    def _on_limit_changed(
        self, name: str, born: int, before_per_s: float, heard_here: bool
    ) -> None:
        target = Target(name, born)
        upstream = self._upstream(target)
        if upstream is not None:
            upstream.note_allowance(0.0, self._monotonic())
        per_s = self._fleet.limits.per_s(name, born)
        owner = ""
        if per_s != stated_limit.UNLIMITED:
            owner = self._delegate(target)
            if owner:
                notice = self._notice(target, const.DELEGATION_S)
                self._links.send(owner, peer_pb2.NotifyRequest(limits=[notice]))
        self._owner.on_limit_changed(target)
        low, high = sorted((per_s, before_per_s))
        if high >= ANNOUNCED_RATIO * low:
            self._announce(target, heard_here, owner)

    def _announce(self, target: Target, heard_here: bool, told: str) -> None:
        """Tells other routers of a limit, in a large fleet a few of them."""
        others = [n for n in self._links.other_names() if n != told]
        if len(others) > const.NOTICE_ALL_MAX_ROUTERS:
            others = self._rng.sample(others, LIMIT_FANOUT)
        elif not heard_here:
            return
        request = peer_pb2.NotifyRequest(limits=[self._notice(target)])
        for name in others:
            self._links.send(name, request)

    def on_notice(self, message: peer_pb2.LimitNotice) -> None:
        """Applies what another router knows, and takes over its share."""
        limit = messages.decode_limit(message.limit, self._now())
        target = Target(limit.upstream, limit.born)
        self._fleet.note_limit(
            target.name, target.born, limit.statement, message.sender
        )
        if not message.delegated_ms:
            return
        per_s = self._fleet.limits.per_s(target.name, target.born)
        if per_s == stated_limit.UNLIMITED:
            # The sender does not know yet that the limit has ended.
            notice = self._notice(target)
            self._links.send(
                message.sender, peer_pb2.NotifyRequest(limits=[notice])
            )
            return
        self._owner.delegate(
            target, message.sender, message.delegated_ms / messages.MS_PER_S
        )

    def on_claim(self, message: peer_pb2.AllowanceClaim) -> None:
        """Decides on a claim of another router."""
        now = self._now()
        limit = messages.decode_limit(message.limit, now)
        target = Target(limit.upstream, limit.born)
        claim = messages.decode_claim(message, now)
        if message.withdrawn:
            self._owner.withdraw(target, claim.key)
            return
        self._fleet.note_limit(
            target.name, target.born, limit.statement, message.sender
        )

        def send_decision(decision: allowance_pool.Decision) -> None:
            reply = messages.encode_reply(
                decision, self._limit(target), self._now()
            )
            self._links.send(
                claim.sender, peer_pb2.NotifyRequest(allowances=[reply])
            )

        self._owner.submit(target, claim, send_decision)

    def on_reply(self, message: peer_pb2.AllowanceReply) -> None:
        """Passes a reply to the request that waits for it, if any."""
        pending = self._pending.get(message.id)
        if pending is None:
            return
        limit = messages.decode_limit(message.limit, self._now())
        self._fleet.note_limit(
            limit.upstream, limit.born, limit.statement, pending.owner
        )
        pending.replies.put_nowait(messages.decode_reply(message))

    def is_unlimited(self, upstream: upstreams.Upstream) -> bool:
        """Whether an upstream names no limit."""
        entry = upstream.entry
        limit_per_s = self._fleet.limits.per_s(entry.name, entry.born)
        return limit_per_s == stated_limit.UNLIMITED

    def owner_name(self, upstream: upstreams.Upstream) -> str:
        """Returns the router that allowance is claimed from; empty for none."""
        if self.is_unlimited(upstream):
            return ""
        return self._owner_of(Target(upstream.entry.name, upstream.entry.born))

    async def claim(
        self, upstream: upstreams.Upstream, terms: Terms
    ) -> Allowance:
        """Claims allowance for one request to an upstream."""
        if self.is_unlimited(upstream):
            return NO_LIMIT
        target = Target(upstream.entry.name, upstream.entry.born)
        per_s = self._fleet.limits.per_s(target.name, target.born)
        began = self._now()
        owner = self._owner_of(target)
        claim = allowance_pool.Claim(
            self._links.own_name,
            next(self._ids),
            began + terms.max_wait_s,
            terms.priority,
            terms.worth,
            began + terms.deadline_s,
            terms.customer,
        )
        reply = await self._ask(owner, target, claim)
        now = self._now()
        if reply is None:
            self._suspected_until[owner] = now + const.OWNER_SUSPICION_S
            self._metrics.count("allowance.no_reply")
            upstream.note_allowance(
                const.NO_ALLOWANCE_OWNER_WAIT_S, self._monotonic()
            )
            return Allowance(
                False,
                target,
                owner,
                waited_s=now - began,
                wait_s=const.NO_ALLOWANCE_OWNER_WAIT_S,
            )
        granted = reply.verdict is allowance_pool.Verdict.GRANTED
        self._metrics.count(f"allowance.{reply.verdict.value}")
        self._metrics.timing("allowance.claimed", now - began)
        wait_s = min(reply.wait_s, const.LIMIT_CHECK_AFTER_S)
        upstream.note_allowance(
            wait_s + (self._spread_s(per_s) if terms.spread else 0.0),
            self._monotonic(),
            terms.priority,
        )
        return Allowance(
            granted, target, owner, claim.claim_id, now - began, wait_s
        )

    def _spread_s(self, per_s: float) -> float:
        """Returns a pause after which this router claims allowance again.

        With all routers taken together, claims come a few times as often as
        allowance.
        """
        interval_s = 1.0 / max(per_s, 1.0 / const.MAX_CLAIM_SPREAD_S)
        share_s = interval_s * self._links.router_count()
        return self._rng.uniform(
            0.0,
            min(const.MAX_CLAIM_SPREAD_S, share_s / const.CLAIMS_PER_ALLOWANCE),
        )

    async def _ask(
        self, owner: str, target: Target, claim: allowance_pool.Claim
    ) -> messages.Reply | None:
        """Returns an owner's final reply; None without one."""
        replies: asyncio.Queue[messages.Reply] = asyncio.Queue()
        self._pending[claim.claim_id] = _PendingClaim(owner, replies)
        missed = 0
        reply = None
        try:
            while missed < const.MAX_MISSED_CLAIMS:
                self._submit(owner, target, claim, replies)
                reply = await _next_reply(replies, const.ASK_TIMEOUT_S)
                missed += reply is None
                while reply is not None:
                    if reply.verdict is not allowance_pool.Verdict.QUEUED:
                        return reply
                    missed = 0
                    reply = await _next_reply(replies, const.HELD_ASK_PERIOD_S)
            return None
        finally:
            del self._pending[claim.claim_id]
            if reply is None or (
                reply.verdict is allowance_pool.Verdict.QUEUED
            ):
                self._withdraw(owner, target, claim.claim_id)

    def _submit(
        self,
        owner: str,
        target: Target,
        claim: allowance_pool.Claim,
        replies: asyncio.Queue[messages.Reply],
    ) -> None:
        if owner != self._links.own_name:
            message = messages.encode_claim(
                claim, self._limit(target), self._now()
            )
            self._links.send(owner, peer_pb2.NotifyRequest(claims=[message]))
            return

        def pass_decision(decision: allowance_pool.Decision) -> None:
            replies.put_nowait(
                messages.Reply(
                    claim.claim_id, decision.verdict, decision.wait_s
                )
            )

        self._owner.submit(target, claim, pass_decision)

    def give_back(self, allowance: Allowance) -> None:
        """Returns allowance that was granted and is not used."""
        if allowance.owner:
            self._metrics.count("allowance.returned")
            self._withdraw(
                allowance.owner, allowance.target, allowance.claim_id
            )

    def _withdraw(self, owner: str, target: Target, claim_id: int) -> None:
        own_name = self._links.own_name
        if owner == own_name:
            self._owner.withdraw(target, (own_name, claim_id))
            return
        message = peer_pb2.AllowanceClaim(
            sender=own_name,
            id=claim_id,
            limit=messages.encode_limit(self._limit(target), self._now()),
            withdrawn=True,
        )
        self._links.send(owner, peer_pb2.NotifyRequest(claims=[message]))


async def _next_reply(
    replies: asyncio.Queue[messages.Reply], timeout_s: float
) -> messages.Reply | None:
    """Returns the next reply; None if none arrives in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await replies.get()
    except TimeoutError:
        return None
