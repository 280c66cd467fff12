"""Other ways to choose a replica, to compare with."""

import random

import result

from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view
from bergamotmill.util import rendezvous

BOUND = 1.25


class _Baseline:
    """Chooses by name only and learns nothing."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        weights: messages.Weights,
        rng: random.Random,
    ):
        del weights
        self._view = view
        self._rng = rng
        self._open: dict[str, int] = {}

    def set_fleet(self, routers: int, mean_worth: float) -> None:
        """Takes the fleet's size, which baselines do not use."""

    def decide(self, ask: messages.Ask, now: float) -> routing_decision.Answer:
        """Chooses a replica."""
        eligible = self._view.eligible(
            ask.model, ask.version, ask.adapter, ask.adapter_version
        )
        names = [name for name in eligible.names if name not in ask.exclude]
        if not names:
            return result.Err(messages.NoReplica("no replica is ready", 1.0))
        name = self._pick(ask, names, now)
        view = eligible.views[name]
        choice = messages.Candidate(
            name,
            view.incarnation,
            0,
            view.load.wait(ask.priority, now),
            0.0,
            view.distance_s,
            0.0,
            0.0,
            0.0,
            0,
            False,
            0.0,
        )
        self._open[name] = self._open.get(name, 0) + 1
        return result.Ok(messages.Decision(ask, choice, (choice,), now))

    def _pick(self, ask: messages.Ask, names: list[str], now: float) -> str:
        raise NotImplementedError

    def sent(self, decision: messages.Decision, now: float) -> None:
        """Learns nothing."""

    def answered(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Counts the request as ended."""
        self._open[decision.choice.replica] -= 1


@routing_decision.POLICIES.register("random")
class RandomPolicy(_Baseline):
    """Any replica."""

    def _pick(self, ask, names, now):
        return self._rng.choice(names)


@routing_decision.POLICIES.register("least_loaded")
class LeastLoadedPolicy(_Baseline):
    """The replica whose report shows the shortest wait."""

    def _pick(self, ask, names, now):
        self._rng.shuffle(names)
        views = self._view.views
        return min(
            names, key=lambda name: views[name].load.wait(ask.priority, now)
        )


@routing_decision.POLICIES.register("rendezvous_bounded")
class RendezvousPolicy(_Baseline):
    """The first in rank of the prompt's third level that is not too full."""

    def _pick(self, ask, names, now):
        digests = ask.chain.digests
        level = min(len(digests) - 1, 2)
        key = str(digests[level] if digests else ask.request_id)
        mean = (sum(self._open.values()) + 1) / len(names)
        for name in rendezvous.rank(key, names):
            if self._open.get(name, 0) <= BOUND * mean:
                return name
        return names[0]
