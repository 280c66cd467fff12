"""Clocks: monotonic, wall, and one that counts suspension."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """What the rest of the program asks for the time."""

    def monotonic(self) -> float:
        """Returns seconds that never go back."""

    def wall(self) -> float:
        """Returns seconds since the epoch."""

    def boottime(self) -> float:
        """Returns monotonic seconds that also count suspension."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Returns seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    def boottime(self) -> float:
        """Returns monotonic seconds that also count suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock:
    """All three clocks read from the running event loop."""

    def __init__(self, epoch: float = 1_700_000_000.0):
        self._epoch = epoch

    def monotonic(self) -> float:
        """Returns the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns the loop's time after a fixed epoch, in seconds."""
        return self._epoch + self.monotonic()

    def boottime(self) -> float:
        """Returns the loop's time in seconds."""
        return self.monotonic()
