"""Replays a drawn load through real routers and emulated engines."""

import argparse
import asyncio
import bisect
import collections
import dataclasses
import itertools
import pathlib
import random
from typing import Any

from bergamotmill.bench import dispatch_policies
from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet as platform_fleet
from bergamotmill.standin.platform import replica
from bergamotmill.util import memory_network
from bergamotmill.util import tasks as background

POLICIES = ("ours", "held_for_ever", "least_loaded", "hash_by_prefix")
# The rest of its worth that an answer has which begins late.
LATE_CREDIT_RATIO = 0.3
# An engine writes an event for so many tokens.
TOKENS_PER_EVENT = 5
# The tail of two log-normal draws, of prompts and of their own parts.
SIZE_SIGMA = 0.6


@dataclasses.dataclass(frozen=True)
class LoadKind:
    """One kind of request, as the users' sheets give it.

    Attributes:
        rate: requests a second.
        shared, own, output: mean tokens of the shared parts, of the
            request's own part, and of the answer.
        prefixes: how many shared beginnings there are.
        target_s: first byte due (streams), whole answer due (others).
        worth: of an answer in time, for a request of mean size.
    """

    route: str
    rate_per_s: float
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    prefix_count: int = 1
    target_s: float = 0.4
    worth: float = 1.0


# The Association's sheet; the numbers of prefixes are those seen in the log
# of one played day.
ASSOCIATION = (
    LoadKind("review", 11.1, 5382, 6610, 76, 180, 0.8, 5.0),
    LoadKind("check", 23.4, 568, 1800, 5, 280, 0.5, 1.6),
    LoadKind("filing", 8.65),
    LoadKind("lookup", 4.0),
)


@dataclasses.dataclass
class Request:
    """One request of the load, and what became of it."""

    arrival_s: float
    kind: LoadKind
    parts: str
    output_tokens: int
    worth: float
    status: int = 0
    first_byte_s: float = 0.0
    total_s: float = 0.0
    whole: bool = False

    @property
    def credit(self) -> float:
        """What it earned of its worth."""
        if self.status != 200 or not self.whole:
            return 0.0
        begun_s = self.first_byte_s if self.kind.output_tokens else self.total_s
        if begun_s <= self.kind.target_s:
            return self.worth
        return LATE_CREDIT_RATIO * self.worth


def draw(seconds: float, load: float, seed: int) -> list[Request]:
    """Draws a load: Poisson arrivals, some prefixes more popular than others.

    Args:
        seconds: how long requests come.
        load: times the sheet's rates.
        seed: of the draw.
    """
    rng = random.Random(seed)
    found = []
    for kind in ASSOCIATION:
        sizes = [
            _draw_size(kind.shared_tokens, rng)
            for _ in range(kind.prefix_count)
        ]
        cumulative_popularity = list(
            itertools.accumulate(
                1.0 / (rank + 10.0) for rank in range(kind.prefix_count)
            )
        )
        arrival_s = rng.expovariate(kind.rate_per_s * load)
        while arrival_s < seconds:
            found.append(
                _draw_request(
                    kind, arrival_s, sizes, cumulative_popularity, rng
                )
            )
            arrival_s += rng.expovariate(kind.rate_per_s * load)
    found.sort(key=lambda item: item.arrival_s)
    return found


def _draw_size(mean: float, rng: random.Random) -> int:
    """Draws a size with a long tail around a mean."""
    return max(
        1, int(mean * rng.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA))
    )


def _draw_request(
    kind, arrival_s, sizes, cumulative_popularity, rng
) -> Request:
    if not kind.output_tokens:
        return Request(arrival_s, kind, "", 0, kind.worth)
    prefix = bisect.bisect(
        cumulative_popularity, rng.random() * cumulative_popularity[-1]
    )
    prefix = min(prefix, kind.prefix_count - 1)
    own_tokens = _draw_size(kind.own_tokens, rng)
    shared_tokens = sizes[prefix]
    parts = (
        f"{kind.route}{prefix}:{shared_tokens},"
        f"own{rng.getrandbits(48):x}:{own_tokens}"
    )
    output_tokens = max(1, _draw_size(kind.output_tokens, rng))
    size = shared_tokens + own_tokens + 10 * output_tokens
    mean = kind.shared_tokens + kind.own_tokens + 10 * kind.output_tokens
    return Request(
        arrival_s,
        kind,
        parts,
        output_tokens,
        kind.worth * (0.3 + 0.7 * size / mean),
    )


