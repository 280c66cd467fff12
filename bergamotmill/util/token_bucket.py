"""Token bucket; the caller passes the current time."""


class TokenBucket:
    """Allows `rate` units per second with bursts of up to `burst` units."""

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    @property
    def rate(self) -> float:
        """Refill rate in units per second."""
        return self._rate

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Changes the rate and keeps the current level, up to the new burst."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def try_take(self, units: float, now: float) -> bool:
        """Takes the units and returns True if the level is sufficient."""
        self._refill(now)
        if self._level < units:
            return False
        self._level -= units
        return True

    def refund(self, units: float) -> None:
        """Puts unused units back, up to the burst size."""
        self._level = min(self._burst, self._level + units)

    def seconds_until(self, units: float, now: float) -> float:
        """Returns the seconds until the units are available."""
        self._refill(now)
        missing = units - self._level
        if missing <= 0:
            return 0.0
        if self._rate <= 0:
            return float("inf")
        return missing / self._rate

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._level = min(self._burst, self._level + elapsed_s * self._rate)
        self._refilled_at = max(now, self._refilled_at)
