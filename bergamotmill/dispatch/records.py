"""Writes the decision log lines of a call."""

from collections.abc import Sequence

from bergamotmill.dispatch import allowances
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import standby
from bergamotmill.dispatch import upstreams
from bergamotmill.dispatch import waiting
from bergamotmill.helpers import decisions

MAX_LISTED_CANDIDATES = 4


def log_choice(
    progress: call_progress.Progress,
    choice: placement.Choice,
    attempt: messages.Attempt,
    now: float,
) -> None:
    """Logs why an upstream was chosen, with its predictions and costs."""
    best = choice.best
    decisions.record(
        "choice",
        request=progress.call.request_id,
        route=progress.call.route.name,
        upstream=attempt.upstream,
        weights=attempt.weights_version,
        wait_s=round(best.wait_s, 4),
        read_s=round(best.prefill_s, 4),
        late=round(best.lateness_cost, 4),
        read=round(best.prefill_cost, 4),
        far=round(best.distance_cost, 4),
        old=round(best.old_weights_cost, 4),
        failing=round(best.failure_cost, 4),
        prefix=best.prefix,
        scope=attempt.cache_scope,
        cached_tokens=best.cached_tokens,
        source=best.source,
        entry_age_s=round(now - best.upstream.seen_at, 2),
        considered=choice.candidate_count,
        owner=choice.owner,
        asked_s=round(choice.asked_s, 4),
        fallback=choice.fallback,
        next=_format_candidates(choice.ranked[1:]),
        attempt=len(progress.tried_upstreams) + 1,
        left_s=round(attempt.time_left_s, 3),
        copy_to=attempt.standby_address,
    )


def log_continuation(
    progress: call_progress.Progress,
    standby_copy: standby.Standby,
    lost: upstreams.Upstream,
    refusal_reason: str,
) -> None:
    """Logs whether a run continues at the standby after its engine failed."""
    decisions.record(
        "continuation",
        request=progress.call.request_id,
        lost=lost.entry.name,
        upstream=standby_copy.upstream.entry.name,
        weights=standby_copy.weights_version,
        last_event=progress.last_event_id,
        goes_on=not refusal_reason,
        reason=refusal_reason,
    )


def log_held(
    progress: call_progress.Progress,
    choice: placement.Choice,
    outlook: waiting.Outlook,
    held_count: int,
) -> None:
    """Logs that a call is held, with the predicted wait at each engine."""
    decisions.record(
        "held",
        request=progress.call.request_id,
        waiting=held_count,
        wait_s=round(outlook.wait_s, 3),
        read_s=round(outlook.prefill_s, 3),
        target_s=round(outlook.target_s, 3),
        considered=_format_candidates(choice.ranked),
    )


def log_allowance(
    progress: call_progress.Progress, allowance: allowances.Allowance
) -> None:
    """Logs whether the limit of an upstream allows a call."""
    decisions.record(
        "allowance",
        request=progress.call.request_id,
        upstream=allowance.target.name,
        granted=allowance.granted,
        owner=allowance.owner,
        waited_s=round(allowance.waited_s, 4),
        wait_s=round(allowance.wait_s, 3),
    )


def log_outcome(
    progress: call_progress.Progress,
    outcome: str,
    status: int,
    upstream: str,
    configuration: int,
    seconds: float,
    **more: object,
) -> None:
    """Logs how a call ended."""
    call = progress.call
    decisions.record(
        "outcome",
        request=call.request_id,
        route=call.route.name,
        customer=call.customer_name,
        configuration=configuration,
        outcome=outcome,
        status=status,
        upstream=upstream,
        ran=progress.run_tracker.state.value,
        detail=progress.last_error,
        seconds=round(seconds, 4),
        first_byte_s=round(progress.first_byte_s, 4),
        held=progress.was_held,
        **more,
    )


def _format_candidates(ranked: Sequence[placement.Candidate]) -> list[str]:
    """Returns the cheapest candidates, each with its wait and cost."""
    return [
        f"{item.upstream.entry.name} {item.wait_s:.2f}s {item.cost:.2f}"
        for item in ranked[:MAX_LISTED_CANDIDATES]
    ]
