"""Status of a router and of the fleet, as shown to operators."""

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
from bergamotmill.helpers import json_text
from bergamotmill.helpers import metrics as stats
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import view as fleet_view

PEER_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 64
MAX_HISTORY_EVENTS = 10


class RouterComponents(Protocol):
    """The components of a router that its status is read from."""

    history: fleet_history.History
    membership: fleet_membership.Membership
    distribution: release_distribution.Distribution
    view: fleet_view.FleetView
    orders: engine_orders.OrderManager
    gate: front_gate.AdmissionGate

    @property
    def metrics(self) -> stats.Metrics:
        """Counters and gauges of this router."""

    @property
    def incarnation(self) -> int:
        """Incarnation of this router; higher after each start."""

    @property
    def restarts(self) -> int:
        """Number of times that a component was restarted after a failure."""

    def now(self) -> float:
        """Returns the time of the monotonic clock in seconds."""


class Status:
    """Reports the status of this router and collects that of the others."""

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
        """Returns the configuration in force at this router."""
        return self._router.distribution.configuration

    def metric_values(self) -> Mapping[str, Any]:
        """Returns the values of all counters and gauges."""
        metrics = self._router.metrics
        return {"counts": dict(metrics.counts), "gauges": dict(metrics.gauges)}

    def status(self) -> Mapping[str, Any]:
        """Returns the status of this router."""
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
            "alive": sorted(
                member.name for member in router.membership.alive()
            ),
            "replicas": self._replicas(),
            "history": [
                {"at": event.at, "kind": event.kind, "text": event.text}
                for event in router.history.latest(MAX_HISTORY_EVENTS)
            ],
        }

    def _replicas(self) -> list[Mapping[str, Any]]:
        fleet = self._router.view
        now = self._router.now()
        replicas = []
        for name, view in sorted(fleet.views.items()):
            report = view.load.report
            models = {} if report is None else report.models
            replicas.append(
                {
                    "name": name,
                    "incarnation": view.incarnation,
                    "models": {
                        model.name: f"{model.version} {model.state.value}"
                        for model in models.values()
                    },
                    "running": 0 if report is None else report.running,
                    "wait_s": round(view.load.predicted_wait_s(0, now), 3),
                    "usable": view.health.is_available(now),
                    "leaving": name in fleet.leaving,
                    "events_missed": round(view.event_loss_fraction(now), 3),
                    "keeps_s": round(view.retention.seconds, 1),
                }
            )
        return replicas

    async def on_status(
        self, request: peer_pb2.StatusRequest
    ) -> peer_pb2.StatusReply:
        """Handles a status request from another router."""
        del request
        return peer_pb2.StatusReply(status=json.dumps(self.status()).encode())

    async def fleet_status(self) -> list[Mapping[str, Any]]:
        """Returns the status of all known routers, this one first.

        A router that does not respond is listed with its membership state and
        the error.
        """
        known = self._router.membership.known
        names = [name for name in sorted(known) if name != self._name]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        others = await asyncio.gather(
            *(self._peer_status(name, semaphore) for name in names)
        )
        return [self.status(), *others]

    async def _peer_status(
        self, name: str, semaphore: asyncio.Semaphore
    ) -> Mapping[str, Any]:
        async with semaphore:
            reply = await self._peers.call(
                name, "Status", peer_pb2.StatusRequest(), PEER_TIMEOUT_S
            )
        if reply.is_ok():
            return json_text.loads(reply.ok().status)
        member = self._router.membership.known.get(name)
        state = "gone" if member is None else member.state.name.lower()
        return {"router": name, "state": state, "error": reply.err()}
