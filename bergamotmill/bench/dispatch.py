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
LATE_PART = 0.3
# An engine writes an event for so many tokens.
STRIDE = 5
# The tail of two log-normal draws, of prompts and of their own parts.
SPREAD = 0.6


@dataclasses.dataclass(frozen=True)
class Kind:
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
    rate: float
    shared: int = 0
    own: int = 0
    output: int = 0
    prefixes: int = 1
    target_s: float = 0.4
    worth: float = 1.0


# The Association's sheet; the numbers of prefixes are those seen in the log
# of one played day.
ASSOCIATION = (
    Kind("review", 11.1, 5382, 6610, 76, 180, 0.8, 5.0),
    Kind("check", 23.4, 568, 1800, 5, 280, 0.5, 1.6),
    Kind("filing", 8.65),
    Kind("lookup", 4.0),
)


@dataclasses.dataclass
class Request:
    """One request of the load, and what became of it."""

    at: float
    kind: Kind
    parts: str
    output: int
    worth: float
    status: int = 0
    first_byte_s: float = 0.0
    seconds: float = 0.0
    whole: bool = False

    @property
    def credit(self) -> float:
        """What it earned of its worth."""
        if self.status != 200 or not self.whole:
            return 0.0
        begun_s = self.first_byte_s if self.kind.output else self.seconds
        if begun_s <= self.kind.target_s:
            return self.worth
        return LATE_PART * self.worth


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
        sizes = [_around(kind.shared, rng) for _ in range(kind.prefixes)]
        popular = list(
            itertools.accumulate(
                1.0 / (rank + 10.0) for rank in range(kind.prefixes)
            )
        )
        at = rng.expovariate(kind.rate * load)
        while at < seconds:
            found.append(_request(kind, at, sizes, popular, rng))
            at += rng.expovariate(kind.rate * load)
    found.sort(key=lambda item: item.at)
    return found


def _around(mean: float, rng: random.Random) -> int:
    """Draws a size with a long tail around a mean."""
    return max(1, int(mean * rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)))


def _request(kind, at, sizes, popular, rng) -> Request:
    if not kind.output:
        return Request(at, kind, "", 0, kind.worth)
    prefix = bisect.bisect(popular, rng.random() * popular[-1])
    prefix = min(prefix, kind.prefixes - 1)
    own = _around(kind.own, rng)
    shared = sizes[prefix]
    parts = f"{kind.route}{prefix}:{shared},own{rng.getrandbits(48):x}:{own}"
    output = max(1, _around(kind.output, rng))
    size = shared + own + 10 * output
    mean = kind.shared + kind.own + 10 * kind.output
    return Request(
        at, kind, parts, output, kind.worth * (0.3 + 0.7 * size / mean)
    )


