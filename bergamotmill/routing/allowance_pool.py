"""Hands out the requests that one upstream takes; performs no I/O.

An upstream names the requests per second that it takes from all routers
together. Each router is entitled to an equal share of them, and delegates it
for a short time to the router that hands out the allowance, one at a time. A
pool spends only the shares that are delegated to it, so that the pools of
routers that cannot reach each other never add up to more than the limit.

Load pattern: more requests than allowed. Each priority is granted about the
same fraction of its claims, so that none starves. Then those whose customer was
granted least lately go first, and among these the more urgent ones, those of
higher worth, and those of earlier deadline. Claims that cannot be granted in
time are refused at once. One that waits is overtaken only as long as it can
still be granted in time, unless the other's priority or customer was granted
far less: a request that has waited in vain is late elsewhere as well.
"""

from collections.abc import Hashable, Iterator, Mapping
import dataclasses
import enum
import math

from bergamotmill.util import token_bucket

# Fraction of a limit that is handed out; the rest is a reserve for requests
# that arrive closer together than they were sent.
USED_FRACTION = 0.9
# Allowance of this time may be used at once, at least one request and at most
# one for each router.
BURST_S = 0.2
MAX_WAITING = 256
# Time for which a grant is remembered, in case its reply was lost.
GRANT_MEMORY_S = 2.0
# Time constant with which claims and grants are forgotten, and the number of
# customers, or priorities, whose counts are kept.
COUNT_MEMORY_S = 10.0
MAX_COUNTS = 256
# A priority of which a smaller fraction of claims is granted than this,
# relative to all claims, may make others wait in vain. So may a customer that
# was granted some requests less lately.
UNFAIR_RATIO = 0.9
UNFAIR_GRANTS_STEP = 4

# Key of the counts over all priorities.
_ALL = "all"

Key = tuple[str, int]


