"""Brings the engines to the named weights, a few at a time.

One router holds the lease and gives the orders. Each order goes to an engine
whose account of itself was read just before, and carries the count of orders
in it: an order that is carried out late then finds that the count differs.
Superseded versions are skipped, as only the newest is ever ordered.
"""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses
import enum
import random
from typing import Protocol

import result

from bergamotmill.control import holder as fencing_holder
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import decisions
from bergamotmill.util import clock as clocks
from bergamotmill.util import tasks as background

# An engine loads at full speed while no more than this part of them do so.
LOADING_PART = 0.4
REPORT_PERIOD_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAccount:
    """What an engine says of orders.

    Attributes:
        orders: how many it has accepted since its start.
        busy: whether one is being carried out.
    """

    weights: Mapping[str, int]
    orders: int
    busy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Take these weights, provided that `orders` were accepted before."""

    upstream: str
    address: str
    model: str
    version: int
    fencing: int
    orders: int


class OrderAnswer(enum.Enum):
    """What an engine says to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER = "other"
    NONE = "no_answer"


class OrderLink(Protocol):
    """Talks to engines about orders."""

    async def account(
        self, entry: upstreams.UpstreamEntry
    ) -> result.Result[EngineAccount, str]:
        """Reads an engine's account of itself."""

    async def order(self, order: WeightsOrder) -> OrderAnswer:
        """Gives an order."""


def loading_limit(engines: int) -> int:
    """Returns how many engines may load at once."""
    return max(1, int(LOADING_PART * engines))


def next_engines(
    known: Mapping[str, upstreams.Upstream],
    named: Mapping[str, int],
    under_way: set[str],
) -> list[tuple[upstreams.Upstream, str, int]]:
    """Returns which engines are due for which version, the idlest first."""
    due = []
    engines: dict[str, int] = {}
    loading: dict[str, int] = {}
    for name, item in sorted(known.items()):
        if item.entry.state is not upstreams.UpstreamState.READY:
            continue
        for model, version in named.items():
            if model not in item.weights:
                continue
            engines[model] = engines.get(model, 0) + 1
            if name in under_way:
                loading[model] = loading.get(model, 0) + 1
            elif item.weights[model] < version:
                due.append((item, model, version))
    due.sort(key=lambda found: found[0].in_flight)
    picked = []
    for item, model, version in due:
        if loading.get(model, 0) < loading_limit(engines[model]):
            loading[model] = loading.get(model, 0) + 1
            picked.append((item, model, version))
    return picked


class Rollout:
    """Gives the orders while it holds the lease."""

    def __init__(
        self,
        holder: fencing_holder.Holder,
        fleet: fleet_state.Fleet,
        link: OrderLink,
        may_take: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._holder = holder
        self._fleet = fleet
        self._link = link
        self._may_take = may_take
        self._clock = clock
        self._rng = rng
        self._tasks = background.Tasks()
        self._under_way: set[str] = set()
        self._wake = asyncio.Event()
        self._held = False
        fleet.on_weights(self._wake.set)

    @property
    def holding(self) -> bool:
        """Whether this router gives the orders."""
        return self._holder.time_left() > 0

    async def run_lease(self) -> None:
        """Keeps the lease for ever."""
        while True:
            if self._held or self._may_take():
                held = await self._holder.keep()
                if held != self._held:
                    decisions.record(
                        "lease", held=held, fencing=self._holder.fencing
                    )
                    self._wake.set()
                self._held = held
            pause = const.HOLDER_RENEW_S * self._rng.uniform(0.8, 1.0)
            await asyncio.sleep(pause)

    async def run(self) -> None:
        """Gives orders for ever."""
        while True:
            if self.holding and self._holder.settled():
                self.step()
            self._wake.clear()
            try:
                async with asyncio.timeout(const.HOLDER_RENEW_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def step(self) -> None:
        """Starts what is due."""
        due = next_engines(
            self._fleet.upstreams.known, self._fleet.weights, self._under_way
        )
        for item, model, version in due:
            self._under_way.add(item.entry.name)
            self._tasks.spawn(self._bring(item, model, version))

    async def _bring(
        self, item: upstreams.Upstream, model: str, version: int
    ) -> None:
        try:
            await self._bring_to(item, model, version)
        finally:
            self._under_way.discard(item.entry.name)
            self._wake.set()

    async def _bring_to(
        self, item: upstreams.Upstream, model: str, version: int
    ) -> None:
        """Orders an engine to a version and follows it until it is there."""
        ordered_at = float("-inf")
        while self.holding:
            version = max(version, self._fleet.weights_of(model))
            found = await self._link.account(item.entry)
            now = self._clock.monotonic()
            if found.is_err():
                decisions.record(
                    "account_missing",
                    upstream=item.entry.name,
                    detail=found.err(),
                )
                return
            account = found.ok()
            item.holds(model, account.weights.get(model, 0))
            if item.weights.get(model, 0) >= version:
                return
            again = now - ordered_at >= const.ORDER_AGAIN_S
            if not account.busy and again:
                answer = await self._give(item, model, version, account)
                ordered_at = now
                if answer is OrderAnswer.FENCED:
                    await self._holder.release()
                    return
                if answer is OrderAnswer.OTHER:
                    return
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _give(
        self,
        item: upstreams.Upstream,
        model: str,
        version: int,
        account: EngineAccount,
    ) -> OrderAnswer:
        # Checked right before the write: this router may have been paused.
        if self._holder.time_left() <= 0:
            return OrderAnswer.OTHER
        order = WeightsOrder(
            item.entry.name,
            item.entry.address,
            model,
            version,
            self._holder.fencing,
            account.orders,
        )
        answer = await self._link.order(order)
        decisions.record(
            "order",
            upstream=item.entry.name,
            model=model,
            version=version,
            before=account.weights.get(model, 0),
            orders=account.orders,
            fencing=order.fencing,
            lease_left_s=round(self._holder.time_left(), 2),
            answer=answer.value,
        )
        return answer

    async def close(self) -> None:
        """Stops orders under way and gives up the lease."""
        await self._tasks.close()
        await self._holder.release()
