"""Runs real router processes under faults and checks their promises."""

import argparse
import asyncio
import collections
import pathlib
import random
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
MANY_ROUTERS = 200
SHOWN = 10


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="run so many")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--each",
        action="store_true",
        help="every fault once, whatever --seconds says",
    )
    parser.add_argument("--routers", type=int, default=DEFAULT_ROUTERS)
    parser.add_argument("--callers", type=int, default=DEFAULT_CALLERS)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument(
        "--keep", help="folder for the logs of runs that broke a promise"
    )


async def _serves(fleet: soak_fleet.Fleet) -> bool:
    """Waits until requests are served; False when that takes too long."""
    until = time.monotonic() + const.START_LIMIT_S
    while time.monotonic() < until:
        if any(item.served for item in fleet.seen.requests):
            return True
        await asyncio.sleep(const.WATCH_PERIOD_S)
    return False


async def _watch(fleet: soak_fleet.Fleet) -> None:
    """Notices processes that end by themselves, and promises broken."""
    ended: set[tuple[str, int]] = set()
    while True:
        fleet.gather()
        promises.check(fleet.seen)
        for router in fleet.routers:
            life = (router.name, router.lives)
            process = router.process
            if process is None or router.running or router.expected_end:
                continue
            if life not in ended:
                ended.add(life)
                fleet.seen.ends.append(
                    f"{router.name} ended by itself with {process.returncode}"
                )
        await asyncio.sleep(const.WATCH_PERIOD_S * 5)


async def _recovers(fleet: soak_fleet.Fleet) -> None:
    """Checks that calm routers serve again, on the newest weights."""
    await asyncio.sleep(const.RECOVER_S)
    now = time.monotonic()
    late = [
        item
        for item in fleet.seen.requests
        if item.ended and item.began > now - const.RECOVERED_OVER_S
    ]
    served = sum(item.served for item in late)
    if not late or served < const.RECOVERED_PART * len(late):
        fleet.seen.ends.append(
            f"{served} of {len(late)} served after the faults"
        )
    behind = [
        standin.name
        for standin in fleet.replicas.values()
        if standin.model and standin.weights < fleet.weights
    ]
    if behind:
        fleet.seen.ends.append(f"older weights at {behind} after the faults")


async def _soak(arguments: argparse.Namespace, seed: int, folder) -> Any:
    rng = random.Random(seed)
    fleet = soak_fleet.Fleet(arguments.routers, arguments.engines, 3, folder)
    callers = traffic.Traffic(fleet, arguments.callers, rng)
    tasks = background.Tasks()
    try:
        await fleet.start()
        callers.start()
        tasks.spawn(callers.probe())
        tasks.spawn(_watch(fleet))
        if await _serves(fleet):
            if arguments.each:
                await faults.each_once(fleet, rng)
            else:
                await faults.series(fleet, rng, arguments.seconds)
            await _recovers(fleet)
        else:
            fleet.seen.ends.append("nothing was served at the start")
        fleet.gather()
        promises.check(fleet.seen)
    finally:
        await tasks.close()
        await callers.close()
        await fleet.close()
    return fleet.seen


def _summary(seed: int, seen: observations.Observations) -> dict[str, Any]:
    answers = collections.Counter(
        item.status for item in seen.requests if item.ended
    )
    return {
        "seed": seed,
        "requests": len(seen.requests),
        "served": sum(item.served for item in seen.requests),
        "answers": {str(key): answers[key] for key in sorted(answers)},
        "continued": sum(item.continued for item in seen.arrivals),
        "troubles": [f"{item.kind} {item.target}" for item in seen.troubles],
        "violations": [*seen.violations, *seen.ends],
    }


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs one seed after another."""
    if arguments.routers > MANY_ROUTERS:
        raise SystemExit(f"at most {MANY_ROUTERS} routers")
    found = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            seen = asyncio.run(_soak(arguments, seed, folder))
            summary = _summary(seed, seen)
            if summary["violations"] and arguments.keep:
                kept = pathlib.Path(arguments.keep) / f"seed-{seed}"
                kept.mkdir(parents=True, exist_ok=True)
                for path in pathlib.Path(folder).iterdir():
                    (kept / path.name).write_bytes(path.read_bytes())
        found.append(summary)
        if not arguments.json:
            _show_one(summary)
    failed = [item["seed"] for item in found if item["violations"]]
    return {"failed": bool(failed), "failed_seeds": failed, "runs": found}


def _show_one(summary: dict[str, Any]) -> None:
    print(
        f"seed {summary['seed']}: {summary['served']} of "
        f"{summary['requests']} served, answers {summary['answers']}, "
        f"{summary['continued']} continued, "
        f"{len(summary['troubles'])} faults, "
        f"{len(summary['violations'])} violations",
        flush=True,
    )
    for text in summary["violations"][:SHOWN]:
        print(f"  {text}", flush=True)


def show(result: dict[str, Any]) -> None:
    """Prints the outcome of all seeds."""
    print(f"{len(result['runs'])} seeds, failed: {result['failed_seeds'] or 0}")
