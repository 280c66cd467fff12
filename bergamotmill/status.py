"""What operators see of a router and of the fleet."""

import asyncio
from collections.abc import Mapping
import json
from typing import Any, Protocol

from bergamotmill import core
from bergamotmill.control import distribution as release_distribution
from bergamotmill.control import history as fleet_history
from bergamotmill.control import membership as fleet_membership
from bergamotmill.control import orders as engine_orders
from bergamotmill.control import peers as peer_links
from bergamotmill.front import gate as front_gate
from bergamotmill.helpers import metrics as stats
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import view as fleet_view

ASK_TIMEOUT_S = 1.0
ASKED_AT_ONCE = 64
HISTORY_SHOWN = 10


class RouterComponents(Protocol):
    """The parts of a router that its status is made of."""

    history: fleet_history.History
    membership: fleet_membership.Membership
    distribution: release_distribution.Distribution
    view: fleet_view.FleetView
    orders: engine_orders.OrderManager
    gate: front_gate.AdmissionGate

    @property
    def metrics(self) -> stats.Metrics:
        """Counters and gauges."""

    @property
    def incarnation(self) -> int:
        """This start of the router."""

    @property
    def restarts(self) -> int:
        """How often a part had to be started again."""

    def now(self) -> float:
        """Returns seconds of the monotonic clock."""


class Status:
    """Describes one router, and asks the others to describe themselves."""

    def __init__(
        self,
        router: RouterComponents,
        name: str,
        data_centre: str,
        peers: peer_links.PeerClient,
    ):
        self._router = router
        self._name = name
        self._data_centre = data_centre
        self._peers = peers

    def configuration(self) -> core.Configuration:
        """Returns the configuration in force here."""
        return self._router.distribution.configuration

    def metric_values(self) -> Mapping[str, Any]:
        """Returns counters and gauges."""
        metrics = self._router.metrics
        return {"counts": dict(metrics.counts), "gauges": dict(metrics.gauges)}

    def status(self) -> Mapping[str, Any]:
        """Returns this router's own state."""
        router = self._router
        admission = router.gate.admission
        return {
            "router": self._name,
            "incarnation": router.incarnation,
            "data_centre": self._data_centre,
            "state": router.membership.own.state.name.lower(),
            "release": router.distribution.number,
            "reader": router.distribution.is_reader,
            "orders": router.orders.holds_lease,
            "busy": admission.slots_in_use,
            "waiting": admission.waiting,
            "restarts": router.restarts,
            "alive": sorted(item.name for item in router.membership.alive()),
            "replicas": self._replicas(),
            "history": [
                {"at": item.at, "kind": item.kind, "text": item.text}
                for item in router.history.latest(HISTORY_SHOWN)
            ],
        }

    def _replicas(self) -> list[Mapping[str, Any]]:
        fleet = self._router.view
        now = self._router.now()
        shown = []
        for name, view in sorted(fleet.views.items()):
            report = view.load.report
            models = {} if report is None else report.models
            shown.append(
                {
                    "name": name,
                    "incarnation": view.incarnation,
                    "models": {
                        item.name: f"{item.version} {item.state.value}"
                        for item in models.values()
                    },
                    "running": 0 if report is None else report.running,
                    "wait_s": round(view.load.predicted_wait_s(0, now), 3),
                    "usable": view.health.is_available(now),
                    "leaving": name in fleet.leaving,
                    "events_missed": round(view.event_loss_fraction(now), 3),
                    "keeps_s": round(view.retention.seconds, 1),
                }
            )
        return shown

    async def on_status(
        self, request: peer_pb2.StatusRequest
    ) -> peer_pb2.StatusReply:
        """Describes this router to another."""
        del request
        return peer_pb2.StatusReply(status=json.dumps(self.status()).encode())

    async def fleet_status(self) -> list[Mapping[str, Any]]:
        """Returns the state of all routers that answer, this one first."""
        known = self._router.membership.known
        names = [name for name in sorted(known) if name != self._name]
        slots = asyncio.Semaphore(ASKED_AT_ONCE)
        others = await asyncio.gather(
            *(self._ask(name, slots) for name in names)
        )
        return [self.status(), *others]

    async def _ask(
        self, name: str, slots: asyncio.Semaphore
    ) -> Mapping[str, Any]:
        async with slots:
            answer = await self._peers.call(
                name, "Status", peer_pb2.StatusRequest(), ASK_TIMEOUT_S
            )
        if answer.is_ok():
            return json.loads(answer.ok().status)
        member = self._router.membership.known.get(name)
        state = "gone" if member is None else member.state.name.lower()
        return {"router": name, "state": state, "error": answer.err()}
