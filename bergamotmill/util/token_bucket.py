"""A token bucket on an explicit clock."""


class TokenBucket:
    """Allows `rate` units a second and bursts up to `burst` units."""

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._updated = now

    @property
    def rate(self) -> float:
        """Units a second."""
        return self._rate

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Changes the rate, keeping what has been saved up."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def try_take(self, units: float, now: float) -> bool:
        """Takes units when there are enough."""
        self._refill(now)
        if self._level < units:
            return False
        self._level -= units
        return True

    def refund(self, units: float) -> None:
        """Returns units that were not used."""
        self._level = min(self._burst, self._level + units)

    def seconds_until(self, units: float, now: float) -> float:
        """Returns seconds until the units will be there."""
        self._refill(now)
        missing = units - self._level
        if missing <= 0:
            return 0.0
        if self._rate <= 0:
            return float("inf")
        return missing / self._rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._updated = max(now, self._updated)
