"""`bench decision`: the time that one routing decision takes."""

import argparse
import random
import statistics
import time
from typing import Any

from bergamotmill import core
from bergamotmill.routing import chain as prefix_chain
from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view
from bergamotmill.upstream.engine import config

TARGET_US = 200.0
PREFIX_LEVELS = 8
MODEL = "drafter"
VERSION = "v1"
# (number of replicas, number of known prefixes) of each measurement.
CASES = ((9, 10_000), (60, 10_000), (526, 10_000), (526, 200_000))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--decisions", type=int, default=3000)
    parser.add_argument("--seed", type=int, default=1)


def _make_view(replicas: int, known_prefixes: int, rng: random.Random):
    view = fleet_view.FleetView(lambda: 0.0)
    names = [f"replica-{index}" for index in range(replicas)]
    view.set_replicas(
        {name: core.Replica(name, "", "dc-1") for name in names},
        lambda _: 0.0005,
    )
    loaded = config.LoadedModel(MODEL, VERSION, config.ModelState.READY)
    for name in names:
        queued = {1: rng.uniform(0, 8000), 5: rng.uniform(0, 2000)}
        report = config.LoadReport(
            1, 0.0, queued, 8, 32, 0.0, 8000.0, {MODEL: loaded}
        )
        view.on_report(name, report)
    digests = [rng.getrandbits(64) for _ in range(known_prefixes)]
    for digest in digests:
        for name in rng.sample(names, min(len(names), 3)):
            view.locations.add_holder("customer", digest, name, 0.0)
    return view, digests


def _make_request(
    digests: list[int], rng: random.Random, index: int
) -> messages.RoutingRequest:
    chain = tuple(rng.sample(digests, PREFIX_LEVELS))
    tokens = tuple(2000 * (level + 1) for level in range(PREFIX_LEVELS))
    return messages.RoutingRequest(
        f"request-{index}",
        "customer",
        MODEL,
        "",
        VERSION,
        "",
        1,
        1.0,
        prefix_chain.PrefixChain(chain, tokens, 16400),
    )


def _measure(replicas: int, known_prefixes: int, count: int, seed: int):
    rng = random.Random(seed)
    view, digests = _make_view(replicas, known_prefixes, rng)
    policy = routing_decision.POLICIES.get("predictive")(
        view, messages.ScoreWeights(), rng
    )
    requests = [_make_request(digests, rng, index) for index in range(count)]
    times_us = []
    for request in requests:
        started = time.perf_counter()
        decision = policy.decide(request, 0.05).unwrap()
        policy.record_dispatch(decision, 0.05)
        times_us.append((time.perf_counter() - started) * 1e6)
    times_us.sort()
    return {
        "replicas": replicas,
        "known": known_prefixes,
        "median_us": statistics.median(times_us),
        "p99_us": times_us[int(len(times_us) * 0.99)],
    }


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures decisions for several fleet sizes and numbers of prefixes."""
    rows = [
        _measure(replicas, known_prefixes, arguments.decisions, arguments.seed)
        for replicas, known_prefixes in CASES
    ]
    return {"target_us": TARGET_US, "levels": PREFIX_LEVELS, "rows": rows}


def show(result: dict[str, Any]) -> None:
    """Prints the figures as a table."""
    print(f"{'replicas':>9} {'known':>9} {'median us':>10} {'99th us':>9}")
    for row in result["rows"]:
        print(
            f"{row['replicas']:>9} {row['known']:>9} "
            f"{row['median_us']:>10.1f} {row['p99_us']:>9.1f}"
        )
    print(f"target: median at most {result['target_us']} us")
