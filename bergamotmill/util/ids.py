"""Generates random identifiers."""

import random


class IdSource:
    """Generates 128-bit identifiers from a given random source."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def new(self) -> str:
        """Returns a new identifier of 32 hexadecimal digits."""
        return f"{self._rng.getrandbits(128):032x}"
