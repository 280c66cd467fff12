"""Chooses the engine that keeps a copy of a running stream's KV memory.

A stream that may not be repeated is lost when its engine fails. If another
engine has a copy of the run's KV memory, the same run continues there after
the last event that the caller has.
"""

import dataclasses

from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import upstreams

# Shorter streams end before a copy is useful: an engine generates a token in
# about 10 ms at normal load.
MIN_OUTPUT_TOKENS = 30
# Maximum cost of a copy as a fraction of the request's worth: where engines
# fail at all, about one in a hundred streams loses its engine.
MAX_COPY_COST_FRACTION = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Standby:
    """An engine that keeps a copy of a run, and how to continue the run there.

    Attributes:
        weights_version: version of the weights that the run started on.
    """

    upstream: upstreams.Upstream
    weights_version: int


def choose_standby(
    call: messages.Call, choice: placement.Choice, weights_version: int
) -> upstreams.Upstream | None:
    """Returns the engine to keep a copy; None when a copy does not pay off."""
    generation = call.generation
    if generation is None or call.route.repeatable or not call.route.is_stream:
        return None
    if generation.output_tokens < MIN_OUTPUT_TOKENS:
        return None
    best = choice.best.upstream
    worth = placement.generation_worth(generation)
    local_cost = const.TRANSFER_COST_PER_TOKEN * generation.prompt_tokens
    affordable: list[tuple[float, str, upstreams.Upstream]] = []
    for candidate in choice.ranked[1:]:
        upstream = candidate.upstream
        if upstream.weights.get(generation.model, 0) != weights_version:
            continue
        is_remote = upstream.entry.data_centre != best.entry.data_centre
        cost = local_cost * (const.REMOTE_TRANSFER_FACTOR if is_remote else 1.0)
        if cost <= MAX_COPY_COST_FRACTION * worth:
            affordable.append((candidate.wait_s, upstream.entry.name, upstream))
    if not affordable:
        return None
    return min(affordable)[2]
