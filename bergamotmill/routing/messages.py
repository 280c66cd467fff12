"""What the decision is asked, and what it answers."""

from collections.abc import Mapping
import dataclasses

from bergamotmill.routing import chain as prefix_chain


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """One request as far as the decision needs it.

    Attributes:
        kept_tokens: tokens of the prefix that a store of kept KV holds.
        kept_rate: tokens a second at which the store hands them out.
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
    """A replica with the terms of its score; times in seconds."""

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
    """The chosen candidate among those considered.

    Attributes:
        ages: for each level of the prompt, how many seconds ago the choice
            was learned to hold it; negative when it was not known to.
    """

    request: RoutingRequest
    choice: Candidate
    candidates: tuple[Candidate, ...]
    decided_at: float
    prefix_ages_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NoReplica:
    """Why no replica can take a request now."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreWeights:
    """What the deployment counts."""

    latency: float = 1.0
    waste: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """A decision and what came of it."""

    decision: Decision
    attempts: tuple[str, ...] = ()
    cached_tokens: int = -1
    first_token_s: float = -1.0

    def as_json(self) -> Mapping[str, object]:
        """Returns a form for printing."""
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
                dataclasses.asdict(item) for item in self.decision.candidates
            ],
        }
