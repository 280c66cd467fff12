"""A budget for retries, so that they cannot multiply an overload."""

from bergamotmill.routing import const
from bergamotmill.util import token_bucket


class RetryBudget:
    """Allows retries as a share of first attempts, and a small floor."""

    def __init__(self, now: float):
        self._floor = token_bucket.TokenBucket(
            const.RETRY_FLOOR_PER_S, const.RETRY_FLOOR_PER_S, now
        )
        self._saved = const.RETRY_BURST

    def record_first_attempt(self) -> None:
        """Earns a part of a retry."""
        self._saved = min(const.RETRY_BURST, self._saved + const.RETRY_RATIO)

    def try_retry(self, now: float) -> bool:
        """Takes one retry when the budget allows it."""
        if self._saved >= 1.0:
            self._saved -= 1.0
            return True
        return self._floor.try_take(1.0, now)
