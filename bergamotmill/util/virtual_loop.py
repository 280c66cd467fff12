"""An event loop whose time jumps to the next timer when nothing is ready."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any

# So many rounds of the loop without time passing are taken as endless.
STANDSTILL_ROUNDS = 200_000
SMALLEST_STEP_S = 1e-9


class _JumpingSelector(selectors.DefaultSelector):
    """Returns at once and reports how long it should have waited."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._rounds = 0

    def select(self, timeout=None):
        """Advances the virtual time by the timeout when idle."""
        self._rounds += 1
        if self._rounds > STANDSTILL_ROUNDS:
            raise RuntimeError(f"virtual loop: time stands still at {self.now}")
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("virtual loop: nothing left to wait for")
        if timeout > 0:
            # Less than this would be lost in rounding.
            self.now += max(timeout, SMALLEST_STEP_S)
            self._rounds = 0
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A selector loop on virtual time."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._jumping.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to its end on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
