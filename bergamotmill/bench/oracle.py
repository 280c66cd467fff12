"""A reference policy that knows the current cache and queue of each replica."""

import random

import result

from bergamotmill.bench import workload as workloads
from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view


@routing_decision.POLICIES.register("oracle")
class OraclePolicy:
    """Scores all replicas by their actual caches and queues."""

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
        """Gives the policy access to the simulated engines."""
        self._simulation = simulation

    def set_fleet(self, routers: int, mean_worth: float) -> None:
        """Sets the mean worth of the request classes."""
        self._mean_worth = mean_worth

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> routing_decision.PolicyResult:
        """Chooses the replica with the lowest actual cost."""
        candidates = []
        replicas = self._simulation.replicas
        live_replicas = [item for item in replicas.values() if item.up]
        live_replicas = [
            item
            for item in live_replicas
            if item.name not in request.excluded_replicas
        ]
        if not live_replicas:
            return result.Err(
                messages.NoReplica("all replicas are down or excluded", 0.5)
            )
        cached_blocks = {
            item.name: _expected_cached_blocks(item, request.chain.digests)
            for item in live_replicas
        }
        best_tokens = max(cached_blocks.values()) * workloads.BLOCK_TOKENS
        best_tokens = max(best_tokens, request.offloaded_tokens)
        worth = request.worth / self._mean_worth
        waits_s = {
            item.name: _expected_wait_s(item, request.priority, now)
            for item in live_replicas
        }
        waste = self._weights.waste * routing_decision.waste_cost_factor(
            waits_s.values(), self._simulation.workload.oracle_pressure
        )
        for item in live_replicas:
            cached_tokens = cached_blocks[item.name] * workloads.BLOCK_TOKENS
            rate = item.speed.prefill_tokens_per_s
            prefill_s, imports = routing_decision.predict_prefill(
                request, cached_tokens, rate
            )
            reachable_tokens = max(
                cached_tokens, request.offloaded_tokens if imports else 0
            )
            lost_s = max(0.0, best_tokens - reachable_tokens) / rate
            wait_s = waits_s[item.name]
            view = self._view.views[item.name]
            latency_s = wait_s + prefill_s + view.distance_s
            score = self._weights.latency * worth * latency_s + waste * lost_s
            candidates.append(
                messages.Candidate(
                    item.name,
                    item.incarnation,
                    0,
                    wait_s,
                    prefill_s,
                    view.distance_s,
                    lost_s,
                    0.0,
                    cached_tokens,
                    0,
                    imports,
                    score,
                )
            )
        choice = min(candidates, key=lambda item: (item.score, item.replica))
        return result.Ok(
            messages.Decision(request, choice, tuple(candidates), now)
        )

    def record_dispatch(self, decision: messages.Decision, now: float) -> None:
        """Does nothing; the oracle reads the engines directly."""

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Does nothing; the oracle reads the engines directly."""


def _expected_cached_blocks(item, digests) -> int:
    """Returns the blocks that will be cached once queued prefills are done."""
    blocks = item.engine.cache.depth(digests)
    for job in item.engine.pending():
        shared_blocks = 0
        for own, other in zip(digests, job.chain, strict=False):
            if own != other:
                break
            shared_blocks += 1
        blocks = max(blocks, shared_blocks)
    return blocks


def _expected_wait_s(item, priority: int, now: float) -> float:
    queued = item.engine.queued_tokens(now)
    tokens = sum(count for level, count in queued.items() if level >= priority)
    wait_s = tokens / item.speed.prefill_tokens_per_s
    # Requests beyond the slots wait until slots become free. A slot is assumed
    # to be in use for 5 s, so that one becomes free every 5 s / slots.
    excess_requests = (
        item.engine.running + item.engine.waiting - item.speed.slots
    )
    return wait_s + max(0, excess_requests) * 5.0 / item.speed.slots
