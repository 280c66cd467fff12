"""Inputs and results of replica selection."""

from collections.abc import Mapping
import dataclasses

from bergamotmill.routing import chain as prefix_chain


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a request that replica selection uses.

    Attributes:
        worth: business value of the request's class.
        offloaded_tokens: tokens of the prefix that the KV offload store holds.
        import_tokens_per_s: rate at which the KV offload store delivers tokens.
        excluded_replicas: replicas that must not be chosen.
    """

    request_id: str
    customer: str
    model: str
    adapter: str
    version: str
    adapter_version: str
    priority: int
    worth: float
    chain: prefix_chain.PrefixChain
    offloaded_tokens: int = 0
    import_tokens_per_s: float = 0.0
    excluded_replicas: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica with the terms of its score.

    Attributes:
        epoch: epoch of the replica's entries in the prefix index.
        wait_s: predicted queueing time in seconds.
        prefill_s: predicted prefill time in seconds.
        distance_s: network latency to the replica in seconds.
        waste_s: prefill seconds for tokens that the candidate lacks but the
            best-cached candidate or the KV offload store holds.
        penalty_s: seconds added after an ejection.
        cached_tokens: expected tokens of the prompt in the cache.
        known_level: number of leading blocks known to be cached; 0 when the
            replica is only presumed to hold any as their owner.
        imports: whether the prefix is imported from the KV offload store.
        score: weighted cost; the lowest is best.
    """

    replica: str
    incarnation: int
    epoch: int
    wait_s: float
    prefill_s: float
    distance_s: float
    waste_s: float
    penalty_s: float
    cached_tokens: float
    known_level: int
    imports: bool
    score: float

    @property
    def first_token_s(self) -> float:
        """The predicted time to first token."""
        return self.wait_s + self.prefill_s + self.distance_s


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The chosen candidate and all candidates considered.

    Attributes:
        decided_at: time of the decision in seconds.
        prefix_ages_s: for each prefix of the prompt, the seconds since the
            chosen replica was last recorded as holding it; negative where
            it was not known to hold it.
    """

    request: RoutingRequest
    choice: Candidate
    candidates: tuple[Candidate, ...]
    decided_at: float
    prefix_ages_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NoReplica:
    """The reason that no replica can take a request now."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreWeights:
    """The deployment's weights of latency and wasted work in a score."""

    latency: float = 1.0
    waste: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """A decision, its attempts and its measured result.

    Attributes:
        attempts: outcome of each attempt, in order.
        cached_tokens: cached tokens that the engine reported; -1 if none.
        first_token_s: measured time to first token; -1 if not measured.
    """

    decision: Decision
    attempts: tuple[str, ...] = ()
    cached_tokens: int = -1
    first_token_s: float = -1.0

    def as_json(self) -> Mapping[str, object]:
        """Returns a JSON-serializable mapping."""
        request = self.decision.request
        return {
            "request": request.request_id,
            "customer": request.customer,
            "model": request.model,
            "version": request.version,
            "prompt_tokens": request.chain.total_tokens,
            "levels": len(request.chain.digests),
            "chosen": self.decision.choice.replica,
            "predicted_first_token_s": self.decision.choice.first_token_s,
            "predicted_cached_tokens": self.decision.choice.cached_tokens,
            "first_token_s": self.first_token_s,
            "cached_tokens": self.cached_tokens,
            "attempts": list(self.attempts),
            "candidates": [
                dataclasses.asdict(candidate)
                for candidate in self.decision.candidates
            ],
        }
