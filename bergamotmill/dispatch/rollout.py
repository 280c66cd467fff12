"""Rolls out new model weights to the engines, a few engines at a time.

Only the router that holds the lease sends orders. Before each order it reads
the engine's status and copies the number of accepted orders into the order;
an engine rejects an order whose number does not match, so that a delayed
order has no effect. Only the newest version is ever ordered, so superseded
versions are skipped.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import enum
import math
import random
from typing import Protocol

import result

from bergamotmill.control import order_lease
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import order_gap
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import decisions
from bergamotmill.routing import stated_limit
from bergamotmill.util import clock as clocks
from bergamotmill.util import tasks as background

# Loading slows down when more than this fraction of the engines load at once.
MAX_LOADING_FRACTION = 0.4
STATUS_POLL_PERIOD_S = 0.15
# Delay before the status of an engine that did not answer is read again.
UNREACHABLE_RETRY_S = 1.5
# An engine gets no orders while this fraction of its requests or more fail.
MAX_FAILURE_RATE = 0.7
# Former lease holders whose fencing tokens are remembered.
MAX_SEEN_HOLDERS = 8
# Random delay that keeps routers from requesting a released lease all at once.
ACQUIRE_JITTER_S = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """Status of an engine as far as weights orders are concerned.

    Attributes:
        weights: version held of each model.
        orders_accepted: number of orders accepted since the engine started.
        busy: whether an order is being carried out.
        signals: what the engine says of itself.
    """

    weights: Mapping[str, int]
    orders_accepted: int
    busy: bool
    signals: messages.UpstreamSignals = messages.NO_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True)
class StatusFailure:
    """Why an engine's status could not be read.

    Attributes:
        reason: description for logs.
        signals: what the engine says of itself, if it answered.
    """

    reason: str
    signals: messages.UpstreamSignals = messages.NO_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load a version of a model's weights.

    Attributes:
        upstream: name of the engine.
        address: address of the engine, IP:PORT.
        model: name of the model.
        version: version to load.
        fencing: fencing token of the lease under which the order is sent.
        expected_orders: number of orders the engine must have accepted
            before; it rejects this order if the number differs.
        keeps_runs: whether running requests continue under the new version;
            if not, the engine loads it after they have ended.
    """

    upstream: str
    address: str
    model: str
    version: int
    fencing: int
    expected_orders: int
    keeps_runs: bool = False


class OrderAnswer(enum.Enum):
    """Outcome of an order.

    Attributes:
        ACCEPTED: the engine carries out the order.
        HOLDS: the engine has the version already.
        CONFLICT: the engine is carrying out an order, or has accepted another
            number of orders than expected.
        FENCED: the engine has seen a newer fencing token.
        OTHER: any other status, or the order was not sent because the lease
            had run out.
        NONE: the engine did not answer; it may have accepted the order.
    """

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER = "other"
    NONE = "no_answer"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """An engine's reply to an order.

    Attributes:
        answer: outcome of the order.
        signals: what the engine says of itself.
    """

    answer: OrderAnswer
    signals: messages.UpstreamSignals = messages.NO_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsAnnouncement:
    """A message to the other routers about an engine's weights.

    Attributes:
        upstream: name of the engine.
        born: incarnation of the engine.
        model: name of the model.
        version: version that was loaded or is about to be ordered.
        held: whether the engine has loaded the version; if not, an order for
            it is about to be sent.
    """

    upstream: str
    born: int
    model: str
    version: int
    held: bool


AnnounceWeights = Callable[[WeightsAnnouncement], Awaitable[None]]


class OrderLink(Protocol):
    """The part of the upstream client that deals with weights orders."""

    async def read_status(
        self, entry: upstreams.UpstreamEntry
    ) -> result.Result[EngineStatus, StatusFailure]:
        """Reads an engine's status."""

    async def send_order(self, order: WeightsOrder) -> OrderReply:
        """Sends an order to the engine it names."""


