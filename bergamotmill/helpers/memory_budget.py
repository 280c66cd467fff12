"""Bounds the memory of all bodies and connections that a process holds.

A body counts from before it is received until its request has ended, a response
until it has been written, and what connections buffer for slow peers until they
have taken it. Requests may use a part of the budget only, so that the responses
of those that were accepted still have room. A request or a response that has no
room waits for a short time, in order of arrival, or is refused before its body
is kept. Small ones may use a reserve that neither large ones nor slow peers
take.
"""

import asyncio
import collections
import dataclasses

MIB = 1024 * 1024
# Memory of a process without any bodies: the interpreter, libraries, state and
# connections.
BASE_BYTES = 64 * MIB
# The rest is used up to this fraction, as memory that was freed is not all
# reused.
USABLE_FRACTION = 0.8
# No budget is smaller than this.
MIN_BUDGET_BYTES = 8 * MIB
# Fraction of the budget that requests may use, and of that the part which is
# kept for small ones. These do not wait behind large ones.
REQUESTS_FRACTION = 0.7
SMALL_FRACTION = 0.15
SMALL_COST_BYTES = 64 * 1024
# What small requests and responses may use beyond the budget, relative to it.
# It comes out of what USABLE_FRACTION leaves.
SMALL_RESERVE_FRACTION = 0.05
# What essential bodies may use together, relative to the budget, and at least.
ESSENTIAL_FRACTION = 0.25
ESSENTIAL_MIN_BYTES = 12 * MIB
# A body is held twice while it is put together, or sent on.
COPIES = 2
# What a request needs besides its body.
REQUEST_OVERHEAD_BYTES = 8 * 1024
# Refused callers return after MIN_RETRY_AFTER_S, and up to RETRY_STEPS steps
# later, so that they do not return all at once.
MIN_RETRY_AFTER_S = 0.3
RETRY_STEP_S = 0.1
RETRY_STEPS = 12
# Memory of a process if the settings name none.
DEFAULT_MEMORY_BYTES = 150 * MIB


def budget_bytes(memory_bytes: int) -> int:
    """Returns the budget of a process that may use this much memory."""
    usable = int((memory_bytes - BASE_BYTES) * USABLE_FRACTION)
    return max(MIN_BUDGET_BYTES, usable)


def request_cost(body_bytes: int) -> int:
    """Returns the memory that a request needs, in bytes."""
    return REQUEST_OVERHEAD_BYTES + COPIES * body_bytes


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """A request or a response that waits for room."""

    cost: int
    granted: asyncio.Future[None]


