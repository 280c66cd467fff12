"""One router's view of all replicas."""

from collections.abc import Callable, Mapping
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
        "doubtful_before",
        "events_at",
        "followed_since",
        "event_sequence",
        "health",
        "horizon",
        "incarnation",
        "load",
        "replica",
    )

    def __init__(self, replica: core.Replica, distance_s: float):
        self.replica = replica
        self.distance_s = distance_s
        self.load = replica_load.ReplicaLoad()
        self.health = replica_health.ReplicaHealth()
        self.horizon = prefix_locations.Horizon()
        self.incarnation = 0
        self.event_sequence = 0
        self.doubtful_before = 0.0
        self.events_at = -const.EVENTS_FRESH_S
        self.followed_since = float("inf")

    def survival(self, stamp: float, now: float) -> float:
        """Returns the chance that an entry of this stamp still holds.

        While cache events come without a gap, an eviction would have been
        heard of. Otherwise the entry's age decides.
        """
        if stamp < self.doubtful_before:
            return const.DOUBT * self.horizon.survival(now - stamp)
        if now - self.events_at < const.EVENTS_FRESH_S:
            return const.EVENTS_TRUST
        return self.horizon.survival(now - stamp)

    def ignorance(self, now: float) -> float:
        """Returns how much of the replica's cache may be unknown, 0 to 1.

        After following its events for as long as it keeps prefixes, all it
        holds is known.
        """
        if now - self.events_at >= const.EVENTS_FRESH_S:
            return 1.0
        followed = max(0.0, now - self.followed_since)
        return max(const.LEAST_IGNORANCE, 1.0 - followed / self.horizon.seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class Eligible:
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
        self.locations = prefix_locations.Locations()
        self._leaving: frozenset[str] = frozenset()
        self._eligible: dict[tuple[str, str, str, str], Eligible] = {}
        self._next_change = float("inf")

    @property
    def views(self) -> Mapping[str, ReplicaView]:
        """Views by replica name."""
        return self._views

    @property
    def leaving(self) -> frozenset[str]:
        """Replicas that get no new work."""
        return self._leaving

    def adopt(
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
        if report.incarnation > view.incarnation:
            self.new_incarnation(name, report.incarnation)
        view.load.on_report(report)
        if old is None or _changes_eligibility(old, report):
            if old is not None and old.models != report.models:
                self.locations.invalidate(name)
            self._changed()

    def on_report_missing(self, name: str) -> None:
        """Takes note that an engine did not answer its poll."""
        view = self._views.get(name)
        if view is not None and view.health.failed(self._now()):
            loguru.logger.warning("routing: {} ejected: no report.", name)
            self._changed()

    def new_incarnation(self, name: str, incarnation: int) -> None:
        """Voids what was known of a replica that has started anew."""
        view = self._views[name]
        view.incarnation = incarnation
        view.event_sequence = 0
        self.locations.invalidate(name)
        view.health.restarted(self._now())
        self._changed()

    def on_cache_events(
        self,
        name: str,
        incarnation: int,
        events: list[config.CacheEvent],
        after: int,
    ) -> None:
        """Takes cache events of the present incarnation.

        After a gap evictions may have been missed, so what was learned
        before is doubtful until an answer confirms it.
        """
        view = self._views.get(name)
        if view is None or incarnation != view.incarnation:
            return
        now = self._now()
        polled_before = view.events_at
        if events and events[0].sequence > after + 1 and after > 0:
            view.doubtful_before = now
            view.followed_since = now
        if now - view.events_at >= const.EVENTS_FRESH_S:
            view.followed_since = now
        view.events_at = now
        for event in events:
            if event.sequence <= view.event_sequence:
                continue
            view.event_sequence = event.sequence
            if event.stored:
                self.locations.learn("", event.digest, name, now)
                continue
            # What was learned since the last poll may be newer than this.
            stamp = self.locations.stamp(event.digest, name)
            if stamp is not None and stamp <= polled_before:
                self.locations.forget(event.digest, name)

    def failed(self, name: str, at_once: bool) -> None:
        """Takes note of a failed request."""
        view = self._views.get(name)
        if view is None:
            return
        if view.health.failed(self._now(), at_once):
            loguru.logger.warning("routing: {} ejected.", name)
            self._changed()

    def eligible(
        self, model: str, version: str, adapter: str, adapter_version: str
    ) -> Eligible:
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
            if not view.health.usable(now):
                self._next_change = min(
                    self._next_change, view.health.out_until
                )
                continue
            if _serves(view, model, version, adapter, adapter_version):
                views[name] = view
        names = tuple(sorted(views))
        return Eligible(names, views, hash_ring.HashRing(names))

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
