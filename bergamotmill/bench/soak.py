"""`bench soak`: real routers under random faults, with guarantees checked.

Assertions in the routers check the guarantees while they run. This module
also compares the answers that callers got with the requests that the stand-in
services recorded as run.
"""

import argparse
import asyncio
import dataclasses
import random
import traceback
from typing import Any
import uuid

import loguru

from bergamotmill.bench import faults as soak_faults
from bergamotmill.standin import caller as standin_caller
from bergamotmill.standin import cluster as standin_cluster
from bergamotmill.util import memory_network

STREAM_TOKENS = 24
FILING_TARGET = "/services/registry/records"
FILING_TRIES = 4
MAX_STEP_PAUSE_S = 0.8
SETTLING_TIME_S = 45.0
PROMPT_BYTES = 18_000


@dataclasses.dataclass
class Tally:
    """Counts of a run; `violations` describes each broken guarantee."""

    streams: int = 0
    whole: int = 0
    resumed: int = 0
    stream_errors: int = 0
    filings: int = 0
    filed: int = 0
    not_run: int = 0
    unknown: int = 0
    lookups: int = 0
    lookup_errors: int = 0
    steps: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    faults: dict[str, int] = dataclasses.field(default_factory=dict)


class Soak:
    """One run with one random seed."""

    def __init__(self, seed: int, steps: int, fault_kinds: tuple[str, ...]):
        self._seed = seed
        self._steps = steps
        self._fault_kinds = fault_kinds
        self._rng = random.Random(seed)
        self.tally = Tally()
        self._network = memory_network.MemoryNetwork(
            random.Random(f"{seed}/network")
        )
        self._cluster = standin_cluster.Cluster(
            self._network,
            random.Random(f"{seed}/cluster"),
            standin_cluster.Sizes(),
        )
        self._callers: list[standin_caller.Caller] = []
        self._reported_outcomes: dict[bytes, str] = {}

    def run(self) -> Tally:
        """Runs all steps and returns the counts and violations."""
        try:
            memory_network.run(self._network, self._main())
        except Exception:
            self.tally.violations.append(traceback.format_exc())
        return self.tally

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_loop_error)
        sink = loguru.logger.add(self._on_log, level="ERROR")
        try:
            await self._cluster.start()
            addresses = [
                f"{standin_cluster.router_host(index)}:80"
                for index in range(self._cluster.sizes.routers)
            ]
            self._callers = [
                standin_caller.Caller(
                    standin_cluster.CUSTOMER_KEY.format(name), addresses
                )
                for name in standin_cluster.CUSTOMERS
            ]
            await self._run_steps()
            self._check_filings()
            for caller in self._callers:
                caller.close()
            await self._cluster.close()
        finally:
            loguru.logger.remove(sink)

    def _on_loop_error(self, loop, context: dict[str, Any]) -> None:
        del loop
        error = context.get("exception")
        if isinstance(error, AssertionError):
            self.tally.violations.append(f"assertion: {error!r}")

    def _on_log(self, message) -> None:
        error = message.record["exception"]
        if error is not None and isinstance(error.value, AssertionError):
            self.tally.violations.append(f"assertion: {error.value!r}")

    async def _run_steps(self) -> None:
        injector = soak_faults.FaultInjector(
            self._cluster, random.Random(f"{self._seed}/faults")
        )
        tasks = []
        for step in range(self._steps):
            self.tally.steps += 1
            tasks.append(asyncio.create_task(self._send_request(step)))
            if self._fault_kinds and self._rng.random() < 0.3:
                kind = self._rng.choice(self._fault_kinds)
                fault_counts = self.tally.faults
                fault_counts[kind] = fault_counts.get(kind, 0) + 1
                tasks.append(asyncio.create_task(injector.inject(kind)))
            await asyncio.sleep(self._rng.uniform(0.0, MAX_STEP_PAUSE_S))
        done, unfinished = await asyncio.wait(
            tasks, timeout=SETTLING_TIME_S * 4
        )
        for task in done:
            if task.exception() is not None:
                raise task.exception()
        if unfinished:
            self.tally.violations.append(
                f"{len(unfinished)} requests or faults did not end"
            )
        await injector.heal_all()
        await asyncio.sleep(SETTLING_TIME_S)
        self._check_convergence()

    async def _send_request(self, step: int) -> None:
        caller_index = self._rng.randrange(len(self._callers))
        draw = self._rng.random()
        if draw < 0.5:
            await self._stream(self._callers[caller_index], step)
        elif draw < 0.9:
            await self._post_filing(self._callers[caller_index], step)
        else:
            await self._look_up(self._callers[caller_index], step)

    async def _stream(self, caller, step: int) -> None:
        self.tally.streams += 1
        prompt = f"{step % 5}" * PROMPT_BYTES
        body = {
            "model": "drafter",
            "stream": True,
            "max_tokens": STREAM_TOKENS,
            "messages": [{"role": "user", "content": prompt}],
        }
        streamed = await caller.stream(body, self._rng.randrange(3))
        tokens = streamed.text.split()
        expected = [f"t{index}" for index in range(STREAM_TOKENS)]
        if tokens != expected[: len(tokens)]:
            self.tally.violations.append(f"stream {step}: {streamed.text!r}")
        if streamed.whole and len(tokens) != STREAM_TOKENS:
            self.tally.violations.append(f"stream {step}: ended early")
        self.tally.whole += streamed.whole
        self.tally.resumed += streamed.resumes > 0
        self.tally.stream_errors += not streamed.whole

    async def _post_filing(self, caller, step: int) -> None:
        self.tally.filings += 1
        body = f'{{"filing": {step}}}'.encode()
        first_router = self._rng.randrange(3)
        key = await self._make_filing_key(caller, first_router, step)
        status = 0
        all_not_run = True
        for attempt in range(FILING_TRIES):
            router_indices = [first_router + attempt]
            if self._rng.random() < 0.3:
                router_indices.append(first_router + attempt + 1)
            answers = await asyncio.gather(
                *(
                    caller.post(index, FILING_TARGET, key, body, 9.0)
                    for index in router_indices
                )
            )
            for status, answer in answers:
                run = answer.get("error", {}).get("run")
                all_not_run = all_not_run and run == "not_run"
                if status == 201:
                    break
            if status == 201:
                break
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        self._record_filing(body, status, all_not_run)

    def _record_filing(self, body, status: int, all_not_run: bool) -> None:
        if status == 201:
            self.tally.filed += 1
            self._reported_outcomes[body] = "ran"
        elif all_not_run:
            self.tally.not_run += 1
            self._reported_outcomes[body] = "not run"
        else:
            self.tally.unknown += 1
            self._reported_outcomes[body] = "unknown"

    async def _make_filing_key(
        self, caller, first_router: int, step: int
    ) -> str:
        if self._rng.random() < 0.6:
            try:
                answer = await caller.get_json("/v1/addresses", first_router)
                return f"{answer['filing_token']}.{step}"
            except Exception as err:
                loguru.logger.debug(
                    "soak: could not get a filing token: {}", err
                )
        # A version 7 UUID with the virtual time as its timestamp.
        loop_ms = int((1_700_000_000 + asyncio.get_running_loop().time()) * 1e3)
        bits = (loop_ms << 80) | (7 << 76) | (2 << 62)
        return str(uuid.UUID(int=bits | self._rng.getrandbits(62)))

    async def _look_up(self, caller, step: int) -> None:
        self.tally.lookups += 1
        try:
            answer = await caller.get_json(
                f"/services/registry/records/{step}", self._rng.randrange(3)
            )
        except Exception as err:
            loguru.logger.debug("soak: lookup failed: {}", err)
            self.tally.lookup_errors += 1
            return
        if "error" in answer:
            self.tally.lookup_errors += 1
        elif answer["record"] != f"/records/{step}":
            self.tally.violations.append(f"lookup {step} got {answer}")

    def _check_filings(self) -> None:
        """Compares the answers that callers got with what the services ran."""
        runs: dict[bytes, int] = {}
        for standin in self._cluster.services.values():
            for body in standin.runs:
                runs[body] = runs.get(body, 0) + 1
        for body, reported in self._reported_outcomes.items():
            count = runs.get(body, 0)
            if count > 1:
                self.tally.violations.append(f"{body!r} ran {count} times")
            if reported == "ran" and count != 1:
                self.tally.violations.append(
                    f"{body!r} was reported as run but its run count is not 1"
                )
            if reported == "not run" and count != 0:
                self.tally.violations.append(
                    f"{body!r} was reported as not run but ran"
                )

    def _check_convergence(self) -> None:
        """Checks that all routers run one release and see all routers alive."""
        numbers = {
            router.distribution.number
            for router in self._cluster.routers.values()
        }
        if len(numbers) != 1:
            self.tally.violations.append(
                f"routers differ in their release: {numbers}"
            )
        for index, router in self._cluster.routers.items():
            alive = len(router.membership.alive())
            if alive != self._cluster.sizes.routers:
                self.tally.violations.append(
                    f"vm-{index} sees {alive} routers alive"
                )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--steps", type=int, default=40)
    parser.add_argument(
        "--faults",
        default=",".join(soak_faults.FAULTS.names()),
        help="comma-separated kinds of faults to inject",
    )


