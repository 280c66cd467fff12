"""Chooses the upstream for an attempt; no input or output here.

Each candidate has a cost in units of worth, the measure in which operators
count requests: what is lost if the answer begins late, what it costs to read
parts again that another engine holds, to move them, and to carry the request
to another data centre.

Prompts that share parts get the same home from every process, by rendezvous
hashing over the deepest shared part, so that processes which know nothing
agree all the same.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
import dataclasses
import math
import random

import xxhash

from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import upstreams
from bergamotmill.util import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """The beginnings of a prompt under one cache scope.

    Attributes:
        digests: one for each part with all parts before it.
        tokens: tokens of the prompt up to and including that part.
        total_tokens: tokens of the whole prompt.
    """

    digests: tuple[int, ...]
    tokens: tuple[int, ...]
    total_tokens: int

    @property
    def shared_parts(self) -> int:
        """How many parts several requests may share: all but the last."""
        return max(0, len(self.digests) - 1)

    @property
    def name(self) -> str:
        """The shared beginning's name in logs."""
        if not self.shared_parts:
            return ""
        return (
            f"{self.digests[self.shared_parts - 1]:016x}:{self.shared_tokens}"
        )

    @property
    def owner_level(self) -> int:
        """The shared beginning whose home the prompt goes to.

        A last part that is small is sooner read again than all before it.
        """
        level = max(0, self.shared_parts - 1)
        while level > 0:
            before = self.tokens[level - 1]
            if self.tokens[level] - before >= before:
                break
            level -= 1
        return level

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return self.tokens[self.shared_parts - 1] if self.shared_parts else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a prompt asks of an engine.

    Attributes:
        prefixes: the prompt under the scope of each version of the weights
            that it may run on.
        stale: versions whose answers count less.
    """

    prefixes: Mapping[int, Prefix]
    worth: float
    target_s: float
    payload_bytes: int
    stale_versions: frozenset[int] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with its predictions and the terms of its cost.

    Attributes:
        wait_s: until work on the request begins.
        prefill_s: until its prompt has been moved or read.
        source: the address from which to move parts; empty for none.
        prefix: names the shared beginning in logs, with its tokens.
        late, read, far, old, failing: the terms, in units of worth.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen candidate, and all from the cheapest on."""

    best: Candidate
    ranked: tuple[Candidate, ...]


def build_prefix(generation: messages.Generation, scope: str) -> Prefix:
    """Returns the beginnings of a prompt within a cache scope."""
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
    """Returns what a generation is worth, by its size."""
    size = generation.prompt_tokens
    size += const.OUTPUT_TOKEN_FACTOR * generation.output_tokens
    return const.BASE_REQUEST_WORTH + size / const.TOKENS_PER_WORTH_UNIT


def prefix_owner(digest: int, names: Collection[str]) -> str:
    """Returns the upstream at which every process expects a prefix."""
    return rendezvous.top(str(digest), names, 1)[0] if names else ""


def lateness_probability(first_byte_s: float, target_s: float) -> float:
    """Returns how likely an answer begins late, 0 to 1."""
    spread = max(0.02, target_s * const.LATENESS_SPREAD_RATIO)
    ratio = (first_byte_s - 0.8 * target_s) / spread
    return 1.0 / (1.0 + math.exp(-max(-40.0, min(40.0, ratio))))