class Verdict(enum.Enum):
    """What a pool decides on a claim."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A request for which a router claims allowance.

    Attributes:
        sender: name of the router.
        claim_id: unique among the claims of a sender.
        wait_until: when it can no longer wait, on the clock of the pool.
        priority: rank; 0 is the most urgent.
        worth: business value of the request.
        deadline: its caller's deadline, on the clock of the pool.
        customer: whose request it is; empty for none.
    """

    sender: str
    claim_id: int
    wait_until: float
    priority: int = 0
    worth: float = 1.0
    deadline: float = 0.0
    customer: str = ""

    @property
    def key(self) -> Key:
        """Identifies the claim among those of all routers."""
        return self.sender, self.claim_id


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on a claim.

    Attributes:
        wait_s: time until the allowance is there for this request or, if it
            is granted, for another one; infinite if it never is.
    """

    key: Key
    verdict: Verdict
    wait_s: float


class _RecentCounts:
    """How often something happened lately, by key."""

    def __init__(self) -> None:
        self._counts: dict[Hashable, tuple[float, float]] = {}

    def value(self, key: Hashable, now: float) -> float:
        """Returns the count of a key, which fades with time."""
        count, at = self._counts.get(key, (0.0, now))
        return count * math.exp(-max(0.0, now - at) / COUNT_MEMORY_S)

    def record(self, key: Hashable, now: float) -> None:
        """Adds one to the count of a key."""
        count = self.value(key, now) + 1.0
        self._counts.pop(key, None)
        self._counts[key] = (count, now)
        if len(self._counts) > MAX_COUNTS:
            del self._counts[next(iter(self._counts))]


class AllowancePool:
    """The allowance of one upstream at the router that hands it out."""

    def __init__(self, now: float):
        """Makes a pool without allowance and without delegated shares."""
        self._bucket = token_bucket.TokenBucket(0.0, 1.0, now)
        # A predecessor may just have granted a request.
        self._bucket.try_take(1.0, now)
        self._limit_per_s = 0.0
        self._delegated_until: dict[str, float] = {}
        self._waiting: dict[Key, Claim] = {}
        # Claims that do not overtake others of their rank.
        self._yielding: set[Key] = set()
        self._granted: dict[Key, float] = {}
        self._claims_by_priority = _RecentCounts()
        self._grants_by_priority = _RecentCounts()
        self._grants_by_customer = _RecentCounts()

    @property
    def waiting_count(self) -> int:
        """Number of claims that wait."""
        return len(self._waiting)

    @property
    def rate_per_s(self) -> float:
        """Requests per second that are handed out now."""
        return self._bucket.rate

    @property
    def delegated_until(self) -> Mapping[str, float]:
        """When each delegated share expires, by router."""
        return self._delegated_until

    def delegate(self, router: str, until: float) -> None:
        """Adds a router's share until a time."""
        self._delegated_until[router] = until

    def refresh(self, limit_per_s: float, routers: int, now: float) -> None:
        """Applies the limit in force and the shares that are delegated.

        Args:
            limit_per_s: the limit that the upstream names.
            routers: number of routers that share it.
            now: present time.
        """
        for router, until in list(self._delegated_until.items()):
            if until <= now:
                del self._delegated_until[router]
        for key, granted_at in list(self._granted.items()):
            if granted_at + GRANT_MEMORY_S > now:
                break
            del self._granted[key]
        share = min(1.0, len(self._delegated_until) / max(1, routers))
        rate_per_s = USED_FRACTION * limit_per_s * share
        burst = min(float(max(1, routers)), max(1.0, rate_per_s * BURST_S))
        self._bucket.set_rate(rate_per_s, burst, now)

    def submit(self, claim: Claim, now: float) -> Decision:
        """Decides on a claim; a repeated claim keeps its place."""
        if claim.key in self._granted:
            return self._grant_decision(claim.key, now)
        known = claim.key in self._waiting
        if not known:
            self._claims_by_priority.record(claim.priority, now)
            self._claims_by_priority.record(_ALL, now)
        self._waiting[claim.key] = claim
        if not known and self._makes_late(claim, now):
            self._yielding.add(claim.key)
        position = self._in_order(now).index(claim)
        wait_s = self._bucket.seconds_until(position + 1.0, now)
        if position == 0 and wait_s <= 0:
            return self._grant(claim, now)
        has_room = known or len(self._waiting) <= MAX_WAITING
        if has_room and now + wait_s <= claim.wait_until:
            return Decision(claim.key, Verdict.QUEUED, wait_s)
        self._forget(claim.key)
        return Decision(claim.key, Verdict.REFUSED, wait_s)

    def _forget(self, key: Key) -> bool:
        """Forgets a waiting claim; False if there is none."""
        self._yielding.discard(key)
        return self._waiting.pop(key, None) is not None

    def withdraw(self, key: Key) -> None:
        """Forgets a claim; allowance that it was granted returns."""
        if not self._forget(key) and self._granted.pop(key, None) is not None:
            self._bucket.refund(1.0)

    def take(self, now: float) -> bool:
        """Takes one request for this router's own use, if there is one."""
        return not self._waiting and self._bucket.try_take(1.0, now)

    def due(self, now: float) -> Iterator[Decision]:
        """Yields the grants that are due, and refuses what cannot wait."""
        position = 0
        for claim in self._in_order(now):
            wait_s = self._bucket.seconds_until(position + 1.0, now)
            if position == 0 and wait_s <= 0:
                yield self._grant(claim, now)
            elif now + wait_s > claim.wait_until:
                self._forget(claim.key)
                yield Decision(claim.key, Verdict.REFUSED, wait_s)
            else:
                position += 1

    def grant_all(self) -> Iterator[Decision]:
        """Yields grants for all claims, as the limit has ended."""
        for key in list(self._waiting):
            self._forget(key)
            yield Decision(key, Verdict.GRANTED, 0.0)

    def next_due_s(self, now: float) -> float:
        """Returns when a claim can be granted; infinite if none waits."""
        if not self._waiting:
            return math.inf
        return self._bucket.seconds_until(1.0, now)

    def _in_order(self, now: float) -> list[Claim]:
        """Returns the waiting claims, those that go first at the front."""
        ranks = {
            claim.key: self._rank(claim, now)
            for claim in self._waiting.values()
        }
        return sorted(
            self._waiting.values(),
            key=lambda claim: (
                *ranks[claim.key],
                claim.key in self._yielding,
                *self._preference(claim, now),
            ),
        )

    def _rank(self, claim: Claim, now: float) -> tuple[float, float]:
        """Returns what decides even if others wait in vain; least first."""
        ratio = self._granted_ratio(claim.priority, now)
        grants = self._grants_by_customer.value(claim.customer, now)
        return (ratio >= UNFAIR_RATIO, grants // UNFAIR_GRANTS_STEP)

    def _preference(self, claim: Claim, now: float) -> tuple[float, ...]:
        """Returns what decides among claims of one rank; least first."""
        return (
            round(self._granted_ratio(claim.priority, now), 1),
            round(self._grants_by_customer.value(claim.customer, now)),
            claim.priority,
            # Worth counts by its order of magnitude, so that among similar
            # requests the deadline decides.
            -math.frexp(claim.worth)[1],
            claim.deadline,
        )

    def _makes_late(self, claim: Claim, now: float) -> bool:
        """Whether a new claim makes others of its rank wait in vain."""
        rank = self._rank(claim, now)
        order = self._in_order(now)
        first_behind = order.index(claim) + 1
        return any(
            now + self._bucket.seconds_until(index + 1.0, now)
            > other.wait_until
            for index, other in enumerate(order[first_behind:], first_behind)
            if self._rank(other, now) == rank
        )

    def _granted_ratio(self, priority: int, now: float) -> float:
        """Returns a priority's granted fraction, relative to all claims."""
        grants = self._grants_by_priority.value(_ALL, now)
        claims = self._claims_by_priority.value(_ALL, now)
        own_grants = self._grants_by_priority.value(priority, now)
        own_claims = self._claims_by_priority.value(priority, now)
        if grants < 1.0 or own_claims < 1.0:
            return 1.0
        return (own_grants / own_claims) / (grants / claims)

    def _grant(self, claim: Claim, now: float) -> Decision:
        self._bucket.try_take(1.0, now)
        self._forget(claim.key)
        self._granted[claim.key] = now
        self._grants_by_priority.record(claim.priority, now)
        self._grants_by_priority.record(_ALL, now)
        self._grants_by_customer.record(claim.customer, now)
        return self._grant_decision(claim.key, now)

    def _grant_decision(self, key: Key, now: float) -> Decision:
        next_s = self._bucket.seconds_until(len(self._waiting) + 1.0, now)
        return Decision(key, Verdict.GRANTED, next_s)
