"""How an engine of the platform spends its time and its memory.

Prompts are read in pieces between the tokens of the requests that run; a part
that is cached behind all parts before it is not read again; what was used
longest ago gives way. The figures are those of the users' sheets.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools

STEP_S = 0.00337
# What each running request adds to a step.
STEP_PER_RUN_S = 0.0001
PREFILL_TOKENS_PER_S = 61_200.0
PIECE_TOKENS = 2048
# Seconds for each pair of a token that is read and one that it looks at.
ATTENTION_S_PER_PAIR = 3.24e-10
MOVE_TOKENS_PER_S = 190_000.0
UNLIMITED = 1 << 60
# A part counts as read again for so long after its last use.
REUSE_S = 10.0

Parts = tuple[tuple[str, int], ...]


class Uses:
    """When parts were last used at any engine."""

    def __init__(self):
        self._at: dict[tuple[str, ...], float] = {}

    def note(self, keys: list[tuple[str, ...]]) -> None:
        """Notes a use of some parts."""
        now = asyncio.get_running_loop().time()
        for key in keys:
            self._at[key] = now

    def lately(self, key: tuple[str, ...]) -> bool:
        """Whether a part was used so lately that reading it is a loss."""
        at = self._at.get(key, float("-inf"))
        return asyncio.get_running_loop().time() - at <= REUSE_S


@dataclasses.dataclass(eq=False)
class Work:
    """One request at an engine.

    Attributes:
        left: prompt tokens that are still to be read.
        behind: prompt tokens that are there already.
        read: set when the prompt has been read.
        turn: set at each token that is made.
    """

    key: tuple[int, int]
    left: int
    behind: int
    parts: Parts
    scope: str
    prefilled: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    made: int = 0
    turn: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def __lt__(self, other: "Work") -> bool:
        return self.key < other.key


class EngineModel:
    """Batches requests; one task runs while there is work."""

    def __init__(self, memory_tokens: int = UNLIMITED):
        self.memory_tokens = memory_tokens
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self._cached: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        # Parts of requests that run do not give way.
        self._in_use: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self._waiting: list[Work] = []
        self._running: dict[Work, None] = {}
        self._numbers = itertools.count()
        self._task: asyncio.Task[None] | None = None

    @property
    def queued(self) -> int:
        """Requests whose prompts are not read yet."""
        return len(self._waiting)

    def clear(self) -> None:
        """Drops all that is cached."""
        self._cached.clear()
        self._cached_tokens = 0

    def cached_tokens(self, scope: str, parts: Parts) -> int:
        """Returns how much of a prompt is cached; counts as a use."""
        tokens = 0
        for key, size in _keys(scope, parts):
            if key not in self._cached:
                break
            self._cached.move_to_end(key)
            tokens += size
        return tokens

    def fetch(self, scope: str, parts: Parts, tokens: int) -> float:
        """Takes that much of a prompt from elsewhere; returns the seconds."""
        own = self.cached_tokens(scope, parts)
        if tokens <= own:
            return 0.0
        total = 0
        for key, size in _keys(scope, parts):
            total += size
            if total <= tokens:
                self._keep(key, size)
        return (tokens - own) / MOVE_TOKENS_PER_S

    def submit(
        self,
        scope: str,
        parts: Parts,
        total: int,
        urgency: int,
        known: Callable[[tuple[str, ...]], bool],
    ) -> Work:
        """Queues a prompt.

        Args:
            scope: the cache scope.
            parts: names and tokens of the prompt's parts.
            total: tokens of the prompt.
            urgency: the rank, 0 first.
            known: whether a part was lately read by any engine.
        """
        held = self.cached_tokens(scope, parts)
        seen = 0
        for key, size in _keys(scope, parts)[:-1]:
            seen += size
            if seen > held and known(key):
                self.recomputed_tokens += size
        work = Work(
            (urgency, next(self._numbers)),
            max(1, total - held),
            min(held, total),
            parts,
            scope,
        )
        self._in_use.update(keys_of(scope, parts))
        heapq.heappush(self._waiting, work)
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return work

    def finish(self, work: Work) -> None:
        """Takes a request away, ended or not."""
        self._in_use.subtract(keys_of(work.scope, work.parts))
        self._in_use += collections.Counter()
        self._running.pop(work, None)
        if work in self._waiting:
            self._waiting.remove(work)
            heapq.heapify(self._waiting)

    async def _run(self) -> None:
        while self._waiting or self._running:
            first = self._waiting[0] if self._waiting else None
            seconds = STEP_S + STEP_PER_RUN_S * len(self._running)
            piece = 0
            if first is not None:
                piece = min(PIECE_TOKENS, first.left)
                pairs = piece * (first.behind + piece / 2)
                seconds += piece / PREFILL_TOKENS_PER_S
                seconds += pairs * ATTENTION_S_PER_PAIR
            await asyncio.sleep(seconds)
            for work in self._running:
                work.made += 1
                work.turn.set()
            if first is not None and first in self._waiting:
                self._read(first, piece)
        self._task = None

    def _read(self, work: Work, piece: int) -> None:
        self.prefilled_tokens += piece
        work.left -= piece
        work.behind += piece
        if work.left > 0:
            return
        self._waiting.remove(work)
        heapq.heapify(self._waiting)
        for key, size in _keys(work.scope, work.parts):
            self._keep(key, size)
        work.made = 1
        work.turn.set()
        work.prefilled.set()
        self._running[work] = None

    def _keep(self, key: tuple[str, ...], size: int) -> None:
        if key in self._cached:
            self._cached.move_to_end(key)
            return
        self._cached[key] = size
        self._cached_tokens += size
        if self._cached_tokens <= self.memory_tokens:
            return
        for oldest in [item for item in self._cached if item != key]:
            if oldest not in self._in_use:
                self._cached_tokens -= self._cached.pop(oldest)
            if self._cached_tokens <= self.memory_tokens:
                return


def _keys(scope: str, parts: Parts) -> list[tuple[tuple[str, ...], int]]:
    """Returns each part with all parts before it, and its tokens."""
    names: tuple[str, ...] = (scope,)
    found = []
    for name, tokens in parts:
        names = (*names, name)
        found.append((names, tokens))
    return found


def keys_of(scope: str, parts: Parts) -> list[tuple[str, ...]]:
    """Returns what the parts of a prompt are cached under."""
    return [key for key, _ in _keys(scope, parts)]
