"""Exponential backoff with full jitter."""

import random


class Backoff:
    """Gives the next pause after a failure."""

    def __init__(self, first: float, last: float, rng: random.Random):
        self._first = first
        self._last = last
        self._rng = rng
        self._failures = 0

    def next_delay(self) -> float:
        """Returns seconds to wait, drawn from a growing range."""
        ceiling = min(self._last, self._first * 2**self._failures)
        self._failures = min(self._failures + 1, 30)
        return self._rng.uniform(self._first / 2, max(ceiling, self._first))

    def reset(self) -> None:
        """Starts again from the first pause."""
        self._failures = 0
