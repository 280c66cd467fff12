"""Draws what a fleet's logs say over time, as one HTML page."""

import collections
from collections.abc import Iterable, Sequence
import dataclasses
import html
import io
import sys
from typing import Any

from bergamotmill.cli import request_timeline

# Width of a step in the plots, in seconds.
STEP_S = 1.0
PART_SLOW = 0.95
# Changes of belief that the page lists, with what tells them apart.
TROUBLES = {
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
LISTED = 200
ANSWERED = "answered"


@dataclasses.dataclass
class Series:
    """What the logs say, by second where it belongs to one.

    Attributes:
        outcomes: requests by outcome and second.
        first_bytes: first-byte times in seconds by route and second.
        refused: requests that were refused, by reason.
        configuration: (time, version) by router.
        weights: (time, version) by engine, as orders and entries tell.
        troubles: changes of belief in order of time.
    """

    began: float = float("inf")
    ended: float = float("-inf")
    outcomes: dict[str, collections.Counter[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    first_bytes: dict[str, dict[int, list[float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    configuration: dict[str, list[tuple[float, int]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    weights: dict[str, list[tuple[float, int]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    troubles: list[request_timeline.LogLine] = dataclasses.field(
        default_factory=list
    )
    routers: set[str] = dataclasses.field(default_factory=set)
    unread: list[str] = dataclasses.field(default_factory=list)


def gather(paths: Iterable[str]) -> Series:
    """Reads logs.

    Raises:
        OSError: a file cannot be read.
    """
    series = Series()
    for path in paths:
        for place, text in request_timeline.read_lines(path):
            found = request_timeline.parse_line(place, text)
            if found.is_err():
                series.unread.append(found.err())
            else:
                _take(series, found.ok())
    series.troubles.sort(key=lambda line: line.time)
    return series


def _take(series: Series, line: request_timeline.LogLine) -> None:
    fields = line.fields
    event = fields[request_timeline.FIELD_EVENT]
    router = str(fields.get(request_timeline.FIELD_ROUTER, "?"))
    series.began = min(series.began, line.time)
    series.ended = max(series.ended, line.time)
    series.routers.add(router)
    if event in ("outcome", "rejected"):
        _take_outcome(series, line, event)
    elif event == "configuration":
        series.configuration[router].append((line.time, fields["version"]))
    elif event == "upstream" and fields.get("weights"):
        version = max(fields["weights"].values())
        series.weights[fields["upstream"]].append((line.time, version))
    elif event in TROUBLES:
        series.troubles.append(line)


def _take_outcome(
    series: Series, line: request_timeline.LogLine, event: str
) -> None:
    fields = line.fields
    second = int(line.time // STEP_S)
    outcome = fields["outcome" if event == "outcome" else "reason"]
    served = outcome == ANSWERED and fields["status"] < 300
    name = ANSWERED if served else str(outcome)
    if outcome == ANSWERED and not served:
        name = f"upstream's {fields['status']}"
    series.outcomes[name][second] += 1
    if not served:
        series.refused[f"{fields['status']} {name}"] += 1
    first_byte_s = fields.get("first_byte_s", 0.0)
    if first_byte_s:
        route = series.first_bytes[str(fields["route"])]
        route[second].append(first_byte_s)


def slowest(values: Sequence[float], part: float = PART_SLOW) -> float:
    """Returns the value that a part of all stay at or under."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class Page:
    """Plots on shared axes of time."""

    def __init__(self, series: Series):
        self._series = series
        self._colours: Any = None

    def html(self) -> str:
        """Returns the whole page."""
        series = self._series
        span = series.ended - series.began
        rows = "".join(
            f"<tr><td>{count}</td><td>{html.escape(name)}</td></tr>"
            for name, count in series.refused.most_common()
        )
        listed = "".join(
            f"<li>{html.escape(self._told(line))}</li>"
            for line in series.troubles[:LISTED]
        )
        more = len(series.troubles) - LISTED
        note = f"<p>{more} more are not shown.</p>" if more > 0 else ""
        unread = ""
        if series.unread:
            shown = html.escape(", ".join(series.unread[:5]))
            unread = (
                f"<p>{len(series.unread)} lines could not be read: {shown}</p>"
            )
        return (
            "<!doctype html><meta charset='utf-8'>"
            "<title>Report of a fleet</title>"
            "<style>body{font-family:sans-serif;max-width:64em;margin:2em "
            "auto}svg{width:100%;height:auto}td{padding-right:1em}</style>"
            f"<h1>{len(series.routers)} routers over {span:.0f} s</h1>"
            f"{unread}{self._plots()}"
            f"<h2>Not served</h2><table>{rows}</table>"
            f"<h2>What changed</h2><ul>{listed}</ul>{note}"
        )

    def _told(self, line: request_timeline.LogLine) -> str:
        fields = line.fields
        event = fields[request_timeline.FIELD_EVENT]
        who = fields.get(TROUBLES[event], "?")
        detail = fields.get("reason") or fields.get("detail") or ""
        at = line.time - self._series.began
        by = fields.get(request_timeline.FIELD_ROUTER, "?")
        return f"{at:.1f} s, {by}: {event} {who} {detail}".rstrip()

    def _plots(self) -> str:
        # Drawing is loaded only when it is asked for: it takes a second.
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot

        # Enough colours for all reasons there are.
        self._colours = matplotlib.colormaps["tab20"]
        figure, axes = pyplot.subplots(
            5, 1, figsize=(10, 15), sharex=True, layout="constrained"
        )
        self._draw_load(axes[0])
        self._draw_first_bytes(axes[1])
        self._draw_refusals(axes[2])
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
        first = int(self._series.began // STEP_S)
        return range(first, int(self._series.ended // STEP_S) + 1)

    def _times(self) -> list[float]:
        return [
            second * STEP_S - self._series.began for second in self._seconds()
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
        axis.set_ylabel("a second")
        axis.set_title("load and answers")
        axis.legend()

    def _draw_first_bytes(self, axis: Any) -> None:
        for route, by_second in sorted(self._series.first_bytes.items()):
            times = sorted(by_second)
            axis.plot(
                [second * STEP_S - self._series.began for second in times],
                [slowest(by_second[second]) for second in times],
                label=route,
            )
        axis.set_ylabel("seconds")
        axis.set_title(f"first byte within, for {PART_SLOW:.0%} of requests")
        if self._series.first_bytes:
            axis.legend()

    def _draw_refusals(self, axis: Any) -> None:
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
        axis.set_ylabel("a second")
        axis.set_title("not served, by reason")

    def _draw_versions(
        self, axis: Any, by_name: dict[str, list[tuple[float, int]]], title
    ) -> None:
        for name, points in sorted(by_name.items()):
            points.sort()
            axis.step(
                [at - self._series.began for at, _ in points],
                [version for _, version in points],
                where="post",
                label=name,
            )
        axis.set_ylabel("version")
        axis.set_title(title)


def write(paths: Sequence[str], target: str) -> int:
    """Writes the page; returns the exit status.

    0: it was written; 1: the logs hold no line; 2: a file cannot be used.
    """
    try:
        series = gather(paths)
        if not series.routers:
            print("the logs hold no line that can be read", file=sys.stderr)
            return 1
        with open(target, "w", encoding="utf-8") as file:
            file.write(Page(series).html())
    except OSError as err:
        print(f"{err.filename}: {err.strerror}", file=sys.stderr)
        return 2
    print(f"{target}: {len(series.routers)} routers")
    return 0
