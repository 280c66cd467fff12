"""The state of each upstream, as far as this router knows it."""

from collections.abc import Callable, Mapping
import dataclasses
import enum
import math

from bergamotmill.dispatch import const
from bergamotmill.dispatch import prefill_speed
from bergamotmill.engine_load import queue as engine_queue
from bergamotmill.routing import health as replica_health
from bergamotmill.routing import locations as prefix_locations

# Maximum number of prefixes whose computation is tracked; the oldest is
# dropped first.
MAX_PENDING_PREFIXES = 4096
# Predicted wait up to which an upstream counts as idle.
IDLE_WAIT_S = 0.02
# Maximum number of leaving incarnations that are remembered; the oldest is
# dropped first. A fleet has at most 10,000 upstreams, of which few leave at a
# time.
MAX_LEAVING_INCARNATIONS = 1024


class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream's own report of its state.

    Attributes:
        name: id of the upstream; a restart usually gets a new one.
        born: its incarnation, the start time in Unix milliseconds;
            distinguishes starts that have the same id.
        sequence: number of the report, growing within one incarnation.
        cold_left_s: time for which it stays slow after its start, in seconds.
        weights: version loaded, by model.
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
    """The fraction of failed attempts; it decays while nothing is sent."""

    __slots__ = ("_at", "_value")

    def __init__(self):
        self._value = 0.0
        self._at = 0.0

    def value(self, now: float) -> float:
        """Returns the fraction of failed attempts, 0 to 1."""
        age = max(0.0, now - self._at)
        return self._value * math.exp(-age / const.FAILURE_DECAY_S)

    def record(self, failed: bool, now: float) -> None:
        """Records the result of an attempt."""
        value = self.value(now)
        factor = const.FAILURE_SMOOTHING_FACTOR
        self._value = value + factor * ((1.0 if failed else 0.0) - value)
        self._at = now


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingAttempt:
    """An attempt that has no response yet.

    Attributes:
        sent_at: time when it was sent, monotonic.
        expected_s: predicted time to its first byte, in seconds.
        work_s: work that it brings before its first byte, in seconds.
    """

    sent_at: float
    expected_s: float
    work_s: float


