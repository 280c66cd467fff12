"""A policy that sees every cache and every queue without lag."""

import random

import result

from bergamotmill.bench import workload as workloads
from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view


@routing_decision.POLICIES.register("oracle")
class OraclePolicy:
    """Scores all replicas by what they really hold and have waiting."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        weights: messages.ScoreWeights,
        rng: random.Random,
    ):
        self._view = view
        self._weights = weights
        self._rng = rng
        self._simulation = None
        self._mean_worth = 1.0

    def attach(self, simulation) -> None:
        """Gives sight of the engines themselves."""
        self._simulation = simulation

    def set_fleet(self, routers: int, mean_worth: float) -> None:
        """Takes the mean worth of classes."""
        self._mean_worth = mean_worth

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> routing_decision.PolicyResult:
        """Chooses the replica with the lowest true cost."""
        scored = []
        replicas = self._simulation.replicas
        up = [item for item in replicas.values() if item.up]
        up = [item for item in up if item.name not in request.excluded_replicas]
        if not up:
            return result.Err(messages.NoReplica("all are down", 0.5))
        depths = {item.name: _depth(item, request.chain.digests) for item in up}
        best = max(depths.values()) * workloads.PIECE_TOKENS
        best = max(best, request.offloaded_tokens)
        worth = request.worth / self._mean_worth
        waits = {item.name: _wait(item, request.priority, now) for item in up}
        waste = self._weights.waste * routing_decision.waste_cost_factor(
            waits.values(), self._simulation.workload.oracle_pressure
        )
        for item in up:
            cached = depths[item.name] * workloads.PIECE_TOKENS
            rate = item.speed.prefill_tokens_per_s
            prefill, imports = routing_decision.predict_prefill(
                request, cached, rate
            )
            reachable = max(cached, request.offloaded_tokens if imports else 0)
            lost = max(0.0, best - reachable) / rate
            wait = waits[item.name]
            view = self._view.views[item.name]
            latency = wait + prefill + view.distance_s
            score = self._weights.latency * worth * latency + waste * lost
            scored.append(
                messages.Candidate(
                    item.name,
                    item.incarnation,
                    0,
                    wait,
                    prefill,
                    view.distance_s,
                    lost,
                    0.0,
                    cached,
                    0,
                    imports,
                    score,
                )
            )
        choice = min(scored, key=lambda item: (item.score, item.replica))
        return result.Ok(messages.Decision(request, choice, tuple(scored), now))

    def record_dispatch(self, decision: messages.Decision, now: float) -> None:
        """Tells nobody; the engines are seen directly."""

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Learns nothing; it knows."""


def _depth(item, digests) -> int:
    """Returns pieces that will be cached once what waits is done."""
    depth = item.model.cache.depth(digests)
    for job in item.model.pending():
        shared = 0
        for own, other in zip(digests, job.chain, strict=False):
            if own != other:
                break
            shared += 1
        depth = max(depth, shared)
    return depth


def _wait(item, priority: int, now: float) -> float:
    queued = item.model.queued_tokens(now)
    tokens = sum(count for level, count in queued.items() if level >= priority)
    wait = tokens / item.speed.prefill_tokens_per_s
    over = item.model.running + item.model.waiting - item.speed.slots
    return wait + max(0, over) * 5.0 / item.speed.slots