class MemoryBudget:
    """The memory that bodies and connections use, and what waits for some."""

    def __init__(self, limit_bytes: int):
        """Makes a budget.

        Args:
            limit_bytes: memory for all bodies and connections together.
        """
        self._limit = limit_bytes
        self._used = 0
        self._requests_used = 0
        self._connections_used = 0
        self._essential_used = 0
        self._refusals = 0
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._response_waiters: collections.deque[_Waiter] = collections.deque()

    @property
    def limit_bytes(self) -> int:
        """Memory that may be in use."""
        return self._limit

    @property
    def used_bytes(self) -> int:
        """Memory in use."""
        return self._used

    @property
    def connections_bytes(self) -> int:
        """The part of the memory in use that connections buffer."""
        return self._connections_used

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for room."""
        return len(self._waiters)

    def retry_after_s(self) -> float:
        """Returns when a request that is refused now may return."""
        self._refusals += 1
        return MIN_RETRY_AFTER_S + RETRY_STEP_S * (self._refusals % RETRY_STEPS)

    def _requests_limit(self, cost: int) -> int:
        """Returns what requests may use together when one is taken."""
        limit = self._limit * REQUESTS_FRACTION
        if cost > SMALL_COST_BYTES:
            limit *= 1.0 - SMALL_FRACTION
        return int(limit)

    async def take_for_request(self, cost: int, max_wait_s: float) -> bool:
        """Takes memory for a request, waiting for room if necessary.

        A request that cannot have room in time does not wait: one that is
        larger than all the room there is, or that stands behind more than
        that.

        Returns:
            Whether it has been taken.
        """
        may_pass = not self._waiters or cost <= SMALL_COST_BYTES
        if may_pass and self._fits_request(cost):
            self._take_request(cost)
            return True
        ahead = sum(item.cost for item in self._waiters)
        if ahead + cost > self._requests_limit(cost):
            return False
        return await self._wait(self._waiters, cost, max_wait_s)

    async def _wait(
        self,
        waiters: collections.deque[_Waiter],
        cost: int,
        max_wait_s: float,
    ) -> bool:
        """Waits for room; returns whether it has been taken."""
        if max_wait_s <= 0:
            return False
        waiter = _Waiter(cost, asyncio.get_running_loop().create_future())
        waiters.append(waiter)
        try:
            await asyncio.wait({waiter.granted}, timeout=max_wait_s)
        except asyncio.CancelledError:
            if waiter.granted.done():
                self._give_back_for(waiters, cost)
            raise
        finally:
            if not waiter.granted.done():
                waiters.remove(waiter)
                self._grant()
        return waiter.granted.done()

    def _give_back_for(
        self, waiters: collections.deque[_Waiter], cost: int
    ) -> None:
        if waiters is self._waiters:
            self.give_back(cost)
        else:
            self.give_back_response(cost)

    def take_for_response(self, cost: int, small: bool = False) -> bool:
        """Takes memory for a response; False if there is none.

        Args:
            cost: memory to take.
            small: whether the whole response is small, so that it may use the
                reserve and does not wait behind others.
        """
        if not small and self._response_waiters:
            return False
        if self._used + cost > self._total_limit(small):
            return False
        self._used += cost
        return True

    def take_for_essential(self, cost: int, small: bool) -> bool:
        """Takes memory for a body that the process cannot do without.

        Other bodies do not delay it, but all of these together have a limit.

        Args:
            cost: memory to take.
            small: whether the whole body is small, so that it has no limit.

        Returns:
            Whether it has been taken.
        """
        limit = max(ESSENTIAL_MIN_BYTES, self._limit * ESSENTIAL_FRACTION)
        if not small and self._essential_used + cost > limit:
            return False
        self._essential_used += cost
        self._used += cost
        return True

    def give_back_essential(self, cost: int) -> None:
        """Returns memory that was taken for an essential body."""
        self._essential_used -= cost
        self.give_back_response(cost)

    async def wait_for_response(self, cost: int, max_wait_s: float) -> bool:
        """Takes memory for a response that had none, waiting for room.

        Returns:
            Whether it has been taken.
        """
        if cost > self._limit:
            return False
        return await self._wait(self._response_waiters, cost, max_wait_s)

    def give_back(self, cost: int) -> None:
        """Returns memory that was taken for a request."""
        self._requests_used -= cost
        self._used -= cost
        self._grant()

    def give_back_response(self, cost: int) -> None:
        """Returns memory that was taken for a response."""
        self._used -= cost
        self._grant()

    def set_connections_bytes(self, size: int) -> None:
        """Counts what connections buffer; this cannot be refused."""
        grown = size - self._connections_used
        self._connections_used = size
        self._used += grown
        if grown < 0:
            self._grant()

    def _total_limit(self, small: bool) -> float:
        return self._limit * (1.0 + SMALL_RESERVE_FRACTION * small)

    def _fits_request(self, cost: int) -> bool:
        limit = self._requests_limit(cost)
        if cost > SMALL_COST_BYTES:
            return self._used + cost <= limit
        return (
            self._requests_used + cost <= limit
            and self._used + cost <= self._total_limit(True)
        )

    def _take_request(self, cost: int) -> None:
        self._requests_used += cost
        self._used += cost

    def _grant(self) -> None:
        waiters = self._response_waiters
        while waiters and self._used + waiters[0].cost <= self._limit:
            waiter = waiters.popleft()
            self._used += waiter.cost
            waiter.granted.set_result(None)
        while self._waiters and self._fits_request(self._waiters[0].cost):
            waiter = self._waiters.popleft()
            self._take_request(waiter.cost)
            waiter.granted.set_result(None)