class Experiment:
    """One load under one policy."""

    def __init__(self, policy: str, arguments: argparse.Namespace, seed: int):
        self._policy = policy
        self._arguments = arguments
        self._rng = random.Random(seed)
        self._network = memory_network.MemoryNetwork(random.Random(seed))
        self._requests = draw(arguments.seconds, arguments.load, seed)
        self.waiting_samples: list[tuple[float, int]] = []
        self._engines: dict[str, replica.ReplicaStandIn] = {}

    def run(self) -> list[Request]:
        """Plays the load and returns it with what became of it."""
        memory_network.run(self._network, self._run_load())
        return self._requests

    @property
    def reread_tokens(self) -> int:
        """Tokens of shared parts that were read again."""
        return sum(
            item.engine.recomputed_tokens for item in self._engines.values()
        )

    @property
    def tokens_read(self) -> int:
        """All tokens that were read."""
        return sum(
            item.engine.prefilled_tokens for item in self._engines.values()
        )

    async def _run_load(self) -> None:
        sizes = platform_fleet.Sizes(
            routers=self._arguments.routers,
            engines=self._arguments.engines,
            services=4,
            data_centres=4,
        )
        fleet = platform_fleet.PlatformFleet(
            self._network,
            self._rng,
            sizes,
            dispatch_policies.POLICIES.get(self._policy),
        )
        await fleet.start()
        self._configure_engines(fleet)
        tasks = background.Tasks()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        sampler = tasks.spawn(self._sample_waiting(fleet, started_at))
        fault_task = tasks.spawn(self._inject_faults(fleet))
        send_tasks = []
        for request in self._requests:
            await asyncio.sleep(
                max(0.0, started_at + request.arrival_s - loop.time())
            )
            send_tasks.append(tasks.spawn(self._send(fleet, request)))
        await asyncio.wait(send_tasks)
        await fault_task
        sampler.cancel()
        await fleet.close()

    def _configure_engines(self, fleet: platform_fleet.PlatformFleet) -> None:
        """Gives engines their memory; new ones too."""
        for name, standin in fleet.replicas.items():
            if standin.model and name not in self._engines:
                standin.engine.memory_tokens = self._arguments.memory
                standin.tokens_per_event = TOKENS_PER_EVENT
                self._engines[name] = standin

    async def _inject_faults(self, fleet: platform_fleet.PlatformFleet) -> None:
        """Does what the load case says, a third into the day."""
        await asyncio.sleep(self._arguments.seconds / 3)
        case = self._arguments.case
        if case in ("engines_lost", "all"):
            for name in sorted(self._engines)[:2]:
                await fleet.crash_replica(name)
                await fleet.store.remove(const.PREFIX_REPLICAS + name)
        if case in ("weights", "all"):
            await fleet.store.write(
                const.PREFIX_WEIGHTS + platform_fleet.MODEL,
                {"model": platform_fleet.MODEL, "version": 2},
            )

    async def _sample_waiting(self, fleet, started_at: float) -> None:
        """Counts what waits at the routers, each half second."""
        loop = asyncio.get_running_loop()
        while True:
            held = sum(
                router.dispatcher.held_count
                for router in fleet.routers.values()
            )
            self.waiting_samples.append((loop.time() - started_at, held))
            await asyncio.sleep(0.5)

    async def _send(self, fleet, request: Request) -> None:
        """Sends a request; one that is refused comes back once."""
        for is_retry in (False, True):
            fields = {}
            if request.kind.output_tokens:
                events = 1 + (request.output_tokens - 1) // TOKENS_PER_EVENT
                fields = {"parts": request.parts, "output": events}
            answer = await fleet.call(
                request.kind.route,
                router=self._rng.choice(sorted(fleet.routers)),
                **fields,
            )
            refused_at = asyncio.get_running_loop().time()
            request.status = answer.status
            request.whole = answer.whole
            request.first_byte_s += answer.first_byte_s
            request.total_s += answer.seconds
            retry_after = answer.headers.get(const.HEADER_RETRY_AFTER.encode())
            if answer.status != 503 or is_retry:
                return
            await asyncio.sleep(float(retry_after or 0.1))
            paused_s = asyncio.get_running_loop().time() - refused_at
            request.first_byte_s += paused_s
            request.total_s += paused_s


