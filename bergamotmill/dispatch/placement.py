"""Chooses the upstream for an attempt; performs no I/O.

Each candidate has a cost in units of worth, the measure in which operators
price requests. It adds up the loss if the response begins late, the cost of
computing parts of the prompt again that another engine has cached or of
copying them from there, and the cost of carrying the request to another data
centre.

Every router assigns the same owner to prompts with a common prefix, by
rendezvous hashing of a shared prefix (see Prefix.owner_level). Routers thus
agree on an engine even when they have no record of what engines hold.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
import dataclasses
import functools
import math
import random

import xxhash

from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import upstreams
from bergamotmill.engine_load import speed as engine_speed
from bergamotmill.util import rendezvous

# Prefixes whose rendezvous owner is kept while the engines stay the same.
MAX_CACHED_PREFIX_OWNERS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """A prompt's prefixes within one cache scope, one ending at each part.

    Attributes:
        digests: hashes of the prefixes, shortest first.
        tokens: lengths of the prefixes, in tokens.
        total_tokens: length of the whole prompt, in tokens.
    """

    digests: tuple[int, ...]
    tokens: tuple[int, ...]
    total_tokens: int

    @property
    def shared_parts(self) -> int:
        """Number of parts that requests may share: all but the last."""
        return max(0, len(self.digests) - 1)

    @property
    def name(self) -> str:
        """The longest shared prefix as named in logs; empty for none."""
        if not self.shared_parts:
            return ""
        return (
            f"{self.digests[self.shared_parts - 1]:016x}:{self.shared_tokens}"
        )

    @property
    def owner_level(self) -> int:
        """Index of the shared prefix whose owner the prompt goes to.

        This is the longest one whose last part has at least as many tokens as
        all parts before it. A smaller last part is left out, since computing
        it again is cheaper than computing what precedes it.
        """
        level = max(0, self.shared_parts - 1)
        while level > 0:
            preceding_tokens = self.tokens[level - 1]
            if self.tokens[level] - preceding_tokens >= preceding_tokens:
                break
            level -= 1
        return level

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the shared parts."""
        return self.tokens[self.shared_parts - 1] if self.shared_parts else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs from an engine.

    Attributes:
        prefixes: prefixes of the prompt by version of the weights that it may
            run on; each version has a cache scope of its own.
        worth: business value of the request.
        target_s: time left until the first byte counts as late, in seconds.
        payload_bytes: size of the request and its expected response, in bytes.
        stale_versions: versions whose responses are worth less.
        data_centre: where the request is; empty for this router's.
    """

    prefixes: Mapping[int, Prefix]
    worth: float
    target_s: float
    payload_bytes: int
    stale_versions: frozenset[int] = frozenset()
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with its predictions and the terms of its cost.

    The terms are in units of worth; for plain services they are in seconds.

    Attributes:
        wait_s: time until work on the request begins, in seconds.
        prefill_s: time to copy and compute the prompt's KV cache after that,
            in seconds.
        work_s: the computing part of prefill_s, without copying, in seconds.
        cached_tokens: number of tokens of the prompt that it has cached.
        source: address of the engine to copy cached parts from; empty for
            none.
        prefix: longest shared prefix as named in logs.
        lateness_cost: expected loss from a late first byte, and cost of the
            wait.
        prefill_cost: cost of copying cached parts and of computing parts again
            that another engine holds.
        distance_cost: cost of sending the request to another data centre.
        old_weights_cost: loss from a response by older weights.
        failure_cost: expected loss from a failure.
        idle: whether no known work delays the request there.
        allowance_wait_s: the part of wait_s until a limit that the upstream
            has named allows the request, in seconds.
        work: what the engine computes; None for plain services and where
            another router chose.
        copied_tokens: number of cached tokens that are copied there first.
    """

    upstream: upstreams.Upstream
    wait_s: float
    prefill_s: float
    work_s: float
    cached_tokens: int
    source: str
    prefix: str
    lateness_cost: float
    prefill_cost: float
    distance_cost: float
    old_weights_cost: float
    failure_cost: float
    idle: bool = False
    allowance_wait_s: float = 0.0
    work: engine_speed.Work | None = None
    copied_tokens: int = 0

    @property
    def cost(self) -> float:
        """The sum of all terms."""
        return (
            self.lateness_cost
            + self.prefill_cost
            + self.distance_cost
            + self.old_weights_cost
            + self.failure_cost
        )

    @property
    def first_byte_s(self) -> float:
        """The predicted time to the first byte."""
        return self.wait_s + self.prefill_s

    @property
    def work_wait_s(self) -> float:
        """The predicted wait behind other work at the upstream."""
        return self.wait_s - self.allowance_wait_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen candidate, and all known candidates by increasing cost.

    Attributes:
        owner: the placement owner that chose; empty if this router did.
        asked_s: time that asking an owner took, in seconds.
        fallback: why this router chose although it had asked an owner.
        considered: number of candidates; 0 for those in `ranked`.
    """

    best: Candidate
    ranked: tuple[Candidate, ...]
    owner: str = ""
    asked_s: float = 0.0
    fallback: str = ""
    considered: int = 0

    @property
    def candidate_count(self) -> int:
        """Number of upstreams that were considered."""
        return self.considered or len(self.ranked)


def build_prefix(generation: messages.Generation, scope: str) -> Prefix:
    """Returns a prompt's prefixes within a cache scope."""
    digests = []
    tokens = []
    text = f"{scope}\0{generation.model}"
    total = 0
    for part in generation.parts:
        text += f"\0{part.name}"
        total += part.tokens
        digests.append(xxhash.xxh3_64_intdigest(text.encode()))
        tokens.append(total)
    return Prefix(
        tuple(digests), tuple(tokens), max(total, generation.prompt_tokens)
    )