def max_concurrent_loads(engine_count: int) -> int:
    """Returns how many of a model's engines may load weights at once."""
    return max(1, int(MAX_LOADING_FRACTION * engine_count))


def select_engines_to_update(
    engines: Mapping[str, upstreams.Upstream],
    target_versions: Mapping[str, int],
    updating: set[str],
    wait_s: Callable[[upstreams.Upstream], float],
    is_out_of_use: Callable[[upstreams.Upstream, str], bool] = (
        lambda engine, model: False
    ),
) -> list[tuple[upstreams.Upstream, str, int]]:
    """Selects the engines to update now.

    Engines with the oldest weights come first, and among these the ones with
    the shortest wait.

    Args:
        engines: upstreams by name; those that take no new work or serve none
            of the models are skipped.
        target_versions: version that each model should have.
        updating: names of engines whose update is under way; they count
            towards the limit of concurrent loads.
        wait_s: returns the predicted wait for new work at an engine.
        is_out_of_use: whether an engine gets no more requests for a model
            until it has newer weights. The limit of concurrent loads keeps
            engines in service, so it does not hold for these.

    Returns:
        Engine, model and version of each update to start.
    """
    due = []
    engine_count: dict[str, int] = {}
    loading_count: dict[str, int] = {}
    for name, engine in sorted(engines.items()):
        if engine.entry.state is not upstreams.UpstreamState.READY:
            continue
        for model, version in target_versions.items():
            if model not in engine.weights:
                continue
            engine_count[model] = engine_count.get(model, 0) + 1
            if name in updating:
                loading_count[model] = loading_count.get(model, 0) + 1
            elif engine.weights[model] < version:
                due.append((engine, model, version))
    due.sort(
        key=lambda update: (update[0].weights[update[1]], wait_s(update[0]))
    )
    selected = []
    for engine, model, version in due:
        limit = max_concurrent_loads(engine_count[model])
        if loading_count.get(model, 0) < limit or is_out_of_use(engine, model):
            loading_count[model] = loading_count.get(model, 0) + 1
            selected.append((engine, model, version))
    return selected


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutContext:
    """Callbacks into the router that runs a rollout, and its order gap.

    Attributes:
        may_acquire_lease: whether the lease seems to be free and this router
            is one of those that try to acquire it.
        announce: sends a weights announcement to the other routers.
        handover: the record for the next lease holder.
        since_restore_s: returns seconds since the store was restored from an
            older copy, which loses the lease; infinite if it never was.
        min_order_gap_s: minimum time between orders of two lease holders to
            the same engine, in seconds.
        old_weights_max_age_s: seconds for which routers use old weights after
            newer ones are set.
    """

    may_acquire_lease: Callable[[], bool]
    announce: AnnounceWeights
    handover: order_gap.HandoverRecord
    since_restore_s: Callable[[], float]
    min_order_gap_s: float
    old_weights_max_age_s: float = math.inf