def compute_figures(
    experiment: Experiment, load: list[Request]
) -> dict[str, Any]:
    """Returns the figures of one run."""
    found: dict[str, Any] = {
        "credit": sum(item.credit for item in load)
        / sum(item.worth for item in load),
        "refused": sum(item.status == 503 for item in load) / len(load),
        "read_again_k": experiment.reread_tokens / 1000,
        "tokens_read_k": experiment.tokens_read / 1000,
        "waiting_most": max(held for _, held in experiment.waiting_samples),
    }
    for kind in ASSOCIATION:
        of_kind = [item for item in load if item.kind is kind]
        total_worth = sum(item.worth for item in of_kind)
        found[f"{kind.route} credit"] = (
            sum(item.credit for item in of_kind) / total_worth
        )
    largest_reviews = sorted(
        (item for item in load if item.kind.route == "review"),
        key=lambda item: item.worth,
    )
    largest_reviews = largest_reviews[len(largest_reviews) * 9 // 10 :]
    found["largest reviews credit"] = sum(
        item.credit for item in largest_reviews
    ) / sum(item.worth for item in largest_reviews)
    return found


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument(
        "--case",
        default="calm",
        choices=("calm", "engines_lost", "weights", "all"),
    )
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--load", type=float, default=1.0, help="times the sheet's rates"
    )
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--memory", type=int, default=259_523)
    parser.add_argument("--plot", help="draw waiting and credit to a file")


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs all policies on the same loads; returns means over seeds."""
    result: dict[str, Any] = {"case": arguments.case, "policies": {}}
    first_runs = {}
    for policy in arguments.policies.split(","):
        runs = []
        for seed in range(arguments.seed, arguments.seed + arguments.seeds):
            experiment = Experiment(policy, arguments, seed)
            load = experiment.run()
            runs.append(compute_figures(experiment, load))
            first_runs.setdefault(policy, (experiment, load))
        result["policies"][policy] = {
            key: sum(item[key] for item in runs) / len(runs) for key in runs[0]
        }
    if arguments.plot:
        _plot(first_runs, pathlib.Path(arguments.plot))
    return result


def show(result: dict[str, Any]) -> None:
    """Prints the figures as a table."""
    policies = result["policies"]
    print(f"case {result['case']}")
    width = max(len(key) for key in next(iter(policies.values())))
    print(" " * width, *(f"{name:>16}" for name in policies))
    for key in next(iter(policies.values())):
        cells = (f"{values[key]:16.3f}" for values in policies.values())
        print(f"{key:<{width}}", *cells)


def _plot(first_runs, target: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        2, 1, figsize=(10, 7), sharex=True, layout="constrained"
    )
    for policy, (experiment, load) in first_runs.items():
        axes[0].plot(
            *zip(*experiment.waiting_samples, strict=True), label=policy
        )
        earned: collections.Counter[int] = collections.Counter()
        total_worth: collections.Counter[int] = collections.Counter()
        for item in load:
            earned[int(item.arrival_s)] += item.credit
            total_worth[int(item.arrival_s)] += item.worth
        axes[1].plot(
            sorted(total_worth),
            [
                earned[second] / total_worth[second]
                for second in sorted(total_worth)
            ],
            label=policy,
        )
    axes[0].set_ylabel("requests waiting at routers")
    axes[1].set_ylabel("credit earned of credit owed")
    axes[1].set_xlabel("seconds")
    axes[0].legend()
    figure.savefig(target)
    pyplot.close(figure)
