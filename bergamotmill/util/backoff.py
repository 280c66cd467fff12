"""Exponential backoff with jitter."""

import random


class Backoff:
    """Computes the delay before each retry.

    Args:
        first_s: initial delay in seconds.
        max_s: upper limit of the delay in seconds.
        rng: source of the jitter.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random):
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._failures = 0

    def next_delay(self) -> float:
        """Returns the next delay in seconds and counts one more failure.

        The delay is uniform between half the first delay and a ceiling that
        doubles with each failure.
        """
        ceiling_s = min(self._max_s, self._first_s * 2**self._failures)
        # The limit keeps the power of two within the range of a float.
        self._failures = min(self._failures + 1, 30)
        return self._rng.uniform(
            self._first_s / 2, max(ceiling_s, self._first_s)
        )

    def reset(self) -> None:
        """Restarts from the first delay after a success."""
        self._failures = 0