class Upstream:
    """One upstream: its entry, its predicted load and its failures."""

    def __init__(self, entry: UpstreamEntry, now: float):
        self.entry = entry
        self.seen_at = now
        self.failures = FailureRate()
        self._health = replica_health.ReplicaHealth()
        self._probed_at = now - const.PROBE_PERIOD_S
        self._probe_failed_at = float("-inf")
        self.weights = dict(entry.weights)
        self._cold_until = now + entry.cold_left_s
        self._busy_until = 0.0
        self._paused_until = 0.0
        self._allowance_at = 0.0
        self.allowance_priority = 0
        self._order_blocks_until = 0.0
        self._running: dict[str, float] = {}
        self._pending: dict[str, _PendingAttempt] = {}
        self._backlog_s = 0.0
        self._backlog_at = now
        self._lateness_s = 0.0
        self._lateness_at = now
        self._last_byte_at = now
        self._recent_work_s = 0.0
        self._recent_work_from = now - const.HERD_WINDOW_S
        self._stored_tokens = 0
        # Set by a placement owner that measures the load of the engine.
        self.load: engine_queue.EngineLoad | None = None

    @property
    def in_flight(self) -> int:
        """Number of attempts of this router that have not ended."""
        return len(self._running)

    def refresh(self, entry: UpstreamEntry, now: float) -> None:
        """Applies a newer entry of the same incarnation."""
        self.entry = entry
        self.seen_at = now
        self._cold_until = now + entry.cold_left_s
        for model, version in entry.weights.items():
            self.note_weights(model, version)

    def note_weights(self, model: str, version: int) -> None:
        """Records a version seen in an entry, a response or a peer's notice."""
        if version <= self.weights.get(model, 0):
            return
        self.weights[model] = version
        # The engine ended all queued work before it loaded the new version.
        self._order_blocks_until = 0.0
        self._backlog_s = 0.0
        self._lateness_s = 0.0
        if self.load is not None:
            self.load.clear_queue()

    def note_order(self, now: float) -> None:
        """Records that an order is about to block new work at the engine."""
        self._order_blocks_until = now + const.ORDER_BLOCK_S

    def under_order(self, now: float) -> bool:
        """Whether the engine is probably carrying out an order."""
        return now < self._order_blocks_until

    @property
    def stored_tokens(self) -> int:
        """Number of tokens added to the cache since the engine became known."""
        return self._stored_tokens

    def note_stored_tokens(self, tokens: int) -> None:
        """Records tokens that are computed or copied into the cache."""
        self._stored_tokens += tokens

    def add_work(self, work_s: float, now: float) -> None:
        """Adds work that this router or a peer has sent to the upstream."""
        self._backlog_s = self.backlog_s(now) + work_s
        self._backlog_at = now

    def backlog_s(self, now: float) -> float:
        """Returns the estimated work there that is not finished yet."""
        return max(0.0, self._backlog_s - (now - self._backlog_at))

    def note_started(
        self,
        request_id: str,
        work_s: float,
        now: float,
        expected_s: float | None = None,
    ) -> None:
        """Records a new attempt and its work before the first byte.

        Args:
            request_id: id of the request.
            work_s: work to add to the backlog.
            now: present time.
            expected_s: predicted time to the first byte; None for the present
                wait and the work.
        """
        if expected_s is None:
            expected_s = self.wait_s(now) + work_s
        self._pending[request_id] = _PendingAttempt(now, expected_s, work_s)
        self._running[request_id] = now
        self.add_work(work_s, now)
        if now - self._recent_work_from > const.HERD_WINDOW_S:
            self._recent_work_s = 0.0
            self._recent_work_from = now
        self._recent_work_s += work_s

    def unreported_peer_work_s(self, peers: int, now: float) -> float:
        """Returns the work of peers whose notices may not have arrived yet.

        Peers see the same state as this router and tend to make the same
        choices, so each is assumed to have sent as much as this router.
        """
        if now - self._recent_work_from > const.HERD_WINDOW_S:
            return 0.0
        return self._recent_work_s * peers

    def note_first_byte(self, request_id: str, now: float) -> None:
        """Records the first byte of a response, and how late it was."""
        self.note_bytes_received(now)
        attempt = self._pending.pop(request_id, None)
        if attempt is None:
            return
        late_s = max(0.0, now - attempt.sent_at - attempt.expected_s)
        self.note_lateness(late_s, now)

    def note_lateness(self, late_s: float, now: float) -> None:
        """Records how much later than predicted a response begins."""
        late_s = min(late_s, const.MAX_LATENESS_S)
        self._lateness_s = (self.lateness_s(now) + late_s) / 2
        self._lateness_at = now

    def note_bytes_received(self, now: float) -> None:
        """Records that the upstream sent bytes."""
        self._last_byte_at = now

    def note_ended(self, request_id: str) -> None:
        """Records the end of an attempt.

        If it had no response yet, its work leaves the backlog.
        """
        attempt = self._pending.pop(request_id, None)
        if attempt is not None:
            self._backlog_s = max(0.0, self._backlog_s - attempt.work_s)
        self._running.pop(request_id, None)

    def lateness_s(self, now: float) -> float:
        """Returns how much later than predicted responses begin.

        The value decays after the latest response.
        """
        age = max(0.0, now - self._lateness_at)
        return self._lateness_s * math.exp(-age / const.LATENESS_DECAY_S)

    def overdue_s(self, request_id: str, now: float) -> float:
        """Returns how many seconds the upstream is silent with a response due.

        Bytes of any of its responses end the silence.
        """
        attempt = self._pending.get(request_id)
        if attempt is None:
            return 0.0
        due_at = max(attempt.sent_at + attempt.expected_s, self._last_byte_at)
        return max(0.0, now - due_at)

    def usable(self, now: float) -> bool:
        """Whether the upstream is not ejected."""
        return self._health.is_available(now)

    def may_probe(self, now: float) -> bool:
        """Whether it is time for a test connection; records one if so."""
        if now - self._probed_at < const.PROBE_PERIOD_S:
            return False
        self._probed_at = now
        return True

    def note_probe(self, failed: bool, now: float) -> None:
        """Records whether a test connection failed."""
        self._probe_failed_at = now if failed else float("-inf")

    def probed_dead(self, now: float) -> bool:
        """Whether a recent test connection failed."""
        return now - self._probe_failed_at < 2 * const.PROBE_PERIOD_S

    def note_failure(self, now: float, eject: bool) -> bool:
        """Records a failed attempt; True when this ejects the upstream.

        Args:
            now: time of the failure.
            eject: whether a failure of this kind ejects it at once; other
                kinds only raise the failure rate.
        """
        self.failures.record(True, now)
        if eject and self.load is not None:
            self.load.note_failure()
        return eject and self._health.record_failure(now, eject)

    def note_success(self, now: float) -> None:
        """Records a complete response."""
        self.failures.record(False, now)
        self._health.record_success(now)

    def note_refusal(self, now: float) -> None:
        """Records that the upstream refused a request."""
        self._busy_until = now + const.BUSY_EXPIRY_S

    def note_pause(self, pause_s: float, now: float) -> None:
        """Records that the upstream wants nothing from this router for a time.

        The pause applies to requests, orders and status queries alike.
        """
        self._paused_until = max(self._paused_until, now + pause_s)

    def pause_left_s(self, now: float) -> float:
        """Returns for how long the upstream wants nothing from this router."""
        return max(0.0, self._paused_until - now)

    def note_allowance(
        self, wait_s: float, now: float, priority: int = 0
    ) -> None:
        """Records when its limit allows another request, as was predicted.

        Args:
            wait_s: the predicted wait, in seconds.
            now: present time.
            priority: priority of the request for which it was predicted; more
                urgent ones may be allowed earlier.
        """
        self._allowance_at = now + wait_s
        self.allowance_priority = priority

    def allowance_wait_s(self, now: float) -> float:
        """Returns the predicted wait until its limit allows a request."""
        return max(0.0, self._allowance_at - now)

    def is_idle(self, now: float) -> bool:
        """Whether no work is known that would delay a new request."""
        wait_s = self.wait_s(now)
        if self.used_load(now) is None:
            wait_s -= self.lateness_s(now)
        return wait_s <= IDLE_WAIT_S

    def wait_s(self, now: float) -> float:
        """Returns the predicted wait before work on a request begins."""
        load = self.used_load(now)
        if load is not None:
            # What other owners have placed there is known from notices.
            wait_s = load.wait_s(now) + self.backlog_s(now)
        else:
            wait_s = self._estimated_wait_s(now)
        if now < self._busy_until:
            wait_s += const.BUSY_PENALTY_S
        if now < self._cold_until:
            wait_s += const.BUSY_PENALTY_S
        if now < self._order_blocks_until:
            wait_s += self._order_blocks_until - now
        return wait_s

    def used_load(self, now: float) -> engine_queue.EngineLoad | None:
        """Returns the load that this router measures; None if it does not."""
        if self.load is None or not self.load.is_used(now):
            return None
        return self.load

    def _estimated_wait_s(self, now: float) -> float:
        """Returns the wait that follows from the work that was sent there."""
        max_overdue_s = max(
            (
                now - attempt.sent_at - attempt.expected_s
                for attempt in self._pending.values()
            ),
            default=0.0,
        )
        return max(self.backlog_s(now), max_overdue_s) + self.lateness_s(now)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The state of an upstream whose entry was removed.

    Attributes:
        sequence: number of the last entry seen.
        at: when it was removed, monotonic.
    """

    born: int
    sequence: int
    at: float


class Upstreams:
    """All known upstreams, each in its latest incarnation only.

    Attributes:
        locations: index of which engine holds which prefix.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._known: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self.locations = prefix_locations.PrefixLocations()
        self._memory_tokens: dict[str, int] = {}
        self._prefill_speeds: dict[str, prefill_speed.PrefillSpeed] = {}
        # When a prefix that an engine is computing will be cached there.
        self._prefix_ready_at: dict[tuple[int, str], float] = {}
        # The latest incarnation of each upstream that is known to leave. It is
        # kept while the upstream has no entry: an entry may be missing for a
        # time, or come back in an older state.
        self._leaving_incarnations: dict[str, int] = {}
        # The state in which upstreams were whose entries have been removed.
        self._removed: dict[str, Removal] = {}

    def set_memory_tokens(self, service: str, tokens: int) -> None:
        """Sets the KV memory of each engine of a service, in tokens."""
        self._memory_tokens[service] = tokens

    def prefill_speed(self, service: str) -> prefill_speed.PrefillSpeed:
        """Returns how fast the engines of a service compute prompts."""
        return self._prefill_speeds.setdefault(
            service, prefill_speed.PrefillSpeed()
        )

    @property
    def prefill_scales(self) -> Mapping[str, float]:
        """The learned factors on the work of prompts, by service."""
        return {
            service: speed.scale
            for service, speed in self._prefill_speeds.items()
        }

    def learn(self, digest: int, name: str, ready_s: float) -> None:
        """Records that an engine holds a prefix, or will in ready_s seconds."""
        upstream = self._known.get(name)
        if upstream is None:
            return
        if not self.holds_prefix(digest, name):
            self._prefix_ready_at.pop((digest, name), None)
            self._prefix_ready_at[(digest, name)] = self._now() + ready_s
            if len(self._prefix_ready_at) > MAX_PENDING_PREFIXES:
                del self._prefix_ready_at[next(iter(self._prefix_ready_at))]
        # Engines evict what was used longest ago, so the age of a prefix is
        # counted in tokens stored after it was last used.
        self.locations.add_holder("", digest, name, upstream.stored_tokens)

    def holds_prefix(self, digest: int, name: str) -> bool:
        """Whether an engine probably holds a prefix or is computing it."""
        stamp = self.locations.confirmed_at(digest, name)
        upstream = self._known.get(name)
        if stamp is None or upstream is None:
            return False
        return self._is_kept(upstream, stamp)

    def prefix_holders(self, digest: int) -> list[str]:
        """Returns the engines that probably hold, or compute, a prefix."""
        names = []
        for name, stamp in self.locations.holders("", digest):
            upstream = self._known.get(name)
            if upstream is not None and self._is_kept(upstream, stamp):
                names.append(name)
        return names

    def _is_kept(self, upstream: Upstream, stamp: float) -> bool:
        """Whether an engine has not evicted what it stored at a stamp."""
        memory_tokens = self._memory_tokens.get(upstream.entry.service, 0)
        if not memory_tokens:
            return True
        return (
            upstream.stored_tokens - stamp
            <= const.CACHE_MEMORY_FRACTION * memory_tokens
        )

    def is_prefix_ready(self, digest: int, name: str) -> bool:
        """Whether a prefix that an engine holds can be copied from there."""
        ready_at = self._prefix_ready_at.get((digest, name))
        if ready_at is None:
            return True
        if self._now() < ready_at:
            return False
        del self._prefix_ready_at[(digest, name)]
        return True

    @property
    def by_name(self) -> Mapping[str, Upstream]:
        """All upstreams by name, leaving ones included."""
        return self._known

    def put(self, entry: UpstreamEntry) -> bool:
        """Applies an entry; False when it is outdated.

        An entry is outdated if it is older than the known one, reports the
        same incarnation as ready after it was leaving, or is not newer than one
        that was removed: a restored store may contain that again.
        """
        known = self._known.get(entry.name)
        now = self._now()
        if entry.state is UpstreamState.LEAVING:
            self.mark_leaving(entry.name, entry.born)
        elif self.is_leaving(entry.name, entry.born):
            return False
        if not self._is_newer_than_removed(entry):
            return False
        self._removed.pop(entry.name, None)
        if known is not None:
            old = known.entry
            if (entry.born, entry.sequence) < (old.born, old.sequence):
                return False
            if entry.born == old.born:
                known.refresh(entry, now)
                self._by_service.clear()
                return True
        self._known[entry.name] = Upstream(entry, now)
        self.locations.invalidate(entry.name)
        self._by_service.clear()
        return True

    def mark_leaving(self, name: str, born: int) -> bool:
        """Records that an incarnation is leaving; False if that is known.

        Only a newer incarnation takes new work again.
        """
        if self.is_leaving(name, born):
            return False
        self._leaving_incarnations.pop(name, None)
        self._leaving_incarnations[name] = born
        if len(self._leaving_incarnations) > MAX_LEAVING_INCARNATIONS:
            oldest = next(iter(self._leaving_incarnations))
            del self._leaving_incarnations[oldest]
        self._by_service.clear()
        return True

    def is_leaving(self, name: str, born: int) -> bool:
        """Whether an incarnation, or a later one, is known to leave."""
        return born <= self._leaving_incarnations.get(name, -1)

    def accepts_work(self, upstream: Upstream) -> bool:
        """Whether an upstream takes new work: it is ready and not leaving."""
        entry = upstream.entry
        return entry.state is UpstreamState.READY and not self.is_leaving(
            entry.name, entry.born
        )

    def remove(self, name: str) -> None:
        """Removes an upstream."""
        if self._known.pop(name, None) is not None:
            self.locations.remove(name)
            self._by_service.clear()

    def note_removed(self, name: str, born: int, sequence: int) -> bool:
        """Removes an upstream whose entry was removed.

        The same incarnation takes new work again only with a later entry, as
        one has that lives.

        Args:
            name: name of the upstream.
            born: its incarnation.
            sequence: number of its last entry that was seen.

        Returns:
            Whether that was not known.
        """
        known = self._known.get(name)
        if known is not None and (born, sequence) < (
            known.entry.born,
            known.entry.sequence,
        ):
            return False
        removed = self._removed.pop(name, None)
        if removed is not None and (born, sequence) <= (
            removed.born,
            removed.sequence,
        ):
            self._removed[name] = removed
            return False
        self._removed[name] = Removal(born, sequence, self._now())
        if len(self._removed) > MAX_LEAVING_INCARNATIONS:
            del self._removed[next(iter(self._removed))]
        self.remove(name)
        return True

    def removed_since(self, at: float) -> Mapping[str, Removal]:
        """Returns the upstreams whose entries were removed after a time."""
        return {
            name: removal
            for name, removal in self._removed.items()
            if removal.at > at
        }

    def _is_newer_than_removed(self, entry: UpstreamEntry) -> bool:
        removed = self._removed.get(entry.name)
        return removed is None or (entry.born, entry.sequence) > (
            removed.born,
            removed.sequence,
        )

    def ready(self, service: str) -> list[Upstream]:
        """Returns a service's upstreams that take new work."""
        ready = self._by_service.get(service)
        if ready is None:
            ready = [
                upstream
                for _, upstream in sorted(self._known.items())
                if upstream.entry.service == service
                and self.accepts_work(upstream)
            ]
            self._by_service[service] = ready
        return ready
