"""A model of an engine: block cache, prefill queue and decode slots.

It has no clock of its own: the stand-in server and the bench both drive it
with explicit times.
"""

from collections.abc import Iterable, Iterator
import dataclasses
import heapq
import itertools


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """How fast an engine is.

    Attributes:
        prefill_tokens_per_s: uncached prompt tokens a second.
        import_tokens_per_s: tokens a second from a store of kept KV.
        token_s: seconds between two tokens of one stream.
        slots: requests that run together.
        cache_pieces: pieces of the prompt cache.
    """

    prefill_tokens_per_s: float = 8000.0
    import_tokens_per_s: float = 40000.0
    token_s: float = 0.04
    slots: int = 32
    cache_blocks: int = 64
    overhead_s: float = 0.005


class BlockCache:
    """Cached prompt pieces, the least recently used out first.

    Pieces of running requests are pinned and stay.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._pieces: dict[int, None] = {}
        self._pins: dict[int, int] = {}
        self._sequence = 0
        self.events: list[tuple[int, int, int]] = []

    def __len__(self) -> int:
        return len(self._pieces)

    def __contains__(self, digest: int) -> bool:
        return digest in self._pieces

    @property
    def sequence(self) -> int:
        """The number of the latest event."""
        return self._sequence

    def depth(self, chain: Iterable[int]) -> int:
        """Returns how many pieces of a chain are cached from its start."""
        count = 0
        for digest in chain:
            if digest not in self._pieces:
                break
            count += 1
        return count

    def use(self, chain: tuple[int, ...]) -> None:
        """Stores a chain's pieces; the deepest are the first to go."""
        for digest in reversed(chain):
            if digest in self._pieces:
                del self._pieces[digest]
            else:
                self._note(1, digest)
            self._pieces[digest] = None
        self._evict()

    def _evict(self) -> None:
        over = len(self._pieces) - self._capacity
        if over <= 0:
            return
        free = (item for item in self._pieces if item not in self._pins)
        for digest in list(itertools.islice(free, over)):
            del self._pieces[digest]
            self._note(0, digest)

    def pin(self, chain: tuple[int, ...]) -> None:
        """Keeps pieces while a request runs."""
        for digest in chain:
            self._pins[digest] = self._pins.get(digest, 0) + 1

    def unpin(self, chain: tuple[int, ...]) -> None:
        """Gives pieces free, as the most recently used."""
        for digest in chain:
            self._pins[digest] -= 1
            if not self._pins[digest]:
                del self._pins[digest]
        self.use(chain)

    def clear(self) -> None:
        """Empties the cache without events, as a crash does."""
        self._pieces.clear()

    def _note(self, stored: int, digest: int) -> None:
        self._sequence += 1
        self.events.append((self._sequence, stored, digest))
        if len(self.events) > 4096:
            del self.events[:2048]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One request as the model sees it."""

    name: str
    priority: int
    chain: tuple[int, ...]
    piece_tokens: int
    total_tokens: int
    output_tokens: int
    kept_pieces: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """A request whose first token is there."""

    job: Job
    at: float
    cached_tokens: int
    imported_tokens: int


class EngineModel:
    """Prefills one request after the other, and decodes many together."""

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
        """Requests that are being prefilled or decoded."""
        return len(self._running) + (self._current is not None)

    @property
    def waiting(self) -> int:
        """Requests that wait for prefill."""
        return len(self._queue)

    def pending(self) -> Iterator[Job]:
        """Gives the requests whose prefill is not done."""
        if self._current is not None:
            yield self._current.job
        for _, _, job in self._queue:
            yield job

    def queued_tokens(self, now: float) -> dict[int, float]:
        """Returns uncached tokens that wait for prefill, by priority."""
        queued: dict[int, float] = {}
        for negative, _, job in self._queue:
            tokens = self._uncached(job)
            queued[-negative] = queued.get(-negative, 0.0) + tokens
        if self._current is not None:
            left = max(0.0, self._current.at - now)
            top = 100
            rate = self._speed.prefill_tokens_per_s
            queued[top] = queued.get(top, 0.0) + left * rate
        return queued

    def _uncached(self, job: Job) -> float:
        cached = self.cache.depth(job.chain) * job.piece_tokens
        return max(0.0, job.total_tokens - cached)

    def submit(self, job: Job) -> None:
        """Puts a request in the queue."""
        self._sequence += 1
        self.accepted_tokens += self._uncached(job)
        heapq.heappush(self._queue, (-job.priority, self._sequence, job))

    def cancel(self, name: str) -> None:
        """Takes a request out."""
        self._queue = [item for item in self._queue if item[2].name != name]
        heapq.heapify(self._queue)
        for item in [item for item in self._running if item[1] == name]:
            self._running.remove(item)
            self.cache.unpin(item[2].chain)
        heapq.heapify(self._running)

    def next_event_time(self, now: float) -> float | None:
        """Returns when something happens next; None when idle."""
        if self._current is not None:
            return self._current.at
        if self._queue and len(self._running) < self._speed.slots:
            return now
        if self._queue and self._running:
            return self._running[0][0]
        return None

    def advance(self, now: float) -> list[Prefilled]:
        """Does all that is due and returns requests with a first token."""
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
                ends = current.at + (
                    current.job.output_tokens * self._speed.token_s
                )
                job = current.job
                heapq.heappush(self._running, (ends, job.name, job))
                ready.append(current)
            full = len(self._running) >= self._speed.slots
            if not self._queue or full:
                return ready
            start = now if current is None else max(current.at, now)
            self._begin(heapq.heappop(self._queue)[2], start)

    def _begin(self, job: Job, now: float) -> None:
        cached = self.cache.depth(job.chain)
        imported = max(0, job.kept_pieces - cached)
        cached_tokens = cached * job.piece_tokens
        imported_tokens = imported * job.piece_tokens
        rest = max(0, job.total_tokens - cached_tokens - imported_tokens)
        spent = (
            self._speed.overhead_s
            + rest / self._speed.prefill_tokens_per_s
            + imported_tokens / self._speed.import_tokens_per_s
        )
        self.busy_s += spent
        self._current = Prefilled(
            job, now + spent, cached_tokens, imported_tokens
        )

    def crash(self) -> list[str]:
        """Loses everything; returns the names of lost requests."""
        lost = [item[2].name for item in self._queue]
        lost += [name for _, name, _ in self._running]
        if self._current is not None:
            lost.append(self._current.job.name)
        self._queue.clear()
        self._running.clear()
        self._current = None
        self.cache.clear()
        return lost
