"""The state that calls are served from: catalogue, weights and upstreams."""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
from typing import Protocol

import result

from bergamotmill.dispatch import cache_scopes
from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import documents
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import stated_limit
from bergamotmill.storage import key_value
from bergamotmill.util import clock as clocks

# Number of target versions of each model whose times are kept.
MAX_TARGET_AGES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetWeights:
    """The version of the weights that operators want a model to run on."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouterEntry:
    """A router's own registration in the store.

    Attributes:
        processors: processor time that it may use, in cores; 0 if unknown.
    """

    name: str
    incarnation: int
    peer: str
    front: str
    data_centre: str
    processors: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _TargetTime:
    """When a version became a model's target.

    Attributes:
        at: time on the clock that also runs during suspensions.
        estimated: whether the time is an estimate, as this router may have
            read the change long after it was made.
    """

    at: float
    estimated: bool


Decoded = config.Catalog | TargetWeights | upstreams.UpstreamEntry | RouterEntry


class Decoder(Protocol):
    """Decodes the documents of one platform."""

    def decode(
        self, key: str, value: bytes
    ) -> result.Result[Decoded | None, str]:
        """Decodes a document; None if the router does not use its key."""

    def upstream_of(self, key: str) -> str:
        """Returns the upstream whose entry has this key; empty for none."""

    def router_of(self, key: str) -> str:
        """Returns the router whose entry has this key; empty for none."""

    def operator_version(self, key: str, value: bytes) -> int:
        """Returns the version that operators gave a document; 0 for none."""


class Fleet:
    """Keeps the state that calls are served from, as documents change."""

    def __init__(
        self,
        feed: documents.DocumentFeed,
        decoder: Decoder,
        clock: clocks.Clock,
        unknown_age_s: float = const.DEFAULT_TARGET_AGE_S,
    ):
        """Makes a fleet.

        Args:
            feed: the documents and their changes.
            decoder: decodes the documents.
            clock: the clocks.
            unknown_age_s: longest age that is assumed for a target version if
                neither this router nor a peer saw when it was set, in seconds.
        """
        self._unknown_age_s = unknown_age_s
        self._feed = feed
        self._decoder = decoder
        self._clock = clock
        self._now = clock.monotonic
        self._catalog = config.Catalog(0)
        self._target_versions: dict[str, int] = {}
        self._target_times: dict[str, dict[int, _TargetTime]] = {}
        self._routers: dict[str, RouterEntry] = {}
        self._absence_timers: dict[str, asyncio.TimerHandle] = {}
        self._catalog_listeners: list[Callable[[config.Catalog], None]] = []
        self._routers_listeners: list[Callable[[], None]] = []
        self._weights_listeners: list[Callable[[], None]] = []
        self._leaving_listeners: list[Callable[[str, int], None]] = []
        self._removal_listeners: list[
            Callable[[upstreams.UpstreamEntry], None]
        ] = []
        self._limit_listeners: list[
            Callable[[str, int, float, bool], None]
        ] = []
        self.cache_scopes = cache_scopes.CacheScopes()
        self.limits = stated_limit.StatedLimits()
        self.upstreams = upstreams.Upstreams(clock.monotonic)
        feed.add_listener(self._on_document)

    @property
    def catalog(self) -> config.Catalog:
        """The configuration in force."""
        return self._catalog

    @property
    def target_versions(self) -> dict[str, int]:
        """The target version of each model."""
        return self._target_versions

    @property
    def routers(self) -> dict[str, RouterEntry]:
        """The routers that are registered in the store."""
        return self._routers

    def target_version(self, model: str) -> int:
        """Returns a model's target version; 0 before one is set."""
        return self._target_versions.get(model, 0)

    def superseded_for_s(self, model: str, version: int) -> float:
        """Returns seconds since a newer target was set; 0 if there is none."""
        newer_set_at = [
            set_time.at
            for other, set_time in self._target_times.get(model, {}).items()
            if other > version
        ]
        return (
            self._clock.boottime() - min(newer_set_at) if newer_set_at else 0.0
        )

    @property
    def has_estimated_ages(self) -> bool:
        """Whether peers may know better when recent targets were set."""
        now = self._clock.boottime()
        return any(
            set_time.estimated and now - set_time.at < const.AGE_QUERY_MAX_AGE_S
            for set_times in self._target_times.values()
            for set_time in set_times.values()
        )

    def add_to_reply(self, reply: peer_pb2.DocumentsReply) -> None:
        """Adds ages of weights and removed entries to a reply to a peer."""
        reply.ages.extend(self._known_ages())
        reply.removed.extend(self._known_removals())

    def merge_reply(self, source: str, reply: peer_pb2.DocumentsReply) -> None:
        """Takes over ages of weights and removed entries from a peer."""
        self._merge_ages(source, reply.ages)
        self._merge_removals(source, reply.removed)

    def _known_ages(self) -> list[peer_pb2.WeightsAge]:
        """Returns the ages of target versions, without estimated ones."""
        now = self._clock.boottime()
        return [
            peer_pb2.WeightsAge(
                model=model, version=version, age_s=now - set_time.at
            )
            for model, set_times in self._target_times.items()
            for version, set_time in set_times.items()
            if not set_time.estimated
        ]

    def _merge_ages(
        self, source: str, ages: Iterable[peer_pb2.WeightsAge]
    ) -> None:
        """Replaces estimated ages by those that a peer knows."""
        now = self._clock.boottime()
        for item in ages:
            set_times = self._target_times.setdefault(item.model, {})
            known = set_times.get(item.version)
            if known is not None and not known.estimated:
                continue
            set_times[item.version] = _TargetTime(now - item.age_s, False)
            decisions.record(
                "weights_age",
                model=item.model,
                version=item.version,
                age_s=round(item.age_s, 2),
                source=source,
            )

    def maybe_outdated(self) -> bool:
        """Whether the configuration is likely to be out of date."""
        limit_s = const.DOCUMENTS_STALE_S
        if not self._feed.store_ok:
            limit_s = const.DOCUMENTS_STALE_UNANSWERED_S
        return self._feed.staleness_s() > limit_s

    def add_catalog_listener(
        self, listener: Callable[[config.Catalog], None]
    ) -> None:
        """Calls the listener with each new configuration."""
        self._catalog_listeners.append(listener)

    def add_routers_listener(self, listener: Callable[[], None]) -> None:
        """Calls the listener when registrations of routers change."""
        self._routers_listeners.append(listener)

    def add_weights_listener(self, listener: Callable[[], None]) -> None:
        """Calls the listener when targets, weights or upstreams change."""
        self._weights_listeners.append(listener)

    def add_leaving_listener(
        self, listener: Callable[[str, int], None]
    ) -> None:
        """Calls the listener with name and incarnation of leaving upstreams.

        Only for upstreams whose entry in the store does not say so yet.
        """
        self._leaving_listeners.append(listener)

    def add_removal_listener(
        self, listener: Callable[[upstreams.UpstreamEntry], None]
    ) -> None:
        """Calls the listener with the last entries of upstreams that are gone.

        Their entry was removed, or a later incarnation has taken its place.
        """
        self._removal_listeners.append(listener)

    def add_limit_listener(
        self, listener: Callable[[str, int, float, bool], None]
    ) -> None:
        """Calls the listener when the limit of an upstream changes.

        Its arguments are name and incarnation of the upstream, the limit
        before, and whether this router heard the change itself.
        """
        self._limit_listeners.append(listener)

    def apply_signals(
        self,
        upstream: upstreams.Upstream,
        signals: messages.UpstreamSignals,
        sent_at: float,
    ) -> None:
        """Applies what an upstream says of itself in a response.

        Args:
            upstream: the upstream.
            signals: what it says.
            sent_at: when the request was sent, on the clock that also runs
                during suspensions.
        """
        name = upstream.entry.name
        if signals.limit_per_s is not None:
            statement = stated_limit.Statement(
                signals.limit_per_s, sent_at, self._clock.boottime()
            )
            self.note_limit(name, upstream.entry.born, statement, name)
        if signals.leaving:
            self.note_leaving(name, upstream.entry.born, name)
        if signals.pause_s > 0:
            upstream.note_pause(signals.pause_s, self._now())
            decisions.record(
                "upstream_paused",
                upstream=name,
                seconds=round(signals.pause_s, 3),
            )

    def note_limit(
        self,
        name: str,
        born: int,
        statement: stated_limit.Statement,
        source: str,
    ) -> None:
        """Records the limit that an upstream names, as it or a peer says."""
        age_s = self._clock.boottime() - statement.heard_at
        if age_s > const.ENDED_LIMIT_MEMORY_S:
            # Its end may have been forgotten here. A limit in force is heard
            # every few seconds.
            return
        before = self.limits.per_s(name, born)
        if not self.limits.apply(name, born, statement):
            return
        decisions.record(
            "upstream_limited",
            upstream=name,
            born=born,
            limit_per_s=_format_limit(self.limits.per_s(name, born)),
            before_per_s=_format_limit(before),
            source=source,
        )
        for listener in self._limit_listeners:
            listener(name, born, before, source == name)

    def note_leaving(self, name: str, born: int, source: str) -> None:
        """Records that an incarnation is leaving, as it or a peer says."""
        if not self.upstreams.mark_leaving(name, born):
            return
        decisions.record(
            "upstream_leaving", upstream=name, born=born, source=source
        )
        for listener in self._leaving_listeners:
            listener(name, born)
        self._notify(self._weights_listeners)

    def close(self) -> None:
        """Cancels the timers of absent upstreams."""
        for timer in self._absence_timers.values():
            timer.cancel()
        self._absence_timers.clear()

    def apply_weights_notice(
        self, name: str, born: int, model: str, version: int, held: bool
    ) -> None:
        """Applies a weights notice of the router that sends orders.

        Args:
            name: name of the engine.
            born: incarnation of the engine.
            model: the model that the order is for.
            version: the version that is ordered or loaded.
            held: whether the engine has loaded it; otherwise an order is about
                to be sent.
        """
        engine = self.upstreams.by_name.get(name)
        if engine is None or engine.entry.born != born:
            return
        if held:
            engine.note_weights(model, version)
        else:
            engine.note_order(self._now())
        self._notify(self._weights_listeners)

    def _on_document(self, document: documents.Document, source: str) -> None:
        name = self._decoder.upstream_of(document.key)
        if name:
            self._upstream_changed(name, document, source)
            return
        router = self._decoder.router_of(document.key)
        if router and document.value is None:
            self._routers.pop(router, None)
            self._notify(self._routers_listeners)
            return
        if document.value is None:
            return
        decoded = self._decoder.decode(document.key, document.value)
        if decoded.is_err():
            decisions.record(
                "document_unreadable",
                key=document.key,
                revision=key_value.format_revision(document.revision),
                source=source,
                detail=decoded.err(),
            )
            return
        self._apply(decoded.ok(), document, source)

    def _apply(
        self,
        decoded: Decoded | None,
        document: documents.Document,
        source: str,
    ) -> None:
        match decoded:
            case config.Catalog():
                self._apply_catalog(decoded, document, source)
            case TargetWeights():
                self._apply_target_weights(decoded, document, source)
            case RouterEntry():
                self._routers[decoded.name] = decoded
                self._notify(self._routers_listeners)

    def _apply_catalog(self, catalog, document, source) -> None:
        if catalog.version <= self._catalog.version:
            return
        decisions.record(
            "configuration",
            version=catalog.version,
            before=self._catalog.version,
            revision=key_value.format_revision(document.revision),
            source=source,
        )
        self._catalog = catalog
        self.cache_scopes.apply(catalog)
        for service in catalog.services.values():
            if service.engine is not None:
                self.upstreams.set_memory_tokens(
                    service.name, service.engine.memory_tokens
                )
        for listener in self._catalog_listeners:
            listener(catalog)

    def _apply_target_weights(self, target, document, source) -> None:
        if target.version <= self.target_version(target.model):
            return
        decisions.record(
            "weights_named",
            model=target.model,
            version=target.version,
            before=self.target_version(target.model),
            revision=key_value.format_revision(document.revision),
            source=source,
        )
        self._target_versions[target.model] = target.version
        age_s = min(self._unknown_age_s, self._feed.max_read_delay_s)
        set_times = self._target_times.setdefault(target.model, {})
        if target.version not in set_times:
            set_times[target.version] = _TargetTime(
                self._clock.boottime() - age_s, age_s > const.WATCH_STALE_S
            )
        for version in sorted(set_times)[:-MAX_TARGET_AGES]:
            del set_times[version]
        self._notify(self._weights_listeners)

    def _upstream_changed(
        self, name: str, document: documents.Document, source: str
    ) -> None:
        if document.value is None:
            self._upstream_absent(name, source)
            return
        decoded = self._decoder.decode(document.key, document.value)
        timer = self._absence_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        if decoded.is_err():
            decisions.record(
                "upstream_unreadable",
                upstream=name,
                revision=key_value.format_revision(document.revision),
                source=source,
                detail=decoded.err(),
            )
            self._remove_upstream(name, "unreadable entry", source)
            return
        entry = decoded.ok()
        known = self.upstreams.by_name.get(name)
        before = None if known is None else known.entry
        if not self.upstreams.put(entry):
            decisions.record(
                "upstream_stale",
                upstream=name,
                sequence=entry.sequence,
                born=entry.born,
                source=source,
            )
            return
        if before is not None and before.born != entry.born:
            self._notify_removal(before)
        if before is None or _logged_state(before) != _logged_state(entry):
            decisions.record(
                "upstream",
                upstream=name,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
                weights=dict(entry.weights),
                born=entry.born,
                revision=key_value.format_revision(document.revision),
                source=source,
            )
        self._notify(self._weights_listeners)

    def _upstream_absent(self, name: str, source: str) -> None:
        if name not in self.upstreams.by_name or name in self._absence_timers:
            return
        if not self._feed.may_lack_entries():
            self._note_removed(name, "entry removed", source)
            return
        self._check_absent(name, source, const.UPSTREAM_ABSENCE_GRACE_S)

    def _check_absent(self, name: str, source: str, left_s: float) -> None:
        """Drops an upstream once its entry cannot have lapsed in an outage.

        Args:
            name: the upstream.
            source: where its absence was seen.
            left_s: time after which it is dropped in any case, in seconds.
        """
        self._absence_timers.pop(name, None)
        if left_s <= 0 or not self._feed.may_lack_entries():
            reason = "entry expired and was not written again"
            self._note_removed(name, reason, source)
            return
        pause_s = min(left_s, const.ABSENCE_CHECK_PERIOD_S)
        self._absence_timers[name] = asyncio.get_running_loop().call_later(
            pause_s, self._check_absent, name, source, left_s - pause_s
        )

    def _note_removed(self, name: str, reason: str, source: str) -> None:
        """Drops an upstream whose entry in the store is gone."""
        known = self.upstreams.by_name.get(name)
        if known is not None:
            entry = known.entry
            self._remove_upstream(name, reason, source)
            self.upstreams.note_removed(name, entry.born, entry.sequence)
            self._notify_removal(entry)

    def _notify_removal(self, entry: upstreams.UpstreamEntry) -> None:
        for listener in self._removal_listeners:
            listener(entry)

    def _known_removals(self) -> list[peer_pb2.RemovedUpstream]:
        """Returns the upstreams whose entries were removed lately."""
        since = self._now() - const.REMOVAL_MEMORY_S
        return [
            peer_pb2.RemovedUpstream(
                upstream=name, born=removal.born, sequence=removal.sequence
            )
            for name, removal in self.upstreams.removed_since(since).items()
        ]

    def _merge_removals(
        self, source: str, removals: Iterable[peer_pb2.RemovedUpstream]
    ) -> None:
        """Drops the upstreams that a peer saw removed.

        Only after a restore: the store may contain their entries again, and
        this router may not have seen the removal.
        """
        if self._feed.since_restore_s >= const.RESTORE_QUERY_S:
            return
        for item in removals:
            known = self.upstreams.by_name.get(item.upstream)
            state = (item.born, item.sequence)
            if known is not None and state >= (
                known.entry.born,
                known.entry.sequence,
            ):
                self._remove_upstream(
                    item.upstream, "entry was removed before", source
                )
            self.upstreams.note_removed(item.upstream, *state)

    def _remove_upstream(self, name: str, reason: str, source: str) -> None:
        if name in self.upstreams.by_name:
            decisions.record(
                "upstream_gone", upstream=name, reason=reason, source=source
            )
            self.upstreams.remove(name)
            self._notify(self._weights_listeners)

    def _notify(self, listeners: list[Callable[[], None]]) -> None:
        for listener in listeners:
            listener()


def _logged_state(entry: upstreams.UpstreamEntry) -> tuple[object, ...]:
    """Returns the fields of an entry whose changes are logged."""
    return (entry.born, entry.state, entry.address, dict(entry.weights))


def _format_limit(per_s: float) -> float | None:
    """Returns a limit as logged; None for an upstream without one."""
    return None if per_s == stated_limit.UNLIMITED else per_s
