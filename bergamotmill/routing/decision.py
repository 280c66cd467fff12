"""Chooses the replica for a request.

The predictive policy scores each candidate by its predicted time to first
token and by the work that choosing it would throw away. What a replica holds
is taken, in order of trust, from answers, from cache events, and from the
agreement that a prefix is kept at its homes on a hash ring, which every
router computes alike without talking.
"""

from collections.abc import Callable, Collection, Mapping
import random
from typing import Protocol

import result
import xxhash

from bergamotmill.routing import const
from bergamotmill.routing import messages
from bergamotmill.routing import popularity as prefix_popularity
from bergamotmill.routing import view as fleet_view
from bergamotmill.util import registry

UNKNOWN_AGE = -1.0
# Candidates that hold so much of what the best holds may tie with it.
SAME_CACHED = 0.98

PolicyResult = result.Result[messages.Decision, messages.NoReplica]


class Policy(Protocol):
    """A way to choose a replica."""

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> PolicyResult:
        """Chooses a replica."""

    def record_dispatch(self, decision: messages.Decision, now: float) -> None:
        """Takes note that a request goes where it was decided."""

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Learns from an answer."""


PolicyFactory = Callable[
    [fleet_view.FleetView, messages.ScoreWeights, random.Random], Policy
]
POLICIES: registry.Registry[PolicyFactory] = registry.Registry("routing policy")


class _Known:
    """What is known or presumed to be cached at each candidate."""

    __slots__ = ("expected", "levels")

    def __init__(self):
        self.expected: dict[str, float] = {}
        self.levels: dict[str, int] = {}

    def offer(self, replica: str, tokens: float, level: int) -> None:
        """Keeps the best expectation for a replica."""
        if tokens > self.expected.get(replica, -1.0):
            self.expected[replica] = tokens
        if level > self.levels.get(replica, 0):
            self.levels[replica] = level


@POLICIES.register("predictive")
class PredictivePolicy:
    """Predicts time to first token and prices wasted work."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        weights: messages.ScoreWeights,
        rng: random.Random,
    ):
        self._view = view
        self._weights = weights
        self._rng = rng
        self._popularity = prefix_popularity.PrefixPopularity()
        self._priors: list[float] = []
        self._fleet_factor = 1.0
        self._mean_worth = 1.0

    @property
    def popularity(self) -> prefix_popularity.PrefixPopularity:
        """Rates of prefixes as this router sees them."""
        return self._popularity

    def set_fleet(self, routers: int, mean_worth: float) -> None:
        """Takes the number of routers and the mean worth of classes."""
        self._fleet_factor = float(max(1, routers))
        self._mean_worth = max(mean_worth, 1e-9)

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> PolicyResult:
        """Scores the candidates and takes the best."""
        eligible = self._view.eligible(
            request.model,
            request.version,
            request.adapter,
            request.adapter_version,
        )
        if not eligible.names:
            return result.Err(messages.NoReplica("no replica is ready", 1.0))
        known = self._known(request, eligible, now)
        names = self._candidates(request, eligible, known)
        if not names:
            return result.Err(messages.NoReplica("all were tried", 1.0))
        scored = self._score_all(request, eligible.views, known, names, now)
        choice = self._choose(request, scored, eligible.views, now)
        decision = messages.Decision(
            request,
            choice,
            tuple(scored),
            now,
            self._ages(request, choice, now),
        )
        self._check(decision, known)
        return result.Ok(decision)

    def _ages(
        self,
        request: messages.RoutingRequest,
        choice: messages.Candidate,
        now: float,
    ) -> tuple[float, ...]:
        stamps = (
            self._view.locations.confirmed_at(digest, choice.replica)
            for digest in request.chain.digests
        )
        return tuple(
            UNKNOWN_AGE if stamp is None else now - stamp for stamp in stamps
        )

    def record_dispatch(self, decision: messages.Decision, now: float) -> None:
        """Presumes that the choice will hold the prompt.

        Requests that share the prompt and follow before the answer comes
        then go the same way.
        """
        request = decision.request
        for digest in request.chain.digests:
            self._popularity.record_request(digest, now)
            self._view.locations.add_holder(
                request.customer, digest, decision.choice.replica, now
            )

    def _known(
        self,
        request: messages.RoutingRequest,
        eligible: fleet_view.EligibleReplicas,
        now: float,
    ) -> _Known:
        known = _Known()
        views = eligible.views
        locations = self._view.locations
        chain = request.chain
        for level, digest in enumerate(chain.digests, 1):
            tokens = chain.tokens[level - 1]
            for name, stamp in locations.holders(request.customer, digest):
                view = views.get(name)
                if view is not None:
                    chance = view.prefix_survival_probability(stamp, now)
                    known.offer(name, chance * tokens, level)
            prior = self._prior(level - 1)
            for name in self._homes(digest, request, eligible, now):
                chance = prior * views[name].unknown_fraction(now)
                known.offer(name, chance * tokens, 0)
        return known

    def _homes(self, digest, request, eligible, now) -> list[str]:
        rate = self._popularity.rate(digest, now) * self._fleet_factor
        count = 1
        if rate > 0:
            first = eligible.views[eligible.names[0]]
            count = prefix_popularity.owner_count(
                rate,
                request.chain.total_tokens,
                first.replica.prefill_tokens_per_s,
            )
        return eligible.ring.find(digest, count)

    def _prior(self, index: int) -> float:
        while len(self._priors) <= index:
            self._priors.append(const.HOME_PRIOR_FIRST)
        return self._priors[index]

    def _candidates(
        self,
        request: messages.RoutingRequest,
        eligible: fleet_view.EligibleReplicas,
        known: _Known,
    ) -> list[str]:
        if len(eligible.names) <= const.ALL_REPLICAS_UP_TO:
            names = list(eligible.names)
        else:
            ranked = sorted(
                known.expected, key=known.expected.__getitem__, reverse=True
            )
            names = ranked[: const.MAX_CANDIDATES]
            wanted = len(names) + const.RANDOM_CANDIDATES
            while len(names) < wanted:
                name = self._rng.choice(eligible.names)
                if name not in names:
                    names.append(name)
        if request.excluded_replicas:
            names = [
                name for name in names if name not in request.excluded_replicas
            ]
        return names

    def _score_all(
        self,
        request: messages.RoutingRequest,
        views: Mapping[str, fleet_view.ReplicaView],
        known: _Known,
        names: list[str],
        now: float,
    ) -> list[messages.Candidate]:
        expected = known.expected
        best_cached = max(expected.get(name, 0.0) for name in names)
        best_cached = max(best_cached, float(request.offloaded_tokens))
        worth = request.worth / self._mean_worth
        latency = self._weights.latency * worth
        waits = {
            name: views[name].load.predicted_wait_s(request.priority, now)
            for name in names
        }
        waste = self._weights.waste * waste_cost_factor(
            waits.values(), const.PRESSURE_PER_S
        )
        scored = []
        for name in names:
            view = views[name]
            rate = view.replica.prefill_tokens_per_s
            cached = expected.get(name, 0.0)
            prefill, imports = predict_prefill(request, cached, rate)
            reachable = max(cached, request.offloaded_tokens if imports else 0)
            lost = max(0.0, best_cached - reachable) / rate
            wait = waits[name]
            penalty = view.health.penalty_s(now)
            latency_s = wait + prefill + view.distance_s + penalty
            scored.append(
                messages.Candidate(
                    name,
                    view.incarnation,
                    self._view.locations.epoch(name),
                    wait,
                    prefill,
                    view.distance_s,
                    lost,
                    penalty,
                    cached,
                    known.levels.get(name, 0),
                    imports,
                    latency * latency_s + waste * lost,
                )
            )
        scored.sort(key=_by_score)
        return scored

    def _choose(
        self,
        request: messages.RoutingRequest,
        scored: list[messages.Candidate],
        views: Mapping[str, fleet_view.ReplicaView],
        now: float,
    ) -> messages.Candidate:
        best = scored[0]
        slack = const.TIE_S + views[best.replica].load.wait_uncertainty_s(now)
        cached = best.cached_tokens * SAME_CACHED
        ties = [
            item
            for item in scored
            if item.score <= best.score + slack and item.cached_tokens >= cached
        ]
        if len(ties) == 1:
            return best
        if not request.chain.digests:
            return self._rng.choice(ties)
        # All that share what is cached tie alike, so that copies of it on
        # other replicas are not kept alive.
        seed = request.chain.digests[max(0, best.known_level - 1)]
        return max(
            ties,
            key=lambda item: xxhash.xxh3_64_intdigest(
                item.replica.encode(), seed
            ),
        )

    def _check(self, decision: messages.Decision, known: _Known) -> None:
        choice = decision.choice
        if choice.known_level == 0:
            return
        view = self._view.views[choice.replica]
        if choice.incarnation != view.incarnation:
            raise AssertionError("the choice relies on a dead incarnation")
        if choice.epoch != self._view.locations.epoch(choice.replica):
            raise AssertionError("the choice relies on void entries")

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Learns locations, horizons and priors from an answer."""
        choice = decision.choice
        view = self._view.views.get(choice.replica)
        if view is None or view.incarnation != choice.incarnation:
            return
        locations = self._view.locations
        if choice.epoch != locations.epoch(choice.replica):
            return
        request = decision.request
        chain = request.chain
        ring = self._view.eligible(
            request.model,
            request.version,
            request.adapter,
            request.adapter_version,
        ).ring
        for index, digest in enumerate(chain.digests):
            there = chain.tokens[index] <= cached_tokens
            age = decision.prefix_ages_s[index]
            if age == UNKNOWN_AGE:
                if choice.replica in ring.find(digest, 1):
                    self._learn_prior(index, there)
            elif there:
                view.retention.record_hit(age)
            elif age > const.SETTLED_AGE_S:
                view.retention.record_eviction(age)
            locations.add_holder(request.customer, digest, choice.replica, now)

    def _learn_prior(self, index: int, there: bool) -> None:
        prior = self._prior(index)
        step = const.HOME_PRIOR_STEP
        self._priors[index] = prior + step * ((1.0 if there else 0.0) - prior)


def waste_cost_factor(waits: Collection[float], per_second: float) -> float:
    """Returns the factor by which queues raise the price of wasted work.

    Work that is done twice delays all that comes after it, and the more so
    the fuller the replicas are; without this a fleet near its limit loses
    cache hits, which fills it further.
    """
    mean = sum(waits) / len(waits)
    return min(const.PRESSURE_MAX, 1.0 + per_second * mean)


def predict_prefill(
    request: messages.RoutingRequest, cached: float, rate: float
) -> tuple[float, bool]:
    """Returns the seconds of prefill, and whether importing is quicker."""
    uncached = max(0.0, request.chain.total_tokens - cached)
    plain = const.REQUEST_OVERHEAD_S + uncached / rate
    if request.offloaded_tokens <= cached or request.import_tokens_per_s <= 0:
        return plain, False
    fetched = request.offloaded_tokens - cached
    rest = max(0.0, request.chain.total_tokens - request.offloaded_tokens)
    imported = (
        const.REQUEST_OVERHEAD_S
        + fetched / request.import_tokens_per_s
        + rest / rate
    )
    if imported < plain:
        return imported, True
    return plain, False


def _by_score(candidate: messages.Candidate) -> float:
    return candidate.score
