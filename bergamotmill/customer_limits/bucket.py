"""The units of one customer at the router that grants them; performs no I/O.

A token bucket from which routers claim what their requests cost. Each grant is
deducted at once, also that of a reserve that a router holds for later requests.
Times are those of a clock that runs during suspensions, in seconds.

A claim is granted as soon as the bucket is not overdrawn, so that large
requests are granted as often as small ones. The overdraft is bounded; what
costs more waits until the bucket holds the rest, or is full. Once such a
request has been refused, all others wait for the same level, so that small ones
do not keep the bucket from filling up.

Load pattern: a customer far above its limit. A refused router is given a turn,
a time at which units will be there for its request. Turns are as far apart as
the limit says, and a router claims again only at its turn, so that about every
second claim is granted.
"""

from collections.abc import Iterator
import dataclasses
import enum
import math

from bergamotmill.customer_limits import const
from bergamotmill.dispatch import config

Key = tuple[str, int]

# A level may be this fraction of a request below what was waited for.
ROUNDING = 1e-6


class Verdict(enum.Enum):
    """What a bucket decides on a claim."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much a limit may be exceeded, and in which window.

    Attributes:
        window_s: length of the window in seconds.
        excess: fraction of what the limit allows in a window.
        slack: further units, whatever the limit.
    """

    window_s: float
    excess: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """A limit as one bucket applies it, in units.

    Attributes:
        rate_per_s: refill rate.
        depth: most that the bucket holds.
        reserves: most that the reserves of all routers hold together.
        starting_level: level of a bucket whose predecessor is unknown.
        overdraft: by how much one grant may overdraw the bucket.
        may_overdraw_full: whether a full bucket grants a request of any size.
    """

    rate_per_s: float
    depth: float
    reserves: float
    starting_level: float
    overdraft: float
    may_overdraw_full: bool


def terms_of(
    limit: config.CustomerLimit,
    tolerance: Tolerance,
    fraction: float = 1.0,
    rate_fraction: float | None = None,
) -> Terms:
    """Returns how a bucket applies a limit.

    Args:
        limit: the limit of the customer.
        tolerance: by how much it may be exceeded.
        fraction: part of the fleet that the bucket serves, 0 to 1.
        rate_fraction: part of the rate that the bucket grants, if another
            router may grant from a bucket of the same customer as well.
    """
    if rate_fraction is None:
        rate_fraction = fraction
    excess = tolerance.excess * (
        limit.rate_per_s * tolerance.window_s + limit.burst
    )
    depth = max(limit.burst, const.MIN_DEPTH_EXCESS_FRACTION * excess)
    reserves = min(
        const.MAX_RESERVE_FRACTION * limit.burst,
        const.RESERVE_EXCESS_FRACTION * excess,
    )
    start = min(depth, const.STARTING_SLACK_FRACTION * tolerance.slack)
    return Terms(
        rate_per_s=limit.rate_per_s * rate_fraction,
        depth=max(depth * rate_fraction, start * fraction),
        reserves=reserves * rate_fraction,
        starting_level=start * fraction,
        overdraft=const.OVERDRAFT_SLACK_FRACTION * tolerance.slack * fraction,
        may_overdraw_full=fraction > const.OVERDRAFT_MIN_FRACTION,
    )


def own_share(limit: config.CustomerLimit, fraction: float) -> Terms:
    """Returns the terms of a router that reaches no owner: no burst."""
    rate_per_s = limit.rate_per_s * fraction
    return Terms(rate_per_s, 0.0, 0.0, 0.0, 0.0, False)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A request for which a router claims units.

    Attributes:
        router: name of the router.
        claim_id: unique among the claims of a router.
    """

    router: str
    claim_id: int
    units: float

    @property
    def key(self) -> Key:
        """Identifies the claim among those of all routers."""
        return self.router, self.claim_id


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on a claim.

    Attributes:
        units: what the request costs.
        wait_s: time until the units are there; infinite if they never are.
    """

    key: Key
    verdict: Verdict
    units: float
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Turn:
    """When a refused router may expect units, and how many."""

    due: float
    units: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Reserve:
    """What a router holds in reserve, and when it last said or got so."""

    units: float
    at: float


