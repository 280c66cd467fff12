"""`bench relay`: the processor time and latency that a router adds to streams.

script/bench starts the processes; this module measures them from outside.
"""

import argparse
import asyncio
import json
import os
import pathlib
import time
from typing import Any

from bergamotmill.bench import figures
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.streams import events as sse

TARGET_US_PER_TOKEN = 39.0
TARGET_ADDED_MEDIAN_MS = 2.0
TARGET_ADDED_P99_MS = 5.0
TARGET_START_S = 1.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PATH = "/v1/chat/completions"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--router", default="127.0.0.1:18101")
    parser.add_argument("--engine", default="127.0.0.1:18011")
    parser.add_argument("--router-pid", type=int, required=True)
    parser.add_argument("--start-s", type=float, default=0.0)
    parser.add_argument("--key", default="demo-customer-key")
    parser.add_argument("--streams", type=int, default=540)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=30.0)


def cpu_s(pid: int) -> float:
    """Returns the processor seconds that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_kb(pid: int) -> float:
    """Returns the resident memory of a process in KiB."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / 1024


class StreamLoad:
    """Opens streams at one address and counts their tokens."""

    def __init__(self, address: str, key: str):
        self._address = address
        self._headers = [
            (b"authorization", f"Bearer {key}".encode()),
            (b"content-type", b"application/json"),
        ]
        self._pool = http_client.Pool()
        self.tokens = 0

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    async def stream(self, tokens: int) -> float:
        """Reads one stream to its end; returns seconds to the first token."""
        body = {
            "model": "drafter",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "short"}],
        }
        started = time.perf_counter()
        conn = await self._pool.acquire(self._address)
        head = await conn.request(
            "POST", PATH, self._headers, json.dumps(body).encode()
        )
        if head.status != 200:
            raise RuntimeError(
                f"HTTP status {head.status}: {await conn.read_all(9999)}"
            )
        splitter = sse.EventSplitter()
        first_token_s = 0.0
        while data := await conn.read():
            events = splitter.feed(data)
            if not first_token_s and any(b"data:" in event for event in events):
                first_token_s = time.perf_counter() - started
            self.tokens += len(events)
        self._pool.release(conn)
        return first_token_s


async def _measure_first_token_ms(
    load: StreamLoad, rate: float, seconds: float
):
    tasks = []
    for _ in range(int(rate * seconds)):
        tasks.append(asyncio.create_task(load.stream(4)))
        await asyncio.sleep(1.0 / rate)
    return [value * 1000.0 for value in await asyncio.gather(*tasks)]


async def _measure_throughput(load: StreamLoad, arguments) -> dict[str, float]:
    pid = arguments.router_pid
    idle_kb = memory_kb(pid)
    stream_tokens = int(24 * (arguments.seconds + 8))
    tasks = []
    for index in range(arguments.streams):
        tasks.append(asyncio.create_task(load.stream(stream_tokens)))
        if index % 20 == 0:
            await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    before = (cpu_s(pid), load.tokens, time.perf_counter())
    await asyncio.sleep(arguments.seconds)
    after = (cpu_s(pid), load.tokens, time.perf_counter())
    active_kb = memory_kb(pid)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    tokens = after[1] - before[1]
    elapsed_s = after[2] - before[2]
    used_cpu_s = after[0] - before[0]
    return {
        "tokens_per_s": tokens / elapsed_s,
        "core_share": used_cpu_s / elapsed_s,
        "us_per_token": used_cpu_s / max(1, tokens) * 1e6,
        "tokens_per_core": tokens / max(used_cpu_s, 1e-9),
        "kb_per_active_stream": (active_kb - idle_kb) / arguments.streams,
    }


async def _measure_idle_connection_kb(arguments) -> float:
    pid = arguments.router_pid
    before_kb = memory_kb(pid)
    pool = http_client.Pool()
    conns = [
        await pool.acquire(arguments.router, fresh=True)
        for _ in range(arguments.streams)
    ]
    await asyncio.sleep(0.5)
    after_kb = memory_kb(pid)
    for conn in conns:
        conn.close()
    return (after_kb - before_kb) / arguments.streams


async def _run(arguments: argparse.Namespace) -> dict[str, Any]:
    direct = StreamLoad(arguments.engine, arguments.key)
    routed = StreamLoad(arguments.router, arguments.key)
    cpu_before_s = cpu_s(arguments.router_pid)
    started = time.perf_counter()
    await asyncio.sleep(2.0)
    idle_core = (cpu_s(arguments.router_pid) - cpu_before_s) / (
        time.perf_counter() - started
    )
    for load in (direct, routed):
        await _measure_first_token_ms(load, arguments.rate, 2.0)
    first_token_ms = {"direct": [], "routed": []}
    for _ in range(3):
        for name, load in (("direct", direct), ("routed", routed)):
            first_token_ms[name] += await _measure_first_token_ms(
                load, arguments.rate, 4.0
            )
    result: dict[str, Any] = {
        "start_s": arguments.start_s,
        "idle_core_share": idle_core,
        "kb_per_idle_connection": await _measure_idle_connection_kb(arguments),
    }
    for percent in (50, 99):
        percentiles = {
            name: figures.percentile(values_ms, percent)
            for name, values_ms in first_token_ms.items()
        }
        result[f"first_token_direct_p{percent}_ms"] = percentiles["direct"]
        added = percentiles["routed"] - percentiles["direct"]
        result[f"first_token_added_p{percent}_ms"] = added
    result.update(await _measure_throughput(routed, arguments))
    routed.close()
    direct.close()
    return result


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures one router process that is already running."""
    try:
        import uvloop

        return uvloop.run(_run(arguments))
    except http_errors.HttpError as err:
        return {"failed": True, "error": repr(err)}


def show(result: dict[str, Any]) -> None:
    """Prints the figures with their targets."""
    targets = {
        "us_per_token": TARGET_US_PER_TOKEN,
        "first_token_added_p50_ms": TARGET_ADDED_MEDIAN_MS,
        "first_token_added_p99_ms": TARGET_ADDED_P99_MS,
        "start_s": TARGET_START_S,
    }
    for key, value in result.items():
        target = f"  target {targets[key]}" if key in targets else ""
        print(f"{key:<28} {value:12.3f}{target}")
