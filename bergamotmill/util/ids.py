"""Identifiers drawn from a given source of randomness."""

import random


class IdSource:
    """Gives identifiers of 128 random bits."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def new(self) -> str:
        """Returns 32 hexadecimal digits."""
        return f"{self._rng.getrandbits(128):032x}"
