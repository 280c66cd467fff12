"""Grants the units of the customers that this router is responsible for.

The decisions are in `bucket`. A bucket exists only while its customer sends.
"""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses

from bergamotmill.customer_limits import bucket
from bergamotmill.customer_limits import const
from bergamotmill.customer_limits import fleet_view
from bergamotmill.customer_limits import messages
from bergamotmill.dispatch import config
from bergamotmill.helpers import decisions
from bergamotmill.helpers import metrics as stats

SendReply = Callable[[messages.Reply], None]


@dataclasses.dataclass(slots=True)
class _Entry:
    """The bucket of one customer.

    Attributes:
        limit: the limit that a router last claimed under; it applies if this
            router's configuration does not have the customer.
        is_owner: whether this router is the first in order.
        used_at: time of the latest claim.
        unreported: units granted in place of the owner that it has not been
            told of.
    """

    bucket: bucket.CustomerBucket
    limit: config.CustomerLimit
    is_owner: bool
    used_at: float
    unreported: float = 0.0


class CustomerLimitOwner:
    """The buckets of this router."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        tolerance: bucket.Tolerance,
        limits: Callable[[], Mapping[str, config.CustomerLimit]],
        outbox: messages.Outbox,
        metrics: stats.Metrics,
        now: Callable[[], float],
    ):
        """Makes an owner without buckets.

        Args:
            view: which routers are alive.
            tolerance: by how much limits may be exceeded.
            limits: returns the limits in force, by customer.
            outbox: tells owners what was granted in their place.
            metrics: counters.
            now: the clock that runs during suspensions.
        """
        self._view = view
        self._tolerance = tolerance
        self._limits = limits
        self._outbox = outbox
        self._metrics = metrics
        self._now = now
        self._entries: dict[str, _Entry] = {}
        self._senders: dict[bucket.Key, SendReply] = {}
        self._waiting: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        # What was granted before is not known here.
        self._known_since = now()
        self._ticked_at = now()
        # What the terms of the buckets were last derived from.
        self._basis = (0.0, 0)

    @property
    def bucket_count(self) -> int:
        """Number of customers with a bucket here."""
        return len(self._entries)

    @property
    def waiting_count(self) -> int:
        """Number of claims that wait here."""
        return len(self._senders)

    def close(self) -> None:
        """Forgets the claims that wait; their senders ask elsewhere."""
        if self._timer is not None:
            self._timer.cancel()
        self._entries.clear()
        self._senders.clear()
        self._waiting.clear()

    def submit(self, claim: messages.Claim, send_reply: SendReply) -> None:
        """Decides on a claim at once, and again later if it has to wait."""
        self._check_suspension()
        now = self._now()
        entry = self._entry(claim, now)
        if claim.returned:
            entry.bucket.give_back(claim.returned, now)
        decision = None
        if claim.units > 0:
            decision = entry.bucket.claim(
                bucket.Claim(claim.router, claim.claim_id, claim.units), now
            )
            self._metrics.count(f"customer_claims.{decision.verdict.value}")
        reserve = 0.0
        if claim.wanted > 0 or claim.held > 0:
            reserve = entry.bucket.top_up(
                claim.router, claim.held, claim.wanted, now
            )
        entry.unreported += reserve
        if decision is None and not claim.wanted:
            return
        if decision is not None and (
            decision.verdict is bucket.Verdict.GRANTED
        ):
            entry.unreported += claim.units
        if decision is not None and (decision.verdict is bucket.Verdict.QUEUED):
            self._senders[decision.key] = send_reply
            self._waiting.add(claim.customer)
            self._schedule()
            if decision.wait_s < const.ANNOUNCED_WAIT_S:
                return
        send_reply(self._reply(claim, entry, decision, reserve))

    def apply_limits(self) -> None:
        """Applies changed limits, and a changed fleet, to all buckets."""
        now = self._now()
        for customer, entry in self._entries.items():
            self._apply(customer, entry, now)
        self._wake()

    def tick(self) -> None:
        """Applies changes of the fleet, and drops buckets not in use."""
        self._check_suspension()
        self._ticked_at = now = self._now()
        self._view.refresh()
        if not self._entries:
            return
        basis = (self._view.fraction(), self._view.alive_version)
        is_changed, self._basis = basis != self._basis, basis
        for customer, entry in list(self._entries.items()):
            if is_changed or not entry.is_owner:
                self._apply(customer, entry, now)
            self._report(customer, entry)
            idle_s = now - entry.used_at
            if idle_s < self._tolerance.window_s:
                continue
            # A bucket that is made again starts at its level if this router
            # is responsible by then, and with part of the slack otherwise.
            if not entry.is_owner or entry.bucket.is_idle(now):
                del self._entries[customer]
        self._wake()

    def _report(self, customer: str, entry: _Entry) -> None:
        """Tells the owner what was granted in its place.

        If it is alive after all, and only messages were lost, it grants less.
        """
        units, entry.unreported = entry.unreported, 0.0
        if units <= 0 or entry.is_owner:
            return
        own_name = self._view.own_name
        report = messages.Claim(
            own_name, 0, customer, entry.limit, returned=-units
        )
        self._outbox.claim(
            self._view.deciders(customer)[0], report, const.BATCH_DELAY_S
        )

    def _check_suspension(self) -> None:
        """Forgets all buckets if another router may have decided meanwhile."""
        now = self._now()
        gap_s = now - self._ticked_at
        if gap_s < const.SUSPENDED_S:
            return
        self._ticked_at = now
        self._known_since = now
        if not self._entries:
            return
        decisions.record(
            "customer_limits_reset",
            seconds=round(gap_s, 3),
            customers=len(self._entries),
        )
        self._entries.clear()
        self._senders.clear()
        self._waiting.clear()

    def _entry(self, claim: messages.Claim, now: float) -> _Entry:
        entry = self._entries.pop(claim.customer, None)
        if entry is None:
            entry = self._new_entry(claim, now)
        entry.limit = claim.limit
        entry.used_at = now
        # The one that was used last is at the end.
        self._entries[claim.customer] = entry
        entry.bucket.note_claimant(claim.router, now)
        self._apply(claim.customer, entry, now)
        if len(self._entries) > const.MAX_BUCKETS:
            self._drop_oldest(now)
        return entry

    def _new_entry(self, claim: messages.Claim, now: float) -> _Entry:
        """Makes a bucket.

        Its level is what has been refilled since this router became
        responsible, as it has granted nothing since.
        """
        is_owner = self._view.is_owner(claim.customer)
        limit = self._limits().get(claim.customer, claim.limit)
        terms = bucket.terms_of(limit, self._tolerance, self._view.fraction())
        known_s = self._view.responsible_s(claim.customer, self._known_since)
        level = terms.starting_level + terms.rate_per_s * known_s
        return _Entry(
            bucket.CustomerBucket(terms, level, now), limit, is_owner, now
        )

    def _apply(self, customer: str, entry: _Entry, now: float) -> None:
        limit = self._limits().get(customer, entry.limit)
        fraction = self._view.fraction()
        rate_fraction = fraction
        entry.is_owner = self._view.is_owner(customer)
        if not entry.is_owner:
            # The owner may be granting to others: each router that claims here
            # brings its equal share of the rate.
            claimants = entry.bucket.claimants(now)
            rate_fraction = min(fraction, claimants / self._view.count())
        entry.bucket.apply(
            bucket.terms_of(limit, self._tolerance, fraction, rate_fraction),
            now,
        )

    def _drop_oldest(self, now: float) -> None:
        """Forgets the bucket that was used least lately.

        What was granted from it is no longer known, so that other new buckets
        start with part of the slack only.
        """
        for customer in list(self._entries):
            if customer not in self._waiting:
                del self._entries[customer]
                self._known_since = now
                return

    def _reply(
        self,
        claim: messages.Claim,
        entry: _Entry,
        decision: bucket.Decision | None,
        reserve: float,
    ) -> messages.Reply:
        verdict = bucket.Verdict.GRANTED
        wait_s = 0.0
        if decision is not None:
            verdict, wait_s = decision.verdict, decision.wait_s
        return messages.Reply(
            claim.claim_id,
            claim.customer,
            verdict,
            wait_s,
            reserve,
            entry.bucket.share_per_s(self._now()),
        )

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._waiting:
            return
        now = self._now()
        due_s = min(
            self._entries[customer].bucket.next_due_s(now)
            for customer in self._waiting
        )
        due_s = min(const.TICK_S, max(const.MIN_WAKE_S, due_s))
        self._timer = asyncio.get_running_loop().call_later(due_s, self._wake)

    def _wake(self) -> None:
        """Grants what is due."""
        self._timer = None
        now = self._now()
        for customer in list(self._waiting):
            entry = self._entries.get(customer)
            if entry is None:
                self._waiting.discard(customer)
                continue
            for decision in entry.bucket.due(now):
                entry.unreported += decision.units
                send_reply = self._senders.pop(decision.key, None)
                if send_reply is not None:
                    send_reply(
                        messages.Reply(
                            decision.key[1], customer, decision.verdict
                        )
                    )
            if not entry.bucket.waiting_count:
                self._waiting.discard(customer)
        self._schedule()
