"""Figures of a run, and medians over runs."""

from collections.abc import Iterable
import statistics
from typing import Any

from bergamotmill.bench import parts


def percentile(values: list[float], percent: float) -> float:
    """Returns the nearest-rank percentile; 0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = round(percent / 100.0 * (len(ordered) - 1))
    return ordered[rank]


def of_run(served: Iterable[parts.Served]) -> dict[str, float]:
    """Returns the figures of one run."""
    served = list(served)
    done = [item for item in served if item.first_token_s >= 0]
    prompt = sum(item.prompt_tokens for item in done) or 1
    figures: dict[str, float] = {
        "requests": len(served),
        "refusals": len(served) - len(done),
        "hit_rate": sum(item.cached_tokens for item in done) / prompt,
        "wasted_share": sum(item.wasted_tokens for item in done) / prompt,
        "worth_served": sum(
            item.shape.worth
            for item in done
            if item.first_token_s <= item.shape.target_s
        )
        / (sum(item.shape.worth for item in served) or 1),
    }
    everyone = [item.first_token_s for item in done]
    figures["first_token_p99_s"] = percentile(everyone, 99)
    for name in sorted({item.shape.name for item in done}):
        times = [i.first_token_s for i in done if i.shape.name == name]
        for percent in (50, 95, 99):
            key = f"{name}_first_token_p{percent}_s"
            figures[key] = percentile(times, percent)
    return figures


def medians(runs: list[dict[str, float]]) -> dict[str, Any]:
    """Returns the median of each figure over runs."""
    return {
        key: statistics.median(run.get(key, 0.0) for run in runs)
        for key in runs[0]
    }
