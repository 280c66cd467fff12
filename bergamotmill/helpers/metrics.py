"""Metrics, collected in memory and periodically sent to statsd."""

import asyncio
import bisect
from collections.abc import Mapping

import statsd

# Upper bounds of the latency histograms, in seconds.
BUCKET_BOUNDS_S = (
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
FLUSH_INTERVAL_S = 1.0
PREFIX = "bergamotmill"
MAX_TIMINGS_PER_FLUSH = 200


class Histogram:
    """Counts durations in buckets; the last one has no upper bound."""

    __slots__ = ("buckets", "total_s")

    def __init__(self):
        self.buckets = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Adds a duration to its bucket and to the total."""
        self.buckets[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """Counters, gauges and timings that are cheap to update per request."""

    def __init__(self, address: str = ""):
        self._address = address
        self._counts: dict[str, int] = {}
        self._sent_counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, Histogram] = {}
        self._pending_timings: list[tuple[str, float]] = []
        self._client: statsd.StatsClient | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> Mapping[str, int]:
        """Counter values since the start of the process."""
        return self._counts

    @property
    def gauges(self) -> Mapping[str, float]:
        """The latest value of each gauge."""
        return self._gauges

    @property
    def histograms(self) -> Mapping[str, Histogram]:
        """Latency histograms by name."""
        return self._histograms

    def count(self, name: str, by: int = 1) -> None:
        """Increments a counter."""
        self._counts[name] = self._counts.get(name, 0) + by

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration.

        At most MAX_HISTOGRAMS names get a histogram, and at most
        MAX_TIMINGS_PER_FLUSH timings are sent to statsd per flush; the others
        are dropped.
        """
        histogram = self._histograms.get(name)
        if histogram is None and len(self._histograms) < MAX_HISTOGRAMS:
            histogram = self._histograms[name] = Histogram()
        if histogram is not None:
            histogram.add(seconds)
        if (
            self._client is not None
            and len(self._pending_timings) < MAX_TIMINGS_PER_FLUSH
        ):
            self._pending_timings.append((name, seconds))

    async def start(self) -> None:
        """Starts sending to statsd if an address is configured."""
        if not self._address:
            return
        host, _, port = self._address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)
        self._task = asyncio.create_task(self._flush_periodically())

    async def close(self) -> None:
        """Stops sending to statsd."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._client is not None:
            self._client.close()
            self._client = None

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._flush()

    def _flush(self) -> None:
        with self._client.pipeline() as pipe:
            for name, value in self._counts.items():
                delta = value - self._sent_counts.get(name, 0)
                if delta:
                    pipe.incr(name, delta)
                    self._sent_counts[name] = value
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            for name, seconds in self._pending_timings:
                pipe.timing(name, seconds * 1000.0)
            self._pending_timings.clear()
