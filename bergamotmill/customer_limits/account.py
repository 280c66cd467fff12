"""What one router knows of one customer's limit; performs no I/O.

Times are those of a clock that runs during suspensions, in seconds.
"""

import math
import random

from bergamotmill.customer_limits import const
from bergamotmill.dispatch import config


class Account:
    """Reserve of one customer at one router, and when it may claim again.

    Attributes:
        limit: the limit in force.
        decider: router that decided last; empty for none.
        used_at: when the customer last sent a request.
        top_up_asked: whether a reply to a request for reserve is expected.
        queued: claims that wait at another router.
    """

    def __init__(self, limit: config.CustomerLimit, now: float):
        self.limit = limit
        self.decider = ""
        self.used_at = now
        self.top_up_asked = False
        self.queued = 0
        self._reserve = 0.0
        self._reserve_at = now
        self._paused_until = -math.inf
        self._room_at = -math.inf
        self._refused_at = -math.inf
        self._share_per_s = 0.0
        self._demand = 0.0
        self._requests = 0.0
        self._demand_at = now

    @property
    def reserve(self) -> float:
        """Units in reserve, also those that have expired."""
        return self._reserve

    def apply_limit(self, limit: config.CustomerLimit) -> None:
        """Applies another limit: a lower one to the reserve at once."""
        if limit.rate_per_s < self.limit.rate_per_s:
            self._reserve *= limit.rate_per_s / self.limit.rate_per_s
        elif limit.rate_per_s > self.limit.rate_per_s:
            self._paused_until = -math.inf
            self._room_at = -math.inf
        if limit.unit is not self.limit.unit:
            self._reserve = 0.0
        self._reserve = min(
            self._reserve, const.MAX_RESERVE_FRACTION * limit.burst
        )
        self.limit = limit

    def note_request(self, units: float, now: float) -> None:
        """Counts a request towards what the customer spends here."""
        self._decay(now)
        self._demand += units
        self._requests += 1.0
        self.used_at = now

    def wanted_reserve(self, now: float) -> float:
        """Returns the units that this router would like to hold."""
        self._decay(now)
        per_s = self._requests / const.DEMAND_MEMORY_S
        if per_s < const.RESERVE_MIN_REQUESTS_PER_S:
            return 0.0
        mean_units = self._demand / self._requests
        units_per_s = self._demand / const.DEMAND_MEMORY_S
        return max(mean_units, units_per_s * const.RESERVE_S)

    def is_low(self, now: float) -> bool:
        """Whether the reserve is worth topping up."""
        wanted = self.wanted_reserve(now)
        return self._reserve < const.TOP_UP_FRACTION * wanted

    def add_reserve(self, units: float, now: float) -> None:
        """Adds units that the owner granted."""
        if units > 0:
            self._reserve += units
            self._reserve_at = now

    def take(self, units: float, now: float) -> bool:
        """Takes the units of a request from the reserve, if they are there."""
        if self._reserve < units or self.has_expired(now):
            return False
        self._reserve -= units
        return True

    def has_expired(self, now: float) -> bool:
        """Whether the reserve is too old to be spent."""
        return self._reserve_at + const.RESERVE_LIFETIME_S <= now

    def drop_reserve(self) -> float:
        """Returns the units in reserve, and holds none any more."""
        units, self._reserve = self._reserve, 0.0
        return units

    def may_claim(self, now: float) -> bool:
        """Whether a claim is of use.

        It is not before the turn that the owner gave this router, nor while
        another claim waits and the customer has just been refused.
        """
        if now < self._paused_until:
            return False
        is_pressed = now < self._refused_at + const.MAX_PAUSE_S
        return not (self.queued and is_pressed)

    def note_refusal(
        self,
        wait_s: float,
        share_per_s: float,
        now: float,
        rng: random.Random,
    ) -> None:
        """Records that the owner will have units after a time."""
        pause_s = wait_s
        if wait_s > const.MAX_PAUSE_S:
            pause_s = const.MAX_PAUSE_S * rng.uniform(0.5, 1.0)
        self._refused_at = now
        self._paused_until = max(self._paused_until, now + pause_s)
        self._room_at = max(self._room_at, now + min(wait_s, const.MAX_RETRY_S))
        self._share_per_s = share_per_s

    def retry_after_s(
        self, units: float, time_left_s: float, now: float, rng: random.Random
    ) -> float:
        """Returns when a rejected request may be served, and counts it.

        Requests that were rejected before it come first. Beyond the time for
        which its caller can use a response, the return is spread at random.
        """
        room_at = max(now, self._room_at)
        wait_s = room_at - now
        useful_s = max(
            const.MIN_RETRY_S,
            min(const.MAX_RETRY_S, const.USEFUL_FRACTION * time_left_s),
        )
        if wait_s > useful_s:
            return rng.uniform(useful_s / 2, useful_s)
        if self._share_per_s > 0:
            self._room_at = room_at + units / self._share_per_s
        jitter = rng.uniform(1.0, 1.0 + const.RETRY_JITTER)
        return max(const.MIN_RETRY_S, wait_s) * jitter

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._demand_at)
        factor = math.exp(-elapsed_s / const.DEMAND_MEMORY_S)
        self._demand *= factor
        self._requests *= factor
        self._demand_at = now
