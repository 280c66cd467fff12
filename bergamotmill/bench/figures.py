"""Summary figures of a simulation run, and their medians over runs."""

from collections.abc import Iterable
import statistics
from typing import Any

from bergamotmill.bench import simulation_entities


def percentile(values: list[float], percent: float) -> float:
    """Returns the nearest-rank percentile, or 0 for an empty list."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = round(percent / 100.0 * (len(ordered) - 1))
    return ordered[rank]


def summarize_run(
    outcomes: Iterable[simulation_entities.RequestOutcome],
) -> dict[str, float]:
    """Returns cache, refusal and latency figures of one run."""
    outcomes = list(outcomes)
    answered = [item for item in outcomes if item.first_token_s >= 0]
    prompt_tokens = sum(item.prompt_tokens for item in answered) or 1
    figures: dict[str, float] = {
        "requests": len(outcomes),
        "refusals": len(outcomes) - len(answered),
        "hit_rate": sum(item.cached_tokens for item in answered)
        / prompt_tokens,
        "wasted_share": sum(item.wasted_tokens for item in answered)
        / prompt_tokens,
        "worth_served": sum(
            item.request_class.worth
            for item in answered
            if item.first_token_s <= item.request_class.target_s
        )
        / (sum(item.request_class.worth for item in outcomes) or 1),
    }
    first_token_times_s = [item.first_token_s for item in answered]
    figures["first_token_p99_s"] = percentile(first_token_times_s, 99)
    for name in sorted({item.request_class.name for item in answered}):
        times = [
            i.first_token_s for i in answered if i.request_class.name == name
        ]
        for percent in (50, 95, 99):
            key = f"{name}_first_token_p{percent}_s"
            figures[key] = percentile(times, percent)
    return figures


def medians(runs: list[dict[str, float]]) -> dict[str, Any]:
    """Returns the median of each figure over several runs."""
    return {
        key: statistics.median(run.get(key, 0.0) for run in runs)
        for key in runs[0]
    }
