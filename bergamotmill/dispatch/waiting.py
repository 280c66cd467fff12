"""Which requests go at once, wait here, or are refused under load.

Engines take what they are sent into their batch at once, so that what waits
there delays all that comes after it. A request that would begin late anyway
therefore waits here, until an engine has room to spare, and those that can
still begin in time go before it.
"""

import asyncio
import dataclasses
import enum
import heapq
import itertools
import random

# A prediction must lie within this part of the target to count as in time.
ON_TIME_FRACTION = 0.9
# What is late already goes to engines with less than so much work waiting.
MAX_LATE_WAIT_S = 0.03
# What can never begin in time, for its size, waits for no more than this.
MAX_LARGE_PROMPT_WAIT_S = 0.1
# Nothing waits here for longer than this part of the time it has.
HOLD_FRACTION = 0.25
# A wait that is shorter than this is none.
MIN_HOLD_S = 0.001
# How many look again at each tick.
RELEASES_PER_TICK = 2
TICK_S = 0.04
TICK_JITTER_RATIO = 0.5


class Verdict(enum.Enum):
    """What is done with a request now."""

    GO = "go"
    HOLD = "hold"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What is predicted for a request at its best engine, in seconds.

    Attributes:
        wait_s: until work on it begins.
        prefill_s: work until its first byte.
        target_s: left until it counts as late; may be negative.
        time_left_s: left until its deadline.
        allowed_s: from its arrival to its deadline.
    """

    wait_s: float
    prefill_s: float
    target_s: float
    time_left_s: float
    time_limit_s: float


def admission_verdict(outlook: Outlook) -> Verdict:
    """Decides on a request that has not been sent anywhere."""
    first_byte_s = outlook.wait_s + outlook.prefill_s
    if first_byte_s <= ON_TIME_FRACTION * outlook.target_s:
        return Verdict.GO
    spare_s = MAX_LATE_WAIT_S
    if outlook.prefill_s > ON_TIME_FRACTION * outlook.target_s:
        spare_s = MAX_LARGE_PROMPT_WAIT_S
    if outlook.wait_s <= spare_s and first_byte_s < outlook.time_left_s:
        return Verdict.GO
    if hold_time_left_s(outlook) < MIN_HOLD_S:
        return Verdict.REFUSE
    return Verdict.HOLD


def hold_time_left_s(outlook: Outlook) -> float:
    """Returns for how long a request may still wait here."""
    waited_s = outlook.time_limit_s - outlook.time_left_s
    return HOLD_FRACTION * outlook.time_limit_s - waited_s


class AdmissionQueue:
    """Requests that wait here; the most urgent and oldest try first.

    A few at a time look again, so that those which find room are not
    followed by others that saw the same room.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._heap: list[tuple[int, float, int, asyncio.Future[None]]] = []
        self._order = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap)

    async def wait(self, priority: int, since: float, limit_s: float) -> None:
        """Waits for a turn to look again, for no longer than the limit."""
        turn = asyncio.get_running_loop().create_future()
        entry = (priority, since, next(self._order), turn)
        heapq.heappush(self._heap, entry)
        self._arm()
        await asyncio.wait({turn}, timeout=max(0.0, limit_s))
        turn.cancel()

    def _arm(self) -> None:
        if self._timer is not None or not self._heap:
            return
        pause = TICK_S * self._rng.uniform(
            1 - TICK_JITTER_RATIO, 1 + TICK_JITTER_RATIO
        )
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause, self._tick)

    def _tick(self) -> None:
        """Lets the first few look again."""
        self._timer = None
        left = RELEASES_PER_TICK
        while self._heap and left:
            *_, turn = heapq.heappop(self._heap)
            if not turn.done():
                turn.set_result(None)
                left -= 1
        self._arm()

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()