class Rollout:
    """Orders engines to load new weights while this router holds the lease."""

    def __init__(
        self,
        lease: order_lease.OrderLease,
        fleet: fleet_state.Fleet,
        link: OrderLink,
        context: RolloutContext,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Initializes the rollout without acquiring the lease.

        Args:
            lease: this router's side of the lease for orders.
            fleet: target versions and the versions that engines hold.
            link: reads the status of engines and sends them orders.
            context: callbacks into the router, and the order gap.
            clock: time source.
            rng: source of random delays.
        """
        self._lease = lease
        self._fleet = fleet
        self._link = link
        self._may_acquire_lease = context.may_acquire_lease
        self._announce = context.announce
        self._handover = context.handover
        self._since_restore_s = context.since_restore_s
        self._min_order_gap_s = context.min_order_gap_s
        self._gap = order_gap.OrderGap(
            context.min_order_gap_s, const.ORDER_LEASE_MARGIN_S, clock.boottime
        )
        self._old_weights_max_age_s = context.old_weights_max_age_s
        self._clock = clock
        self._rng = rng
        self._tasks = background.Tasks()
        # Names of the engines whose update is under way.
        self._updating: set[str] = set()
        # Engines that did not answer or carry out an order, and when to read
        # their status again.
        self._skipped_until: dict[str, float] = {}
        # Engines that did not carry out their latest order.
        self._unanswered: set[str] = set()
        self._wake = asyncio.Event()
        self._lease_released = asyncio.Event()
        self._held = False
        self._closing = False
        # Fencing tokens of the last lease holders that were seen. This
        # router's own may be seen before it knows it.
        self._seen_fencings: collections.deque[int] = collections.deque(
            maxlen=MAX_SEEN_HOLDERS
        )
        # Whether the handover record may name this router's present lease.
        self._may_be_recorded = False
        fleet.add_weights_listener(self._wake.set)

    @property
    def holds_lease(self) -> bool:
        """Whether this router may send orders."""
        return not self._closing and self._lease.time_left() > 0

    def on_lease_changed(self, revision: int, held: bool) -> None:
        """Handles a change of the lease's key in the store.

        Args:
            revision: revision of the change; if the key exists, it is the
                fencing token of the lease holder.
            held: whether the key exists.
        """
        if held:
            self._seen_fencings.append(revision)
        else:
            self._lease_released.set()

    def on_handover(self, value: bytes) -> None:
        """Handles a handover record that appears in the store."""
        self._handover.note_seen(value)

    async def run_lease(self) -> None:
        """Acquires the lease when it is free, and renews it until close()."""
        while not self._closing:
            if self._held or self._may_acquire_lease():
                held = await self._lease.acquire_or_renew()
                if self._closing:
                    # close() ran while the lease was being acquired.
                    await self._give_up_lease()
                    return
                if held and self._gap.fencing != self._lease.fencing:
                    await self._take_over()
                if held != self._held:
                    decisions.record(
                        "lease", held=held, fencing=self._lease.fencing
                    )
                    self._wake.set()
                self._held = held
            pause_s = const.ORDER_LEASE_RENEW_S * self._rng.uniform(0.8, 1.0)
            self._lease_released.clear()
            try:
                async with asyncio.timeout(pause_s):
                    await self._lease_released.wait()
                    await asyncio.sleep(ACQUIRE_JITTER_S * self._rng.random())
            except TimeoutError:
                continue

    async def _take_over(self) -> None:
        """Reads what earlier holders did and records that this one follows.

        No order is sent before that. It is tried again at the next renewal if
        the store does not answer.
        """
        fencing = self._lease.fencing
        acquired_at = self._lease.acquired_at
        reading = await self._handover.read()
        if reading.is_err():
            return
        handover, received_at = reading.ok()
        if handover is not None and handover.fencing == fencing:
            # The write of an earlier try took effect.
            self._gap.resume(fencing)
            return
        seen = [item for item in self._seen_fencings if item < fencing]
        self._gap.take_over(
            fencing,
            acquired_at,
            order_gap.Predecessor(handover, received_at, max(seen, default=0)),
        )
        record = self._gap.handover(False)
        self._gap.drop()
        self._may_be_recorded = True
        if await self._handover.write(record):
            self._gap.resume(fencing)

    async def _give_up_lease(self) -> None:
        """Records the last orders, then releases the lease.

        A lease whose record was not certainly written is left to run out, as
        the next holder takes it then.
        """
        fencing = self._lease.fencing
        if not fencing:
            return
        if self._gap.fencing == fencing:
            recorded = await self._handover.write(self._gap.handover(True))
        else:
            recorded = not self._may_be_recorded
        self._gap.drop()
        self._may_be_recorded = False
        if recorded:
            await self._lease.release()
        else:
            self._lease.abandon()

    def _order_gap_passed(self, name: str) -> bool:
        """Whether earlier lease holders' orders to an engine are old enough.

        A restore of the store ends leases without their holders' knowledge. A
        holder that has not learned of it sends orders until its lease would
        have expired.
        """
        lease_end_s = const.ORDER_LEASE_S - const.ORDER_LEASE_MARGIN_S
        if self._since_restore_s() < lease_end_s + self._min_order_gap_s:
            return False
        if self._gap.fencing != self._lease.fencing:
            # The lease has not been taken over yet.
            return False
        return self._gap.has_passed(name)

    async def run(self) -> None:
        """Starts updates that are due, forever."""
        while True:
            if self.holds_lease:
                self.start_due_updates()
            self._wake.clear()
            pause_s = const.ORDER_LEASE_RENEW_S
            # During the takeover wait, the order gap of an engine can end at
            # any time, and no event signals it.
            if self.holds_lease and not self._gap.is_settled:
                pause_s = STATUS_POLL_PERIOD_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def start_due_updates(self) -> None:
        """Starts a task for each engine that is due for an update."""
        now = self._clock.monotonic()
        self._unanswered &= self._fleet.upstreams.by_name.keys()
        self._skipped_until = {
            name: until
            for name, until in self._skipped_until.items()
            if until > now
        }
        reachable = {
            name: engine
            for name, engine in self._fleet.upstreams.by_name.items()
            if name not in self._skipped_until
            and engine.failures.value(now) < MAX_FAILURE_RATE
            and self._fleet.upstreams.accepts_work(engine)
            and not engine.pause_left_s(now)
        }
        due = select_engines_to_update(
            reachable,
            self._fleet.target_versions,
            self._updating,
            lambda engine: self._order_delay_s(engine, now),
            self._is_out_of_use,
        )
        for engine, model, version in due:
            if not self._order_gap_passed(engine.entry.name):
                continue
            self._updating.add(engine.entry.name)
            self._tasks.spawn(self._update_engine(engine, model, version))

    def _superseded_for_s(
        self, engine: upstreams.Upstream, model: str
    ) -> float:
        """Returns how long the weights that an engine has are out of date."""
        held = engine.weights.get(model, 0)
        return self._fleet.superseded_for_s(model, held)

    def _is_out_of_use(self, engine: upstreams.Upstream, model: str) -> bool:
        """Whether routers no longer use the weights that an engine has."""
        age_s = self._superseded_for_s(engine, model)
        return age_s >= self._old_weights_max_age_s

    def _order_delay_s(self, engine: upstreams.Upstream, now: float) -> float:
        """Returns how long an order to an engine is expected to take."""
        delay_s = engine.wait_s(now)
        if engine.entry.name in self._unanswered:
            delay_s += const.ORDER_RETRY_S
        return delay_s

    async def _update_engine(
        self, engine: upstreams.Upstream, model: str, version: int
    ) -> None:
        try:
            await self._order_until_loaded(engine, model, version)
        finally:
            self._updating.discard(engine.entry.name)
            self._wake.set()

    def _skip_until(self, engine: upstreams.Upstream, until: float) -> None:
        """Leaves an engine alone until a time, so that others are updated."""
        self._skipped_until[engine.entry.name] = until

    async def _order_until_loaded(
        self, engine: upstreams.Upstream, model: str, version: int
    ) -> None:
        """Orders an engine to load a version and polls it until it has.

        A newer target version that is set meanwhile replaces it. An engine that
        does not carry out an order is left for now, so that others can load
        meanwhile.
        """
        ordered_at = float("-inf")
        while self.holds_lease:
            if not self._fleet.upstreams.accepts_work(engine):
                return
            pause_s = engine.pause_left_s(self._clock.monotonic())
            if pause_s and ordered_at == float("-inf"):
                # start_due_updates() takes it up again after the pause.
                return
            if pause_s:
                await asyncio.sleep(min(pause_s, const.ORDER_LEASE_RENEW_S))
                continue
            version = max(version, self._fleet.target_version(model))
            sent_at = self._clock.boottime()
            reading = await self._link.read_status(engine.entry)
            now = self._clock.monotonic()
            reply = reading.err() if reading.is_err() else reading.ok()
            self._fleet.apply_signals(engine, reply.signals, sent_at)
            if reading.is_err():
                self._skip_until(engine, now + UNREACHABLE_RETRY_S)
                decisions.record(
                    "account_missing",
                    upstream=engine.entry.name,
                    detail=reading.err().reason,
                )
                return
            status = reading.ok()
            engine.note_weights(model, status.weights.get(model, 0))
            if engine.weights.get(model, 0) >= version:
                self._unanswered.discard(engine.entry.name)
                await self._announce_weights(engine, model, version, True)
                return
            since_order_s = now - ordered_at
            if (
                not status.busy
                and const.ORDER_CONFIRM_S < since_order_s < const.ORDER_RETRY_S
            ):
                self._skip_until(engine, ordered_at + const.ORDER_RETRY_S)
                self._unanswered.add(engine.entry.name)
                return
            if not status.busy and since_order_s >= const.ORDER_RETRY_S:
                answer = await self._send_order(engine, model, version, status)
                ordered_at = now
                if answer is OrderAnswer.FENCED:
                    await self._give_up_lease()
                    return
                if answer is OrderAnswer.OTHER:
                    return
            await asyncio.sleep(self._status_period_s(engine))

    def _status_period_s(self, engine: upstreams.Upstream) -> float:
        """Returns how often the status of an engine is read."""
        entry = engine.entry
        limit_per_s = self._fleet.limits.per_s(entry.name, entry.born)
        if limit_per_s == stated_limit.UNLIMITED:
            return STATUS_POLL_PERIOD_S
        return const.LIMITED_STATUS_PERIOD_S

    async def _send_order(
        self,
        engine: upstreams.Upstream,
        model: str,
        version: int,
        status: EngineStatus,
    ) -> OrderAnswer:
        """Announces an order to the other routers, then sends it."""
        engine.note_order(self._clock.monotonic())
        await self._announce_weights(engine, model, version, False)
        await asyncio.sleep(const.ORDER_NOTICE_LEAD_S)
        # Checked right before sending: the process may have been suspended
        # since the last check, and the lease may have expired meanwhile.
        if (
            self._lease.time_left() <= 0
            or not self._order_gap_passed(engine.entry.name)
            or engine.pause_left_s(self._clock.monotonic())
        ):
            return OrderAnswer.OTHER
        order = WeightsOrder(
            engine.entry.name,
            engine.entry.address,
            model,
            version,
            self._lease.fencing,
            status.orders_accepted,
            self._superseded_for_s(engine, model)
            >= self._old_weights_max_age_s * const.LATE_ORDER_FRACTION,
        )
        sent_at = self._clock.boottime()
        self._gap.note_sending(engine.entry.name)
        try:
            reply = await self._link.send_order(order)
        finally:
            self._gap.note_sent(engine.entry.name)
        self._fleet.apply_signals(engine, reply.signals, sent_at)
        answer = reply.answer
        decisions.record(
            "order",
            upstream=engine.entry.name,
            model=model,
            version=version,
            before=status.weights.get(model, 0),
            orders=status.orders_accepted,
            keeps_runs=order.keeps_runs,
            fencing=order.fencing,
            lease_left_s=round(self._lease.time_left(), 2),
            answer=answer.value,
        )
        return answer

    async def _announce_weights(
        self, engine: upstreams.Upstream, model: str, version: int, held: bool
    ) -> None:
        entry = engine.entry
        await self._announce(
            WeightsAnnouncement(entry.name, entry.born, model, version, held)
        )

    async def close(self) -> None:
        """Cancels updates, stores the handover record, releases the lease.

        The lease is not acquired again afterwards.
        """
        self._closing = True
        await self._tasks.close()
        await self._give_up_lease()
