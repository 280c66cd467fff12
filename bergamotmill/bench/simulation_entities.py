"""Routers, replicas and requests of the policy simulation."""

from collections.abc import Mapping
import dataclasses
import random
from typing import Protocol

from bergamotmill import core
from bergamotmill.bench import workload as workloads
from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import kv_export
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view
from bergamotmill.standin import engine_model
from bergamotmill.upstream.engine import config

ROUTERS = 7
MODEL = "drafter"
VERSION = "v1"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of one request.

    Attributes:
        first_token_s: seconds until the first token; negative for a refusal.
        cached_tokens: prompt tokens that were cached or imported.
        wasted_tokens: prompt tokens computed although another live replica
            or the KV offload store held them.
    """

    request_class: workloads.RequestClass
    arrival_s: float
    first_token_s: float
    prompt_tokens: int
    cached_tokens: int
    wasted_tokens: int


class Replica:
    """A simulated engine and its incarnation."""

    def __init__(
        self, name: str, speed: engine_model.Speed, data_centre_index: int
    ):
        self.name = name
        self.speed = speed
        self.data_centre_index = data_centre_index
        self.engine = engine_model.EngineModel(speed)
        self.incarnation = 1
        self.up = True
        self.next_wake_at: float | None = None

    def report(self, now: float) -> config.LoadReport:
        """Returns the load report that the engine would give now."""
        loaded = config.LoadedModel(MODEL, VERSION, config.ModelState.READY)
        return config.LoadReport(
            self.incarnation,
            now,
            self.engine.queued_tokens(now),
            self.engine.running,
            self.speed.slots,
            self.engine.accepted_tokens,
            self.speed.prefill_tokens_per_s,
            {MODEL: loaded},
        )


class SimulationState(Protocol):
    """The state of the simulation that routers read."""

    workload: workloads.Workload
    seed: int
    now: float
    replicas: Mapping[str, "Replica"]


class Router:
    """A router with its own fleet view and policy."""

    def __init__(self, simulation: SimulationState, index: int, policy: str):
        self.index = index
        workload = simulation.workload
        self.data_centre_index = index % workload.data_centres
        self.view = fleet_view.FleetView(lambda: simulation.now)
        weights = messages.ScoreWeights(
            workload.latency_weight, workload.waste_weight
        )
        rng = random.Random(f"{simulation.seed}/router/{index}")
        self.policy = routing_decision.POLICIES.get(policy)(
            self.view, weights, rng
        )
        worths = [request_class.worth for request_class in workload.classes]
        self.policy.set_fleet(ROUTERS, sum(worths) / len(worths))
        replicas = {
            item.name: core.Replica(
                item.name,
                "",
                str(item.data_centre_index),
                slots=item.speed.slots,
                prefill_tokens_per_s=item.speed.prefill_tokens_per_s,
            )
            for item in simulation.replicas.values()
        }
        self.view.set_replicas(replicas, self._distance(workload))
        popularity = getattr(self.policy, "popularity", None)
        self.export_policy = None
        if popularity is not None:
            self.export_policy = kv_export.ExportPolicy(popularity, 0.0)

    def _distance(self, workload: workloads.Workload):
        def distance(data_centre: str) -> float:
            near = data_centre == str(self.data_centre_index)
            return workload.near_s if near else workload.far_s

        return distance


class PendingRequest:
    """A request in progress, with its latest routing decision."""

    def __init__(self, request: workloads.Request, router: Router):
        self.request = request
        self.router = router
        self.decision: messages.Decision | None = None
        self.excluded: frozenset[str] = frozenset()
        self.best_cached_blocks = 0
        self.priority = request.request_class.priority
