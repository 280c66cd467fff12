"""Brings the engines to the named weights, a few at a time.

One router holds the lease and gives the orders. Each order goes to an engine
whose account of itself was read just before, and carries the count of orders
in it: an order that is carried out late then finds that the count differs.
Superseded versions are skipped, as only the newest is ever ordered.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import enum
import json
import random
from typing import Protocol

import result

from bergamotmill.control import order_lease
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import decisions
from bergamotmill.util import clock as clocks
from bergamotmill.util import tasks as background

# An engine loads at full speed while no more than this part of them do so.
MAX_LOADING_FRACTION = 0.4
REPORT_PERIOD_S = 0.15
# An engine that does not answer is asked again after so long, and one that
# fails so large a share of its requests comes when it has recovered.
UNREACHABLE_S = 1.5
FAILING = 0.7
# Those that may take a free lease do not all ask at the same moment.
TAKE_SPREAD_S = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """What an engine says of orders.

    Attributes:
        orders: how many it has accepted since its start.
        busy: whether one is being carried out.
    """

    weights: Mapping[str, int]
    orders_accepted: int
    busy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Take these weights, provided that `orders` were accepted before."""

    upstream: str
    address: str
    model: str
    version: int
    fencing: int
    expected_orders: int


class OrderAnswer(enum.Enum):
    """What an engine says to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER = "other"
    NONE = "no_answer"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsAnnouncement:
    """What peers are told of an engine.

    Attributes:
        held: whether it has the version; else an order is about to go out.
    """

    upstream: str
    born: int
    model: str
    version: int
    held: bool


AnnounceWeights = Callable[[WeightsAnnouncement], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """What a holder leaves to the next one.

    Attributes:
        fencing: the number under which it gave its orders.
        ages_s: seconds since the last order to each engine.
    """

    fencing: int
    ages_s: Mapping[str, float]

    def encode(self) -> bytes:
        """Returns the text that is kept in the store."""
        return json.dumps(dataclasses.asdict(self)).encode()


def parse_handover(value: bytes) -> Handover | None:
    """Reads what a holder left; none when it cannot be read."""
    try:
        found = json.loads(value)
        ages = {str(k): float(v) for k, v in found["ages_s"].items()}
        return Handover(int(found["fencing"]), ages)
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        decisions.record("handover_unreadable", detail=repr(err))
        return None


class OrderLink(Protocol):
    """Talks to engines about orders."""

    async def read_status(
        self, entry: upstreams.UpstreamEntry
    ) -> result.Result[EngineStatus, str]:
        """Reads an engine's account of itself."""

    async def send_order(self, order: WeightsOrder) -> OrderAnswer:
        """Gives an order."""


def max_concurrent_loads(engines: int) -> int:
    """Returns how many engines may load at once."""
    return max(1, int(MAX_LOADING_FRACTION * engines))


def select_engines_to_update(
    known: Mapping[str, upstreams.Upstream],
    named: Mapping[str, int],
    under_way: set[str],
    busy_s: Callable[[upstreams.Upstream], float],
) -> list[tuple[upstreams.Upstream, str, int]]:
    """Returns which engines are due for which version.

    Those with the oldest weights come first, of these the idlest.
    """
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
    due.sort(key=lambda found: (found[0].weights[found[1]], busy_s(found[0])))
    picked = []
    for item, model, version in due:
        if loading.get(model, 0) < max_concurrent_loads(engines[model]):
            loading[model] = loading.get(model, 0) + 1
            picked.append((item, model, version))
    return picked


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutContext:
    """What a rollout asks of the router around it.

    Attributes:
        may_take: whether the lease seems free and is ours to try.
        announce: tells peers of an engine.
        leave_behind: keeps a handover for the next holder.
        turn_s: how far apart orders of two holders to one engine must lie.
    """

    may_acquire_lease: Callable[[], bool]
    announce: AnnounceWeights
    store_handover: Callable[[bytes], Awaitable[None]]
    min_order_gap_s: float


