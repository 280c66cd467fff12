"""Claims the units that this router's requests cost.

A request is granted from the reserve of its customer, or by the owner of the
customer's bucket, or by the owner's successor. A router that reaches neither
grants its equal share of the rate itself.
"""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses
import itertools
import random

from bergamotmill.customer_limits import account as accounts
from bergamotmill.customer_limits import bucket
from bergamotmill.customer_limits import const
from bergamotmill.customer_limits import fleet_view
from bergamotmill.customer_limits import messages
from bergamotmill.customer_limits import owner as limit_owner
from bergamotmill.dispatch import config
from bergamotmill.helpers import decisions
from bergamotmill.helpers import metrics as stats
from bergamotmill.proto import peer_pb2
from bergamotmill.util import clock as clocks

# Decider of a request that was granted from the reserve, or refused without a
# claim, or decided by this router's share of the rate.
SOURCE_RESERVE = "reserve"
SOURCE_PAUSE = "pause"
SOURCE_OWN_SHARE = "own_share"

Replies = asyncio.Queue[messages.Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that is to be admitted.

    Attributes:
        units: what it costs.
        time_left_s: time until its caller's deadline, in seconds.
    """

    customer: str
    limit: config.CustomerLimit
    units: float
    time_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on a request.

    Attributes:
        request: the request.
        granted: whether it may be sent.
        source: `reserve`, `pause`, `own_share`, or the router that decided.
        at: when it was decided, on the clock that runs during suspensions.
        waited_s: how long the decision took.
        retry_after_s: if not granted, when it may be.
    """

    request: Request
    granted: bool
    source: str
    at: float
    waited_s: float = 0.0
    retry_after_s: float = 0.0


class CustomerLimitClient:
    """Decides which requests of this router are within the limits."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        owner: limit_owner.CustomerLimitOwner,
        outbox: messages.Outbox,
        metrics: stats.Metrics,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Makes a client.

        Args:
            view: which routers decide.
            owner: the buckets of this router.
            outbox: sends claims to other routers.
            metrics: counters and timings.
            clock: the clocks; the one that runs during suspensions is used.
            rng: spreads retries.
        """
        self._view = view
        self._owner = owner
        self._outbox = outbox
        self._metrics = metrics
        self._now = clock.boottime
        self._rng = rng
        self._ids = itertools.count(1)
        self._pending: dict[int, Replies] = {}
        # Units of claims that were given up, and when, by id.
        self._abandoned: collections.OrderedDict[
            int, tuple[float, messages.Claim, str]
        ] = collections.OrderedDict()
        self._accounts: dict[str, accounts.Account] = {}
        self._own_shares: dict[str, bucket.CustomerBucket] = {}
        self._missed: dict[str, int] = {}
        self._suspected_until: dict[str, float] = {}

    @property
    def gauges(self) -> dict[str, float]:
        """Gauges of the metrics page."""
        return {
            "customers_limited": float(len(self._accounts)),
            "customer_buckets": float(self._owner.bucket_count),
            "customer_claims_waiting": float(self._owner.waiting_count),
        }

    def close(self) -> None:
        """Drops what has not been sent, and the buckets of this router."""
        self._outbox.close()
        self._owner.close()

    async def run(self) -> None:
        """Drops state that is no longer needed, forever."""
        while True:
            await asyncio.sleep(const.TICK_S)
            self._owner.tick()
            self._tick()

    def on_catalog(self, catalog: config.Catalog) -> None:
        """Applies changed limits."""
        self._apply_limits(catalog.customer_limits)
        self._owner.apply_limits()

    def _apply_limits(self, limits: Mapping[str, config.CustomerLimit]) -> None:
        for customer, account in list(self._accounts.items()):
            limit = limits.get(customer)
            if limit is None:
                del self._accounts[customer]
            elif limit != account.limit:
                account.apply_limit(limit)

    async def admit(self, request: Request) -> Admission:
        """Decides on a request; takes at most a few times ASK_TIMEOUT_S."""
        began = self._now()
        account = self._account(request, began)
        account.note_request(request.units, began)
        if account.take(request.units, began):
            self._metrics.count("customer_limits.reserve")
            self._top_up(request.customer, account, began)
            return Admission(request, True, SOURCE_RESERVE, began)
        if not account.may_claim(began):
            self._metrics.count("customer_limits.refused_unasked")
            return self._refusal(request, account, SOURCE_PAUSE, began)
        reply, source = await self._claim(request, account)
        now = self._now()
        self._metrics.timing("customer_limits.claimed", now - began)
        if reply.verdict is bucket.Verdict.GRANTED:
            account.add_reserve(reply.reserve, now)
            self._metrics.count("customer_limits.granted")
            return Admission(request, True, source, now, now - began)
        self._metrics.count("customer_limits.refused")
        account.note_refusal(reply.wait_s, reply.share_per_s, now, self._rng)
        return self._refusal(request, account, source, began)

    def give_back(self, admission: Admission) -> None:
        """Returns what was granted for a request that did not run."""
        now = self._now()
        if now - admission.at > const.MAX_RETURN_AGE_S:
            return
        self._metrics.count("customer_limits.returned")
        request = admission.request
        account = self._account(request, now)
        self._send_return(request.customer, account, request.units)

    def on_claim(self, message: peer_pb2.CustomerClaim) -> None:
        """Decides on a claim of another router."""
        claim = messages.decode_claim(message)
        self._owner.submit(
            claim, lambda reply: self._outbox.reply(claim.router, reply)
        )

    def on_reply(self, message: peer_pb2.CustomerReply) -> None:
        """Passes a reply to the request that waits for it."""
        reply = messages.decode_reply(message)
        replies = self._pending.get(reply.claim_id)
        if replies is not None:
            replies.put_nowait(reply)
            return
        now = self._now()
        abandoned = self._abandoned.get(reply.claim_id)
        account = self._accounts.get(reply.customer)
        if abandoned is not None:
            self._return_late_grant(reply)
        elif account is not None:
            account.top_up_asked = False
            account.add_reserve(reply.reserve, now)

    def _return_late_grant(self, reply: messages.Reply) -> None:
        """Returns units that were granted after their request was decided."""
        if reply.verdict is bucket.Verdict.QUEUED:
            return
        _, claim, name = self._abandoned.pop(reply.claim_id)
        units = reply.reserve
        if reply.verdict is bucket.Verdict.GRANTED:
            units += claim.units
        if units > 0:
            self._outbox.claim(
                name,
                dataclasses.replace(
                    claim, claim_id=0, units=0, wanted=0, returned=units
                ),
                const.BATCH_DELAY_S,
            )

    def _account(self, request: Request, now: float) -> accounts.Account:
        account = self._accounts.pop(request.customer, None)
        if account is None:
            account = accounts.Account(request.limit, now)
        # The one that was used last is at the end.
        self._accounts[request.customer] = account
        if len(self._accounts) > const.MAX_ACCOUNTS:
            del self._accounts[next(iter(self._accounts))]
        return account

    def _refusal(
        self,
        request: Request,
        account: accounts.Account,
        source: str,
        began: float,
    ) -> Admission:
        now = self._now()
        return Admission(
            request,
            False,
            source,
            now,
            now - began,
            account.retry_after_s(
                request.units, request.time_left_s, now, self._rng
            ),
        )

    async def _claim(
        self, request: Request, account: accounts.Account
    ) -> tuple[messages.Reply, str]:
        """Returns the final reply and the router that decided."""
        names = self._view.deciders(request.customer)
        # The owner is asked again, in case single messages were lost.
        for name in [*names, names[0]]:
            if self._suspected_until.get(name, -1.0) > self._now():
                continue
            reply = await self._ask(name, request, account)
            if reply is not None:
                self._missed.pop(name, None)
                self._note_decider(request.customer, account, name)
                return reply, name
            self._note_missed_reply(name)
        self._note_decider(request.customer, account, SOURCE_OWN_SHARE)
        return self._claim_own_share(request), SOURCE_OWN_SHARE

    def _note_missed_reply(self, name: str) -> None:
        self._metrics.count("customer_limits.no_reply")
        missed = self._missed.get(name, 0) + 1
        self._missed[name] = missed
        if missed >= const.MAX_MISSED_REPLIES:
            # One more miss after the suspicion renews it.
            self._missed[name] = const.MAX_MISSED_REPLIES - 1
            self._suspected_until[name] = self._now() + const.SUSPICION_S

    def _note_decider(
        self, customer: str, account: accounts.Account, name: str
    ) -> None:
        before, account.decider = account.decider, name
        if before and before != name:
            decisions.record(
                "customer_limit_owner",
                customer=customer,
                owner=name,
                before=before,
            )

    async def _ask(
        self, name: str, request: Request, account: accounts.Account
    ) -> messages.Reply | None:
        """Returns the final reply of one router; None without one."""
        now = self._now()
        is_own = name == self._view.own_name
        replies: Replies = asyncio.Queue()
        claim = messages.Claim(
            self._view.own_name,
            next(self._ids),
            request.customer,
            request.limit,
            request.units,
            0.0 if is_own else account.reserve,
            0.0 if is_own else account.wanted_reserve(now),
        )
        self._pending[claim.claim_id] = replies
        reply = None
        is_queued = False
        try:
            if is_own:
                self._owner.submit(claim, replies.put_nowait)
            else:
                self._outbox.claim(name, claim)
            reply = await _next_reply(replies, is_own)
            if reply is not None and reply.verdict is bucket.Verdict.QUEUED:
                is_queued = True
                account.queued += 0 if is_own else 1
                account.add_reserve(reply.reserve, self._now())
                reply = await _next_reply(replies, True)
        finally:
            if is_queued and not is_own:
                account.queued -= 1
            del self._pending[claim.claim_id]
            if reply is None:
                self._abandon(name, claim)
        return reply

    def _abandon(self, name: str, claim: messages.Claim) -> None:
        self._abandoned[claim.claim_id] = (self._now(), claim, name)

    def _claim_own_share(self, request: Request) -> messages.Reply:
        """Grants this router's equal share of the rate, without a burst."""
        now = self._now()
        terms = bucket.own_share(request.limit, 1.0 / self._view.count())
        share = self._own_shares.get(request.customer)
        if share is None:
            share = bucket.CustomerBucket(terms, 0.0, now)
            self._own_shares[request.customer] = share
        share.apply(terms, now)
        claim = bucket.Claim(
            self._view.own_name, next(self._ids), request.units
        )
        decision = share.claim(claim, now)
        verdict = decision.verdict
        if verdict is bucket.Verdict.QUEUED:
            share.withdraw(claim.key)
            verdict = bucket.Verdict.REFUSED
        if verdict is bucket.Verdict.GRANTED:
            self._report(request)
        return messages.Reply(
            claim.claim_id,
            request.customer,
            verdict,
            decision.wait_s,
            share_per_s=terms.rate_per_s,
        )

    def _report(self, request: Request) -> None:
        """Tells the owner what was granted here.

        If it is in reach after all, and only messages were lost, it grants
        less.
        """
        report = messages.Claim(
            self._view.own_name,
            0,
            request.customer,
            request.limit,
            returned=-request.units,
        )
        owner = self._view.deciders(request.customer)[0]
        if owner != self._view.own_name:
            self._outbox.claim(owner, report, const.BATCH_DELAY_S)

    def _top_up(
        self, customer: str, account: accounts.Account, now: float
    ) -> None:
        """Asks for more reserve in the background, if there is little left."""
        if account.top_up_asked or not account.is_low(now):
            return
        name = self._usable_decider(customer)
        if name and account.may_claim(now):
            account.top_up_asked = True
            self._outbox.claim(
                name,
                messages.Claim(
                    self._view.own_name,
                    next(self._ids),
                    customer,
                    account.limit,
                    held=account.reserve,
                    wanted=account.wanted_reserve(now),
                ),
                const.BATCH_DELAY_S,
            )

    def _send_return(
        self, customer: str, account: accounts.Account, units: float
    ) -> None:
        """Returns units to the router that decides now."""
        claim = messages.Claim(
            self._view.own_name,
            0,
            customer,
            account.limit,
            held=account.reserve,
            returned=units,
        )
        name = self._view.deciders(customer)[0]
        if name == self._view.own_name:
            self._owner.submit(claim, lambda reply: None)
        elif self._usable_decider(customer):
            self._outbox.claim(name, claim, const.BATCH_DELAY_S)

    def _usable_decider(self, customer: str) -> str:
        """Returns the owner, if it is another router and not suspected."""
        name = self._view.deciders(customer)[0]
        if name == self._view.own_name or (
            self._suspected_until.get(name, -1.0) > self._now()
        ):
            return ""
        return name

    def _tick(self) -> None:
        now = self._now()
        for customer, account in list(self._accounts.items()):
            account.top_up_asked = False
            if account.reserve and account.has_expired(now):
                units = account.drop_reserve()
                self._send_return(customer, account, units)
            if account.used_at + const.ACCOUNT_MEMORY_S <= now:
                del self._accounts[customer]
        for customer in list(self._own_shares):
            if customer not in self._accounts:
                del self._own_shares[customer]
        for claim_id, (at, _, _) in list(self._abandoned.items()):
            if at + const.ABANDONED_MEMORY_S > now:
                break
            del self._abandoned[claim_id]
        for name, until in list(self._suspected_until.items()):
            if until + const.SUSPICION_S <= now:
                del self._suspected_until[name]
                self._missed.pop(name, None)


async def _next_reply(
    replies: Replies, is_queued: bool
) -> messages.Reply | None:
    """Returns the next reply; None if there is none in time."""
    timeout_s = const.ASK_TIMEOUT_S
    if is_queued:
        timeout_s += const.MAX_WAIT_S
    try:
        async with asyncio.timeout(timeout_s):
            return await replies.get()
    except TimeoutError:
        # After a pause of the event loop, the reply may be there as well.
        return None if replies.empty() else replies.get_nowait()
