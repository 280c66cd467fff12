"""Model of an engine: block cache, prefill queue and decode slots.

The model has no clock: the stand-in server and the benchmark simulation pass
the current time to it.
"""

from collections.abc import Iterable, Iterator
import dataclasses
import heapq
import itertools


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """The speed and the capacity of an engine.

    Attributes:
        prefill_tokens_per_s: uncached prompt tokens prefilled per second.
        import_tokens_per_s: tokens per second loaded from the KV
            offload store.
        token_s: seconds between two output tokens of one stream.
        slots: largest number of requests that decode concurrently.
        cache_blocks: capacity of the prompt cache, in blocks.
        overhead_s: fixed time of each prefill, in seconds.
    """

    prefill_tokens_per_s: float = 8000.0
    import_tokens_per_s: float = 40000.0
    token_s: float = 0.04
    slots: int = 32
    cache_blocks: int = 64
    overhead_s: float = 0.005


class BlockCache:
    """Cached prompt blocks with LRU eviction.

    Blocks of running requests are pinned and are not evicted.

    Attributes:
        events: sequence number, 1 for stored or 0 for evicted, and digest of
            recent changes.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._blocks: dict[int, None] = {}
        self._pins: dict[int, int] = {}
        self._sequence = 0
        self.events: list[tuple[int, int, int]] = []

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, digest: int) -> bool:
        return digest in self._blocks

    @property
    def sequence(self) -> int:
        """The sequence number of the latest event."""
        return self._sequence

    def depth(self, chain: Iterable[int]) -> int:
        """Returns how many leading blocks of a chain are cached."""
        count = 0
        for digest in chain:
            if digest not in self._blocks:
                break
            count += 1
        return count

    def use(self, chain: tuple[int, ...]) -> None:
        """Stores or refreshes a chain; its deepest blocks are evicted first."""
        for digest in reversed(chain):
            if digest in self._blocks:
                del self._blocks[digest]
            else:
                self._record_event(1, digest)
            self._blocks[digest] = None
        self._evict()

    def _evict(self) -> None:
        over = len(self._blocks) - self._capacity
        if over <= 0:
            return
        free = (item for item in self._blocks if item not in self._pins)
        for digest in list(itertools.islice(free, over)):
            del self._blocks[digest]
            self._record_event(0, digest)

    def pin(self, chain: tuple[int, ...]) -> None:
        """Protects blocks from eviction while a request runs."""
        for digest in chain:
            self._pins[digest] = self._pins.get(digest, 0) + 1

    def unpin(self, chain: tuple[int, ...]) -> None:
        """Releases blocks and marks them as most recently used."""
        for digest in chain:
            self._pins[digest] -= 1
            if not self._pins[digest]:
                del self._pins[digest]
        self.use(chain)

    def clear(self) -> None:
        """Empties the cache without eviction events, as a crash does."""
        self._blocks.clear()

    def _record_event(self, stored: int, digest: int) -> None:
        self._sequence += 1
        self.events.append((self._sequence, stored, digest))
        if len(self.events) > 4096:
            del self.events[:2048]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One request.

    Attributes:
        name: request id.
        priority: rank in the queue; the highest is prefilled first.
        chain: digests of the leading blocks of the prompt.
        block_tokens: tokens of one block.
        total_tokens: tokens of the prompt.
        output_tokens: tokens to generate.
        offloaded_blocks: leading blocks that the KV offload store holds.
    """

    name: str
    priority: int
    chain: tuple[int, ...]
    block_tokens: int
    total_tokens: int
    output_tokens: int
    offloaded_blocks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """A request whose prefill is done, or is scheduled to be done.

    Attributes:
        at: time of the first token.
        cached_tokens: prompt tokens found in the cache.
        imported_tokens: prompt tokens loaded from the KV offload store.
    """

    job: Job
    at: float
    cached_tokens: int
    imported_tokens: int