class Experiment:
    """One load under one policy."""

    def __init__(self, policy: str, arguments: argparse.Namespace, seed: int):
        self._policy = policy
        self._arguments = arguments
        self._rng = random.Random(seed)
        self._network = memory_network.MemoryNetwork(random.Random(seed))
        self._load = draw(arguments.seconds, arguments.load, seed)
        self.waiting: list[tuple[float, int]] = []
        self._engines: dict[str, replica.ReplicaStandIn] = {}

    def run(self) -> list[Request]:
        """Plays the load and returns it with what became of it."""
        memory_network.run(self._network, self._play())
        return self._load

    @property
    def read_again(self) -> int:
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

    async def _play(self) -> None:
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
        self._take_engines(fleet)
        tasks = background.Tasks()
        loop = asyncio.get_running_loop()
        began = loop.time()
        watch = tasks.spawn(self._watch(fleet, began))
        trouble = tasks.spawn(self._trouble(fleet))
        sending = []
        for request in self._load:
            await asyncio.sleep(max(0.0, began + request.at - loop.time()))
            sending.append(tasks.spawn(self._send(fleet, request)))
        await asyncio.wait(sending)
        await trouble
        watch.cancel()
        await fleet.close()

    def _take_engines(self, fleet: platform_fleet.PlatformFleet) -> None:
        """Gives engines their memory; new ones too."""
        for name, standin in fleet.replicas.items():
            if standin.model and name not in self._engines:
                standin.engine.memory_tokens = self._arguments.memory
                standin.tokens_per_event = STRIDE
                self._engines[name] = standin

    async def _trouble(self, fleet: platform_fleet.PlatformFleet) -> None:
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

    async def _watch(self, fleet, began: float) -> None:
        """Counts what waits at the routers, each half second."""
        loop = asyncio.get_running_loop()
        while True:
            held = sum(
                router.dispatcher.held_count
                for router in fleet.routers.values()
            )
            self.waiting.append((loop.time() - began, held))
            await asyncio.sleep(0.5)

    async def _send(self, fleet, request: Request) -> None:
        """Sends a request; one that is refused comes back once."""
        for last in (False, True):
            fields = {}
            if request.kind.output:
                events = 1 + (request.output - 1) // STRIDE
                fields = {"parts": request.parts, "output": events}
            answer = await fleet.call(
                request.kind.route,
                router=self._rng.choice(sorted(fleet.routers)),
                **fields,
            )
            waited = asyncio.get_running_loop().time()
            request.status = answer.status
            request.whole = answer.whole
            request.first_byte_s += answer.first_byte_s
            request.seconds += answer.seconds
            pause = answer.headers.get(const.HEADER_RETRY_AFTER.encode())
            if answer.status != 503 or last:
                return
            await asyncio.sleep(float(pause or 0.1))
            back = asyncio.get_running_loop().time() - waited
            request.first_byte_s += back
            request.seconds += back


def figures_of(experiment: Experiment, load: list[Request]) -> dict[str, Any]:
    """Returns the figures of one run."""
    found: dict[str, Any] = {
        "credit": sum(item.credit for item in load)
        / sum(item.worth for item in load),
        "refused": sum(item.status == 503 for item in load) / len(load),
        "read_again_k": experiment.read_again / 1000,
        "tokens_read_k": experiment.tokens_read / 1000,
        "waiting_most": max(held for _, held in experiment.waiting),
    }
    for kind in ASSOCIATION:
        mine = [item for item in load if item.kind is kind]
        owed = sum(item.worth for item in mine)
        found[f"{kind.route} credit"] = sum(item.credit for item in mine) / owed
    largest = sorted(
        (item for item in load if item.kind.route == "review"),
        key=lambda item: item.worth,
    )
    largest = largest[len(largest) * 9 // 10 :]
    found["largest reviews credit"] = sum(
        item.credit for item in largest
    ) / sum(item.worth for item in largest)
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
    curves = {}
    for policy in arguments.policies.split(","):
        runs = []
        for seed in range(arguments.seed, arguments.seed + arguments.seeds):
            experiment = Experiment(policy, arguments, seed)
            load = experiment.run()
            runs.append(figures_of(experiment, load))
            curves.setdefault(policy, (experiment, load))
        result["policies"][policy] = {
            key: sum(item[key] for item in runs) / len(runs) for key in runs[0]
        }
    if arguments.plot:
        _plot(curves, pathlib.Path(arguments.plot))
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


def _plot(curves, target: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        2, 1, figsize=(10, 7), sharex=True, layout="constrained"
    )
    for policy, (experiment, load) in curves.items():
        axes[0].plot(*zip(*experiment.waiting, strict=True), label=policy)
        earned: collections.Counter[int] = collections.Counter()
        owed: collections.Counter[int] = collections.Counter()
        for item in load:
            earned[int(item.at)] += item.credit
            owed[int(item.at)] += item.worth
        axes[1].plot(
            sorted(owed),
            [earned[second] / owed[second] for second in sorted(owed)],
            label=policy,
        )
    axes[0].set_ylabel("requests waiting at routers")
    axes[1].set_ylabel("credit earned of credit owed")
    axes[1].set_xlabel("seconds")
    axes[0].legend()
    figure.savefig(target)
    pyplot.close(figure)
