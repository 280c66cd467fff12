"""Runs real router processes under faults and checks their promises."""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import tempfile
import time
from typing import Any

from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import faults
from bergamotmill.bench.process_soak import fleet as soak_fleet
from bergamotmill.bench.process_soak import observations
from bergamotmill.bench.process_soak import promises
from bergamotmill.bench.process_soak import traffic
from bergamotmill.util import tasks as background

DEFAULT_ROUTERS = 4
DEFAULT_SECONDS = 15.0
DEFAULT_CALLERS = 12
MAX_ROUTERS = 200
MAX_SHOWN_VIOLATIONS = 10


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--each",
        action="store_true",
        help="inject every fault once, regardless of --seconds",
    )
    parser.add_argument("--routers", type=int, default=DEFAULT_ROUTERS)
    parser.add_argument("--callers", type=int, default=DEFAULT_CALLERS)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument(
        "--keep", help="folder for the logs of runs with violations"
    )


async def _wait_until_served(fleet: soak_fleet.Fleet) -> bool:
    """Waits for the first served request; returns False on a timeout."""
    deadline = time.monotonic() + const.START_TIMEOUT_S
    while time.monotonic() < deadline:
        if any(item.served for item in fleet.observed.requests):
            return True
        await asyncio.sleep(const.WATCH_PERIOD_S)
    return False


async def _monitor(fleet: soak_fleet.Fleet) -> None:
    """Records unexpected exits of routers and violations of promises."""
    reported: set[tuple[str, int]] = set()
    while True:
        fleet.collect_replica_records()
        promises.check(fleet.observed)
        for router in fleet.routers:
            start = (router.name, router.start_count)
            process = router.process
            if process is None or router.running or router.exit_expected:
                continue
            if start not in reported:
                reported.add(start)
                fleet.observed.failures.append(
                    f"{router.name} exited unexpectedly with status "
                    f"{process.returncode}"
                )
        await asyncio.sleep(const.WATCH_PERIOD_S * 5)


async def _check_recovery(fleet: soak_fleet.Fleet) -> None:
    """Checks that requests are served and weights are current again.

    A configuration that is published meanwhile has to come into force, which
    the promises check.
    """
    await asyncio.sleep(const.FAULT_SETTLE_S)
    await fleet.publish_configuration({})
    await asyncio.sleep(const.RECOVERY_WAIT_S - const.FAULT_SETTLE_S)
    now = time.monotonic()
    recent = [
        item
        for item in fleet.observed.requests
        if item.ended and item.began > now - const.RECOVERY_WINDOW_S
    ]
    served = sum(item.served for item in recent)
    if not recent or served < const.RECOVERED_FRACTION * len(recent):
        fleet.observed.failures.append(
            f"only {served} of {len(recent)} requests were served after the "
            "faults"
        )
    outdated = [
        standin.name
        for standin in fleet.replicas.values()
        if standin.model and standin.weights < fleet.weights_version
    ]
    if outdated:
        fleet.observed.failures.append(
            f"engines {outdated} still had older weights after the faults"
        )


def _cancel_on_signals() -> None:
    """Makes signals that end this process cancel the present task.

    A shell starts background jobs with SIGINT ignored, and SIGTERM ends a
    process without clean-up by default.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)


async def _run_seed(arguments: argparse.Namespace, seed: int, folder) -> Any:
    _cancel_on_signals()
    rng = random.Random(seed)
    fleet = soak_fleet.Fleet(arguments.routers, arguments.engines, 3, folder)
    callers = traffic.Traffic(fleet, arguments.callers, rng)
    tasks = background.Tasks()
    try:
        await fleet.start()
        callers.start()
        tasks.spawn(callers.probe_versions())
        tasks.spawn(callers.probe_directories())
        tasks.spawn(_monitor(fleet))
        if await _wait_until_served(fleet):
            if arguments.each:
                await faults.run_each_once(fleet, rng)
            else:
                await faults.run_overlapping(fleet, rng, arguments.seconds)
            await _check_recovery(fleet)
        else:
            fleet.observed.failures.append(
                "no request was served within the start timeout"
            )
        fleet.collect_replica_records()
        promises.check(fleet.observed)
    finally:
        await tasks.close()
        await callers.close()
        await fleet.close()
    return fleet.observed


def _summary(seed: int, observed: observations.Observations) -> dict[str, Any]:
    status_counts = collections.Counter(
        item.status for item in observed.requests if item.ended
    )
    return {
        "seed": seed,
        "requests": len(observed.requests),
        "served": sum(item.served for item in observed.requests),
        "answers": {
            str(status): status_counts[status]
            for status in sorted(status_counts)
        },
        "continued": sum(item.continued for item in observed.arrivals),
        "troubles": [
            f"{item.kind} {item.target}" for item in observed.fault_spans
        ],
        "violations": [*observed.violations, *observed.failures],
    }


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs the seeds one after another and returns their summaries."""
    if arguments.routers > MAX_ROUTERS:
        raise SystemExit(f"--routers must be at most {MAX_ROUTERS}")
    summaries = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            try:
                observed = asyncio.run(_run_seed(arguments, seed, folder))
            except asyncio.CancelledError:
                raise SystemExit(f"seed {seed}: ended by a signal") from None
            summary = _summary(seed, observed)
            if summary["violations"] and arguments.keep:
                target = pathlib.Path(arguments.keep) / f"seed-{seed}"
                target.mkdir(parents=True, exist_ok=True)
                for path in pathlib.Path(folder).iterdir():
                    (target / path.name).write_bytes(path.read_bytes())
        summaries.append(summary)
        if not arguments.json:
            _show_seed(summary)
    failed = [item["seed"] for item in summaries if item["violations"]]
    return {"failed": bool(failed), "failed_seeds": failed, "runs": summaries}


def _show_seed(summary: dict[str, Any]) -> None:
    print(
        f"seed {summary['seed']}: {summary['served']} of "
        f"{summary['requests']} served, answers {summary['answers']}, "
        f"{summary['continued']} continued, "
        f"{len(summary['troubles'])} faults, "
        f"{len(summary['violations'])} violations",
        flush=True,
    )
    for text in summary["violations"][:MAX_SHOWN_VIOLATIONS]:
        print(f"  {text}", flush=True)


def show(result: dict[str, Any]) -> None:
    """Prints the number of seeds and the seeds that failed."""
    print(f"{len(result['runs'])} seeds, failed: {result['failed_seeds'] or 0}")
