"""Orders to engines: which weights each replica loads or unloads.

One router at a time, the lease holder, brings the replicas to the state that
the configuration requires. The create revision of the lease's key is the
fencing token of its orders. An order names the desired state and is therefore
idempotent. Engines that ignore fencing tokens are protected by time: a holder
stops sending orders well before its lease can have expired, and a new holder
first waits until all orders of the previous holder have arrived or timed out.
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
    """An order, its replica and the reason for it."""

    replica: str
    order: config.Order
    reason: str


def plan_orders(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
    max_loading: int,
    fencing: int,
) -> list[PlannedOrder]:
    """Returns the next orders that bring replicas to the configured models.

    At most `max_loading` replicas load at the same time. Replicas without the
    model come first. As long as requests use an older version, enough replicas
    keep it loaded.
    """
    loading = sum(1 for report in reports.values() if _is_loading(report))
    orders: list[PlannedOrder] = []
    for model in sorted(configuration.models.values(), key=_by_name):
        to_load = _replicas_to_load(configuration, reports, model)
        for name, reason in to_load:
            if loading >= max_loading:
                return orders
            if not _can_load(configuration, reports, model, name, orders):
                continue
            order = config.Order(
                "load", model.name, model.version, fencing, model.adapters
            )
            orders.append(PlannedOrder(name, order, reason))
            loading += 1
    orders.extend(_plan_unloads(configuration, reports, fencing))
    return orders


def _by_name(model: core.Model) -> str:
    return model.name


def _is_loading(report: config.LoadReport) -> bool:
    return any(
        model.state is config.ModelState.LOADING
        for model in report.models.values()
    )


def _replicas_to_load(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
    model: core.Model,
) -> list[tuple[str, str]]:
    """Returns replicas that lack the configured version, with the reason.

    Replicas without the model come first.
    """
    empty = []
    other_version = []
    for name, replica in sorted(configuration.replicas.items()):
        report = reports.get(name)
        if report is None or not replica.orders or report.draining:
            continue
        if model.name not in replica.models:
            continue
        loaded = report.models.get(model.name)
        if loaded is None:
            empty.append((name, "empty"))
        elif loaded.state is config.ModelState.LOADING:
            continue
        elif loaded.version != model.version:
            other_version.append((name, f"holds {loaded.version}"))
        elif dict(loaded.adapters) != dict(model.adapters):
            other_version.append((name, "other adapters"))
    return empty + other_version


def _can_load(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
    model: core.Model,
    name: str,
    orders: list[PlannedOrder],
) -> bool:
    """Whether enough replicas serve the model while this one loads it.

    A replica that does not serve the model may always load it, and so may the
    only replica that is configured for the model.
    """
    if not _is_ready(reports[name], model, model.served_version):
        return True
    reloading = {
        planned.replica
        for planned in orders
        if planned.order.model == model.name
    }
    remaining = sum(
        1
        for other, report in reports.items()
        if other != name
        and other not in reloading
        and _is_ready(report, model, model.served_version)
    )
    capable = sum(
        1
        for replica in configuration.replicas.values()
        if model.name in replica.models
    )
    if capable == 1:
        return True
    return remaining >= max(1, min(model.min_ready, capable - model.min_ready))


def _is_ready(
    report: config.LoadReport, model: core.Model, version: str
) -> bool:
    loaded = report.models.get(model.name)
    return (
        loaded is not None
        and loaded.version == version
        and loaded.state is config.ModelState.READY
        and not report.draining
    )


def versions_to_serve(
    configuration: core.Configuration,
    reports: Mapping[str, config.LoadReport],
) -> dict[str, str]:
    """Returns the models whose configured version can be served from now on.

    A version is served once `min_ready` replicas are ready with it, or once
    one is and none has the previously served version any more. There is no
    switch back to the previous version.
    """
    switches = {}
    for model in configuration.models.values():
        if model.served_version == model.version:
            continue
        ready = sum(
            _is_ready(report, model, model.version)
            for report in reports.values()
        )
        remaining = sum(
            _is_ready(report, model, model.served_version)
            for report in reports.values()
        )
        if ready >= model.min_ready or (ready > 0 and remaining == 0):
            switches[model.name] = model.version
    return switches


def _plan_unloads(
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
    """Sends orders to engines while this router holds the lease."""

    def __init__(
        self,
        lease: order_lease.OrderLease,
        view: fleet_view.FleetView,
        links: Mapping[str, object],
        max_loading: int,
        history: fleet_history.History,
        publish: Publish,
        is_candidate: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._lease = lease
        self._view = view
        self._links = links
        self._max_loading = max_loading
        self._history = history
        self._publish = publish
        self._is_candidate = is_candidate
        self._clock = clock
        self._rng = rng
        self._configuration = core.empty_configuration()
        self._sent_at: dict[tuple[str, str, str], float] = {}

    @property
    def holds_lease(self) -> bool:
        """Whether this router may send orders."""
        return self._lease.time_left() > 0

    def adopt(self, configuration: core.Configuration) -> None:
        """Sets the configuration to work towards."""
        self._configuration = configuration

    async def run(self) -> None:
        """Competes for the lease and sends orders, until cancelled."""
        while True:
            if self._may_acquire() and await self._lease.acquire_or_renew():
                await self.run_once()
            pause = const.ORDER_PERIOD_S
            if not self.holds_lease:
                pause = const.LEASE_POLL_S
            await asyncio.sleep(pause * self._rng.uniform(0.8, 1.2))

    def _may_acquire(self) -> bool:
        if self._configuration.number == 0:
            return False
        return self.holds_lease or self._is_candidate()

    async def run_once(self) -> None:
        """Sends the orders that are due and publishes version switches."""
        if not self._lease.takeover_wait_over():
            return
        reports = {
            name: view.load.report
            for name, view in self._view.views.items()
            if view.load.report is not None
            and view.health.is_available(self._clock.monotonic())
        }
        planned_orders = plan_orders(
            self._configuration,
            reports,
            self._max_loading,
            self._lease.fencing,
        )
        due = [planned for planned in planned_orders if self._is_due(planned)]
        await asyncio.gather(*(self._send(planned) for planned in due))
        for model, version in versions_to_serve(
            self._configuration, reports
        ).items():
            if self._lease.time_left() > 0:
                await self._publish_switch(model, version)

    async def _publish_switch(self, model: str, version: str) -> None:
        draft = notes.Draft(
            f"{model} {version} is ready",
            {},
            {core.KIND_MODELS: {model: {"serving": version}}},
            {},
        )
        published = await self._publish(draft, SWITCH_AUTHOR)
        if published.is_ok():
            self._history.add("rollout", f"{model} serves {version}")

    def _is_due(self, planned: PlannedOrder) -> bool:
        key = (planned.replica, planned.order.model, planned.order.version)
        last_sent_at = self._sent_at.get(key, -const.ORDER_RETRY_S)
        return self._clock.monotonic() - last_sent_at >= const.ORDER_RETRY_S

    async def _send(self, planned: PlannedOrder) -> None:
        link = self._links.get(planned.replica)
        # Check right before sending: this process may have been paused since
        # the orders were planned, and the lease may have expired.
        if link is None or self._lease.time_left() <= 0:
            return
        key = (planned.replica, planned.order.model, planned.order.version)
        self._sent_at[key] = self._clock.monotonic()
        sent = await link.send_order(planned.order)
        description = (
            f"{planned.order.kind} {planned.order.model} "
            f"{planned.order.version}"
        )
        if sent.is_err():
            loguru.logger.warning(
                "orders: order to {} failed: {}: {}.",
                planned.replica,
                description,
                sent.err(),
            )
            return
        self._history.add(
            "order", f"{planned.replica}: {description} ({planned.reason})"
        )

    async def close(self) -> None:
        """Releases the lease."""
        await self._lease.release()


def lease_value(router: str, incarnation: int) -> bytes:
    """Returns the value of the lease's key, which identifies the holder."""
    return json.dumps({"router": router, "incarnation": incarnation}).encode()
