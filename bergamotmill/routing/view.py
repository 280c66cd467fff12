"""One router's view of the replicas in the fleet."""

from collections.abc import Callable, Iterable, Mapping
import dataclasses

import loguru

from bergamotmill import core
from bergamotmill.routing import const
from bergamotmill.routing import health as replica_health
from bergamotmill.routing import load as replica_load
from bergamotmill.routing import locations as prefix_locations
from bergamotmill.upstream.engine import config
from bergamotmill.util import hash_ring


class ReplicaView:
    """One router's knowledge of a replica.

    Attributes:
        distance_s: network latency to the replica in seconds.
        event_sequence: number of the last cache event applied.
        events_followed_since: time since which batches of cache events have
            arrived without a pause of EVENTS_STALE_AFTER_S.
        retention: estimate of how long the replica caches an unused prefix.
    """

    __slots__ = (
        "distance_s",
        "_event_loss",
        "last_events_at",
        "events_followed_since",
        "event_sequence",
        "health",
        "retention",
        "incarnation",
        "load",
        "replica",
    )

    def __init__(self, replica: core.Replica, distance_s: float):
        self.replica = replica
        self.distance_s = distance_s
        self.load = replica_load.ReplicaLoad()
        self.health = replica_health.ReplicaHealth()
        self.retention = prefix_locations.RetentionEstimate()
        self.incarnation = 0
        self.event_sequence = 0
        self._event_loss = 0.0
        self.last_events_at = -const.EVENTS_STALE_AFTER_S
        self.events_followed_since = float("inf")

    def event_loss_fraction(self, now: float) -> float:
        """Returns the fraction of cache events that are missed, 0 to 1."""
        if now - self.last_events_at >= const.EVENTS_STALE_AFTER_S:
            return 1.0
        return self._event_loss

    def record_event_batch(
        self, received: int, missed: int, now: float
    ) -> None:
        """Records the number of received and missed events of a batch."""
        if now - self.last_events_at >= const.EVENTS_STALE_AFTER_S:
            self.events_followed_since = now
        self.last_events_at = now
        if received + missed:
            loss = missed / (received + missed)
            self._event_loss += const.EVENT_LOSS_SMOOTHING * (
                loss - self._event_loss
            )

    def prefix_survival_probability(
        self, confirmed_at: float, now: float
    ) -> float:
        """Returns the probability that a prefix is still cached.

        The age of its confirmation gives a first estimate. The absence of an
        eviction event raises it, the more so the fewer events are missed.
        """
        survival = self.retention.survival_probability(now - confirmed_at)
        unreported = (1.0 - survival) * max(
            const.MIN_EVENT_LOSS, self.event_loss_fraction(now)
        )
        return survival / (survival + unreported)

    def unknown_fraction(self, now: float) -> float:
        """Returns the fraction of the replica's cache that may be unknown.

        Once its events have been followed for as long as it retains prefixes,
        the whole cache is known except for missed events.
        """
        followed_s = max(0.0, now - self.events_followed_since)
        unseen_fraction = 1.0 - followed_s / self.retention.seconds
        return max(
            const.MIN_EVENT_LOSS, self.event_loss_fraction(now), unseen_fraction
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EligibleReplicas:
    """The replicas that may serve one model, and their hash ring."""

    names: tuple[str, ...]
    views: Mapping[str, ReplicaView]
    ring: hash_ring.HashRing


class FleetView:
    """Incarnations, load, health and cached prefixes of all replicas.

    Attributes:
        locations: index of the replicas that hold each prefix.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._views: dict[str, ReplicaView] = {}
        self.locations = prefix_locations.PrefixLocations()
        self._leaving: frozenset[str] = frozenset()
        self._eligible_cache: dict[
            tuple[str, str, str, str], EligibleReplicas
        ] = {}
        self._cache_valid_until = float("inf")

    @property
    def views(self) -> Mapping[str, ReplicaView]:
        """Views by replica name."""
        return self._views

    @property
    def leaving(self) -> frozenset[str]:
        """Names of leaving replicas, which get no new requests."""
        return self._leaving

    def set_replicas(
        self,
        replicas: Mapping[str, core.Replica],
        distance: Callable[[str], float],
    ) -> None:
        """Applies the configured replicas.

        Args:
            replicas: the replicas by name.
            distance: returns the network latency to a data centre in seconds.
        """
        for name in list(self._views):
            if self._views[name].replica != replicas.get(name):
                del self._views[name]
                self.locations.remove(name)
        for name, replica in replicas.items():
            if name not in self._views:
                distance_s = distance(replica.data_centre)
                self._views[name] = ReplicaView(replica, distance_s)
                self.locations.invalidate(name)
        self._clear_eligible()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Sets the names of replicas that are leaving."""
        if names != self._leaving:
            self._leaving = names
            self._clear_eligible()

    def on_report(self, name: str, report: config.LoadReport) -> None:
        """Applies a load report, unless it is out of date."""
        view = self._views.get(name)
        if view is None or report.incarnation < view.incarnation:
            return
        previous = view.load.report
        restarted = report.incarnation > view.incarnation
        if (
            previous is not None
            and not restarted
            and report.as_of < previous.as_of
        ):
            return
        if restarted:
            self.on_new_incarnation(name, report.incarnation)
        view.load.on_report(report)
        if previous is None or _changes_eligibility(previous, report):
            if previous is not None and previous.models != report.models:
                self.locations.invalidate(name)
            self._clear_eligible()

    def on_report_missing(self, name: str) -> None:
        """Records that an engine did not answer a poll for its load report."""
        view = self._views.get(name)
        if view is not None and view.health.record_failure(self._now()):
            self._on_ejected(view, "load report missing")

    def on_new_incarnation(self, name: str, incarnation: int) -> None:
        """Discards what was known of a replica that has restarted."""
        view = self._views[name]
        if view.incarnation > 0:
            view.health.reset(self._now())
        view.incarnation = incarnation
        view.event_sequence = 0
        self.locations.invalidate(name)
        self._clear_eligible()

    def on_cache_events(
        self,
        name: str,
        incarnation: int,
        events: list[config.CacheEvent],
        after: int,
    ) -> None:
        """Applies cache events that follow sequence number `after`.

        Events of another incarnation are ignored. Gaps in the sequence show
        how many events were missed. Events arrive late, so an eviction does
        not remove an entry that was confirmed after the eviction may have
        happened.
        """
        view = self._views.get(name)
        if view is None or incarnation != view.incarnation:
            return
        now = self._now()
        # Evictions in this batch may predate the previous batch by the delay.
        settled_before = view.last_events_at - const.MAX_EVENT_DELAY_S
        new_events = [
            event for event in events if event.sequence > view.event_sequence
        ]
        missed = 0
        if new_events and after > 0:
            missed = new_events[-1].sequence - after - len(new_events)
        view.record_event_batch(len(new_events), max(0, missed), now)
        for event in new_events:
            view.event_sequence = event.sequence
            if event.stored:
                self.locations.add_holder("", event.digest, name, now)
                continue
            confirmed_at = self.locations.confirmed_at(event.digest, name)
            if confirmed_at is not None and confirmed_at <= settled_before:
                view.retention.record_eviction(now - confirmed_at)
                self.locations.remove_holder(event.digest, name)

    def on_notice(
        self,
        name: str,
        incarnation: int,
        customer: str,
        digests: Iterable[int],
        tokens: float,
        priority: int,
    ) -> None:
        """Records a request that another router has sent to a replica."""
        view = self._views.get(name)
        if view is None or view.incarnation != incarnation:
            return
        now = self._now()
        view.load.add_dispatched(tokens, priority, now)
        for digest in digests:
            self.locations.add_holder(customer, digest, name, now)

    def on_request_failed(self, name: str, eject_immediately: bool) -> None:
        """Records a failed request; it may eject the replica."""
        view = self._views.get(name)
        if view is None:
            return
        if view.health.record_failure(self._now(), eject_immediately):
            self._on_ejected(view, "requests failed")

    def _on_ejected(self, view: ReplicaView, reason: str) -> None:
        if view.health.first_ejection:
            loguru.logger.warning(
                "routing: replica {} ejected: {}.", view.replica.name, reason
            )
        self._clear_eligible()

    def eligible(
        self, model: str, version: str, adapter: str, adapter_version: str
    ) -> EligibleReplicas:
        """Returns the replicas that serve a model version and take requests."""
        now = self._now()
        if now >= self._cache_valid_until:
            self._clear_eligible()
        key = (model, version, adapter, adapter_version)
        cached = self._eligible_cache.get(key)
        if cached is None:
            cached = self._find_eligible(*key, now)
            self._eligible_cache[key] = cached
        return cached

    def _find_eligible(self, model, version, adapter, adapter_version, now):
        views = {}
        for name, view in self._views.items():
            if name in self._leaving:
                continue
            if not view.health.is_available(now):
                self._cache_valid_until = min(
                    self._cache_valid_until, view.health.ejected_until
                )
                continue
            if _serves(view, model, version, adapter, adapter_version):
                views[name] = view
        names = tuple(sorted(views))
        return EligibleReplicas(names, views, hash_ring.HashRing(names))

    def _clear_eligible(self) -> None:
        self._eligible_cache.clear()
        self._cache_valid_until = float("inf")


def _changes_eligibility(
    previous: config.LoadReport, new: config.LoadReport
) -> bool:
    return (
        previous.incarnation != new.incarnation
        or previous.draining != new.draining
        or previous.models != new.models
        or previous.roles != new.roles
    )


def _serves(
    view: ReplicaView,
    model: str,
    version: str,
    adapter: str,
    adapter_version: str,
) -> bool:
    report = view.load.report
    if report is None or report.draining or "prefill" not in report.roles:
        return False
    loaded = report.models.get(model)
    if loaded is None or loaded.version != version:
        return False
    if loaded.state is not config.ModelState.READY:
        return False
    return not adapter or loaded.adapters.get(adapter) == adapter_version