class CustomerBucket:
    """Grants the units of one customer."""

    def __init__(self, terms: Terms, level: float, now: float):
        """Makes a bucket with a level, which is capped at its depth."""
        self._terms = terms
        self._level = min(level, terms.depth)
        self._refilled_at = now
        self._waiting: dict[Key, Claim] = {}
        self._turns: dict[str, _Turn] = {}
        self._reserves: dict[str, _Reserve] = {}
        self._claimed_at: dict[str, float] = {}
        # Level that a refused request needs, and until when it is saved for.
        self._saved_for = 0.0
        self._saved_until = -math.inf

    @property
    def terms(self) -> Terms:
        """The terms in force."""
        return self._terms

    @property
    def waiting_count(self) -> int:
        """Number of claims that wait."""
        return len(self._waiting)

    @property
    def reserved(self) -> float:
        """Units that routers hold in reserve, as far as is known here."""
        return sum(reserve.units for reserve in self._reserves.values())

    def level(self, now: float) -> float:
        """Returns the units in the bucket; negative if it is overdrawn."""
        self._refill(now)
        return self._level

    def is_idle(self, now: float) -> bool:
        """Whether the bucket is as a new one would be that is full."""
        self._refill(now)
        self._expire(now)
        return (
            not self._waiting
            and not self._reserves
            and self._level >= self._terms.depth
        )

    def apply(self, terms: Terms, now: float) -> None:
        """Applies other terms from now on; a lower depth caps the level."""
        self._refill(now)
        self._terms = terms
        self._level = min(self._level, self._capacity(now))

    def claimants(self, now: float) -> int:
        """Returns the number of routers that claimed lately."""
        for router, at in list(self._claimed_at.items()):
            if at + const.CLAIMANT_MEMORY_S > now:
                break
            del self._claimed_at[router]
        return len(self._claimed_at)

    def note_claimant(self, router: str, now: float) -> None:
        """Counts a router among those that claim."""
        self._claimed_at.pop(router, None)
        self._claimed_at[router] = now

    def claim(self, claim: Claim, now: float) -> Decision:
        """Decides on a claim."""
        self._refill(now)
        self._expire(now)
        self.note_claimant(claim.router, now)
        turn = self._turns.pop(claim.router, None)
        turn_at = math.inf
        if turn is not None and turn.due <= now + const.TURN_EARLY_S:
            turn_at = turn.due
        needed = max(self._needed(claim.units), self._saved(now))
        promised = self._promised(turn_at)
        held_back = min(
            promised,
            const.MAX_HELD_BACK_FRACTION * self._terms.depth,
            max(0.0, self._capacity(now) - needed),
        )
        queued = sum(item.units for item in self._waiting.values())
        wait_s = self._seconds_until(needed + queued + held_back)
        if wait_s <= 0 and not self._waiting:
            return self._grant(claim)
        if wait_s <= const.MAX_WAIT_S:
            self._waiting[claim.key] = claim
            return Decision(claim.key, Verdict.QUEUED, claim.units, wait_s)
        wait_s = self._seconds_until(needed + queued + promised)
        self._give_turn(claim, wait_s, now)
        self._save_for(claim, now)
        return Decision(claim.key, Verdict.REFUSED, claim.units, wait_s)

    def due(self, now: float) -> Iterator[Decision]:
        """Yields the grants of waiting claims that are due, in order."""
        self._refill(now)
        for claim in list(self._waiting.values()):
            needed = max(self._needed(claim.units), self._saved(now))
            if needed - self._level > ROUNDING * claim.units:
                return
            del self._waiting[claim.key]
            yield self._grant(claim)

    def withdraw(self, key: Key) -> None:
        """Forgets a claim that waits."""
        self._waiting.pop(key, None)

    def next_due_s(self, now: float) -> float:
        """Returns the time until a claim is due; infinite if none waits."""
        self._refill(now)
        for claim in self._waiting.values():
            needed = max(self._needed(claim.units), self._saved(now))
            return self._seconds_until(needed)
        return math.inf

    def share_per_s(self, now: float) -> float:
        """Returns the units per second that one claiming router may expect."""
        return self._terms.rate_per_s / max(1, self.claimants(now))

    def top_up(
        self, router: str, held: float, wanted: float, now: float
    ) -> float:
        """Deducts units for the reserve of a router, and returns them.

        Args:
            router: name of the router.
            held: units that it holds.
            wanted: units that it would like to hold.
            now: present time.

        Returns:
            The units; 0 while claims need what the bucket holds.
        """
        self._refill(now)
        self._expire(now)
        self._reserves.pop(router, None)
        others = self.reserved
        units = 0.0
        if not self._waiting and not self._turns and not self._saved(now):
            units = min(
                wanted - held,
                self._terms.reserves - others - held,
                self._level - const.KEPT_FRACTION * self._terms.depth,
            )
        if units <= 0 or units < const.TOP_UP_FRACTION * wanted:
            units = 0.0
        self._level -= units
        if held + units > 0:
            self._reserves[router] = _Reserve(held + units, now)
        return units

    def give_back(self, units: float, now: float) -> None:
        """Returns units that were granted and have not been used.

        Args:
            units: the units; negative if another router has granted them in
                place of this one.
            now: present time.
        """
        self._refill(now)
        level = min(self._capacity(now), self._level + units)
        # A larger debt would refuse requests for longer than the window in
        # which the units count.
        lowest = -(self._terms.depth + self._terms.overdraft)
        self._level = max(level, min(lowest, self._level))

    def _grant(self, claim: Claim) -> Decision:
        self._level -= claim.units
        if self._needed(claim.units) >= self._saved_for:
            self._saved_for = 0.0
        return Decision(claim.key, Verdict.GRANTED, claim.units)

    def _needed(self, units: float) -> float:
        """Returns the level from which a request of this size is granted."""
        needed = max(0.0, units - self._terms.overdraft)
        if self._terms.may_overdraw_full:
            return min(needed, self._terms.depth)
        return needed

    def _saved(self, now: float) -> float:
        """Returns the level that all requests wait for; 0 for none."""
        if now >= self._saved_until:
            return 0.0
        if self._terms.may_overdraw_full:
            return min(self._saved_for, self._terms.depth)
        return self._saved_for

    def _save_for(self, claim: Claim, now: float) -> None:
        needed = self._needed(claim.units)
        if needed <= 0 or self._terms.rate_per_s <= 0:
            return
        self._saved_for = max(needed, self._saved(now))
        fill_s = self._saved_for / self._terms.rate_per_s
        self._saved_until = now + fill_s + const.MAX_PAUSE_S

    def _capacity(self, now: float) -> float:
        return max(self._terms.depth, self._saved(now))

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._level = min(
            self._capacity(now),
            self._level + elapsed_s * self._terms.rate_per_s,
        )

    def _seconds_until(self, level: float) -> float:
        missing = level - self._level
        if missing <= 0:
            return 0.0
        if self._terms.rate_per_s <= 0:
            return math.inf
        return missing / self._terms.rate_per_s

    def _promised(self, before: float) -> float:
        """Returns the units of turns that come before a time."""
        return sum(
            turn.units for turn in self._turns.values() if turn.due < before
        )

    def _give_turn(self, claim: Claim, wait_s: float, now: float) -> None:
        if wait_s <= const.MAX_PAUSE_S and len(self._turns) < const.MAX_TURNS:
            self._turns[claim.router] = _Turn(now + wait_s, claim.units)

    def _expire(self, now: float) -> None:
        """Forgets turns that were not taken, and reserves that have lapsed."""
        for router, turn in list(self._turns.items()):
            if turn.due + const.TURN_GRACE_S <= now:
                del self._turns[router]
        lifetime_s = const.RESERVE_LIFETIME_S + const.RESERVE_MARGIN_S
        for router, reserve in list(self._reserves.items()):
            if reserve.at + lifetime_s <= now:
                del self._reserves[router]