class EngineModel:
    """Prefills one request at a time and decodes many concurrently.

    Attributes:
        cache: prompt cache.
        accepted_tokens: uncached prompt tokens of all requests accepted.
        busy_s: time spent on prefill.
    """

    def __init__(self, speed: Speed):
        self._speed = speed
        self.cache = BlockCache(speed.cache_blocks)
        self._queue: list[tuple[int, int, Job]] = []
        self._sequence = 0
        self._current: Prefilled | None = None
        self._running: list[tuple[float, str, Job]] = []
        self.accepted_tokens = 0.0
        self.busy_s = 0.0

    @property
    def running(self) -> int:
        """The number of requests being prefilled or decoded."""
        return len(self._running) + (self._current is not None)

    @property
    def waiting(self) -> int:
        """The number of requests that wait for prefill."""
        return len(self._queue)

    def pending(self) -> Iterator[Job]:
        """Yields the requests whose prefill is not done."""
        if self._current is not None:
            yield self._current.job
        for _, _, job in self._queue:
            yield job

    def queued_tokens(self, now: float) -> dict[int, float]:
        """Returns the uncached tokens that wait for prefill, by priority.

        The request in prefill counts with a priority above all others.
        """
        queued: dict[int, float] = {}
        for negative_priority, _, job in self._queue:
            tokens = self._uncached_tokens(job)
            queued[-negative_priority] = (
                queued.get(-negative_priority, 0.0) + tokens
            )
        if self._current is not None:
            remaining_s = max(0.0, self._current.at - now)
            current_priority = 100
            rate = self._speed.prefill_tokens_per_s
            queued[current_priority] = (
                queued.get(current_priority, 0.0) + remaining_s * rate
            )
        return queued

    def _uncached_tokens(self, job: Job) -> float:
        cached = self.cache.depth(job.chain) * job.block_tokens
        return max(0.0, job.total_tokens - cached)

    def submit(self, job: Job) -> None:
        """Queues a request."""
        self._sequence += 1
        self.accepted_tokens += self._uncached_tokens(job)
        heapq.heappush(self._queue, (-job.priority, self._sequence, job))

    def cancel(self, name: str) -> None:
        """Removes a request from the queue or from the decode slots."""
        self._queue = [item for item in self._queue if item[2].name != name]
        heapq.heapify(self._queue)
        for item in [item for item in self._running if item[1] == name]:
            self._running.remove(item)
            self.cache.unpin(item[2].chain)
        heapq.heapify(self._running)

    def next_event_time(self, now: float) -> float | None:
        """Returns when to call `advance` next.

        None means that no request waits for prefill or is in prefill.
        """
        if self._current is not None:
            return self._current.at
        if self._queue and len(self._running) < self._speed.slots:
            return now
        if self._queue and self._running:
            return self._running[0][0]
        return None

    def advance(self, now: float) -> list[Prefilled]:
        """Processes all events that are due.

        Returns the requests that produced their first token.
        """
        ready: list[Prefilled] = []
        while True:
            while self._running and self._running[0][0] <= now:
                self.cache.unpin(heapq.heappop(self._running)[2].chain)
            current = self._current
            if current is not None:
                if current.at > now:
                    return ready
                self._current = None
                self.cache.pin(current.job.chain)
                self.cache.use(current.job.chain)
                ends_at = current.at + (
                    current.job.output_tokens * self._speed.token_s
                )
                job = current.job
                heapq.heappush(self._running, (ends_at, job.name, job))
                ready.append(current)
            full = len(self._running) >= self._speed.slots
            if not self._queue or full:
                return ready
            start = now if current is None else max(current.at, now)
            self._begin(heapq.heappop(self._queue)[2], start)

    def _begin(self, job: Job, now: float) -> None:
        cached = self.cache.depth(job.chain)
        imported = max(0, job.offloaded_blocks - cached)
        cached_tokens = cached * job.block_tokens
        imported_tokens = imported * job.block_tokens
        uncached_tokens = max(
            0, job.total_tokens - cached_tokens - imported_tokens
        )
        prefill_s = (
            self._speed.overhead_s
            + uncached_tokens / self._speed.prefill_tokens_per_s
            + imported_tokens / self._speed.import_tokens_per_s
        )
        self.busy_s += prefill_s
        self._current = Prefilled(
            job, now + prefill_s, cached_tokens, imported_tokens
        )

    def crash(self) -> list[str]:
        """Drops all requests and the cache; returns the ids of the requests."""
        lost = [item[2].name for item in self._queue]
        lost += [name for _, name, _ in self._running]
        if self._current is not None:
            lost.append(self._current.job.name)
        self._queue.clear()
        self._running.clear()
        self._current = None
        self.cache.clear()
        return lost
