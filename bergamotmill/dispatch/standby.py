"""Which engine keeps a copy of a running stream's memory.

A stream that may not be repeated is lost with its engine, unless another one
has the memory of the run: there the same run goes on after the last event
that the caller has.
"""

import dataclasses

from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import upstreams

# Shorter streams are over before a copy is of use; an engine writes a token
# in about 10 ms at a usual load.
MIN_OUTPUT_TOKENS = 30
# The part of a request's worth that a copy may cost: engines are lost under
# about one in a hundred streams where they fail at all.
MAX_COPY_COST_FRACTION = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Standby:
    """An engine with a copy of a run, and what the run needs there.

    Attributes:
        weights_version: the version that the run began on.
        cache_scope: its cache scope.
    """

    upstream: upstreams.Upstream
    weights_version: int
    cache_scope: str


def choose_standby(
    call: messages.Call, choice: placement.Choice, weights: int
) -> upstreams.Upstream | None:
    """Returns the engine that is to keep a copy; none when not worth it."""
    generation = call.generation
    if generation is None or call.route.repeatable or not call.route.is_stream:
        return None
    if generation.output_tokens < MIN_OUTPUT_TOKENS:
        return None
    best = choice.best.upstream
    worth = placement.generation_worth(generation)
    near_cost = const.TRANSFER_COST_PER_TOKEN * generation.prompt_tokens
    fitting: list[tuple[float, str, upstreams.Upstream]] = []
    for candidate in choice.ranked[1:]:
        item = candidate.upstream
        if item.weights.get(generation.model, 0) != weights:
            continue
        is_far = item.entry.data_centre != best.entry.data_centre
        cost = near_cost * (const.REMOTE_TRANSFER_FACTOR if is_far else 1.0)
        if cost <= MAX_COPY_COST_FRACTION * worth:
            fitting.append((candidate.wait_s, item.entry.name, item))
    if not fitting:
        return None
    return min(fitting)[2]
