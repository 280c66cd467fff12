"""Plots the contents of a fleet's logs over time, as one HTML page."""

import collections
from collections.abc import Iterable, Sequence
import dataclasses
import html
import io
import sys
from typing import Any

from bergamotmill.cli import request_timeline

PLOT_STEP_S = 1.0
FIRST_BYTE_QUANTILE = 0.95
# Events that the page lists, each with the log field that names its subject.
LISTED_EVENTS = {
    "store_lost": "router",
    "store_back": "router",
    "history_lost": "router",
    "paused": "router",
    "upstream_gone": "upstream",
    "upstream_ejected": "upstream",
    "continuation": "request",
    "settings_refused": "router",
    "lines_omitted": "router",
    "started": "router",
    "stopping": "router",
}
MAX_LISTED_EVENTS = 200
ANSWERED = "answered"


@dataclasses.dataclass
class LogSeries:
    """Time series, counts and events read from the logs.

    Times are in seconds since the epoch.

    Attributes:
        started_at: time of the earliest line.
        ended_at: time of the latest line.
        outcomes: number of requests by outcome and second.
        first_bytes: times to first byte in seconds by route and second.
        not_served: number of requests without a successful response, by
            status and reason.
        configuration: (time, version) by router.
        weights: (time, highest weights version of all models) by engine,
            from `upstream` events.
        listed_events: lines of the events in LISTED_EVENTS, by time.
        routers: names of the routers that wrote the lines.
        unreadable: places of the lines that could not be parsed.
    """

    started_at: float = float("inf")
    ended_at: float = float("-inf")
    outcomes: dict[str, collections.Counter[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    first_bytes: dict[str, dict[int, list[float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
    )
    not_served: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    configuration: dict[str, list[tuple[float, int]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    weights: dict[str, list[tuple[float, int]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    listed_events: list[request_timeline.LogLine] = dataclasses.field(
        default_factory=list
    )
    routers: set[str] = dataclasses.field(default_factory=set)
    unreadable: list[str] = dataclasses.field(default_factory=list)


def read_logs(paths: Iterable[str]) -> LogSeries:
    """Reads log files.

    Raises:
        OSError: a file cannot be read.
    """
    series = LogSeries()
    for path in paths:
        for place, text in request_timeline.read_lines(path):
            parsed = request_timeline.parse_line(place, text)
            if parsed.is_err():
                series.unreadable.append(parsed.err())
            else:
                _add_line(series, parsed.ok())
    series.listed_events.sort(key=lambda line: line.time)
    return series


def _add_line(series: LogSeries, line: request_timeline.LogLine) -> None:
    fields = line.fields
    event = fields[request_timeline.FIELD_EVENT]
    router = str(fields.get(request_timeline.FIELD_ROUTER, "?"))
    series.started_at = min(series.started_at, line.time)
    series.ended_at = max(series.ended_at, line.time)
    series.routers.add(router)
    if event in ("outcome", "rejected", "customer_limited"):
        _add_outcome(series, line, event)
    elif event == "configuration":
        series.configuration[router].append((line.time, fields["version"]))
    elif event == "upstream" and fields.get("weights"):
        version = max(fields["weights"].values())
        series.weights[fields["upstream"]].append((line.time, version))
    elif event in LISTED_EVENTS:
        series.listed_events.append(line)


def _add_outcome(
    series: LogSeries, line: request_timeline.LogLine, event: str
) -> None:
    fields = line.fields
    second = int(line.time // PLOT_STEP_S)
    outcome = fields["outcome" if event == "outcome" else "reason"]
    served = outcome == ANSWERED and fields["status"] < 300
    name = ANSWERED if served else str(outcome)
    if outcome == ANSWERED and not served:
        name = f"upstream's {fields['status']}"
    series.outcomes[name][second] += 1
    if not served:
        series.not_served[f"{fields['status']} {name}"] += 1
    first_byte_s = fields.get("first_byte_s", 0.0)
    if first_byte_s:
        by_second = series.first_bytes[str(fields["route"])]
        by_second[second].append(first_byte_s)


def quantile(
    values: Sequence[float], fraction: float = FIRST_BYTE_QUANTILE
) -> float:
    """Returns a value that at least `fraction` of the values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class ReportPage:
    """HTML page with plots on a shared time axis."""

    def __init__(self, series: LogSeries):
        self._series = series
        self._colours: Any = None

    def html(self) -> str:
        """Returns the whole page."""
        series = self._series
        span = series.ended_at - series.started_at
        rows = "".join(
            f"<tr><td>{count}</td><td>{html.escape(name)}</td></tr>"
            for name, count in series.not_served.most_common()
        )
        listed = "".join(
            f"<li>{html.escape(self._format_event(line))}</li>"
            for line in series.listed_events[:MAX_LISTED_EVENTS]
        )
        hidden = len(series.listed_events) - MAX_LISTED_EVENTS
        note = f"<p>{hidden} more are not shown.</p>" if hidden > 0 else ""
        unreadable = ""
        if series.unreadable:
            shown = html.escape(", ".join(series.unreadable[:5]))
            unreadable = (
                f"<p>{len(series.unreadable)} lines could not be read: "
                f"{shown}</p>"
            )
        return (
            "<!doctype html><meta charset='utf-8'>"
            "<title>Fleet report</title>"
            "<style>body{font-family:sans-serif;max-width:64em;margin:2em "
            "auto}svg{width:100%;height:auto}td{padding-right:1em}</style>"
            f"<h1>{len(series.routers)} routers over {span:.0f} s</h1>"
            f"{unreadable}{self._plots()}"
            f"<h2>Not served</h2><table>{rows}</table>"
            f"<h2>Events</h2><ul>{listed}</ul>{note}"
        )

    def _format_event(self, line: request_timeline.LogLine) -> str:
        fields = line.fields
        event = fields[request_timeline.FIELD_EVENT]
        subject = fields.get(LISTED_EVENTS[event], "?")
        detail = fields.get("reason") or fields.get("detail") or ""
        offset_s = line.time - self._series.started_at
        router = fields.get(request_timeline.FIELD_ROUTER, "?")
        return (
            f"{offset_s:.1f} s, {router}: {event} {subject} {detail}".rstrip()
        )

    def _plots(self) -> str:
        # matplotlib takes about a second to import, so other commands do not
        # import it.
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot

        # tab20 has enough colours for all reasons that are plotted.
        self._colours = matplotlib.colormaps["tab20"]
        figure, axes = pyplot.subplots(
            5, 1, figsize=(10, 15), sharex=True, layout="constrained"
        )
        self._draw_load(axes[0])
        self._draw_first_bytes(axes[1])
        self._draw_not_served(axes[2])
        self._draw_versions(
            axes[3], self._series.configuration, "configuration by router"
        )
        self._draw_versions(axes[4], self._series.weights, "weights by engine")
        axes[4].set_xlabel("seconds from the first line")
        target = io.StringIO()
        figure.savefig(target, format="svg")
        pyplot.close(figure)
        text = target.getvalue()
        return text[text.index("<svg") :]

    def _seconds(self) -> range:
        first = int(self._series.started_at // PLOT_STEP_S)
        return range(first, int(self._series.ended_at // PLOT_STEP_S) + 1)

    def _times(self) -> list[float]:
        return [
            second * PLOT_STEP_S - self._series.started_at
            for second in self._seconds()
        ]

    def _draw_load(self, axis: Any) -> None:
        served = self._series.outcomes.get(ANSWERED, {})
        total = [
            sum(counts[second] for counts in self._series.outcomes.values())
            for second in self._seconds()
        ]
        axis.plot(self._times(), total, label="all requests")
        axis.plot(
            self._times(),
            [served.get(second, 0) for second in self._seconds()],
            label="served",
        )
        axis.set_ylabel("per second")
        axis.set_title("requests received and served")
        axis.legend()

    def _draw_first_bytes(self, axis: Any) -> None:
        for route, by_second in sorted(self._series.first_bytes.items()):
            times = sorted(by_second)
            axis.plot(
                [
                    second * PLOT_STEP_S - self._series.started_at
                    for second in times
                ],
                [quantile(by_second[second]) for second in times],
                label=route,
            )
        axis.set_ylabel("seconds")
        axis.set_title(
            f"time to first byte, {FIRST_BYTE_QUANTILE:.0%} quantile"
        )
        if self._series.first_bytes:
            axis.legend()

    def _draw_not_served(self, axis: Any) -> None:
        names = [
            name
            for name, counts in sorted(self._series.outcomes.items())
            if name != ANSWERED and counts
        ]
        if names:
            colours = self._colours
            axis.stackplot(
                self._times(),
                [
                    [self._series.outcomes[name][s] for s in self._seconds()]
                    for name in names
                ],
                labels=names,
                colors=[colours(index) for index in range(len(names))],
            )
            axis.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0))
        axis.set_ylabel("per second")
        axis.set_title("not served, by reason")

    def _draw_versions(
        self, axis: Any, by_name: dict[str, list[tuple[float, int]]], title
    ) -> None:
        for name, points in sorted(by_name.items()):
            points.sort()
            axis.step(
                [time_s - self._series.started_at for time_s, _ in points],
                [version for _, version in points],
                where="post",
                label=name,
            )
        axis.set_ylabel("version")
        axis.set_title(title)


def write(paths: Sequence[str], target: str) -> int:
    """Writes the page and returns the exit status.

    0: the page was written; 1: the logs have no readable line; 2: a file
    cannot be read or written.
    """
    try:
        series = read_logs(paths)
        if not series.routers:
            print("the logs have no readable line", file=sys.stderr)
            return 1
        with open(target, "w", encoding="utf-8") as file:
            file.write(ReportPage(series).html())
    except OSError as err:
        print(f"{err.filename}: {err.strerror}", file=sys.stderr)
        return 2
    print(f"{target}: {len(series.routers)} routers")
    return 0
