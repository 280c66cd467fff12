"""What callers, replicas and operators of a soak observed."""

import collections
import dataclasses
import math
import time

# Target of faults that concern all routers.
ALL_ROUTERS = "all"


@dataclasses.dataclass
class Request:
    """One request as its caller observed it.

    Attributes:
        timeout_s: time limit of the route, in seconds.
        began: start on the monotonic clock, in seconds.
        connected: whether a connection was open to send the request on.
        ended: end on the same clock; 0 while the request is in progress.
        status: HTTP status; 0 if the connection failed before an answer.
        complete: whether the answer was read to its end.
        content_error: what is wrong with the answer's content, or "".
    """

    request_id: str
    route: str
    repeatable: bool
    key: str
    router: str
    timeout_s: float
    began: float
    connected: bool = False
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    content_error: str = ""

    @property
    def served(self) -> bool:
        """Whether the caller got a complete and correct answer."""
        return self.status == 200 and self.complete and not self.content_error


@dataclasses.dataclass
class Arrival:
    """One request as a replica observed it.

    Attributes:
        at: arrival on the monotonic clock, in seconds.
        scope: cache scope that the router sent.
        weights_version: version of the weights that the replica had loaded.
        continued: whether the replica continued a run of another engine from
            a copy of its KV.
        accepted: whether the replica ran the request instead of refusing it.
        parts: names of the parts of its prompt.
        body: the request's body.
    """

    at: float
    request_id: str
    replica: str
    customer: str = ""
    scope: str = ""
    weights_version: int = 0
    continued: bool = False
    accepted: bool = True
    parts: tuple[str, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class FaultSpan:
    """An injected fault: its target, its start and its expected end."""

    kind: str
    target: str
    began: float
    ended: float


@dataclasses.dataclass(frozen=True)
class LimitSpan:
    """A time in which a replica names the requests a second that it takes."""

    replica: str
    per_s: float
    began: float
    ended: float


@dataclasses.dataclass(frozen=True)
class DirectoryAnswer:
    """The routers that the directory of a router named."""

    at: float
    router: str
    named: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Order:
    """An order that a replica accepted.

    Attributes:
        at: time at which the order was collected from the replica.
        holder: router that held the lease for orders.
        fencing: fencing token of that lease.
        version: version of the weights to load.
    """

    at: float
    replica: str
    holder: str
    fencing: int
    version: int


class Observations:
    """Collects everything that the promises are checked against."""

    def __init__(self):
        self.requests: list[Request] = []
        self.arrivals: list[Arrival] = []
        self.fault_spans: list[FaultSpan] = []
        # Times at which replicas crashed, by the part that crashed them, and
        # by the body of the request that did.
        self.crashes: dict[str, list[float]] = {}
        self.request_crashes: dict[bytes, list[float]] = {}
        self.orders: list[Order] = []
        self.limit_spans: list[LimitSpan] = []
        # The name of each router by the address on which it takes requests.
        self.router_names: dict[str, str] = {}
        # By replica, the time at which it began to leave, and at which it
        # crashed.
        self.leaving_since: dict[str, float] = {}
        self.lost_at: dict[str, float] = {}
        # (configuration version, time at which the store acknowledged it).
        self.acknowledged_versions: list[tuple[int, float]] = []
        # (router and its start count, time, configuration version) of each
        # probe.
        self.probed_versions: list[tuple[str, float, int]] = []
        self.directory_answers: list[DirectoryAnswer] = []
        # Times from which and until which routers were off, by router; the
        # last one may not have ended yet.
        self.off_spans: dict[str, list[tuple[float, float]]] = {}
        # Unexpected exits, wrong exit statuses and missing recovery.
        self.failures: list[str] = []
        self.violations: collections.Counter[str] = collections.Counter()

    def record_violation(self, text: str) -> None:
        """Counts a violation of a promise."""
        self.violations[text] += 1

    def record_fault(self, kind: str, target: str, seconds: float) -> None:
        """Records a fault that begins now and lasts for `seconds`."""
        now = time.monotonic()
        self.fault_spans.append(FaultSpan(kind, target, now, now + seconds))

    def note_running(self, router: str, running: bool, now: float) -> None:
        """Records whether the process of a router is running."""
        spans = self.off_spans.setdefault(router, [])
        is_off = bool(spans) and spans[-1][1] == math.inf
        if running and is_off:
            spans[-1] = (spans[-1][0], now)
        elif not running and not is_off:
            spans.append((now, math.inf))

    def disturbed(
        self, router: str, replica: str, since: float, until: float
    ) -> bool:
        """Whether a fault of a router, or on its way to a replica, overlaps.

        Args:
            router: the router.
            replica: the replica that it sends requests to.
            since: start of the time span.
            until: end of the time span.
        """
        return any(
            item.began <= until
            and item.ended >= since
            and (
                item.target in (router, ALL_ROUTERS)
                or item.target.startswith(f"{replica} ")
            )
            for item in self.fault_spans
        )

    def fault_free(
        self, since: float, until: float, ignored_kinds: tuple[str, ...] = ()
    ) -> bool:
        """Whether no fault overlaps a time span, apart from ignored kinds."""
        return not any(
            item.began <= until and item.ended >= since
            for item in self.fault_spans
            if item.kind not in ignored_kinds
        )
