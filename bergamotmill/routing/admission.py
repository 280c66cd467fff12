"""Admission control: requests are served, queued or shed.

Queued requests are ordered by priority, then by start-time fair queueing
among customers, so that a large customer cannot starve a small one. A request
is shed on arrival when its class's queue is full or the predicted wait
exceeds its deadline. When too many requests wait in total, the one whose
class has the lowest worth is shed.
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
# Ratio of admitted requests to engine slots; above 1, so that the queues of
# the engines do not run empty.
SLOT_HEADROOM = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The refusal of a request that was not sent to any replica."""

    reason: str
    retry_after_s: float


class _Waiting:
    """A request that waits for a slot."""

    __slots__ = (
        "customer",
        "dequeued",
        "request_class",
        "slot_granted",
        "sort_key",
    )

    def __init__(self, customer, request_class, sort_key, slot_granted):
        self.customer = customer
        self.request_class = request_class
        self.sort_key = sort_key
        self.slot_granted = slot_granted
        self.dequeued = False

    def __lt__(self, other: "_Waiting") -> bool:
        return self.sort_key < other.sort_key


class Admission:
    """Grants slots to requests; `release` returns a slot."""

    def __init__(self, slots: int):
        self._slots = slots
        self._slots_in_use = 0
        self._queue: list[_Waiting] = []
        self._waiting_by_class: dict[str, int] = {}
        self._virtual_finish: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._mean_service_s = 1.0

    @property
    def slots_in_use(self) -> int:
        """The number of slots in use."""
        return self._slots_in_use

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return sum(self._waiting_by_class.values())

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots."""
        self._slots = max(1, slots)
        self._grant_free_slots()

    async def acquire(
        self,
        customer: core.Customer,
        request_class: core.RequestClass,
        cost: float,
        time_left_s: float,
    ) -> result.Result[None, Shed]:
        """Waits for a slot.

        Args:
            customer: the customer whose share is charged.
            request_class: the class that sets priority, worth and queue bound.
            cost: work of the request, in the same unit for all requests.
            time_left_s: seconds until the caller gives up.
        """
        if self._slots_in_use < self._slots and not self._queue:
            self._slots_in_use += 1
            self._charge_share(customer, cost)
            return result.Ok(None)
        shed = self._check_queue(request_class, time_left_s)
        if shed is not None:
            return result.Err(shed)
        return await self._wait_for_slot(
            customer, request_class, cost, time_left_s
        )

    def release(self, seconds: float) -> None:
        """Returns a slot and records the request's service time in seconds."""
        self._slots_in_use -= 1
        self._mean_service_s += 0.05 * (seconds - self._mean_service_s)
        self._grant_free_slots()

    def predicted_wait_s(self, priority: int) -> float:
        """Returns the expected wait of a new request of this priority."""
        ahead = sum(
            1
            for waiter in self._queue
            if not waiter.dequeued and waiter.request_class.priority >= priority
        )
        return (ahead + 1) * self._mean_service_s / max(1, self._slots)

    def _check_queue(
        self, request_class: core.RequestClass, time_left_s: float
    ) -> Shed | None:
        wait = self.predicted_wait_s(request_class.priority)
        retry = min(MAX_RETRY_AFTER_S, max(0.5, wait))
        if wait > time_left_s:
            return Shed(SHED_DEADLINE, retry)
        if (
            self._waiting_by_class.get(request_class.name, 0)
            < request_class.queue
        ):
            return None
        return Shed(SHED_QUEUE_FULL, retry)

    async def _wait_for_slot(self, customer, request_class, cost, time_left_s):
        loop = asyncio.get_running_loop()
        self._sequence += 1
        start = self._charge_share(customer, cost)
        sort_key = (-request_class.priority, start, self._sequence)
        waiter = _Waiting(
            customer, request_class, sort_key, loop.create_future()
        )
        heapq.heappush(self._queue, waiter)
        name = request_class.name
        self._waiting_by_class[name] = self._waiting_by_class.get(name, 0) + 1
        self._shed_lowest_worth(request_class)
        try:
            async with asyncio.timeout(time_left_s):
                return await waiter.slot_granted
        except TimeoutError:
            self._return_unused_slot(waiter)
            return result.Err(Shed(SHED_DEADLINE, self._mean_service_s))
        except asyncio.CancelledError:
            self._return_unused_slot(waiter)
            raise
        finally:
            if not waiter.dequeued:
                waiter.dequeued = True
                self._waiting_by_class[waiter.request_class.name] -= 1

    def _return_unused_slot(self, waiter: _Waiting) -> None:
        """Returns a slot granted to a request that ends before it learns it."""
        future = waiter.slot_granted
        if future.done() and not future.cancelled() and future.result().is_ok():
            self._slots_in_use -= 1
            self._grant_free_slots()

    def _shed_lowest_worth(self, newest: core.RequestClass) -> None:
        """Sheds the request of lowest worth if over two wait for each slot."""
        if self.waiting <= self._slots * 2:
            return
        victims = [waiter for waiter in self._queue if not waiter.dequeued]
        victim = min(
            victims,
            key=lambda waiter: (
                waiter.request_class.worth,
                -waiter.sort_key[1],
                -waiter.sort_key[2],
            ),
        )
        self._shed_waiter(victim)

    def _shed_waiter(self, victim: _Waiting) -> None:
        victim.dequeued = True
        self._waiting_by_class[victim.request_class.name] -= 1
        if not victim.slot_granted.done():
            retry = min(
                MAX_RETRY_AFTER_S,
                self.predicted_wait_s(victim.request_class.priority),
            )
            victim.slot_granted.set_result(result.Err(Shed(SHED_WORTH, retry)))

    def _grant_free_slots(self) -> None:
        while self._queue and self._slots_in_use < self._slots:
            waiter = heapq.heappop(self._queue)
            if waiter.dequeued or waiter.slot_granted.done():
                continue
            waiter.dequeued = True
            self._waiting_by_class[waiter.request_class.name] -= 1
            self._virtual_time = max(self._virtual_time, waiter.sort_key[1])
            self._slots_in_use += 1
            waiter.slot_granted.set_result(result.Ok(None))

    def _charge_share(self, customer: core.Customer, cost: float) -> float:
        start = max(
            self._virtual_time, self._virtual_finish.get(customer.name, 0.0)
        )
        self._virtual_finish[customer.name] = start + cost / max(
            customer.share, 1e-6
        )
        if len(self._virtual_finish) > 4096:
            self._virtual_finish = {
                name: at
                for name, at in self._virtual_finish.items()
                if at > self._virtual_time
            }
        return start
