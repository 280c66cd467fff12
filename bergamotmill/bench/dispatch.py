"""`bench dispatch`: a random load through real routers and stand-in engines."""

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
# Fraction of its worth that a request earns if it misses its target.
LATE_CREDIT_RATIO = 0.3
# In the case `limited`, this many engines name limits.
LIMITED_ENGINES = 2
# Tokens that an engine sends in one event of a stream.
TOKENS_PER_EVENT = 5
# In the case `crashing`, prompts with this part crash engines; they arrive at
# this rate from the time of the faults on, and earn nothing.
CRASHING_PART = "crash"
CRASHING_PER_S = 3.0
# In the case `crashing_requests`, one lookup with this body does so, too.
CRASHING_BODY = b"crash"
# Standard deviation of the logarithm of log-normal token counts.
SIZE_SIGMA = 0.6


@dataclasses.dataclass(frozen=True)
class LoadKind:
    """One kind of request in the load profile.

    Attributes:
        route: route that the requests are sent to.
        rate_per_s: requests per second.
        shared_tokens: mean prompt tokens of the shared prefix.
        own_tokens: mean prompt tokens that no other request shares.
        output_tokens: mean tokens of the answer; 0 for requests to services.
        prefix_count: number of distinct shared prefixes.
        target_s: seconds until the first byte (streams) or the whole answer
            (others).
        worth: worth of a request of mean size, if it meets its target.
    """

    route: str
    rate_per_s: float
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    prefix_count: int = 1
    target_s: float = 0.4
    worth: float = 1.0


# Load profile of the deployment `association`. The prefix counts are those of
# one day of its request log.
ASSOCIATION = (
    LoadKind("review", 11.1, 5382, 6610, 76, 180, 0.8, 5.0),
    LoadKind("check", 23.4, 568, 1800, 5, 280, 0.5, 1.6),
    LoadKind("filing", 8.65),
    LoadKind("lookup", 4.0),
)


@dataclasses.dataclass
class Request:
    """One request of the load and its outcome."""

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
        """The worth that the request earned; 0 if it was not served."""
        if self.status != 200 or not self.whole:
            return 0.0
        latency_s = (
            self.first_byte_s if self.kind.output_tokens else self.total_s
        )
        if latency_s <= self.kind.target_s:
            return self.worth
        return LATE_CREDIT_RATIO * self.worth


def draw_requests(
    seconds: float, load: float, seed: int, prefixes: float = 1.0
) -> list[Request]:
    """Draws requests with Poisson arrivals and prefixes of uneven popularity.

    Args:
        seconds: length of the load in seconds.
        load: factor on the rates of the load profile.
        seed: random seed.
        prefixes: factor on the prefix counts of the load profile.
    """
    rng = random.Random(seed)
    requests = []
    for profile_kind in ASSOCIATION:
        kind = dataclasses.replace(
            profile_kind,
            prefix_count=max(1, int(profile_kind.prefix_count * prefixes)),
        )
        prefix_tokens = [
            _draw_token_count(kind.shared_tokens, rng)
            for _ in range(kind.prefix_count)
        ]
        cumulative_popularity = list(
            itertools.accumulate(
                1.0 / (rank + 10.0) for rank in range(kind.prefix_count)
            )
        )
        arrival_s = rng.expovariate(kind.rate_per_s * load)
        while arrival_s < seconds:
            requests.append(
                _draw_request(
                    kind, arrival_s, prefix_tokens, cumulative_popularity, rng
                )
            )
            arrival_s += rng.expovariate(kind.rate_per_s * load)
    requests.sort(key=lambda item: item.arrival_s)
    return requests


def _draw_token_count(mean: float, rng: random.Random) -> int:
    """Draws a token count from a log-normal distribution with this mean."""
    return max(
        1, int(mean * rng.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA))
    )


def _draw_request(
    kind, arrival_s, prefix_tokens, cumulative_popularity, rng
) -> Request:
    if not kind.output_tokens:
        return Request(arrival_s, kind, "", 0, kind.worth)
    prefix = bisect.bisect(
        cumulative_popularity, rng.random() * cumulative_popularity[-1]
    )
    prefix = min(prefix, kind.prefix_count - 1)
    own_tokens = _draw_token_count(kind.own_tokens, rng)
    shared_tokens = prefix_tokens[prefix]
    parts = (
        f"{kind.route}{prefix}:{shared_tokens},"
        f"own{rng.getrandbits(48):x}:{own_tokens}"
    )
    output_tokens = max(1, _draw_token_count(kind.output_tokens, rng))
    cost_tokens = shared_tokens + own_tokens + 10 * output_tokens
    mean_cost_tokens = (
        kind.shared_tokens + kind.own_tokens + 10 * kind.output_tokens
    )
    return Request(
        arrival_s,
        kind,
        parts,
        output_tokens,
        kind.worth * (0.3 + 0.7 * cost_tokens / mean_cost_tokens),
    )


