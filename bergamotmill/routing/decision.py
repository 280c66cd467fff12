"""Chooses the replica for a request.

The predictive policy scores each candidate by its predicted time to first
token and by the cached work that choosing it would waste. A replica's cached
prefixes are estimated from the prefix index, which dispatches, notices,
answers and cache events update, and from ownership on a consistent hash ring,
which all routers compute alike without communicating.
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

UNKNOWN_AGE_S = -1.0
# A tied candidate holds at least this ratio of the best one's cached tokens.
CACHED_TIE_RATIO = 0.98

PolicyResult = result.Result[messages.Decision, messages.NoReplica]


class Policy(Protocol):
    """A policy that chooses the replica for each request."""

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> PolicyResult:
        """Chooses a replica."""

    def record_dispatch(self, decision: messages.Decision, now: float) -> None:
        """Records that a request is being sent to the chosen replica."""

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Records the cached tokens that an answer reported."""


PolicyFactory = Callable[
    [fleet_view.FleetView, messages.ScoreWeights, random.Random], Policy
]
POLICIES: registry.Registry[PolicyFactory] = registry.Registry("routing policy")


class _CacheEstimates:
    """Expected cached tokens and longest known prefix of each replica."""

    __slots__ = ("expected_tokens", "known_levels")

    def __init__(self):
        self.expected_tokens: dict[str, float] = {}
        self.known_levels: dict[str, int] = {}

    def update(self, replica: str, tokens: float, level: int) -> None:
        """Raises a replica's expected tokens and known level."""
        if tokens > self.expected_tokens.get(replica, -1.0):
            self.expected_tokens[replica] = tokens
        if level > self.known_levels.get(replica, 0):
            self.known_levels[replica] = level