class Rollout:
    """Gives the orders while it holds the lease."""

    def __init__(
        self,
        holder: order_lease.OrderLease,
        fleet: fleet_state.Fleet,
        link: OrderLink,
        around: RolloutContext,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Makes a rollout.

        Args:
            holder: the lease.
            fleet: which weights are named, and who holds which.
            link: talks to engines.
            around: the router around it.
            clock: the clocks.
            rng: draws pauses.
        """
        self._holder = holder
        self._fleet = fleet
        self._link = link
        self._may_take = around.may_acquire_lease
        self._announce = around.announce
        self._leave_behind = around.store_handover
        self._turn_s = around.min_order_gap_s
        self._clock = clock
        self._rng = rng
        self._tasks = background.Tasks()
        self._under_way: set[str] = set()
        # Engines that did not answer, and when to ask them again.
        self._unreachable: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._free = asyncio.Event()
        self._held = False
        self._closing = False
        self._last_orders: dict[str, float] = {}
        self._handover: tuple[Handover, float] | None = None
        self._previous_fencing = 0
        fleet.add_weights_listener(self._wake.set)

    @property
    def holds_lease(self) -> bool:
        """Whether this router gives the orders."""
        return not self._closing and self._holder.time_left() > 0

    def on_lease_changed(self, revision: int, held: bool) -> None:
        """Takes note of who holds the lease, as the store shows it."""
        if held:
            if revision != self._holder.fencing:
                self._previous_fencing = revision
        else:
            self._free.set()

    def on_handover(self, value: bytes) -> None:
        """Takes note of what a holder left behind."""
        found = parse_handover(value)
        if found is not None:
            self._handover = (found, self._clock.boottime())

    async def run_lease(self) -> None:
        """Keeps the lease until this router ends."""
        while not self._closing:
            if self._held or self._may_take():
                held = await self._holder.acquire_or_renew()
                if self._closing:
                    # It was taken while this router gave it up.
                    await self._holder.release()
                    return
                if held != self._held:
                    decisions.record(
                        "lease", held=held, fencing=self._holder.fencing
                    )
                    self._wake.set()
                self._held = held
            pause = const.ORDER_LEASE_RENEW_S * self._rng.uniform(0.8, 1.0)
            self._free.clear()
            try:
                async with asyncio.timeout(pause):
                    await self._free.wait()
                    await asyncio.sleep(TAKE_SPREAD_S * self._rng.random())
            except TimeoutError:
                continue

    def _turn_over(self, name: str) -> bool:
        """Whether an older holder's orders to an engine lie far enough back."""
        if self._holder.takeover_wait_over():
            return True
        if self._handover is None:
            return False
        handover, at = self._handover
        if handover.fencing != self._previous_fencing:
            return False
        age_s = handover.ages_s.get(name, self._turn_s)
        return age_s + self._clock.boottime() - at >= self._turn_s

    async def run(self) -> None:
        """Gives orders for ever."""
        while True:
            if self.holds_lease:
                self.step()
            self._wake.clear()
            pause = const.ORDER_LEASE_RENEW_S
            if self.holds_lease and not self._holder.takeover_wait_over():
                pause = REPORT_PERIOD_S
            try:
                async with asyncio.timeout(pause):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def step(self) -> None:
        """Starts what is due."""
        now = self._clock.monotonic()
        self._unreachable = {
            name: until
            for name, until in self._unreachable.items()
            if until > now
        }
        reachable = {
            name: item
            for name, item in self._fleet.upstreams.by_name.items()
            if name not in self._unreachable
            and item.failures.value(now) < FAILING
        }
        due = select_engines_to_update(
            reachable,
            self._fleet.target_versions,
            self._under_way,
            lambda item: item.wait_s(now),
        )
        for item, model, version in due:
            if not self._turn_over(item.entry.name):
                continue
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
        while self.holds_lease:
            version = max(version, self._fleet.target_version(model))
            found = await self._link.read_status(item.entry)
            now = self._clock.monotonic()
            if found.is_err():
                self._unreachable[item.entry.name] = now + UNREACHABLE_S
                decisions.record(
                    "account_missing",
                    upstream=item.entry.name,
                    detail=found.err(),
                )
                return
            account = found.ok()
            item.note_weights(model, account.weights.get(model, 0))
            if item.weights.get(model, 0) >= version:
                await self._tell(item, model, version, True)
                return
            again = now - ordered_at >= const.ORDER_RETRY_S
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
        account: EngineStatus,
    ) -> OrderAnswer:
        item.note_order(self._clock.monotonic())
        await self._tell(item, model, version, False)
        await asyncio.sleep(const.ORDER_NOTICE_LEAD_S)
        # Checked right before the write: this router may have been paused.
        if self._holder.time_left() <= 0:
            return OrderAnswer.OTHER
        order = WeightsOrder(
            item.entry.name,
            item.entry.address,
            model,
            version,
            self._holder.fencing,
            account.orders_accepted,
        )
        self._last_orders[item.entry.name] = self._clock.boottime()
        answer = await self._link.send_order(order)
        decisions.record(
            "order",
            upstream=item.entry.name,
            model=model,
            version=version,
            before=account.weights.get(model, 0),
            orders=account.orders_accepted,
            fencing=order.fencing,
            lease_left_s=round(self._holder.time_left(), 2),
            answer=answer.value,
        )
        return answer

    async def _tell(
        self, item: upstreams.Upstream, model: str, version: int, held: bool
    ) -> None:
        entry = item.entry
        await self._announce(
            WeightsAnnouncement(entry.name, entry.born, model, version, held)
        )

    async def close(self) -> None:
        """Stops orders under way and gives up the lease for good."""
        held = self.holds_lease
        self._closing = True
        await self._tasks.close()
        if held:
            now = self._clock.boottime()
            ages = {name: now - at for name, at in self._last_orders.items()}
            handover = Handover(self._holder.fencing, ages)
            await self._leave_behind(handover.encode())
        await self._holder.release()
