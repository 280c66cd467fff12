"""Other ways to choose a replica, to compare with."""

import random

import result

from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view
from bergamotmill.util import rendezvous

MAX_LOAD_RATIO = 1.25


class _Baseline:
    """Chooses by name only and learns nothing."""

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
        """Takes the fleet's size, which baselines do not use."""

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> routing_decision.PolicyResult:
        """Chooses a replica."""
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
        """Learns nothing."""

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Counts the request as ended."""
        self._in_flight[decision.choice.replica] -= 1


@routing_decision.POLICIES.register("random")
class RandomPolicy(_Baseline):
    """Any replica."""

    def _pick_replica(self, request, names, now):
        return self._rng.choice(names)


@routing_decision.POLICIES.register("least_loaded")
class LeastLoadedPolicy(_Baseline):
    """The replica whose report shows the shortest wait."""

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
    """The first in rank of the prompt's third level that is not too full."""

    def _pick_replica(self, request, names, now):
        digests = request.chain.digests
        level = min(len(digests) - 1, 2)
        key = str(digests[level] if digests else request.request_id)
        mean = (sum(self._in_flight.values()) + 1) / len(names)
        for name in rendezvous.rank(key, names):
            if self._in_flight.get(name, 0) <= MAX_LOAD_RATIO * mean:
                return name
        return names[0]
