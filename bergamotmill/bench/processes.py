"""`bench processes`: the cost of many real router processes on loopback.

script/bench starts the processes and passes their process ids and addresses.
"""

import argparse
import asyncio
import json
import statistics
import time
from typing import Any

from bergamotmill.bench import relay
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors

OPERATOR_KEY = "demo-operator"
PROPAGATION_TIMEOUT_S = 30.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--pids", required=True, help="comma-separated")
    parser.add_argument("--operators", required=True, help="comma-separated")
    parser.add_argument("--releases", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=10.0)


async def _request_json(pool, address: str, method: str, path: str, body=b""):
    headers = [(b"authorization", f"Bearer {OPERATOR_KEY}".encode())]
    head, answer = await http_client.fetch(
        pool, address, method, path, headers, body, 10.0
    )
    return head.status, json.loads(answer)


async def _fetch_release_number(pool, address: str) -> int:
    try:
        _, value = await _request_json(pool, address, "GET", "/status?fleet=0")
    except (http_errors.HttpError, TimeoutError):
        return 0
    return value["release"]


async def _measure_propagation_s(
    pool, addresses: list[str], number: int
) -> float:
    note = {
        "title": f"change {number}",
        "added": {"customers": {f"new-{number}": {}}},
    }
    publisher = addresses[number % len(addresses)]
    started = time.perf_counter()
    status, answer = await _request_json(
        pool,
        publisher,
        "POST",
        "/release/publish",
        json.dumps(note).encode(),
    )
    if status != 200:
        raise RuntimeError(f"publishing a release returned {status}: {answer}")
    accepted_number = answer["number"]
    pending_addresses = set(addresses)
    while (
        pending_addresses
        and time.perf_counter() - started < PROPAGATION_TIMEOUT_S
    ):
        for address in list(pending_addresses):
            if await _fetch_release_number(pool, address) >= accepted_number:
                pending_addresses.discard(address)
    return time.perf_counter() - started


async def _run(arguments: argparse.Namespace) -> dict[str, Any]:
    pids = [int(item) for item in arguments.pids.split(",")]
    addresses = arguments.operators.split(",")
    pool = http_client.Pool()
    await asyncio.sleep(15.0)
    cpu_start_s = [relay.cpu_s(pid) for pid in pids]
    await asyncio.sleep(arguments.seconds)
    core_shares = [
        (relay.cpu_s(pid) - cpu_before_s) / arguments.seconds
        for pid, cpu_before_s in zip(pids, cpu_start_s, strict=True)
    ]
    propagation_s = [
        await _measure_propagation_s(pool, addresses, number)
        for number in range(arguments.releases)
    ]
    pool.close()
    return {
        "routers": len(pids),
        "core_share_median": statistics.median(core_shares),
        "core_share_worst": max(core_shares),
        "memory_mb_median": statistics.median(
            relay.memory_kb(pid) / 1024 for pid in pids
        ),
        "in_force_median_s": statistics.median(propagation_s),
        "in_force_worst_s": max(propagation_s),
    }


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures router processes that are already running."""
    return asyncio.run(_run(arguments))


def show(result: dict[str, Any]) -> None:
    """Prints the figures."""
    for key, value in result.items():
        print(f"{key:<20} {value:10.4f}")
