"""Simple replica selection policies that `bench policy` compares with."""

import random

import result

from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view
from bergamotmill.util import rendezvous

# Upper bound on requests in flight at a replica, relative to the mean.
MAX_LOAD_RATIO = 1.25


class _Baseline:
    """Counts requests in flight and keeps no other state."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        weights: messages.ScoreWeights,
        rng: random.Random,
    ):
        del weights
        self._view = view
        self._rng = rng
        self._in_flight: dict[str, int] = {}

    def set_fleet(self, routers: int, mean_worth: float) -> None:
        """Does nothing; baselines use neither argument."""

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> routing_decision.PolicyResult:
        """Chooses one of the replicas that serve the requested model."""
        eligible = self._view.eligible(
            request.model,
            request.version,
            request.adapter,
            request.adapter_version,
        )
        names = [
            name
            for name in eligible.names
            if name not in request.excluded_replicas
        ]
        if not names:
            return result.Err(messages.NoReplica("no replica is ready", 1.0))
        name = self._pick_replica(request, names, now)
        view = eligible.views[name]
        choice = messages.Candidate(
            name,
            view.incarnation,
            0,
            view.load.predicted_wait_s(request.priority, now),
            0.0,
            view.distance_s,
            0.0,
            0.0,
            0.0,
            0,
            False,
            0.0,
        )
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        return result.Ok(messages.Decision(request, choice, (choice,), now))

    def _pick_replica(
        self, request: messages.RoutingRequest, names: list[str], now: float
    ) -> str:
        raise NotImplementedError

    def record_dispatch(self, decision: messages.Decision, now: float) -> None:
        """Does nothing; baselines keep no record of prefixes."""

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Counts the request as finished."""
        self._in_flight[decision.choice.replica] -= 1


@routing_decision.POLICIES.register("random")
class RandomPolicy(_Baseline):
    """Chooses a replica at random."""

    def _pick_replica(self, request, names, now):
        return self._rng.choice(names)


@routing_decision.POLICIES.register("least_loaded")
class LeastLoadedPolicy(_Baseline):
    """Chooses the replica with the shortest predicted wait."""

    def _pick_replica(self, request, names, now):
        self._rng.shuffle(names)
        views = self._view.views
        return min(
            names,
            key=lambda name: views[name].load.predicted_wait_s(
                request.priority, now
            ),
        )


@routing_decision.POLICIES.register("rendezvous_bounded")
class RendezvousPolicy(_Baseline):
    """Chooses by rendezvous hash of the third block, skipping busy replicas.

    A replica is busy above MAX_LOAD_RATIO; if all are, the first one in the
    fleet's order is chosen. Shorter prompts use their last block.
    """

    def _pick_replica(self, request, names, now):
        digests = request.chain.digests
        block_index = min(len(digests) - 1, 2)
        key = str(digests[block_index] if digests else request.request_id)
        mean_in_flight = (sum(self._in_flight.values()) + 1) / len(names)
        for name in rendezvous.rank(key, names):
            if self._in_flight.get(name, 0) <= MAX_LOAD_RATIO * mean_in_flight:
                return name
        return names[0]