def prefill_work_s(total: int, cached: int) -> float:
    """Returns the work of reading a prompt beyond what is cached."""
    missing = max(0, total - cached)
    pairs = missing * (total + cached) / 2
    return (
        const.PREFILL_OVERHEAD_S
        + missing / const.PREFILL_TOKENS_PER_S
        + pairs * const.ATTENTION_S_PER_PAIR
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where an upstream may get parts that it lacks.

    Attributes:
        name: the upstream to ask; empty for none.
        tokens: how much of the prompt will be there after asking, for sure.
        reading: whether another upstream is reading more at this moment.
    """

    name: str
    tokens: int
    reading: bool = False


class Holders:
    """Who holds how much of one prompt, as far as is known or agreed."""

    def __init__(
        self,
        prefix: Prefix,
        names: Collection[str],
        known: upstreams.Upstreams,
    ):
        self._prefix = prefix
        self._held: dict[str, int] = {}
        self._read: dict[str, int] = {}
        for name in names:
            held, read = _tokens_at(prefix, name, known)
            if held:
                self._held[name] = held
                self._read[name] = read
        self.owner = ""
        self.first_part_owner = ""
        if prefix.shared_parts:
            self.owner = prefix_owner(prefix.digests[prefix.owner_level], names)
            self.first_part_owner = prefix_owner(prefix.digests[0], names)

    def tokens(self, name: str) -> int:
        """Returns how many tokens an upstream holds or will have read."""
        return self._held.get(name, 0)

    def best_source(self, name: str) -> Source:
        """Returns from whom an upstream is to get more of the prompt.

        An upstream that is only presumed to hold a part counts as holding
        nothing for sure: asking it costs next to nothing.
        """
        own = self.tokens(name)
        others = [other for other in self._held if other != name]
        most = max((self._held[other] for other in others), default=0)
        best = max(others, key=self._read.__getitem__, default="")
        if best and self._read[best] > own:
            reading = most > self._read[best]
            return Source(best, self._read[best], reading)
        if most > own:
            return Source("", own, True)
        if own >= self._prefix.shared_tokens:
            return Source("", own)
        for presumed in (self.owner, self.first_part_owner):
            if presumed and presumed != name:
                return Source(presumed, own)
        return Source("", own)


def _tokens_at(
    prefix: Prefix, name: str, known: upstreams.Upstreams
) -> tuple[int, int]:
    """Returns tokens that an upstream holds, and that it has read."""
    held = read = 0
    for digest, tokens in zip(prefix.digests, prefix.tokens, strict=True):
        if not known.holds_prefix(digest, name):
            break
        if read == held and known.is_prefix_ready(digest, name):
            read = tokens
        held = tokens
    return held, read


class Placement:
    """Scores candidates and takes the cheapest."""

    def __init__(
        self,
        data_centre: str,
        peers: Callable[[], int],
        rng: random.Random,
    ):
        """Makes a placement.

        Args:
            data_centre: where this process is.
            peers: returns how many others place requests on the same engines.
            rng: breaks ties.
        """
        self._data_centre = data_centre
        self._peers = peers
        self._rng = rng

    def choose_plain(
        self,
        ready: Sequence[upstreams.Upstream],
        exclude: Collection[str],
        now: float,
    ) -> Choice | None:
        """Chooses among upstreams of a plain service; costs are seconds."""
        found = []
        for item in ready:
            if item.entry.name in exclude:
                continue
            wait_s = item.wait_s(now) + 0.01 * item.in_flight
            far = 0.0 if self._is_near(item) else const.REMOTE_PLAIN_COST_S
            failing = const.FAILURE_PLAIN_COST_S * item.failures.value(now)
            found.append(
                Candidate(
                    upstream=item,
                    wait_s=wait_s,
                    prefill_s=0.0,
                    work_s=0.0,
                    cached_tokens=0,
                    source="",
                    prefix="",
                    lateness_cost=wait_s,
                    prefill_cost=0.0,
                    distance_cost=far,
                    old_weights_cost=0.0,
                    failure_cost=failing,
                )
            )
        return self._take(found)

    def choose_engine(
        self,
        demand: Demand,
        ready: Sequence[upstreams.Upstream],
        model: str,
        known: upstreams.Upstreams,
        exclude: Collection[str],
        now: float,
    ) -> Choice | None:
        """Chooses among engines for a prompt."""
        by_version: dict[int, list[upstreams.Upstream]] = {}
        for item in ready:
            version = item.weights.get(model, 0)
            if version in demand.prefixes:
                by_version.setdefault(version, []).append(item)
        found = []
        for version, items in by_version.items():
            prefix = demand.prefixes[version]
            names = {item.entry.name: item for item in items}
            holders = Holders(prefix, names, known)
            for name, item in names.items():
                if name not in exclude:
                    found.append(
                        self._candidate(
                            demand, version, prefix, holders, item, names, now
                        )
                    )
        return self._take(found)

    def _candidate(
        self, demand, version, prefix, holders, item, names, now
    ) -> Candidate:
        name = item.entry.name
        own = holders.tokens(name)
        source = holders.best_source(name)
        reachable = source.tokens
        moved = max(0, reachable - own)
        source_item = names.get(source.name)
        far_move = source_item is not None and (
            source_item.entry.data_centre != item.entry.data_centre
        )
        factor = const.REMOTE_TRANSFER_FACTOR if far_move else 1.0
        work_s = prefill_work_s(prefix.total_tokens, max(own, reachable))
        prefill_s = work_s + moved * factor / const.TRANSFER_TOKENS_PER_S
        wait_s = item.wait_s(now) + item.unreported_peer_work_s(
            self._peers(), now
        )
        read = const.TRANSFER_COST_PER_TOKEN * moved * factor
        unread = max(0, prefix.shared_tokens - max(own, reachable))
        if unread and (source.reading or name != holders.owner):
            chance = 1.0 if source.reading else const.OWNER_HIT_PROBABILITY
            read += chance * const.RECOMPUTE_COST_PER_TOKEN * unread
        late = (
            lateness_probability(wait_s + prefill_s, demand.target_s)
            * const.LATE_COST_FRACTION
        )
        late += (wait_s + prefill_s) * const.WAIT_COST_FRACTION_PER_S
        old = 0.0
        if version in demand.stale_versions:
            old = const.OLD_WEIGHTS_COST_FRACTION * demand.worth
        far = 0.0
        if not self._is_near(item):
            far = const.REMOTE_COST_PER_BYTE * demand.payload_bytes
        failing = const.FAILURE_COST_FRACTION * item.failures.value(now)
        return Candidate(
            upstream=item,
            wait_s=wait_s,
            prefill_s=prefill_s,
            work_s=work_s,
            cached_tokens=own,
            source="" if source_item is None else source_item.entry.address,
            prefix=prefix.name,
            lateness_cost=late * demand.worth,
            prefill_cost=read,
            distance_cost=far,
            old_weights_cost=old,
            failure_cost=failing * demand.worth,
        )

    def _is_near(self, item: upstreams.Upstream) -> bool:
        return item.entry.data_centre == self._data_centre

    def _take(self, found: list[Candidate]) -> Choice | None:
        if not found:
            return None
        self._rng.shuffle(found)
        found.sort(key=lambda item: item.cost)
        return Choice(found[0], tuple(found))
