"""`bench limits`: cost and overshoot of shared rate limits."""

import argparse
import gc
import random
import time
import tracemalloc
from typing import Any

from bergamotmill.routing import limits

LIMIT_PER_S = 70.0
ROUTERS = 7
STEP_S = 0.01


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--accounts", type=int, default=20_000)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)


def _measure_cost(accounts: int) -> dict[str, float]:
    gc.collect()
    tracemalloc.start()
    rate_limits = limits.SharedRateLimits(lambda name: 1 / ROUTERS)
    names = [f"customer-{index}" for index in range(accounts)]
    for name in names:
        rate_limits.try_take(name, "review", LIMIT_PER_S, 0.0)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.perf_counter()
    for name in names:
        rate_limits.try_take(name, "review", LIMIT_PER_S, 1.0)
    elapsed_s = time.perf_counter() - started
    return {
        "take_us": elapsed_s / accounts * 1e6,
        "bytes_per_account": traced_bytes / accounts,
    }


def _measure_served_share(
    lending: bool, skew: float, seconds: float, seed: int
) -> float:
    """Returns served requests as a share of the limit, under excess demand.

    Args:
        lending: whether routers lend each other unused rate.
        skew: demand at each router relative to the previous one.
        seconds: length of the run in seconds.
        seed: random seed.
    """
    rng = random.Random(seed)
    routers = [
        limits.SharedRateLimits(lambda name: 1 / ROUTERS)
        for _ in range(ROUTERS)
    ]
    weights = [skew**index for index in range(ROUTERS)]
    served = 0
    last_borrow_s = [-1.0] * ROUTERS
    now = 0.0
    while now < seconds:
        now += STEP_S
        for index in rng.choices(range(ROUTERS), weights, k=2):
            if routers[index].try_take("c", "k", LIMIT_PER_S, now) == 0.0:
                served += 1
            elif lending and now - last_borrow_s[index] >= 1.0:
                last_borrow_s[index] = now
                _borrow(routers, index, now)
    return served / (LIMIT_PER_S * seconds)


def _borrow(
    routers: list[limits.SharedRateLimits], index: int, now: float
) -> None:
    for other, lender in enumerate(routers):
        if other != index:
            loan = lender.grant_loan(
                "c", "k", LIMIT_PER_S, LIMIT_PER_S / (ROUTERS - 1), now
            )
            routers[index].add_loan("c", "k", LIMIT_PER_S, loan, now)


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures the cost per request and the requests served under overload."""
    served_shares = {}
    for name, lending, skew in (
        ("even", True, 1.0),
        ("skewed", True, 0.5),
        ("skewed_cut_off", False, 0.5),
    ):
        served_shares[name] = _measure_served_share(
            lending, skew, arguments.seconds, arguments.seed
        )
    return {
        **_measure_cost(arguments.accounts),
        "served_share_of_limit": served_shares,
        "overshoot_bound_share": ROUTERS * limits.BURST_S / arguments.seconds,
    }


def show(result: dict[str, Any]) -> None:
    """Prints the figures."""
    for key, value in result.items():
        print(f"{key}: {value}")
