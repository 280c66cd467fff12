"""Which requests are served now, which wait, and which are refused.

Requests that wait are ordered by priority, then by each customer's use of
its fair share (start-time fair queueing), so that a large customer cannot
starve a small one. A full queue, or a predicted wait that the deadline does
not allow, sheds the requests that are worth least.
"""

import asyncio
import dataclasses
import heapq

import result

from bergamotmill import core

SHED_DEADLINE = "deadline"
SHED_QUEUE_FULL = "queue_full"
SHED_WORTH = "worth"
MAX_RETRY_AFTER_S = 30.0
# Places beyond the engines' own slots, so that their queues never run dry.
SLOT_HEADROOM = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """A refusal before anything was sent."""

    reason: str
    retry_after_s: float


class _Waiting:
    """One request that waits for a place."""

    __slots__ = ("customer", "gone", "key", "place", "request_class")

    def __init__(self, customer, request_class, key, place):
        self.customer = customer
        self.request_class = request_class
        self.key = key
        self.place = place
        self.gone = False

    def __lt__(self, other: "_Waiting") -> bool:
        return self.key < other.key


class Admission:
    """Gives places to requests; a place is given back with `leave`."""

    def __init__(self, slots: int):
        self._places = slots
        self._busy = 0
        self._queue: list[_Waiting] = []
        self._waiting: dict[str, int] = {}
        self._finish: dict[str, float] = {}
        self._virtual = 0.0
        self._sequence = 0
        self._service_s = 1.0

    @property
    def slots_in_use(self) -> int:
        """Places taken."""
        return self._busy

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(self._waiting.values())

    def set_slots(self, slots: int) -> None:
        """Changes the number of places."""
        self._places = max(1, slots)
        self._fill()

    async def acquire(
        self,
        customer: core.Customer,
        request_class: core.RequestClass,
        cost: float,
        time_left_s: float,
    ) -> result.Result[None, Shed]:
        """Waits for a place.

        Args:
            customer: whose share is charged.
            request_class: gives priority, worth and queue bound.
            cost: work of the request in any unit, the same for all.
            time_left_s: how long the caller will wait.
        """
        if self._busy < self._places and not self._queue:
            self._busy += 1
            self._charge(customer, cost)
            return result.Ok(None)
        shed = self._shed(request_class, time_left_s)
        if shed is not None:
            return result.Err(shed)
        return await self._wait(customer, request_class, cost, time_left_s)

    def release(self, seconds: float) -> None:
        """Gives a place back after the request's service time."""
        self._busy -= 1
        self._service_s += 0.05 * (seconds - self._service_s)
        self._fill()

    def predicted_wait(self, priority: int) -> float:
        """Returns how long a newcomer of this priority would wait."""
        ahead = sum(
            1
            for item in self._queue
            if not item.gone and item.request_class.priority >= priority
        )
        return (ahead + 1) * self._service_s / max(1, self._places)

    def _shed(
        self, request_class: core.RequestClass, time_left_s: float
    ) -> Shed | None:
        wait = self.predicted_wait(request_class.priority)
        retry = min(MAX_RETRY_AFTER_S, max(0.5, wait))
        if wait > time_left_s:
            return Shed(SHED_DEADLINE, retry)
        if self._waiting.get(request_class.name, 0) < request_class.queue:
            return None
        return Shed(SHED_QUEUE_FULL, retry)

    async def _wait(self, customer, request_class, cost, time_left_s):
        loop = asyncio.get_running_loop()
        self._sequence += 1
        start = self._charge(customer, cost)
        key = (-request_class.priority, start, self._sequence)
        item = _Waiting(customer, request_class, key, loop.create_future())
        heapq.heappush(self._queue, item)
        name = request_class.name
        self._waiting[name] = self._waiting.get(name, 0) + 1
        self._make_room(request_class)
        try:
            async with asyncio.timeout(time_left_s):
                return await item.place
        except TimeoutError:
            return result.Err(Shed(SHED_DEADLINE, self._service_s))
        finally:
            self._settle(item)

    def _settle(self, item: _Waiting) -> None:
        if not item.gone:
            item.gone = True
            self._waiting[item.request_class.name] -= 1
            return
        # The place was given but the waiter was cancelled meanwhile.
        if item.place.cancelled():
            self._busy -= 1
            self._fill()

    def _make_room(self, newest: core.RequestClass) -> None:
        """Sheds the least worthy when the waiting exceed all places."""
        if self.waiting <= self._places * 2:
            return
        victims = [item for item in self._queue if not item.gone]
        victim = min(
            victims,
            key=lambda item: (
                item.request_class.worth,
                -item.key[1],
                -item.key[2],
            ),
        )
        self._drop(victim)

    def _drop(self, victim: _Waiting) -> None:
        victim.gone = True
        self._waiting[victim.request_class.name] -= 1
        if not victim.place.done():
            retry = min(
                MAX_RETRY_AFTER_S,
                self.predicted_wait(victim.request_class.priority),
            )
            victim.place.set_result(result.Err(Shed(SHED_WORTH, retry)))

    def _fill(self) -> None:
        while self._queue and self._busy < self._places:
            item = heapq.heappop(self._queue)
            if item.gone or item.place.done():
                continue
            item.gone = True
            self._waiting[item.request_class.name] -= 1
            self._virtual = max(self._virtual, item.key[1])
            self._busy += 1
            item.place.set_result(result.Ok(None))

    def _charge(self, customer: core.Customer, cost: float) -> float:
        start = max(self._virtual, self._finish.get(customer.name, 0.0))
        self._finish[customer.name] = start + cost / max(customer.share, 1e-6)
        if len(self._finish) > 4096:
            self._finish = {
                name: at
                for name, at in self._finish.items()
                if at > self._virtual
            }
        return start
