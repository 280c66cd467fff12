"""Metrics as text, for whoever fetches them over HTTP.

A name such as `requests.answered` becomes the metric `requests` with the
label `kind="answered"`.
"""

from collections.abc import Callable, Iterator, Mapping
import re

from prometheus_client import core as prometheus
from prometheus_client import exposition
from prometheus_client import registry as prometheus_registry

from bergamotmill.helpers import http_server
from bergamotmill.helpers import metrics as stats

PATH = "/metrics"
PREFIX = "bergamotmill"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")
LABEL = "kind"
_NOT_NAME = re.compile(r"[^a-zA-Z0-9_]")

Gauges = Callable[[], Mapping[str, float]]


def _split(name: str) -> tuple[str, str]:
    group, _, kind = name.partition(".")
    return f"{PREFIX}_{_NOT_NAME.sub('_', group)}", kind


class _Collector:
    """Turns the counters and histograms of a process into families."""

    def __init__(self, metrics: stats.Metrics, gauges: Gauges):
        self._metrics = metrics
        self._gauges = gauges

    def describe(self) -> list[prometheus.Metric]:
        """Names nothing in advance."""
        return []

    def collect(self) -> Iterator[prometheus.Metric]:
        """Gives all families."""
        yield from self._counters()
        yield from self._latencies()
        for name, value in self._gauges().items():
            metric, _ = _split(name)
            yield prometheus.GaugeMetricFamily(metric, name, value=value)

    def _counters(self) -> Iterator[prometheus.Metric]:
        families: dict[str, prometheus.CounterMetricFamily] = {}
        for name, count in sorted(self._metrics.counts.items()):
            metric, kind = _split(name)
            family = families.get(metric)
            if family is None:
                family = prometheus.CounterMetricFamily(
                    metric, metric, labels=[LABEL]
                )
                families[metric] = family
            family.add_metric([kind], count)
        yield from families.values()

    def _latencies(self) -> Iterator[prometheus.Metric]:
        families: dict[str, prometheus.HistogramMetricFamily] = {}
        for name, histogram in sorted(self._metrics.histograms.items()):
            metric, kind = _split(name)
            metric += "_seconds"
            family = families.get(metric)
            if family is None:
                family = prometheus.HistogramMetricFamily(
                    metric, metric, labels=[LABEL]
                )
                families[metric] = family
            family.add_metric([kind], _buckets(histogram), histogram.total_s)
        yield from families.values()


def _buckets(histogram: stats.Histogram) -> list[tuple[str, int]]:
    """Returns cumulative counts by upper bound."""
    bounds = [str(bound) for bound in stats.BOUNDS_S] + ["+Inf"]
    found = []
    total = 0
    for bound, count in zip(bounds, histogram.buckets, strict=True):
        total += count
        found.append((bound, total))
    return found


class MetricsPage:
    """Serves the metrics of one process."""

    def __init__(self, metrics: stats.Metrics, gauges: Gauges):
        self._registry = prometheus_registry.CollectorRegistry()
        self._registry.register(_Collector(metrics, gauges))

    def text(self) -> bytes:
        """Returns the page."""
        return exposition.generate_latest(self._registry)

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one request."""
        if exchange.request.path != PATH:
            exchange.respond(404)
            return
        exchange.respond(200, self.text(), [CONTENT_TYPE])