class Experiment:
    """One load that is sent through a fleet with one policy."""

    def __init__(self, policy: str, arguments: argparse.Namespace, seed: int):
        self._policy = policy
        self._arguments = arguments
        self._rng = random.Random(seed)
        self._network = memory_network.MemoryNetwork(random.Random(seed))
        self._requests = draw_requests(
            arguments.seconds, arguments.load, seed, arguments.prefixes
        )
        self.waiting_samples: list[tuple[float, int]] = []
        self.engines_ended = 0
        self.services_ended = 0
        self.crashing_sent = 0
        self._engines: dict[str, replica.ReplicaStandIn] = {}

    def run(self) -> list[Request]:
        """Sends the load and returns its requests with their outcomes."""
        memory_network.run(self._network, self._run_load())
        return self._requests

    @property
    def recomputed_tokens(self) -> int:
        """Prompt tokens of recently used parts that were prefilled again."""
        return sum(
            item.engine.recomputed_tokens for item in self._engines.values()
        )

    @property
    def prefilled_tokens(self) -> int:
        """All prompt tokens that were prefilled."""
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
        self.engines_ended = sum(bool(item.model) for item in fleet.crashed)
        self.services_ended = len(fleet.crashed) - self.engines_ended
        await fleet.close()

    def _configure_engines(self, fleet: platform_fleet.PlatformFleet) -> None:
        """Sets the KV memory and the tokens per event of each engine."""
        for name, standin in fleet.replicas.items():
            if standin.model and name not in self._engines:
                standin.engine.memory_tokens = self._arguments.memory
                standin.tokens_per_event = TOKENS_PER_EVENT
                self._engines[name] = standin

    async def _inject_faults(self, fleet: platform_fleet.PlatformFleet) -> None:
        """Injects the faults of the chosen case after a third of the run."""
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
        if case == "unframed":
            for standin in fleet.replicas.values():
                standin.faults.unframed = True
        if case in ("limited", "all_limited"):
            names = sorted(self._engines)
            limited = names[:LIMITED_ENGINES] if case == "limited" else names
            for name in limited:
                fleet.replicas[name].faults.limit = str(self._arguments.limit)
        async with asyncio.TaskGroup() as group:
            if case in ("crashing", "all"):
                group.create_task(self._send_crashing(fleet))
            if case in ("crashing_requests", "all"):
                group.create_task(self._send_crashing_requests(fleet))

    async def _send_crashing(self, fleet) -> None:
        """Sends prompts that crash engines until the end of the load."""
        for standin in fleet.replicas.values():
            standin.faults.crash_parts = frozenset({CRASHING_PART})
        loop = asyncio.get_running_loop()
        end = loop.time() + self._arguments.seconds * 2 / 3
        checks = [r for r in self._requests if r.kind.route == "check"]
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self._rng.expovariate(CRASHING_PER_S))
                sound = self._rng.choice(checks)
                shared, _, own = sound.parts.partition(",")
                parts = f"{shared},{CRASHING_PART}:300,x{own}"
                self.crashing_sent += 1
                group.create_task(
                    self._send(
                        fleet,
                        dataclasses.replace(sound, parts=parts, worth=0.0),
                    )
                )
                # Engines that are back have their memory to be set again.
                self._configure_engines(fleet)

    async def _send_crashing_requests(self, fleet) -> None:
        """Sends one request that crashes replicas until the load ends."""
        for standin in fleet.replicas.values():
            standin.faults.crash_mark = CRASHING_BODY
        loop = asyncio.get_running_loop()
        end = loop.time() + self._arguments.seconds * 2 / 3
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self._rng.expovariate(CRASHING_PER_S))
                self.crashing_sent += 1
                group.create_task(
                    fleet.call(
                        "lookup",
                        router=self._rng.choice(sorted(fleet.routers)),
                        body=CRASHING_BODY,
                    )
                )

    async def _sample_waiting(self, fleet, started_at: float) -> None:
        """Records every 0.5 s how many requests are held at the routers."""
        loop = asyncio.get_running_loop()
        while True:
            held = sum(
                router.dispatcher.held_count
                for router in fleet.routers.values()
            )
            self.waiting_samples.append((loop.time() - started_at, held))
            await asyncio.sleep(0.5)

    async def _send(self, fleet, request: Request) -> None:
        """Sends a request and retries it once after a 503."""
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
    """Returns the credit and token figures of one run."""
    figures: dict[str, Any] = {
        "credit": sum(item.credit for item in load)
        / sum(item.worth for item in load),
        "refused": sum(item.status == 503 for item in load) / len(load),
        "read_again_k": experiment.recomputed_tokens / 1000,
        "tokens_read_k": experiment.prefilled_tokens / 1000,
        "waiting_most": max(held for _, held in experiment.waiting_samples),
        "engines_ended": experiment.engines_ended,
        "services_ended": experiment.services_ended,
        "crashing_sent": experiment.crashing_sent,
    }
    for kind in ASSOCIATION:
        of_kind = [item for item in load if item.kind.route == kind.route]
        total_worth = sum(item.worth for item in of_kind)
        figures[f"{kind.route} credit"] = (
            sum(item.credit for item in of_kind) / total_worth
        )
    largest_reviews = sorted(
        (item for item in load if item.kind.route == "review"),
        key=lambda item: item.worth,
    )
    largest_reviews = largest_reviews[len(largest_reviews) * 9 // 10 :]
    figures["largest reviews credit"] = sum(
        item.credit for item in largest_reviews
    ) / sum(item.worth for item in largest_reviews)
    return figures


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument(
        "--case",
        default="calm",
        choices=(
            "calm",
            "engines_lost",
            "weights",
            "crashing",
            "crashing_requests",
            "unframed",
            "limited",
            "all_limited",
            "all",
        ),
    )
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--load",
        type=float,
        default=1.0,
        help="factor on the rates of the load profile",
    )
    parser.add_argument(
        "--prefixes",
        type=float,
        default=1.0,
        help="factor on the numbers of shared prefixes of the load profile",
    )
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument(
        "--limit",
        type=float,
        default=1.6,
        help="requests per second that engines name in the cases of limits",
    )
    parser.add_argument("--memory", type=int, default=259_523)
    parser.add_argument(
        "--plot", help="file for a plot of waiting requests and credit"
    )


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs all policies on the same loads and returns the means over seeds."""
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
    axes[1].set_ylabel("credit earned / total worth")
    axes[1].set_xlabel("seconds")
    axes[0].legend()
    figure.savefig(target)
    pyplot.close(figure)
