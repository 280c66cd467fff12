"""What callers, upstreams and operators of a soak saw."""

import collections
import dataclasses
import time


@dataclasses.dataclass
class Request:
    """One request as its caller saw it.

    Attributes:
        began, ended: on the monotonic clock; not ended while under way.
        status: 0 when the connection broke before an answer.
        whole: whether the answer came to its end.
        wrong: what is wrong with the answer's content; empty for nothing.
    """

    request_id: str
    route: str
    repeatable: bool
    key: str
    router: str
    timeout_s: float
    began: float
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    wrong: str = ""

    @property
    def served(self) -> bool:
        """Whether it got its whole answer."""
        return self.status == 200 and self.whole and not self.wrong


@dataclasses.dataclass
class Arrival:
    """One request as a replica saw it; `runs` unless it refused it."""

    at: float
    request_id: str
    replica: str
    customer: str = ""
    scope: str = ""
    weights: int = 0
    continued: bool = False
    runs: bool = True


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A fault: what it touched and when; open while it lasts."""

    kind: str
    target: str
    began: float
    ended: float


@dataclasses.dataclass(frozen=True)
class Order:
    """An order that a replica accepted."""

    at: float
    replica: str
    holder: str
    fencing: int
    version: int


class Observations:
    """Gathers everything that the promises are checked against."""

    def __init__(self):
        self.requests: list[Request] = []
        self.arrivals: list[Arrival] = []
        self.troubles: list[Trouble] = []
        self.orders: list[Order] = []
        # When replicas were seen to leave, and when engines were lost.
        self.leaving: dict[str, float] = {}
        self.lost: dict[str, float] = {}
        # Configuration versions by the time of their acknowledgement.
        self.versions: list[tuple[int, float]] = []
        # (router and start, time, version) as probes saw it.
        self.in_force: list[tuple[str, float, int]] = []
        # What is wrong with how processes ended or recovered.
        self.ends: list[str] = []
        self.violations: collections.Counter[str] = collections.Counter()

    def violated(self, text: str) -> None:
        """Notes a broken promise."""
        self.violations[text] += 1

    def trouble(self, kind: str, target: str, seconds: float) -> None:
        """Notes a fault that begins now."""
        now = time.monotonic()
        self.troubles.append(Trouble(kind, target, now, now + seconds))

    def calm(
        self, since: float, until: float, but: tuple[str, ...] = ()
    ) -> bool:
        """Whether no fault, but for some kinds, touched a span of time."""
        return not any(
            item.began <= until and item.ended >= since
            for item in self.troubles
            if item.kind not in but
        )