def shrink(
    seed: int, steps: int, fault_kinds: tuple[str, ...]
) -> dict[str, Any]:
    """Returns fewer fault kinds and steps with which the seed still fails."""
    for kind in fault_kinds:
        fewer = tuple(item for item in fault_kinds if item != kind)
        if Soak(seed, steps, fewer).run().violations:
            fault_kinds = fewer
    while steps > 1 and Soak(seed, steps // 2, fault_kinds).run().violations:
        steps //= 2
    return {"seed": seed, "steps": steps, "faults": list(fault_kinds)}


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs all seeds and returns the totals and the failures."""
    fault_kinds = tuple(item for item in arguments.faults.split(",") if item)
    total = Tally()
    failures = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        tally = Soak(seed, arguments.steps, fault_kinds).run()
        _add_tally(total, tally)
        if tally.violations:
            smallest = shrink(seed, arguments.steps, fault_kinds)
            failures.append({**smallest, "violations": tally.violations[:5]})
    return {
        "seeds": [arguments.seed, arguments.seed + arguments.seeds - 1],
        "totals": {
            key: value
            for key, value in dataclasses.asdict(total).items()
            if key != "violations"
        },
        "failures": failures,
        "failed": bool(failures),
    }


def _add_tally(total: Tally, tally: Tally) -> None:
    for field in dataclasses.fields(Tally):
        value = getattr(tally, field.name)
        if isinstance(value, int):
            setattr(total, field.name, getattr(total, field.name) + value)
    for kind, count in tally.faults.items():
        total.faults[kind] = total.faults.get(kind, 0) + count


def show(result: dict[str, Any]) -> None:
    """Prints the totals and the failures."""
    for key, value in result["totals"].items():
        print(f"{key}: {value}")
    for failure in result["failures"]:
        print(f"FAILED: {failure}")
    print(f"{len(result['failures'])} seeds with violations")
