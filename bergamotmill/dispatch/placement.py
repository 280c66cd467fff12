"""Chooses the upstream for an attempt; no input or output here.

Each candidate has a cost in seconds: the predicted wait, the part of the
prompt that it would have to read, its distance, and how often it failed
lately. Prompts that share parts get the same home from every process, by
rendezvous hashing over the deepest shared part, so that processes agree
without talking.
"""

from collections.abc import Collection, Sequence
import dataclasses
import random

import xxhash

from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import upstreams
from bergamotmill.routing import locations as prefix_locations
from bergamotmill.util import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """The shared beginnings of a prompt under one cache scope.

    Attributes:
        digests: one for each shared part with all parts before it.
        tokens: tokens of the prompt up to and including that part.
        total_tokens: tokens of the whole prompt.
    """

    digests: tuple[int, ...]
    tokens: tuple[int, ...]
    total_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with the terms of its cost, in seconds."""

    upstream: upstreams.Upstream
    wait_s: float
    read_s: float
    far_s: float
    failing_s: float
    cached_tokens: int

    @property
    def cost_s(self) -> float:
        """The sum of all terms."""
        return self.wait_s + self.read_s + self.far_s + self.failing_s

    @property
    def first_byte_s(self) -> float:
        """The predicted time to the first byte."""
        return self.wait_s + self.read_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen candidate.

    Attributes:
        copy_from: another upstream that holds more of the prompt; empty
            when reading is as good.
        considered: how many candidates there were.
    """

    best: Candidate
    copy_from: str = ""
    considered: int = 0


def prefix_of(generation: messages.Generation, scope: str) -> Prefix:
    """Returns the shared beginnings of a prompt.

    The last part is the request's own: it is left out unless it is the
    only one.
    """
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


def home_of(prefix: Prefix, names: Collection[str]) -> str:
    """Returns the upstream at which every process expects the prefix."""
    if not prefix.digests or not names:
        return ""
    level = max(0, len(prefix.digests) - 2)
    return rendezvous.top(str(prefix.digests[level]), names, 1)[0]


def cached_tokens(
    prefix: Prefix, name: str, known: prefix_locations.Locations
) -> int:
    """Returns how many tokens of a prefix an upstream is known to hold."""
    held = 0
    for digest, tokens in zip(prefix.digests, prefix.tokens, strict=True):
        if known.stamp(digest, name) is None:
            break
        held = tokens
    return held


class Placement:
    """Scores candidates and takes the cheapest."""

    def __init__(self, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng

    def plain(
        self,
        route: config.Route,
        ready: Sequence[upstreams.Upstream],
        exclude: Collection[str],
        now: float,
    ) -> Choice | None:
        """Chooses among upstreams of a plain service."""
        del route
        found = [
            Candidate(
                item,
                item.wait_s(now) + 0.01 * item.in_flight,
                0.0,
                self._far(item, const.FAR_PLAIN_COST_S),
                const.FAILURE_COST_S * item.failures.value(now),
                0,
            )
            for item in ready
            if item.entry.name not in exclude
        ]
        return self._take(found)

    def engine(
        self,
        prefix: Prefix,
        ready: Sequence[upstreams.Upstream],
        known: prefix_locations.Locations,
        exclude: Collection[str],
        now: float,
    ) -> Choice | None:
        """Chooses among engines for a prompt."""
        names = [item.entry.name for item in ready]
        home = home_of(prefix, names)
        found = []
        for item in ready:
            if item.entry.name in exclude:
                continue
            cached = cached_tokens(prefix, item.entry.name, known)
            if item.entry.name == home and len(prefix.tokens) > 1:
                cached = max(cached, prefix.tokens[-2])
            missing = max(0, prefix.total_tokens - cached)
            read_s = const.COLD_REQUEST_S
            read_s += missing / const.PREFILL_TOKENS_PER_S
            found.append(
                Candidate(
                    item,
                    item.wait_s(now),
                    read_s,
                    self._far(item, const.FAR_COST_S),
                    const.FAILURE_COST_S * item.failures.value(now),
                    cached,
                )
            )
        choice = self._take(found)
        if choice is None:
            return None
        return dataclasses.replace(
            choice, copy_from=_source(choice.best, found, home)
        )

    def _far(self, item: upstreams.Upstream, cost_s: float) -> float:
        return 0.0 if item.entry.data_centre == self._data_centre else cost_s

    def _take(self, found: list[Candidate]) -> Choice | None:
        if not found:
            return None
        self._rng.shuffle(found)
        best = min(found, key=lambda item: item.cost_s)
        return Choice(best, considered=len(found))


def _source(best: Candidate, found: list[Candidate], home: str) -> str:
    """Returns the address of the candidate that holds most of the prompt."""
    richest = max(found, key=lambda item: item.cached_tokens)
    del home
    if richest.cached_tokens <= best.cached_tokens:
        return ""
    return richest.upstream.entry.address
