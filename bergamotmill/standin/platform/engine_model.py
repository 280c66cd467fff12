"""Model of the compute time and the KV memory of a platform engine.

Prompts are prefilled in chunks; each step also generates one token for every
running request. A part of a prompt is not prefilled again while it and all
parts before it are cached. Eviction is least recently used first. The constants
are those of the users' data sheets.

Engines may differ: the attributes of an engine set its speed, slowdowns, a
latency that does not occupy it, and bounds on the requests that it runs at a
time. The defaults are an engine of the data sheets without such bounds.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

STEP_BASE_S = 0.00337
# Time that each running request adds to a step.
STEP_PER_REQUEST_S = 0.0001
PREFILL_TOKENS_PER_S = 61_200.0
PREFILL_CHUNK_TOKENS = 2048
# Attention time for each pair of a prefilled token and a token that it attends
# to.
ATTENTION_S_PER_PAIR = 3.24e-10
KV_TRANSFER_TOKENS_PER_S = 190_000.0
UNLIMITED = 1 << 60
# Prefilling a part again counts as recomputation within this time after its
# last use by any engine.
RECENT_USE_S = 10.0

Parts = tuple[tuple[str, int], ...]


class RecentUses:
    """The time of the last use of prompt parts by any engine."""

    def __init__(self):
        self._last_used_at: dict[tuple[str, ...], float] = {}

    def record(self, keys: list[tuple[str, ...]]) -> None:
        """Records a use of some parts."""
        now = asyncio.get_running_loop().time()
        for key in keys:
            self._last_used_at[key] = now

    def used_recently(self, key: tuple[str, ...]) -> bool:
        """Whether a part was used within `RECENT_USE_S`."""
        at = self._last_used_at.get(key, float("-inf"))
        return asyncio.get_running_loop().time() - at <= RECENT_USE_S


class Slowdowns:
    """When an engine is slower than usual; the times are random.

    Slow and normal intervals alternate; their lengths are exponentially
    distributed.
    """

    def __init__(
        self, share: float, factor: float, period_s: float, rng: random.Random
    ):
        """Makes a schedule that starts in the normal state.

        Args:
            share: mean fraction of the time that the engine is slow, 0 to 1.
            factor: factor on the time of a step while it is slow.
            period_s: mean length of a normal and a slow interval together.
            rng: draws the lengths.
        """
        self._factor = factor
        self._mean_s = {True: share * period_s, False: (1 - share) * period_s}
        self._rng = rng
        self._is_slow = False
        self._changes_at = self._draw_s()

    def _draw_s(self) -> float:
        mean_s = self._mean_s[self._is_slow]
        return self._rng.expovariate(1 / mean_s) if mean_s else 0.0

    def factor_at(self, now: float) -> float:
        """Returns the factor on the time of a step; `now` must not go back."""
        while now >= self._changes_at:
            self._is_slow = not self._is_slow
            self._changes_at += self._draw_s()
        return self._factor if self._is_slow else 1.0


@dataclasses.dataclass(eq=False)
class Work:
    """One request at an engine.

    Attributes:
        key: urgency and sequence number; requests are prefilled in this order.
        remaining_tokens: prompt tokens still to be prefilled.
        context_tokens: prompt tokens already cached or prefilled.
        parts: names and tokens of the prompt's parts.
        scope: cache scope.
        prefilled: set when the prefill is complete.
        generated_tokens: number of output tokens generated.
        token_event: set whenever an output token is generated.
        held_tokens: KV memory that the request holds until its end: those of
            the prompt and of the expected output.
    """

    key: tuple[int, int]
    remaining_tokens: int
    context_tokens: int
    parts: Parts
    scope: str
    prefilled: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    generated_tokens: int = 0
    token_event: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    held_tokens: int = 0

    def __lt__(self, other: "Work") -> bool:
        return self.key < other.key


def _ignore_exceeded_memory() -> None:
    """Does nothing: the engine goes on."""


class EngineModel:
    """Prefills and decodes requests in one batch.

    A background task runs while there are requests.

    Attributes:
        memory_tokens: capacity of the KV memory, in tokens. It bounds the
            cache, and with `holds_requests` cache and requests together.
        prefilled_tokens: prompt tokens prefilled.
        prefill_tokens_per_s: speed at which prompts are prefilled.
        attention_s_per_pair: attention time for each pair of a prefilled token
            and a token that it attends to.
        time_factor: factor on the time of each step; above 1 for a slow engine.
        slowdowns: when the engine is slower for a time; None for never.
        first_token_s: latency of the first token that does not occupy the
            engine, in seconds.
        max_running: requests that are prefilled or generate tokens at a time;
            further ones wait in the queue.
        holds_requests: whether requests hold KV memory from the start of their
            prefill to their end. What they hold leaves less for the cache, and
            a request that does not fit waits.
        crashes_when_exceeded: whether a request that does not fit is started
            all the same, which calls `on_memory_exceeded`.
        on_memory_exceeded: called when requests exceed the KV memory.
        recomputed_tokens: tokens of parts that were not cached here although
            an engine had used them recently; the last part of a prompt,
            which is not shared, does not count.
    """

    def __init__(self, memory_tokens: int = UNLIMITED):
        self.memory_tokens = memory_tokens
        self.prefill_tokens_per_s = PREFILL_TOKENS_PER_S
        self.attention_s_per_pair = ATTENTION_S_PER_PAIR
        self.time_factor = 1.0
        self.slowdowns: Slowdowns | None = None
        self.first_token_s = 0.0
        self.max_running = UNLIMITED
        self.holds_requests = False
        self.crashes_when_exceeded = False
        self.on_memory_exceeded: Callable[[], None] = _ignore_exceeded_memory
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self._cached: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        # Parts of active requests are not evicted.
        self._in_use: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self._waiting: list[Work] = []
        self._running: dict[Work, None] = {}
        # Requests whose prefill has begun, until their end.
        self._started: dict[Work, None] = {}
        self._sequence = itertools.count()
        self._task: asyncio.Task[None] | None = None

    @property
    def queued(self) -> int:
        """The number of requests whose prefill is not complete."""
        return len(self._waiting)

    @property
    def held_tokens(self) -> int:
        """KV memory that requests hold whose prefill has begun, in tokens."""
        return sum(work.held_tokens for work in self._started)

    @property
    def queued_work_s(self) -> float:
        """Time to complete the prefill of all requests, at the present speed.

        Steps for running requests that happen in between are not included.
        """
        return self._present_factor() * sum(
            self._prefill_s(work, work.remaining_tokens)
            for work in self._waiting
        )

    def copy_options(self, other: "EngineModel") -> None:
        """Takes over the options of another engine, as after a restart."""
        for name in _OPTIONS:
            setattr(self, name, getattr(other, name))

    def clear(self) -> None:
        """Empties the cache."""
        self._cached.clear()
        self._cached_tokens = 0

    def cached_tokens(self, scope: str, parts: Parts) -> int:
        """Returns the cached tokens of a prompt and marks them as used."""
        tokens = 0
        for key, size in _sized_keys(scope, parts):
            if key not in self._cached:
                break
            self._cached.move_to_end(key)
            tokens += size
        return tokens

    def fetch_kv(self, scope: str, parts: Parts, tokens: int) -> float:
        """Caches the KV of a prompt that another engine sends.

        Args:
            scope: the cache scope.
            parts: names and tokens of the prompt's parts.
            tokens: tokens of the prompt that the other engine has cached.

        Returns:
            The duration of the transfer in seconds.
        """
        own = self.cached_tokens(scope, parts)
        if tokens <= own:
            return 0.0
        total = 0
        for key, size in _sized_keys(scope, parts):
            total += size
            if total <= tokens:
                self._cache_part(key, size)
        return (tokens - own) / KV_TRANSFER_TOKENS_PER_S

    def submit(
        self,
        scope: str,
        parts: Parts,
        total: int,
        urgency: int,
        recently_used: Callable[[tuple[str, ...]], bool],
        output_tokens: int = 0,
    ) -> Work:
        """Queues a request for prefill.

        Args:
            scope: the cache scope.
            parts: names and tokens of the prompt's parts.
            total: tokens of the prompt.
            urgency: the priority; 0 is prefilled first.
            recently_used: whether any engine has used a part recently.
            output_tokens: tokens of the expected output.
        """
        cached = self.cached_tokens(scope, parts)
        position = 0
        for key, size in _sized_keys(scope, parts)[:-1]:
            position += size
            if position > cached and recently_used(key):
                self.recomputed_tokens += size
        work = Work(
            (urgency, next(self._sequence)),
            max(1, total - cached),
            min(cached, total),
            parts,
            scope,
            held_tokens=total + output_tokens,
        )
        self._in_use.update(cache_keys(scope, parts))
        heapq.heappush(self._waiting, work)
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return work

    def finish(self, work: Work) -> None:
        """Removes a request, whether or not it is complete."""
        self._in_use.subtract(cache_keys(work.scope, work.parts))
        # Adding an empty counter drops the keys whose count is 0.
        self._in_use += collections.Counter()
        self._running.pop(work, None)
        self._started.pop(work, None)
        if work in self._waiting:
            self._waiting.remove(work)
            heapq.heapify(self._waiting)

    async def _run(self) -> None:
        while self._waiting or self._running:
            first = self._next_work()
            seconds = STEP_BASE_S + STEP_PER_REQUEST_S * len(self._running)
            chunk_tokens = 0
            if first is not None:
                chunk_tokens = min(PREFILL_CHUNK_TOKENS, first.remaining_tokens)
                seconds += self._prefill_s(first, chunk_tokens)
            await asyncio.sleep(seconds * self._present_factor())
            for work in self._running:
                work.generated_tokens += 1
                work.token_event.set()
            if first is not None and first in self._waiting:
                self._advance_prefill(first, chunk_tokens)
        self._task = None

    def _present_factor(self) -> float:
        if self.slowdowns is None:
            return self.time_factor
        now = asyncio.get_running_loop().time()
        return self.time_factor * self.slowdowns.factor_at(now)

    def _prefill_s(self, work: Work, tokens: int) -> float:
        """Returns the time to prefill the next tokens at normal speed."""
        pairs = tokens * (work.context_tokens + tokens / 2)
        return (
            tokens / self.prefill_tokens_per_s
            + pairs * self.attention_s_per_pair
        )

    def _next_work(self) -> Work | None:
        """Returns the request to prefill next; None if none may start."""
        if not self._waiting:
            return None
        first = self._waiting[0]
        if first in self._started or self._start(first):
            return first
        return min(
            (work for work in self._waiting if work in self._started),
            default=None,
        )

    def _start(self, work: Work) -> bool:
        """Starts a request if the bounds allow it."""
        if len(self._started) >= self.max_running:
            return False
        held_tokens = self.held_tokens + work.held_tokens
        if self.holds_requests and held_tokens > self.memory_tokens:
            # A request that alone exceeds the memory would wait for ever.
            if self._started and not self.crashes_when_exceeded:
                return False
            if self.crashes_when_exceeded:
                self.on_memory_exceeded()
        self._started[work] = None
        if self.holds_requests:
            self._evict("")
        return True

    def _advance_prefill(self, work: Work, chunk_tokens: int) -> None:
        self.prefilled_tokens += chunk_tokens
        work.remaining_tokens -= chunk_tokens
        work.context_tokens += chunk_tokens
        if work.remaining_tokens > 0:
            return
        self._waiting.remove(work)
        heapq.heapify(self._waiting)
        for key, size in _sized_keys(work.scope, work.parts):
            self._cache_part(key, size)
        work.generated_tokens = 1
        work.token_event.set()
        work.prefilled.set()
        self._running[work] = None

    def _cache_part(self, key: tuple[str, ...], size: int) -> None:
        if key in self._cached:
            self._cached.move_to_end(key)
            return
        self._cached[key] = size
        self._cached_tokens += size
        self._evict(key)

    def _evict(self, kept: tuple[str, ...] | str) -> None:
        """Evicts unused parts until all fits; `kept` is never evicted."""
        excess_tokens = self._cached_tokens - self.memory_tokens
        if self.holds_requests:
            # Cached parts of started requests are within what these hold.
            held_parts = {
                key
                for work in self._started
                for key in cache_keys(work.scope, work.parts)
            }
            excess_tokens += self.held_tokens - sum(
                self._cached.get(key, 0) for key in held_parts
            )
        if excess_tokens <= 0:
            return
        for oldest in [item for item in self._cached if item != kept]:
            if oldest not in self._in_use:
                size = self._cached.pop(oldest)
                self._cached_tokens -= size
                excess_tokens -= size
            if excess_tokens <= 0:
                return


_OPTIONS = (
    "memory_tokens",
    "prefill_tokens_per_s",
    "attention_s_per_pair",
    "time_factor",
    "slowdowns",
    "first_token_s",
    "max_running",
    "holds_requests",
    "crashes_when_exceeded",
)


def _sized_keys(scope: str, parts: Parts) -> list[tuple[tuple[str, ...], int]]:
    """Returns the cache key and the tokens of each part."""
    names: tuple[str, ...] = (scope,)
    keys = []
    for name, tokens in parts:
        names = (*names, name)
        keys.append((names, tokens))
    return keys


def cache_keys(scope: str, parts: Parts) -> list[tuple[str, ...]]:
    """Returns the cache keys of a prompt's parts.

    A key holds the scope and the names of the part and all parts before it.
    """
    return [key for key, _ in _sized_keys(scope, parts)]
