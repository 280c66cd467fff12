"""HTTP page with the metrics in the Prometheus text format.

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
_INVALID_NAME_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")

GaugesProvider = Callable[[], Mapping[str, float]]


def _split_name(name: str) -> tuple[str, str]:
    group, _, kind = name.partition(".")
    return f"{PREFIX}_{_INVALID_NAME_CHARACTER.sub('_', group)}", kind


class _Collector:
    """Converts the metrics of a process to Prometheus metric families."""

    def __init__(self, metrics: stats.Metrics, gauges: GaugesProvider):
        self._metrics = metrics
        self._read_gauges = gauges

    def describe(self) -> list[prometheus.Metric]:
        """Returns nothing, as the metric names are not known in advance."""
        return []

    def collect(self) -> Iterator[prometheus.Metric]:
        """Yields all metric families."""
        yield from self._collect_counters()
        yield from self._collect_latencies()
        yield from self._collect_gauges()

    def _collect_gauges(self) -> Iterator[prometheus.Metric]:
        """Yields the gauges; those with a kind have it as a label."""
        families: dict[str, prometheus.GaugeMetricFamily] = {}
        for name, value in self._read_gauges().items():
            metric, kind = _split_name(name)
            if not kind:
                yield prometheus.GaugeMetricFamily(metric, name, value=value)
                continue
            family = families.get(metric)
            if family is None:
                family = prometheus.GaugeMetricFamily(
                    metric, metric, labels=[LABEL]
                )
                families[metric] = family
            family.add_metric([kind], value)
        yield from families.values()

    def _collect_counters(self) -> Iterator[prometheus.Metric]:
        families: dict[str, prometheus.CounterMetricFamily] = {}
        for name, count in sorted(self._metrics.counts.items()):
            metric, kind = _split_name(name)
            family = families.get(metric)
            if family is None:
                family = prometheus.CounterMetricFamily(
                    metric, metric, labels=[LABEL]
                )
                families[metric] = family
            family.add_metric([kind], count)
        yield from families.values()

    def _collect_latencies(self) -> Iterator[prometheus.Metric]:
        families: dict[str, prometheus.HistogramMetricFamily] = {}
        for name, histogram in sorted(self._metrics.histograms.items()):
            metric, kind = _split_name(name)
            metric += "_seconds"
            family = families.get(metric)
            if family is None:
                family = prometheus.HistogramMetricFamily(
                    metric, metric, labels=[LABEL]
                )
                families[metric] = family
            family.add_metric(
                [kind], _cumulative_buckets(histogram), histogram.total_s
            )
        yield from families.values()


def _cumulative_buckets(histogram: stats.Histogram) -> list[tuple[str, int]]:
    """Returns the cumulative count up to each upper bound."""
    bounds = [str(bound) for bound in stats.BUCKET_BOUNDS_S] + ["+Inf"]
    cumulative = []
    total = 0
    for bound, count in zip(bounds, histogram.buckets, strict=True):
        total += count
        cumulative.append((bound, total))
    return cumulative


class MetricsPage:
    """Serves the metrics of one process over HTTP."""

    def __init__(self, metrics: stats.Metrics, gauges: GaugesProvider):
        self._registry = prometheus_registry.CollectorRegistry()
        self._registry.register(_Collector(metrics, gauges))

    def text(self) -> bytes:
        """Returns the page in the text format."""
        return exposition.generate_latest(self._registry)

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Responds to one request."""
        if exchange.request.path != PATH:
            exchange.respond(404)
            return
        exchange.respond(200, self.text(), [CONTENT_TYPE])
