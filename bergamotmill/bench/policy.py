"""`bench policy`: policies side by side on one workload."""

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
HIT_TARGET = 0.95
TAIL_TARGET = 1.25
WASTE_TARGET = 1.25
FAULT_TARGET = 1.5


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
    parser.add_argument("--seeds", type=int, default=1, help="so many seeds")
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--warm-up", type=float, default=30.0)
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument(
        "--spread",
        type=int,
        default=7,
        help="routers that a customer's callers are told to use",
    )
    parser.add_argument(
        "--no-notices",
        action="store_true",
        help="routers do not tell one another what they send",
    )
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="FIELD=VALUE",
        help="another value for a field of the workload, for trials",
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
    """Runs all policies on the same seeds and returns their medians."""
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
            run_of = simulation.Simulation(
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
            values = figures.of_run(run_of.run())
            values["busy"] = run_of.busy()
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
    own = policies.get("predictive")
    best = policies.get("oracle")
    if own is None or best is None:
        return
    rows = (
        ("hit_rate", own["hit_rate"] / best["hit_rate"], ">=", HIT_TARGET),
        (
            "first_token_p99_s",
            own["first_token_p99_s"] / best["first_token_p99_s"],
            "<=",
            TAIL_TARGET,
        ),
        (
            "wasted_share",
            own["wasted_share"] / max(best["wasted_share"], 1e-9),
            "<=",
            WASTE_TARGET,
        ),
    )
    for key, ratio, sign, target in rows:
        met = ratio >= target if sign == ">=" else ratio <= target
        word = "met" if met else "NOT met"
        print(
            f"{key} to the oracle's: {ratio:.3f}, "
            f"target {sign} {target}: {word}"
        )
