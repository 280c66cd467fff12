"""`bench policy`: a comparison of routing policies on one workload."""

import argparse
import dataclasses
from typing import Any

from bergamotmill.bench import baselines as _baselines  # noqa: F401
from bergamotmill.bench import figures
from bergamotmill.bench import oracle as _oracle  # noqa: F401
from bergamotmill.bench import simulation
from bergamotmill.bench import workload as workloads

POLICIES = (
    "random",
    "least_loaded",
    "rendezvous_bounded",
    "predictive",
    "oracle",
)
# Targets for the figures of the predictive policy, divided by the oracle's.
MIN_HIT_RATIO = 0.95
MAX_TAIL_RATIO = 1.25
MAX_WASTE_RATIO = 1.25
MAX_FAULT_RATIO = 1.5


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument(
        "--workload", choices=sorted(workloads.WORKLOADS), required=True
    )
    parser.add_argument(
        "--fault",
        default="none",
        choices=("none", "all", *simulation.FAULTS),
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--warm-up", type=float, default=30.0)
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument(
        "--spread",
        type=int,
        default=7,
        help="number of routers whose addresses a customer's callers get",
    )
    parser.add_argument(
        "--no-notices",
        action="store_true",
        help="turn off notices of dispatched requests between routers",
    )
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="FIELD=VALUE",
        help="override of a workload field",
    )


def _faults(name: str) -> frozenset[str]:
    if name == "all":
        return frozenset(simulation.FAULTS)
    return frozenset() if name == "none" else frozenset({name})


def _workload(arguments: argparse.Namespace) -> workloads.Workload:
    workload = workloads.WORKLOADS[arguments.workload]
    for item in arguments.set:
        field, _, value = item.partition("=")
        workload = dataclasses.replace(workload, **{field: float(value)})
    return workload


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs all policies on the same seeds and returns the median figures."""
    workload = _workload(arguments)
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    result: dict[str, Any] = {
        "workload": workload.name,
        "fault": arguments.fault,
        "seeds": list(seeds),
        "policies": {},
    }
    for policy in arguments.policies.split(","):
        runs = []
        for seed in seeds:
            simulated = simulation.Simulation(
                workload,
                policy,
                _faults(arguments.fault),
                seed,
                arguments.seconds,
                arguments.load,
                arguments.warm_up,
                arguments.spread,
                not arguments.no_notices,
            )
            values = figures.summarize_run(simulated.run())
            values["busy"] = simulated.busy_ratio()
            runs.append(values)
        result["policies"][policy] = figures.medians(runs)
    return result


def show(result: dict[str, Any]) -> None:
    """Prints the figures as a table."""
    policies = result["policies"]
    print(f"{result['workload']}, fault {result['fault']}")
    width = max(len(key) for values in policies.values() for key in values)
    print(" " * width, *(f"{name:>18}" for name in policies))
    keys = list(next(iter(policies.values())))
    for key in keys:
        cells = (f"{values.get(key, 0):18.4f}" for values in policies.values())
        print(f"{key:<{width}}", *cells)
    _show_targets(policies)


def _show_targets(policies: dict[str, dict[str, float]]) -> None:
    predictive = policies.get("predictive")
    oracle = policies.get("oracle")
    if predictive is None or oracle is None:
        return
    rows = (
        (
            "hit_rate",
            predictive["hit_rate"] / oracle["hit_rate"],
            ">=",
            MIN_HIT_RATIO,
        ),
        (
            "first_token_p99_s",
            predictive["first_token_p99_s"] / oracle["first_token_p99_s"],
            "<=",
            MAX_TAIL_RATIO,
        ),
        (
            "wasted_share",
            predictive["wasted_share"] / max(oracle["wasted_share"], 1e-9),
            "<=",
            MAX_WASTE_RATIO,
        ),
    )
    for key, ratio, sign, target in rows:
        met = ratio >= target if sign == ">=" else ratio <= target
        verdict = "met" if met else "NOT met"
        print(
            f"{key} relative to the oracle: {ratio:.3f}, "
            f"target {sign} {target}: {verdict}"
        )
