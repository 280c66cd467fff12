"""Monotonic, wall-clock and boot-time clocks."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Interface of the time sources that the program uses."""

    def monotonic(self) -> float:
        """Returns monotonic seconds."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""

    def boottime(self) -> float:
        """Returns monotonic seconds that include time in suspend."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    def boottime(self) -> float:
        """Returns monotonic seconds that include time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock:
    """Derives all three clocks from the time of the event loop."""

    def __init__(self, epoch: float = 1_700_000_000.0):
        self._epoch = epoch

    def monotonic(self) -> float:
        """Returns the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns a fixed epoch plus the loop's time, in seconds."""
        return self._epoch + self.monotonic()

    def boottime(self) -> float:
        """Returns the loop's time in seconds."""
        return self.monotonic()