@POLICIES.register("predictive")
class PredictivePolicy:
    """Minimizes predicted time to first token and wasted prefill work."""

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
        self._owner_priors: list[float] = []
        self._router_count = 1.0
        self._mean_worth = 1.0

    @property
    def popularity(self) -> prefix_popularity.PrefixPopularity:
        """Request rates of prefixes at this router."""
        return self._popularity

    def set_fleet(self, routers: int, mean_worth: float) -> None:
        """Sets the number of routers and the mean worth of classes."""
        self._router_count = float(max(1, routers))
        self._mean_worth = max(mean_worth, 1e-9)

    def decide(
        self, request: messages.RoutingRequest, now: float
    ) -> PolicyResult:
        """Scores the candidates and chooses the best."""
        eligible = self._view.eligible(
            request.model,
            request.version,
            request.adapter,
            request.adapter_version,
        )
        if not eligible.names:
            return result.Err(messages.NoReplica("no replica is ready", 1.0))
        estimates = self._estimate_cached(request, eligible, now)
        names = self._candidate_names(request, eligible, estimates)
        if not names:
            return result.Err(
                messages.NoReplica("all ready replicas have been tried", 1.0)
            )
        scored = self._score_all(request, eligible.views, estimates, names, now)
        choice = self._break_ties(request, scored, eligible.views, now)
        decision = messages.Decision(
            request,
            choice,
            tuple(scored),
            now,
            self._prefix_ages_s(request, choice, now),
        )
        self._verify_choice(decision, estimates)
        return result.Ok(decision)

    def _prefix_ages_s(
        self,
        request: messages.RoutingRequest,
        choice: messages.Candidate,
        now: float,
    ) -> tuple[float, ...]:
        confirmed_times = (
            self._view.locations.confirmed_at(digest, choice.replica)
            for digest in request.chain.digests
        )
        return tuple(
            UNKNOWN_AGE_S if confirmed_at is None else now - confirmed_at
            for confirmed_at in confirmed_times
        )

    def record_dispatch(self, decision: messages.Decision, now: float) -> None:
        """Assumes that the chosen replica will cache the prompt.

        Requests with the same prefix that arrive before the answer are then
        routed to the same replica.
        """
        request = decision.request
        for digest in request.chain.digests:
            self._popularity.record_request(digest, now)
            self._view.locations.add_holder(
                request.customer, digest, decision.choice.replica, now
            )

    def _estimate_cached(
        self,
        request: messages.RoutingRequest,
        eligible: fleet_view.EligibleReplicas,
        now: float,
    ) -> _CacheEstimates:
        estimates = _CacheEstimates()
        views = eligible.views
        locations = self._view.locations
        chain = request.chain
        for level, digest in enumerate(chain.digests, 1):
            tokens = chain.tokens[level - 1]
            for name, confirmed_at in locations.holders(
                request.customer, digest
            ):
                view = views.get(name)
                if view is not None:
                    chance = view.prefix_survival_probability(confirmed_at, now)
                    estimates.update(name, chance * tokens, level)
            prior = self._owner_prior(level - 1)
            for name in self._prefix_owners(digest, request, eligible, now):
                chance = prior * views[name].unknown_fraction(now)
                estimates.update(name, chance * tokens, 0)
        return estimates

    def _prefix_owners(self, digest, request, eligible, now) -> list[str]:
        rate = self._popularity.rate(digest, now) * self._router_count
        count = 1
        if rate > 0:
            # The prefill rate of the first replica is taken as typical.
            sample = eligible.views[eligible.names[0]]
            count = prefix_popularity.owner_count(
                rate,
                request.chain.total_tokens,
                sample.replica.prefill_tokens_per_s,
            )
        return eligible.ring.find(digest, count)

    def _owner_prior(self, index: int) -> float:
        while len(self._owner_priors) <= index:
            self._owner_priors.append(const.OWNER_PRIOR_INITIAL)
        return self._owner_priors[index]

    def _candidate_names(
        self,
        request: messages.RoutingRequest,
        eligible: fleet_view.EligibleReplicas,
        estimates: _CacheEstimates,
    ) -> list[str]:
        if len(eligible.names) <= const.SCORE_ALL_UP_TO_REPLICAS:
            names = list(eligible.names)
        else:
            ranked = sorted(
                estimates.expected_tokens,
                key=estimates.expected_tokens.__getitem__,
                reverse=True,
            )
            names = ranked[: const.MAX_CACHE_CANDIDATES]
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
        estimates: _CacheEstimates,
        names: list[str],
        now: float,
    ) -> list[messages.Candidate]:
        expected_tokens = estimates.expected_tokens
        best_cached = max(expected_tokens.get(name, 0.0) for name in names)
        best_cached = max(best_cached, float(request.offloaded_tokens))
        worth = request.worth / self._mean_worth
        latency_weight = self._weights.latency * worth
        waits = {
            name: views[name].load.predicted_wait_s(request.priority, now)
            for name in names
        }
        waste_weight = self._weights.waste * waste_cost_factor(
            waits.values(), const.WASTE_COST_PER_WAIT_S
        )
        scored = []
        for name in names:
            view = views[name]
            rate = view.replica.prefill_tokens_per_s
            cached = expected_tokens.get(name, 0.0)
            prefill, imports = predict_prefill(request, cached, rate)
            available = max(cached, request.offloaded_tokens if imports else 0)
            wasted_s = max(0.0, best_cached - available) / rate
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
                    wasted_s,
                    penalty,
                    cached,
                    estimates.known_levels.get(name, 0),
                    imports,
                    latency_weight * latency_s + waste_weight * wasted_s,
                )
            )
        scored.sort(key=_score)
        return scored

    def _break_ties(
        self,
        request: messages.RoutingRequest,
        scored: list[messages.Candidate],
        views: Mapping[str, fleet_view.ReplicaView],
        now: float,
    ) -> messages.Candidate:
        best = scored[0]
        margin = const.TIE_MARGIN_S + views[
            best.replica
        ].load.wait_uncertainty_s(now)
        cached = best.cached_tokens * CACHED_TIE_RATIO
        ties = [
            candidate
            for candidate in scored
            if candidate.score <= best.score + margin
            and candidate.cached_tokens >= cached
        ]
        if len(ties) == 1:
            return best
        if not request.chain.digests:
            return self._rng.choice(ties)
        # Requests with the same cached prefix resolve ties alike, so that
        # copies of the prefix on other replicas go unused and are evicted.
        seed = request.chain.digests[max(0, best.known_level - 1)]
        return max(
            ties,
            key=lambda candidate: xxhash.xxh3_64_intdigest(
                candidate.replica.encode(), seed
            ),
        )

    def _verify_choice(
        self, decision: messages.Decision, estimates: _CacheEstimates
    ) -> None:
        choice = decision.choice
        if choice.known_level == 0:
            return
        view = self._view.views[choice.replica]
        if choice.incarnation != view.incarnation:
            raise AssertionError("choice relies on an earlier incarnation")
        if choice.epoch != self._view.locations.epoch(choice.replica):
            raise AssertionError("choice relies on invalidated entries")

    def record_answer(
        self, decision: messages.Decision, cached_tokens: int, now: float
    ) -> None:
        """Updates locations, retention and owner priors from an answer."""
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
            was_cached = chain.tokens[index] <= cached_tokens
            age = decision.prefix_ages_s[index]
            if age == UNKNOWN_AGE_S:
                if choice.replica in ring.find(digest, 1):
                    self._update_owner_prior(index, was_cached)
            elif was_cached:
                view.retention.record_hit(age)
            elif age > const.SETTLED_AGE_S:
                view.retention.record_eviction(age)
            locations.add_holder(request.customer, digest, choice.replica, now)

    def _update_owner_prior(self, index: int, was_cached: bool) -> None:
        prior = self._owner_prior(index)
        step = const.OWNER_PRIOR_SMOOTHING
        self._owner_priors[index] = prior + step * (
            (1.0 if was_cached else 0.0) - prior
        )


def waste_cost_factor(waits: Collection[float], per_second: float) -> float:
    """Returns the factor by which queueing raises the cost of wasted work.

    Repeated work delays all requests queued behind it, the more so the longer
    the queues are. Without this factor a fleet near its capacity loses cache
    hits, which loads it further.
    """
    mean = sum(waits) / len(waits)
    return min(const.MAX_WASTE_COST_FACTOR, 1.0 + per_second * mean)


def predict_prefill(
    request: messages.RoutingRequest, cached: float, rate: float
) -> tuple[float, bool]:
    """Returns the shortest prefill time in seconds and whether it imports.

    Importing loads the offloaded prefix from the KV offload store.

    Args:
        request: the request.
        cached: tokens of the prompt that the replica has cached.
        rate: prefill rate of the replica in tokens per second.
    """
    uncached = max(0.0, request.chain.total_tokens - cached)
    without_import_s = const.REQUEST_OVERHEAD_S + uncached / rate
    if request.offloaded_tokens <= cached or request.import_tokens_per_s <= 0:
        return without_import_s, False
    imported_tokens = request.offloaded_tokens - cached
    computed_tokens = max(
        0.0, request.chain.total_tokens - request.offloaded_tokens
    )
    with_import_s = (
        const.REQUEST_OVERHEAD_S
        + imported_tokens / request.import_tokens_per_s
        + computed_tokens / rate
    )
    if with_import_s < without_import_s:
        return with_import_s, True
    return without_import_s, False


def _score(candidate: messages.Candidate) -> float:
    return candidate.score
