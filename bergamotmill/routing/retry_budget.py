"""A retry budget that keeps retries from amplifying an overload."""

from bergamotmill.routing import const
from bergamotmill.util import token_bucket


class RetryBudget:
    """Allows retries as a ratio of first attempts, plus a minimum rate."""

    def __init__(self, now: float):
        self._min_retries = token_bucket.TokenBucket(
            const.MIN_RETRIES_PER_S, const.MIN_RETRIES_PER_S, now
        )
        self._saved_retries = const.MAX_SAVED_RETRIES

    def record_first_attempt(self) -> None:
        """Adds RETRY_RATIO retries to the budget."""
        self._saved_retries = min(
            const.MAX_SAVED_RETRIES, self._saved_retries + const.RETRY_RATIO
        )

    def try_retry(self, now: float) -> bool:
        """Consumes one retry if the budget allows it."""
        if self._saved_retries >= 1.0:
            self._saved_retries -= 1.0
            return True
        return self._min_retries.try_take(1.0, now)
