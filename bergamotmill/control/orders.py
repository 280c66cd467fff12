"""Orders to engines: which weights each replica is to hold.

One router holds the lease for a shard and works towards the configuration.
The lease's create revision is the fencing number of its orders. Orders state
the wanted end, so that a repeat does no harm. Engines that ignore fencing
numbers are protected by time: a holder stops giving orders well before its
lease can have lapsed, and a new holder first waits out what an old one may
still have on its way.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import json
import random

import loguru
import result

from bergamotmill import core
from bergamotmill.control import const
from bergamotmill.control import history as fleet_history
from bergamotmill.control import notes
from bergamotmill.control import order_lease
from bergamotmill.routing import view as fleet_view
from bergamotmill.upstream.engine import config
from bergamotmill.util import clock as clocks

Publish = Callable[[notes.Draft, str], Awaitable[result.Result]]
SWITCH_AUTHOR = "bergamotmill"


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order and why it is given."""

    replica: str
    order: config.Order
    reason: str


def plan_orders(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
    max_loading: int,
    fencing: int,
) -> list[PlannedOrder]:
    """Returns the orders that bring the fleet nearer to its configuration.

    At most `max_loading` replicas load at once. Empty replicas come first.
    While an older version is still in service, enough replicas keep it.
    """
    loading = sum(1 for report in reports.values() if _is_loading(report))
    orders: list[PlannedOrder] = []
    for model in sorted(configuration.models.values(), key=_by_name):
        wrong = _wrong_replicas(configuration, reports, model)
        for name, reason in wrong:
            if loading >= max_loading:
                return orders
            if not _may_switch(configuration, reports, model, name, orders):
                continue
            order = config.Order(
                "load", model.name, model.version, fencing, model.adapters
            )
            orders.append(PlannedOrder(name, order, reason))
            loading += 1
    orders.extend(_unloads(configuration, reports, fencing))
    return orders


def _by_name(model: core.Model) -> str:
    return model.name


def _is_loading(report: config.LoadReport) -> bool:
    return any(
        model.state is config.ModelState.LOADING
        for model in report.models.values()
    )


def _wrong_replicas(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
    model: core.Model,
) -> list[tuple[str, str]]:
    """Returns replicas that lack the wanted version, the emptiest first."""
    empty = []
    old = []
    for name, replica in sorted(configuration.replicas.items()):
        report = reports.get(name)
        if report is None or not replica.orders or report.draining:
            continue
        if model.name not in replica.models:
            continue
        held = report.models.get(model.name)
        if held is None:
            empty.append((name, "empty"))
        elif held.state is config.ModelState.LOADING:
            continue
        elif held.version != model.version:
            old.append((name, f"holds {held.version}"))
        elif dict(held.adapters) != dict(model.adapters):
            old.append((name, "other adapters"))
    return empty + old


def _may_switch(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
    model: core.Model,
    name: str,
    orders: list[PlannedOrder],
) -> bool:
    """Whether loading here leaves enough replicas serving the model."""
    if not _is_ready(reports[name], model, model.served_version):
        return True
    taken = {item.replica for item in orders if item.order.model == model.name}
    left = sum(
        1
        for other, report in reports.items()
        if other != name
        and other not in taken
        and _is_ready(report, model, model.served_version)
    )
    able = sum(
        1
        for replica in configuration.replicas.values()
        if model.name in replica.models
    )
    if able == 1:
        return True
    return left >= max(1, min(model.min_ready, able - model.min_ready))


def _is_ready(
    report: config.LoadReport, model: core.Model, version: str
) -> bool:
    held = report.models.get(model.name)
    return (
        held is not None
        and held.version == version
        and held.state is config.ModelState.READY
        and not report.draining
    )


def versions_to_serve(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
) -> dict[str, str]:
    """Returns models whose wanted version is ready to serve.

    A version serves once enough replicas are ready with it, or when none is
    left with the version in service. It never goes back from there.
    """
    found = {}
    for model in configuration.models.values():
        if model.served_version == model.version:
            continue
        ready = sum(
            _is_ready(report, model, model.version)
            for report in reports.values()
        )
        left = sum(
            _is_ready(report, model, model.served_version)
            for report in reports.values()
        )
        if ready >= model.min_ready or (ready > 0 and left == 0):
            found[model.name] = model.version
    return found


