"""Event loop on virtual time, for tests and simulations.

When nothing is ready to run, the virtual time jumps to the next timer.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any

# More loop iterations than this without progress of virtual time are treated
# as an endless loop.
MAX_STALLED_ITERATIONS = 200_000
MIN_STEP_S = 1e-9


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self._stalled_iterations = 0

    def select(self, timeout=None):
        """Returns ready events, or advances virtual time by the timeout."""
        self._stalled_iterations += 1
        if self._stalled_iterations > MAX_STALLED_ITERATIONS:
            raise RuntimeError(
                f"virtual loop: time does not advance beyond {self.now_s} s"
            )
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError(
                "virtual loop: deadlock, no timer or event is pending"
            )
        if timeout > 0:
            # A smaller step could be lost to floating-point rounding.
            self.now_s += max(timeout, MIN_STEP_S)
            self._stalled_iterations = 0
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A selector event loop on virtual time."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_s


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to completion on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
