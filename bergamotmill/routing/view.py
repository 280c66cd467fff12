"""One router's view of all replicas."""

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
    """What is known of one replica."""

    __slots__ = (
        "distance_s",
        "_loss",
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
        self._loss = 0.0
        self.last_events_at = -const.EVENTS_FRESH_S
        self.events_followed_since = float("inf")

    def event_loss_fraction(self, now: float) -> float:
        """Returns the share of cache events that are missed, 0 to 1."""
        if now - self.last_events_at >= const.EVENTS_FRESH_S:
            return 1.0
        return self._loss

    def record_event_batch(self, seen: int, missed: int, now: float) -> None:
        """Takes note of a batch of cache events."""
        if now - self.last_events_at >= const.EVENTS_FRESH_S:
            self.events_followed_since = now
        self.last_events_at = now
        if seen + missed:
            share = missed / (seen + missed)
            self._loss += const.LOSS_SMOOTHING * (share - self._loss)

    def prefix_survival_probability(self, stamp: float, now: float) -> float:
        """Returns the chance that an entry of this stamp still holds.

        Age alone gives a chance; that no eviction was heard of raises it,
        and the more so the fewer events are missed.
        """
        by_age = self.retention.survival_probability(now - stamp)
        unheard = (1.0 - by_age) * max(
            const.LEAST_LOSS, self.event_loss_fraction(now)
        )
        return by_age / (by_age + unheard)

    def unknown_fraction(self, now: float) -> float:
        """Returns how much of the replica's cache may be unknown, 0 to 1.

        After following its events for as long as it keeps prefixes, all it
        holds is known, but for what events were missed.
        """
        followed = max(0.0, now - self.events_followed_since)
        unseen = 1.0 - followed / self.retention.seconds
        return max(const.LEAST_LOSS, self.event_loss_fraction(now), unseen)


@dataclasses.dataclass(frozen=True, slots=True)
class EligibleReplicas:
    """The replicas that may serve one model, and their homes."""

    names: tuple[str, ...]
    views: Mapping[str, ReplicaView]
    ring: hash_ring.HashRing


class FleetView:
    """All replicas: incarnations, load, health and locations.

    Attributes:
        locations: which replica holds which prefix.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._views: dict[str, ReplicaView] = {}
        self.locations = prefix_locations.PrefixLocations()
        self._leaving: frozenset[str] = frozenset()
        self._eligible: dict[tuple[str, str, str, str], EligibleReplicas] = {}
        self._next_change = float("inf")

    @property
    def views(self) -> Mapping[str, ReplicaView]:
        """Views by replica name."""
        return self._views

    @property
    def leaving(self) -> frozenset[str]:
        """Replicas that get no new work."""
        return self._leaving

    def set_replicas(
        self,
        replicas: Mapping[str, core.Replica],
        distance: Callable[[str], float],
    ) -> None:
        """Follows the configuration; `distance` is of a data centre."""
        for name in list(self._views):
            if self._views[name].replica != replicas.get(name):
                del self._views[name]
                self.locations.remove(name)
        for name, replica in replicas.items():
            if name not in self._views:
                away = distance(replica.data_centre)
                self._views[name] = ReplicaView(replica, away)
                self.locations.invalidate(name)
        self._changed()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Takes the names of replicas that are leaving."""
        if names != self._leaving:
            self._leaving = names
            self._changed()

    def on_report(self, name: str, report: config.LoadReport) -> None:
        """Takes an engine's report; one of an older incarnation is void."""
        view = self._views.get(name)
        if view is None or report.incarnation < view.incarnation:
            return
        old = view.load.report
        newer = report.incarnation > view.incarnation
        if old is not None and not newer and report.as_of < old.as_of:
            return
        if newer:
            self.on_new_incarnation(name, report.incarnation)
        view.load.on_report(report)
        if old is None or _changes_eligibility(old, report):
            if old is not None and old.models != report.models:
                self.locations.invalidate(name)
            self._changed()

    def on_report_missing(self, name: str) -> None:
        """Takes note that an engine did not answer its poll."""
        view = self._views.get(name)
        if view is not None and view.health.record_failure(self._now()):
            self._ejected(view, "no report")

    def on_new_incarnation(self, name: str, incarnation: int) -> None:
        """Voids what was known of a replica that has started anew."""
        view = self._views[name]
        if view.incarnation > 0:
            view.health.reset(self._now())
        view.incarnation = incarnation
        view.event_sequence = 0
        self.locations.invalidate(name)
        self._changed()

    def on_cache_events(
        self,
        name: str,
        incarnation: int,
        events: list[config.CacheEvent],
        after: int,
    ) -> None:
        """Takes cache events of the present incarnation.

        Gaps in the sequence tell how many were missed. An eviction may be
        older than what was learned lately, which then stands.
        """
        view = self._views.get(name)
        if view is None or incarnation != view.incarnation:
            return
        now = self._now()
        settled = view.last_events_at - const.EVENT_LATE_S
        fresh = [e for e in events if e.sequence > view.event_sequence]
        missed = 0
        if fresh and after > 0:
            missed = fresh[-1].sequence - after - len(fresh)
        view.record_event_batch(len(fresh), max(0, missed), now)
        for event in fresh:
            view.event_sequence = event.sequence
            if event.stored:
                self.locations.add_holder("", event.digest, name, now)
                continue
            stamp = self.locations.confirmed_at(event.digest, name)
            if stamp is not None and stamp <= settled:
                view.retention.record_eviction(now - stamp)
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
        """Takes note of what another router has just sent to a replica."""
        view = self._views.get(name)
        if view is None or view.incarnation != incarnation:
            return
        now = self._now()
        view.load.add_dispatched(tokens, priority, now)
        for digest in digests:
            self.locations.add_holder(customer, digest, name, now)

    def on_request_failed(self, name: str, eject_immediately: bool) -> None:
        """Takes note of a failed request."""
        view = self._views.get(name)
        if view is None:
            return
        if view.health.record_failure(self._now(), eject_immediately):
            self._ejected(view, "failed requests")

    def _ejected(self, view: ReplicaView, reason: str) -> None:
        if view.health.first_ejection:
            loguru.logger.warning(
                "routing: {} ejected: {}.", view.replica.name, reason
            )
        self._changed()

    def eligible(
        self, model: str, version: str, adapter: str, adapter_version: str
    ) -> EligibleReplicas:
        """Returns the replicas that hold a model's version and take work."""
        now = self._now()
        if now >= self._next_change:
            self._changed()
        key = (model, version, adapter, adapter_version)
        found = self._eligible.get(key)
        if found is None:
            found = self._find_eligible(*key, now)
            self._eligible[key] = found
        return found

    def _find_eligible(self, model, version, adapter, adapter_version, now):
        views = {}
        for name, view in self._views.items():
            if name in self._leaving:
                continue
            if not view.health.is_available(now):
                self._next_change = min(
                    self._next_change, view.health.ejected_until
                )
                continue
            if _serves(view, model, version, adapter, adapter_version):
                views[name] = view
        names = tuple(sorted(views))
        return EligibleReplicas(names, views, hash_ring.HashRing(names))

    def _changed(self) -> None:
        self._eligible.clear()
        self._next_change = float("inf")


def _changes_eligibility(
    old: config.LoadReport, new: config.LoadReport
) -> bool:
    return (
        old.incarnation != new.incarnation
        or old.draining != new.draining
        or old.models != new.models
        or old.roles != new.roles
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
