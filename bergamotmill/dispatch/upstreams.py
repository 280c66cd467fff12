"""What this process believes of each upstream."""

from collections.abc import Callable, Mapping
import dataclasses
import enum
import math

from bergamotmill.dispatch import const
from bergamotmill.routing import health as replica_health
from bergamotmill.routing import locations as prefix_locations

# Parts under way that are remembered.
MAX_PENDING_PREFIXES = 4096


class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One upstream as it describes itself.

    Attributes:
        name: its id; a new start mostly has a new one.
        born: the start, Unix milliseconds; tells starts of one id apart.
        sequence: grows with each report of one start.
        cold_left_s: how much longer it stays slow after its start.
        weights: the version held of each model.
    """

    name: str
    service: str
    address: str
    data_centre: str
    state: UpstreamState
    slots: int
    born: int
    sequence: int
    cold_left_s: float = 0.0
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)


class FailureRate:
    """The share of attempts that fail; it fades while nothing is tried."""

    __slots__ = ("_at", "_value")

    def __init__(self):
        self._value = 0.0
        self._at = 0.0

    def value(self, now: float) -> float:
        """Returns the share, 0 to 1."""
        age = max(0.0, now - self._at)
        return self._value * math.exp(-age / const.FAILURE_DECAY_S)

    def record(self, failed: bool, now: float) -> None:
        """Takes note of an attempt."""
        value = self.value(now)
        step = const.FAILURE_SMOOTHING_FACTOR
        self._value = value + step * ((1.0 if failed else 0.0) - value)
        self._at = now


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """An attempt without an answer yet, and when one was expected."""

    since: float
    expected_s: float
    work_s: float


class Upstream:
    """One upstream: its entry, what it is doing and how it fares."""

    def __init__(self, entry: UpstreamEntry, now: float):
        self.entry = entry
        self.seen_at = now
        self.failures = FailureRate()
        self._health = replica_health.ReplicaHealth()
        self._tested_at = now - const.PROBE_PERIOD_S
        self._dead_at = float("-inf")
        self.weights = dict(entry.weights)
        self._cold_until = now + entry.cold_left_s
        self._busy_until = 0.0
        self._order_until = 0.0
        self._running: dict[str, float] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._backlog_s = 0.0
        self._backlog_at = now
        self._excess_s = 0.0
        self._excess_at = now
        self._heard_at = now
        self._burst_s = 0.0
        self._burst_at = now - const.HERD_WINDOW_S
        self._stored_tokens = 0

    @property
    def in_flight(self) -> int:
        """Attempts of this process that have not ended."""
        return len(self._running)

    def refresh(self, entry: UpstreamEntry, now: float) -> None:
        """Takes a newer entry of the same start."""
        self.entry = entry
        self.seen_at = now
        self._cold_until = now + entry.cold_left_s
        for model, version in entry.weights.items():
            self.note_weights(model, version)

    def note_weights(self, model: str, version: int) -> None:
        """Notes weights that an entry, an answer or a peer showed."""
        if version <= self.weights.get(model, 0):
            return
        self.weights[model] = version
        # Loading them ended all that waited there.
        self._order_until = 0.0
        self._backlog_s = 0.0
        self._excess_s = 0.0

    def note_order(self, now: float) -> None:
        """Notes that an order is about to keep it from new work."""
        self._order_until = now + const.ORDER_BLOCK_S

    def under_order(self, now: float) -> bool:
        """Whether it is believed to be carrying out an order."""
        return now < self._order_until

    @property
    def stored_tokens(self) -> int:
        """Tokens that were put into its cache since it is known."""
        return self._stored_tokens

    def note_stored_tokens(self, tokens: int) -> None:
        """Notes tokens that it reads or fetches, and so puts into its cache."""
        self._stored_tokens += tokens

    def add_work(self, work_s: float, now: float) -> None:
        """Notes work that this process or a peer has sent there."""
        self._backlog_s = self.backlog_s(now) + work_s
        self._backlog_at = now

    def backlog_s(self, now: float) -> float:
        """Returns work that was sent there and cannot be done yet."""
        return max(0.0, self._backlog_s - (now - self._backlog_at))

    def note_started(self, request_id: str, work_s: float, now: float) -> None:
        """Notes an attempt that brings so much work before its answer."""
        expected = self.wait_s(now) + work_s
        self._waiting[request_id] = _Waiting(now, expected, work_s)
        self._running[request_id] = now
        self.add_work(work_s, now)
        if now - self._burst_at > const.HERD_WINDOW_S:
            self._burst_s = 0.0
            self._burst_at = now
        self._burst_s += work_s

    def unreported_peer_work_s(self, peers: int, now: float) -> float:
        """Returns work that peers may be sending at this very moment.

        They see what this process sees, and so tend to choose alike.
        """
        if now - self._burst_at > const.HERD_WINDOW_S:
            return 0.0
        return self._burst_s * peers

    def note_first_byte(self, request_id: str, now: float) -> None:
        """Notes the first byte of an answer, and how late it was."""
        self.note_bytes_received(now)
        found = self._waiting.pop(request_id, None)
        if found is None:
            return
        late = max(0.0, now - found.since - found.expected_s)
        late = min(late, const.MAX_LATENESS_S)
        self._excess_s = (self.lateness_s(now) + late) / 2
        self._excess_at = now

    def note_bytes_received(self, now: float) -> None:
        """Notes that bytes came from there."""
        self._heard_at = now

    def note_ended(self, request_id: str) -> None:
        """Notes the end of an attempt; what was not begun is work saved."""
        found = self._waiting.pop(request_id, None)
        if found is not None:
            self._backlog_s = max(0.0, self._backlog_s - found.work_s)
        self._running.pop(request_id, None)

    def lateness_s(self, now: float) -> float:
        """Returns how much later than predicted answers begin; it fades."""
        age = max(0.0, now - self._excess_at)
        return self._excess_s * math.exp(-age / const.LATENESS_DECAY_S)

    def overdue_s(self, request_id: str, now: float) -> float:
        """Returns for how long nothing came although an answer was due."""
        found = self._waiting.get(request_id)
        if found is None:
            return 0.0
        due = max(found.since + found.expected_s, self._heard_at)
        return max(0.0, now - due)

    def usable(self, now: float) -> bool:
        """Whether new work may go there after failures."""
        return self._health.usable(now)

    def may_probe(self, now: float) -> bool:
        """Whether a connection may be opened to see if it is alive."""
        if now - self._tested_at < const.PROBE_PERIOD_S:
            return False
        self._tested_at = now
        return True

    def note_probe(self, dead: bool, now: float) -> None:
        """Notes whether it took a connection."""
        self._dead_at = now if dead else float("-inf")

    def probed_dead(self, now: float) -> bool:
        """Whether a test lately found that it takes no connection."""
        return now - self._dead_at < 2 * const.PROBE_PERIOD_S

    def note_failure(self, now: float, at_once: bool) -> bool:
        """Takes note of a failed attempt; True when that ejects it."""
        self.failures.record(True, now)
        return at_once and self._health.failed(now, at_once)

    def note_success(self, now: float) -> None:
        """Takes note of a whole answer."""
        self.failures.record(False, now)
        self._health.succeeded(now)

    def note_refusal(self, now: float) -> None:
        """Notes that it turned a request away."""
        self._busy_until = now + const.BUSY_EXPIRY_S

    def wait_s(self, now: float) -> float:
        """Returns the predicted wait before work on a request begins."""
        overdue = max(
            (now - w.since - w.expected_s for w in self._waiting.values()),
            default=0.0,
        )
        wait = max(self.backlog_s(now), overdue)
        wait += self.lateness_s(now)
        if now < self._busy_until:
            wait += const.BUSY_PENALTY_S
        if now < self._cold_until:
            wait += const.BUSY_PENALTY_S
        if now < self._order_until:
            wait += self._order_until - now
        return wait


class Upstreams:
    """All upstreams by name; those of dead starts are forgotten.

    Attributes:
        locations: which engine holds which prefix.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._known: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self.locations = prefix_locations.Locations()
        self._memory_tokens: dict[str, int] = {}
        # When parts that are being read now will be there.
        self._ready_at: dict[tuple[int, str], float] = {}

    def set_memory_tokens(self, service: str, tokens: int) -> None:
        """Takes how many tokens each engine of a service has room for."""
        self._memory_tokens[service] = tokens

    def learn(self, digest: int, name: str, ready_s: float) -> None:
        """Notes that an engine holds a part, or will in so many seconds."""
        item = self._known.get(name)
        if item is None:
            return
        if not self.holds_prefix(digest, name):
            self._ready_at.pop((digest, name), None)
            self._ready_at[(digest, name)] = self._now() + ready_s
            if len(self._ready_at) > MAX_PENDING_PREFIXES:
                del self._ready_at[next(iter(self._ready_at))]
        # Engines drop what was used longest ago: a part's age is counted in
        # tokens that came after it.
        self.locations.learn("", digest, name, item.stored_tokens)

    def holds_prefix(self, digest: int, name: str) -> bool:
        """Whether an engine is believed to hold a part or to be reading it."""
        stamp = self.locations.stamp(digest, name)
        item = self._known.get(name)
        if stamp is None or item is None:
            return False
        memory = self._memory_tokens.get(item.entry.service, 0)
        if not memory:
            return True
        return (
            item.stored_tokens - stamp <= const.CACHE_MEMORY_FRACTION * memory
        )

    def is_prefix_ready(self, digest: int, name: str) -> bool:
        """Whether a part that an engine holds can be moved from there."""
        at = self._ready_at.get((digest, name))
        if at is None:
            return True
        if self._now() < at:
            return False
        del self._ready_at[(digest, name)]
        return True

    @property
    def by_name(self) -> Mapping[str, Upstream]:
        """All upstreams by name, leaving ones included."""
        return self._known

    def put(self, entry: UpstreamEntry) -> bool:
        """Takes an entry; False when it is older than what is known."""
        known = self._known.get(entry.name)
        now = self._now()
        if known is not None:
            old = known.entry
            if (entry.born, entry.sequence) < (old.born, old.sequence):
                return False
            if entry.born == old.born:
                if (
                    old.state is UpstreamState.LEAVING
                    and entry.state is UpstreamState.READY
                ):
                    return False
                known.refresh(entry, now)
                self._by_service.clear()
                return True
        self._known[entry.name] = Upstream(entry, now)
        self.locations.invalidate(entry.name)
        self._by_service.clear()
        return True

    def remove(self, name: str) -> None:
        """Forgets an upstream that takes no more work."""
        if self._known.pop(name, None) is not None:
            self.locations.remove(name)
            self._by_service.clear()

    def ready(self, service: str) -> list[Upstream]:
        """Returns a service's upstreams that take new work."""
        found = self._by_service.get(service)
        if found is None:
            found = [
                upstream
                for _, upstream in sorted(self._known.items())
                if upstream.entry.service == service
                and upstream.entry.state is UpstreamState.READY
            ]
            self._by_service[service] = found
        return found
