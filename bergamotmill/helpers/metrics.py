"""Metrics: counted in memory, sent to statsd once a second."""

import asyncio
import bisect
from collections.abc import Mapping

import statsd

# Upper bounds of the latency histograms, in seconds.
BOUNDS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    3.0,
    5.0,
    10.0,
    20.0,
)
MAX_HISTOGRAMS = 500
FLUSH_S = 1.0
PREFIX = "bergamotmill"
MAX_TIMINGS = 200


class Histogram:
    """Counts durations by upper bound; the last bucket has none."""

    __slots__ = ("buckets", "total_s")

    def __init__(self):
        self.buckets = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Counts a duration."""
        self.buckets[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """Counters, gauges and timings; cheap to update on a hot path."""

    def __init__(self, address: str = ""):
        self._address = address
        self._counts: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, Histogram] = {}
        self._timings: list[tuple[str, float]] = []
        self._client: statsd.StatsClient | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> Mapping[str, int]:
        """Counters since the start."""
        return self._counts

    @property
    def gauges(self) -> Mapping[str, float]:
        """The latest gauges."""
        return self._gauges

    @property
    def histograms(self) -> Mapping[str, Histogram]:
        """Latency histograms by name."""
        return self._histograms

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        self._counts[name] = self._counts.get(name, 0) + by

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration; a flood between two flushes is thinned."""
        found = self._histograms.get(name)
        if found is None and len(self._histograms) < MAX_HISTOGRAMS:
            found = self._histograms[name] = Histogram()
        if found is not None:
            found.add(seconds)
        if self._client is not None and len(self._timings) < MAX_TIMINGS:
            self._timings.append((name, seconds))

    async def start(self) -> None:
        """Starts sending when an address is set."""
        if not self._address:
            return
        host, _, port = self._address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops sending."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._client is not None:
            self._client.close()
            self._client = None

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self._flush()

    def _flush(self) -> None:
        with self._client.pipeline() as pipe:
            for name, value in self._counts.items():
                delta = value - self._sent.get(name, 0)
                if delta:
                    pipe.incr(name, delta)
                    self._sent[name] = value
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            for name, seconds in self._timings:
                pipe.timing(name, seconds * 1000.0)
            self._timings.clear()