def generation_worth(generation: messages.Generation) -> float:
    """Returns the worth of a generation, which grows with its size."""
    tokens = generation.prompt_tokens
    tokens += const.OUTPUT_TOKEN_FACTOR * generation.output_tokens
    return const.BASE_REQUEST_WORTH + tokens / const.TOKENS_PER_WORTH_UNIT


def prefix_owner(digest: int, names: Collection[str]) -> str:
    """Returns the rendezvous owner of a prefix among the named upstreams."""
    return _cached_prefix_owner(digest, tuple(names)) if names else ""


@functools.lru_cache(maxsize=MAX_CACHED_PREFIX_OWNERS)
def _cached_prefix_owner(digest: int, names: tuple[str, ...]) -> str:
    return rendezvous.top(str(digest), names, 1)[0]


def lateness_probability(first_byte_s: float, target_s: float) -> float:
    """Returns the probability that a response begins late, 0 to 1."""
    spread = max(0.02, target_s * const.LATENESS_SPREAD_RATIO)
    ratio = (first_byte_s - 0.8 * target_s) / spread
    return 1.0 / (1.0 + math.exp(-max(-40.0, min(40.0, ratio))))


def prefill_work_s(total_tokens: int, cached_tokens: int) -> float:
    """Returns the time to compute the part of a prompt that is not cached."""
    missing_tokens = max(0, total_tokens - cached_tokens)
    # Each missing token attends to all tokens before it.
    attention_pairs = missing_tokens * (total_tokens + cached_tokens) / 2
    return (
        const.PREFILL_OVERHEAD_S
        + missing_tokens / const.PREFILL_TOKENS_PER_S
        + attention_pairs * const.ATTENTION_S_PER_PAIR
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """The engine from which another one can copy cached parts of a prompt.

    Attributes:
        name: name of the source; empty for none.
        tokens: number of tokens of the prompt that are certain to be cached
            after the copy.
        computing: whether another engine is computing a longer prefix now.
    """

    name: str
    tokens: int
    computing: bool = False


class PrefixHolders:
    """Which engines hold how much of one prompt.

    Attributes:
        owner: rendezvous owner of the prefix at Prefix.owner_level; empty if
            there is none.
        first_part_owner: rendezvous owner of the first part; empty if there
            is none.
    """

    def __init__(
        self,
        prefix: Prefix,
        names: Collection[str],
        known: upstreams.Upstreams,
    ):
        self._prefix = prefix
        held_tokens, ready_tokens = _tokens_held(prefix, names, known)
        # In the order of the names, which decides between equal holders.
        self._held_tokens = {
            name: held_tokens[name] for name in names if name in held_tokens
        }
        self._ready_tokens = ready_tokens
        self.owner = ""
        self.first_part_owner = ""
        if prefix.shared_parts:
            self.owner = prefix_owner(prefix.digests[prefix.owner_level], names)
            self.first_part_owner = prefix_owner(prefix.digests[0], names)

    @property
    def names(self) -> Collection[str]:
        """Names of the engines that hold a part of the prompt."""
        return self._held_tokens.keys()

    def tokens(self, name: str) -> int:
        """Returns how many tokens an engine holds or is computing."""
        return self._held_tokens.get(name, 0)

    def best_source(self, name: str) -> Source:
        """Returns where an engine can copy more of the prompt from.

        If no engine is known to hold more, the rendezvous owner is the source:
        it may hold more, and requesting a copy costs next to nothing. The
        tokens it would add do not count as certain.
        """
        own_tokens = self.tokens(name)
        others = [other for other in self._held_tokens if other != name]
        most_tokens = max(
            (self._held_tokens[other] for other in others), default=0
        )
        best = max(others, key=self._ready_tokens.__getitem__, default="")
        if best and self._ready_tokens[best] > own_tokens:
            computing = most_tokens > self._ready_tokens[best]
            return Source(best, self._ready_tokens[best], computing)
        if most_tokens > own_tokens:
            return Source("", own_tokens, True)
        if own_tokens >= self._prefix.shared_tokens:
            return Source("", own_tokens)
        for owner in (self.owner, self.first_part_owner):
            if owner and owner != name:
                return Source(owner, own_tokens)
        return Source("", own_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class _ScoringTask:
    """A request, and the engines on one version of the weights to score.

    Attributes:
        prefix: the prompt on this version.
        engines: all engines of the version, by name.
        prefill_scale: learned factor on the work of prompts.
    """

    demand: Demand
    version: int
    prefix: Prefix
    holders: PrefixHolders
    engines: Mapping[str, upstreams.Upstream]
    prefill_scale: float
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Prefill:
    """The predicted prefill of a prompt at one engine.

    Attributes:
        work: what the engine computes.
        work_s: time for which it occupies the engine.
        latency_s: further time until the first byte.
        copied_tokens_per_s: rate at which cached parts are copied there.
    """

    work: engine_speed.Work
    work_s: float
    latency_s: float
    copied_tokens_per_s: float


def _predict_prefill(
    task: _ScoringTask, engine: upstreams.Upstream, cached_tokens: int
) -> _Prefill:
    total_tokens = task.prefix.total_tokens
    work = engine_speed.prompt_work(total_tokens, cached_tokens)
    load = engine.used_load(task.now)
    if load is None:
        return _Prefill(
            work,
            task.prefill_scale * prefill_work_s(total_tokens, cached_tokens),
            0.0,
            const.TRANSFER_TOKENS_PER_S,
        )
    return _Prefill(
        work,
        load.work_s(work, task.now),
        load.latency_s,
        load.copied_tokens_per_s,
    )


def _shortlist(
    engines: Mapping[str, upstreams.Upstream],
    holders: PrefixHolders,
    now: float,
    only: Collection[str] | None,
) -> list[tuple[str, upstreams.Upstream]]:
    """Returns the engines worth scoring; their number does not grow.

    These are the ones that hold most of the prompt, its rendezvous owners, and
    those with the shortest wait; if `only` is given, among those it names.
    """
    if only is not None:
        engines = {
            name: engine for name, engine in engines.items() if name in only
        }
    max_holders = const.MAX_HOLDERS_SCORED
    max_idle = const.MAX_IDLE_SCORED
    if any(engine.used_load(now) for engine in engines.values()):
        max_holders = const.MAX_HOLDERS_SCORED_MEASURED
        max_idle = const.MAX_IDLE_SCORED_MEASURED
    if len(engines) <= max_holders + max_idle:
        return list(engines.items())
    waits = {
        name: engine.wait_s(now) + engine.allowance_wait_s(now)
        for name, engine in engines.items()
    }
    names = set(
        sorted(
            (name for name in holders.names if name in engines),
            key=lambda name: (-holders.tokens(name), waits[name]),
        )[:max_holders]
    )
    names.update(sorted(waits, key=waits.__getitem__)[:max_idle])
    names.update({holders.owner, holders.first_part_owner} & engines.keys())
    return [(name, engines[name]) for name in sorted(names)]


def _tokens_held(
    prefix: Prefix, names: Collection[str], known: upstreams.Upstreams
) -> tuple[dict[str, int], dict[str, int]]:
    """Returns the tokens that engines hold, and those ready to copy, by name.

    The first numbers include what the engines are still computing.
    """
    held_tokens: dict[str, int] = {}
    ready_tokens: dict[str, int] = {}
    remaining = set(names)
    for digest, tokens in zip(prefix.digests, prefix.tokens, strict=True):
        remaining.intersection_update(known.prefix_holders(digest))
        if not remaining:
            break
        for name in remaining:
            before = held_tokens.get(name, 0)
            ready = ready_tokens.get(name, 0)
            if ready == before and known.is_prefix_ready(digest, name):
                ready = tokens
            ready_tokens[name] = ready
            held_tokens[name] = tokens
    return held_tokens, ready_tokens


class Placement:
    """Computes the cost of each candidate and chooses the cheapest."""

    def __init__(
        self,
        data_centre: str,
        peer_count: Callable[[], int],
        rng: random.Random,
    ):
        """Makes a placement.

        Args:
            data_centre: name of the data centre of this router.
            peer_count: returns how many other routers send requests to the same
                engines.
            rng: breaks ties.
        """
        self._data_centre = data_centre
        self._peer_count = peer_count
        self._rng = rng

    def choose_plain(
        self,
        ready: Sequence[upstreams.Upstream],
        exclude: Collection[str],
        now: float,
    ) -> Choice | None:
        """Chooses an upstream of a plain service; costs are in seconds."""
        candidates = []
        for upstream in ready:
            if upstream.entry.name in exclude:
                continue
            allowance_wait_s = upstream.allowance_wait_s(now)
            wait_s = upstream.wait_s(now) + 0.01 * upstream.in_flight
            wait_s += allowance_wait_s
            distance_cost = (
                0.0 if self._is_local(upstream) else const.REMOTE_PLAIN_COST_S
            )
            failure_cost = const.FAILURE_PLAIN_COST_S * upstream.failures.value(
                now
            )
            candidates.append(
                Candidate(
                    upstream=upstream,
                    wait_s=wait_s,
                    prefill_s=0.0,
                    work_s=0.0,
                    cached_tokens=0,
                    source="",
                    prefix="",
                    lateness_cost=wait_s,
                    prefill_cost=0.0,
                    distance_cost=distance_cost,
                    old_weights_cost=0.0,
                    failure_cost=failure_cost,
                    allowance_wait_s=allowance_wait_s,
                )
            )
        return self._choose_cheapest(candidates)

    def choose_engine(
        self,
        demand: Demand,
        ready: Sequence[upstreams.Upstream],
        model: str,
        known: upstreams.Upstreams,
        exclude: Collection[str],
        now: float,
        only: Collection[str] | None = None,
    ) -> Choice | None:
        """Chooses an engine for a prompt.

        Args:
            demand: what the request needs.
            ready: the engines of the service.
            model: name of the model.
            known: what the engines hold.
            exclude: names of engines that the request cannot be sent to.
            now: present time.
            only: names of the engines to choose from; the others only serve
                as sources of cached parts. None for all.
        """
        by_version: dict[int, list[upstreams.Upstream]] = {}
        for engine in ready:
            version = engine.weights.get(model, 0)
            if version in demand.prefixes:
                by_version.setdefault(version, []).append(engine)
        candidates = []
        for version, version_engines in by_version.items():
            prefix = demand.prefixes[version]
            engines = {engine.entry.name: engine for engine in version_engines}
            holders = PrefixHolders(prefix, engines, known)
            task = _ScoringTask(
                demand,
                version,
                prefix,
                holders,
                engines,
                known.prefill_speed(version_engines[0].entry.service).scale,
                now,
            )
            candidates += [
                self._candidate(task, engine)
                for name, engine in _shortlist(engines, holders, now, only)
                if name not in exclude
            ]
        return self._choose_cheapest(candidates)

    def _candidate(
        self, task: _ScoringTask, engine: upstreams.Upstream
    ) -> Candidate:
        demand, prefix, holders = task.demand, task.prefix, task.holders
        now = task.now
        name = engine.entry.name
        own_tokens = holders.tokens(name)
        source = holders.best_source(name)
        reachable_tokens = source.tokens
        copied_tokens = max(0, reachable_tokens - own_tokens)
        source_engine = task.engines.get(source.name)
        is_remote_source = source_engine is not None and (
            source_engine.entry.data_centre != engine.entry.data_centre
        )
        transfer_factor = (
            const.REMOTE_TRANSFER_FACTOR if is_remote_source else 1.0
        )
        prefill = _predict_prefill(
            task, engine, max(own_tokens, reachable_tokens)
        )
        work_s = prefill.work_s
        prefill_s = (
            prefill.latency_s
            + work_s
            + copied_tokens * transfer_factor / prefill.copied_tokens_per_s
        )
        allowance_wait_s = engine.allowance_wait_s(now)
        wait_s = engine.wait_s(now) + engine.unreported_peer_work_s(
            self._peer_count(), now
        )
        wait_s += allowance_wait_s
        prefill_cost = (
            const.TRANSFER_COST_PER_TOKEN * copied_tokens * transfer_factor
        )
        missing_tokens = max(
            0, prefix.shared_tokens - max(own_tokens, reachable_tokens)
        )
        if missing_tokens and (source.computing or name != holders.owner):
            probability = (
                1.0 if source.computing else const.OWNER_HIT_PROBABILITY
            )
            prefill_cost += (
                probability * const.RECOMPUTE_COST_PER_TOKEN * missing_tokens
            )
        lateness_cost = (
            lateness_probability(wait_s + prefill_s, demand.target_s)
            * const.LATE_COST_FRACTION
        )
        lateness_cost += (wait_s + prefill_s) * const.WAIT_COST_FRACTION_PER_S
        old_weights_cost = 0.0
        if task.version in demand.stale_versions:
            old_weights_cost = const.OLD_WEIGHTS_COST_FRACTION * demand.worth
        distance_cost = 0.0
        data_centre = demand.data_centre or self._data_centre
        if engine.entry.data_centre != data_centre:
            distance_cost = const.REMOTE_COST_PER_BYTE * demand.payload_bytes
        failure_cost = const.FAILURE_COST_FRACTION * engine.failures.value(now)
        return Candidate(
            upstream=engine,
            wait_s=wait_s,
            prefill_s=prefill_s,
            work_s=work_s,
            cached_tokens=own_tokens,
            source="" if source_engine is None else source_engine.entry.address,
            prefix=prefix.name,
            lateness_cost=lateness_cost * demand.worth,
            prefill_cost=prefill_cost,
            distance_cost=distance_cost,
            old_weights_cost=old_weights_cost,
            failure_cost=failure_cost * demand.worth,
            idle=engine.is_idle(now),
            allowance_wait_s=allowance_wait_s,
            work=prefill.work,
            copied_tokens=copied_tokens,
        )

    def _is_local(self, upstream: upstreams.Upstream) -> bool:
        return upstream.entry.data_centre == self._data_centre

    def _choose_cheapest(self, candidates: list[Candidate]) -> Choice | None:
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda candidate: candidate.cost)
        return Choice(candidates[0], tuple(candidates))
