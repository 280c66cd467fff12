"""Decides which requests are sent, held here or refused under load.

An engine adds every request to its batch on arrival, so work queued there
delays everything sent later. A request that would begin late anyway is
therefore held in the router until an engine is nearly idle, and requests that
can still begin in time are sent before it.
"""

import asyncio
import dataclasses
import enum
import heapq
import itertools
import random

# A first byte counts as in time when it is predicted within this fraction of
# the target.
ON_TIME_FRACTION = 0.9
# A request that is late anyway is sent only where the predicted wait is at most
# this long.
MAX_LATE_WAIT_S = 0.03
# The same limit for a prompt so large that its prefill alone exceeds the
# target, so that it is not starved.
MAX_LARGE_PROMPT_WAIT_S = 0.1
# A prompt whose prefill takes more than this fraction of its target is large.
# Under lasting load engines never run out of work, and a large prompt would
# never be sent: where the wait is known, it is sent after the same wait as a
# prompt that takes TYPICAL_PREFILL_FRACTION of the target.
LARGE_PREFILL_FRACTION = 0.5
TYPICAL_PREFILL_FRACTION = 0.5
# No request is held for longer than this fraction of its time limit.
HOLD_FRACTION = 0.25
# A request that may be held for less than this is refused at once.
MIN_HOLD_S = 0.001
# Number of held requests that are reconsidered at each tick.
RELEASES_PER_TICK = 2
TICK_S = 0.04
TICK_JITTER_RATIO = 0.5


class Verdict(enum.Enum):
    """Whether a request is sent now, held here or refused."""

    GO = "go"
    HOLD = "hold"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """The prediction for a request at its best engine, in seconds.

    Attributes:
        wait_s: predicted time until work on the request begins.
        prefill_s: predicted work until its first byte.
        target_s: time left until it counts as late; may be negative.
        time_left_s: time left until its deadline.
        time_limit_s: time from its arrival to its deadline.
    """

    wait_s: float
    prefill_s: float
    target_s: float
    time_left_s: float
    time_limit_s: float


def is_on_time(first_byte_s: float, target_s: float) -> bool:
    """Whether a first byte predicted after a time counts as in time."""
    return first_byte_s <= ON_TIME_FRACTION * target_s


def admission_verdict(outlook: Outlook, is_known: bool = False) -> Verdict:
    """Decides on a request that has not been sent to any engine.

    Args:
        outlook: the prediction for the request.
        is_known: whether the predicted wait follows from records of all work,
            and not from assumptions about what other routers send.
    """
    first_byte_s = outlook.wait_s + outlook.prefill_s
    if is_on_time(first_byte_s, outlook.target_s):
        return Verdict.GO
    max_wait_s = MAX_LATE_WAIT_S
    if outlook.prefill_s > ON_TIME_FRACTION * outlook.target_s:
        max_wait_s = MAX_LARGE_PROMPT_WAIT_S
    is_large = outlook.prefill_s > LARGE_PREFILL_FRACTION * outlook.target_s
    if is_known and is_large:
        typical_s = TYPICAL_PREFILL_FRACTION * outlook.target_s
        max_wait_s = max(
            max_wait_s, ON_TIME_FRACTION * outlook.target_s - typical_s
        )
    if outlook.wait_s <= max_wait_s and first_byte_s < outlook.time_left_s:
        return Verdict.GO
    hold_left_s = hold_time_left_s(outlook)
    if hold_left_s < MIN_HOLD_S:
        return Verdict.REFUSE
    # No engine will have run out of work by the time it has to be refused.
    if is_known and outlook.wait_s - hold_left_s > max_wait_s:
        return Verdict.REFUSE
    return Verdict.HOLD


def pause_verdict(pause_s: float, hold_left_s: float) -> Verdict:
    """Decides on a request while all upstreams want nothing from this router.

    Args:
        pause_s: time until the first of them accepts requests again; 0 if
            there is no such time.
        hold_left_s: for how much longer the request may be held.
    """
    if 0 < pause_s < hold_left_s:
        return Verdict.HOLD
    return Verdict.REFUSE


def hold_time_left_s(outlook: Outlook) -> float:
    """Returns for how many seconds a request may still be held."""
    waited_s = outlook.time_limit_s - outlook.time_left_s
    return hold_limit_s(outlook.time_limit_s, waited_s)


def hold_limit_s(time_limit_s: float, waited_s: float) -> float:
    """Returns for how many seconds a request that waited may still be held."""
    return HOLD_FRACTION * time_limit_s - waited_s


def allowance_wait_limit_s(outlook: Outlook) -> float:
    """Returns for how long a request waits for an upstream's allowance.

    Where it can still begin in time, no longer than that: what waits longer
    than necessary is served late, and makes those behind it late as well.
    """
    hold_left_s = max(0.0, hold_time_left_s(outlook))
    on_time_s = ON_TIME_FRACTION * outlook.target_s - (
        outlook.wait_s + outlook.prefill_s
    )
    return min(hold_left_s, on_time_s) if on_time_s > 0 else hold_left_s


class AdmissionQueue:
    """The requests held in this router, by priority and then by deadline.

    Of two requests with the same time limit, the one that first came has the
    earlier deadline, also if it was refused and came back.

    Only a few are reconsidered at each tick: otherwise many would see the
    same idle engine and all be sent there.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._heap: list[tuple[int, float, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap)

    async def wait(
        self, priority: int, deadline: float, timeout_s: float
    ) -> None:
        """Waits until the request is to be reconsidered, or for timeout_s."""
        released = asyncio.get_running_loop().create_future()
        entry = (priority, deadline, next(self._sequence), released)
        heapq.heappush(self._heap, entry)
        self._start_timer()
        await asyncio.wait({released}, timeout=max(0.0, timeout_s))
        released.cancel()

    def _start_timer(self) -> None:
        if self._timer is not None or not self._heap:
            return
        pause_s = TICK_S * self._rng.uniform(
            1 - TICK_JITTER_RATIO, 1 + TICK_JITTER_RATIO
        )
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._tick)

    def _tick(self) -> None:
        """Releases the first few held requests to be reconsidered."""
        self._timer = None
        remaining = RELEASES_PER_TICK
        while self._heap and remaining:
            *_, released = heapq.heappop(self._heap)
            if not released.done():
                released.set_result(None)
                remaining -= 1
        self._start_timer()

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()