def _unloads(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
    fencing: int,
) -> list[PlannedOrder]:
    orders = []
    for name, replica in sorted(configuration.replicas.items()):
        report = reports.get(name)
        if report is None or not replica.orders:
            continue
        for model in report.models.values():
            if model.name in replica.models:
                continue
            order = config.Order("unload", model.name, model.version, fencing)
            orders.append(PlannedOrder(name, order, "withdrawn"))
    return orders


class OrderManager:
    """Works towards the configuration while it holds the lease."""

    def __init__(
        self,
        holder: order_lease.OrderLease,
        view: fleet_view.FleetView,
        links: Mapping[str, object],
        max_loading: int,
        history: fleet_history.History,
        publish: Publish,
        is_candidate: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._holder = holder
        self._view = view
        self._links = links
        self._max_loading = max_loading
        self._history = history
        self._publish = publish
        self._is_candidate = is_candidate
        self._clock = clock
        self._rng = rng
        self._configuration = core.empty_configuration()
        self._given: dict[tuple[str, str, str], float] = {}

    @property
    def holds_lease(self) -> bool:
        """Whether this router gives the orders."""
        return self._holder.time_left() > 0

    def adopt(self, configuration: core.Configuration) -> None:
        """Follows the configuration."""
        self._configuration = configuration

    async def run(self) -> None:
        """Keeps the lease and gives orders for ever."""
        while True:
            if self._may_hold() and await self._holder.acquire_or_renew():
                await self.step()
            pause = const.ORDER_PERIOD_S
            if not self.holds_lease:
                pause = const.LEASE_POLL_S
            await asyncio.sleep(pause * self._rng.uniform(0.8, 1.2))

    def _may_hold(self) -> bool:
        if self._configuration.number == 0:
            return False
        return self.holds_lease or self._is_candidate()

    async def step(self) -> None:
        """Gives the orders that are due."""
        if not self._holder.takeover_wait_over():
            return
        reports = {
            name: view.load.report
            for name, view in self._view.views.items()
            if view.load.report is not None
            and view.health.is_available(self._clock.monotonic())
        }
        planned = plan_orders(
            self._configuration,
            reports,
            self._max_loading,
            self._holder.fencing,
        )
        due = [item for item in planned if self._due(item)]
        await asyncio.gather(*(self._give(item) for item in due))
        for model, version in versions_to_serve(
            self._configuration, reports
        ).items():
            if self._holder.time_left() > 0:
                await self._switch(model, version)

    async def _switch(self, model: str, version: str) -> None:
        draft = notes.Draft(
            f"{model} {version} is ready",
            {},
            {core.KIND_MODELS: {model: {"serving": version}}},
            {},
        )
        published = await self._publish(draft, SWITCH_AUTHOR)
        if published.is_ok():
            self._history.add("rollout", f"{model} serves {version}")

    def _due(self, item: PlannedOrder) -> bool:
        key = (item.replica, item.order.model, item.order.version)
        last = self._given.get(key, -const.ORDER_RETRY_S)
        return self._clock.monotonic() - last >= const.ORDER_RETRY_S

    async def _give(self, item: PlannedOrder) -> None:
        link = self._links.get(item.replica)
        # Checked right before the write: this router may have been paused.
        if link is None or self._holder.time_left() <= 0:
            return
        key = (item.replica, item.order.model, item.order.version)
        self._given[key] = self._clock.monotonic()
        done = await link.order(item.order)
        what = f"{item.order.kind} {item.order.model} {item.order.version}"
        if done.is_err():
            loguru.logger.warning(
                "orders: {} refused {}: {}.", item.replica, what, done.err()
            )
            return
        self._history.add("order", f"{item.replica}: {what} ({item.reason})")

    async def close(self) -> None:
        """Gives up the lease."""
        await self._holder.release()


def lease_value(router: str, incarnation: int) -> bytes:
    """Returns what stands under the lease's key."""
    return json.dumps({"router": router, "incarnation": incarnation}).encode()
