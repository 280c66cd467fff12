"""The state that calls are served by: catalogue, weights and upstreams."""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
from typing import Protocol

import result

from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import documents
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.util import clock as clocks

# Versions of a model whose naming is remembered.
MAX_TARGET_AGES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetWeights:
    """The operators want a model on a version of its weights."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouterEntry:
    """One router of the fleet as it describes itself."""

    name: str
    incarnation: int
    peer: str
    front: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Naming:
    """When a version was named, on the clock that counts suspensions."""

    at: float
    guessed: bool


Decoded = config.Catalog | TargetWeights | upstreams.UpstreamEntry | RouterEntry


class Decoder(Protocol):
    """Reads the documents of one platform."""

    def decode(
        self, key: str, value: bytes
    ) -> result.Result[Decoded | None, str]:
        """Reads a document; none when the key is not ours to read."""

    def upstream_of(self, key: str) -> str:
        """Returns the upstream that a key describes; empty for none."""

    def router_of(self, key: str) -> str:
        """Returns the router that a key describes; empty for none."""


class Fleet:
    """Turns documents into what calls are served by."""

    def __init__(
        self,
        feed: documents.DocumentFeed,
        decoder: Decoder,
        clock: clocks.Clock,
        unknown_age_s: float = const.DEFAULT_TARGET_AGE_S,
    ):
        """Makes a fleet.

        Args:
            feed: the documents.
            decoder: reads them.
            clock: the clocks.
            unknown_age_s: how old named weights are taken to be whose naming
                neither this process nor a peer has seen.
        """
        self._unknown_age_s = unknown_age_s
        self._feed = feed
        self._decoder = decoder
        self._clock = clock
        self._now = clock.monotonic
        self._catalog = config.Catalog(0)
        self._weights: dict[str, int] = {}
        self._named: dict[str, dict[int, _Naming]] = {}
        self._routers: dict[str, RouterEntry] = {}
        self._absent: dict[str, asyncio.TimerHandle] = {}
        self._on_catalog: list[Callable[[config.Catalog], None]] = []
        self._on_routers: list[Callable[[], None]] = []
        self._on_weights: list[Callable[[], None]] = []
        self.upstreams = upstreams.Upstreams(clock.monotonic)
        feed.add_listener(self._changed)

    @property
    def catalog(self) -> config.Catalog:
        """The configuration in force."""
        return self._catalog

    @property
    def target_versions(self) -> dict[str, int]:
        """The named version of each model."""
        return self._weights

    @property
    def routers(self) -> dict[str, RouterEntry]:
        """The routers that have entries in the store."""
        return self._routers

    def target_version(self, model: str) -> int:
        """Returns a model's named version; 0 before any is named."""
        return self._weights.get(model, 0)

    def superseded_for_s(self, model: str, version: int) -> float:
        """Returns seconds since a newer version was named; 0 before that."""
        newer = [
            naming.at
            for other, naming in self._named.get(model, {}).items()
            if other > version
        ]
        return self._clock.boottime() - min(newer) if newer else 0.0

    @property
    def has_estimated_ages(self) -> bool:
        """Whether a peer may know better when weights were named."""
        now = self._clock.boottime()
        return any(
            naming.guessed and now - naming.at < const.AGE_QUERY_MAX_AGE_S
            for namings in self._named.values()
            for naming in namings.values()
        )

    def known_ages(self) -> list[peer_pb2.WeightsAge]:
        """Returns when weights were named, as far as that is known."""
        now = self._clock.boottime()
        return [
            peer_pb2.WeightsAge(
                model=model, version=version, age_s=now - naming.at
            )
            for model, namings in self._named.items()
            for version, naming in namings.items()
            if not naming.guessed
        ]

    def merge_ages(
        self, source: str, ages: Iterable[peer_pb2.WeightsAge]
    ) -> None:
        """Takes what a peer knows in place of guesses."""
        now = self._clock.boottime()
        for item in ages:
            namings = self._named.setdefault(item.model, {})
            known = namings.get(item.version)
            if known is not None and not known.guessed:
                continue
            namings[item.version] = _Naming(now - item.age_s, False)
            decisions.record(
                "weights_age",
                model=item.model,
                version=item.version,
                age_s=round(item.age_s, 2),
                source=source,
            )

    def maybe_outdated(self) -> bool:
        """Whether the configuration may well be out of date."""
        age = self._feed.staleness_s()
        return not self._feed.store_ok and age > const.STORE_UNSTABLE_S / 3

    def add_catalog_listener(
        self, listener: Callable[[config.Catalog], None]
    ) -> None:
        """Calls the listener with each configuration in force."""
        self._on_catalog.append(listener)

    def add_routers_listener(self, listener: Callable[[], None]) -> None:
        """Calls the listener when entries of routers change."""
        self._on_routers.append(listener)

    def add_weights_listener(self, listener: Callable[[], None]) -> None:
        """Calls the listener when a version is named or taken."""
        self._on_weights.append(listener)

    def close(self) -> None:
        """Forgets absences that were to be settled."""
        for timer in self._absent.values():
            timer.cancel()
        self._absent.clear()

    def apply_engine_notice(
        self, name: str, born: int, model: str, version: int, held: bool
    ) -> None:
        """Takes what the router that gives the orders does with an engine."""
        item = self.upstreams.by_name.get(name)
        if item is None or item.entry.born != born:
            return
        if held:
            item.note_weights(model, version)
        else:
            item.note_order(self._now())
        self._tell(self._on_weights)

    def _changed(self, document: documents.Document, source: str) -> None:
        name = self._decoder.upstream_of(document.key)
        if name:
            self._upstream_changed(name, document, source)
            return
        router = self._decoder.router_of(document.key)
        if router and document.value is None:
            self._routers.pop(router, None)
            self._tell(self._on_routers)
            return
        if document.value is None:
            return
        found = self._decoder.decode(document.key, document.value)
        if found.is_err():
            decisions.record(
                "document_unreadable",
                key=document.key,
                revision=document.revision,
                source=source,
                detail=found.err(),
            )
            return
        self._take(found.ok(), document, source)

    def _take(
        self,
        decoded: Decoded | None,
        document: documents.Document,
        source: str,
    ) -> None:
        match decoded:
            case config.Catalog():
                self._take_catalog(decoded, document, source)
            case TargetWeights():
                self._take_weights(decoded, document, source)
            case RouterEntry():
                self._routers[decoded.name] = decoded
                self._tell(self._on_routers)

    def _take_catalog(self, catalog, document, source) -> None:
        if catalog.version <= self._catalog.version:
            return
        decisions.record(
            "configuration",
            version=catalog.version,
            before=self._catalog.version,
            revision=document.revision,
            source=source,
        )
        self._catalog = catalog
        for service in catalog.services.values():
            if service.engine is not None:
                self.upstreams.set_memory_tokens(
                    service.name, service.engine.memory_tokens
                )
        for listener in self._on_catalog:
            listener(catalog)

    def _take_weights(self, named, document, source) -> None:
        if named.version <= self.target_version(named.model):
            return
        decisions.record(
            "weights_named",
            model=named.model,
            version=named.version,
            before=self.target_version(named.model),
            revision=document.revision,
            source=source,
        )
        self._weights[named.model] = named.version
        age_s = min(self._unknown_age_s, self._feed.max_read_delay_s)
        namings = self._named.setdefault(named.model, {})
        if named.version not in namings:
            namings[named.version] = _Naming(
                self._clock.boottime() - age_s, age_s > const.WATCH_STALE_S
            )
        for version in sorted(namings)[:-MAX_TARGET_AGES]:
            del namings[version]
        self._tell(self._on_weights)

    def _upstream_changed(
        self, name: str, document: documents.Document, source: str
    ) -> None:
        if document.value is None:
            self._upstream_absent(name, source)
            return
        found = self._decoder.decode(document.key, document.value)
        timer = self._absent.pop(name, None)
        if timer is not None:
            timer.cancel()
        if found.is_err():
            decisions.record(
                "upstream_unreadable",
                upstream=name,
                revision=document.revision,
                source=source,
                detail=found.err(),
            )
            self._forget(name, "unreadable entry", source)
            return
        entry = found.ok()
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
        if before is None or _tells(before) != _tells(entry):
            decisions.record(
                "upstream",
                upstream=name,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
                weights=dict(entry.weights),
                born=entry.born,
                revision=document.revision,
                source=source,
            )
        self._tell(self._on_weights)

    def _upstream_absent(self, name: str, source: str) -> None:
        if name not in self.upstreams.by_name or name in self._absent:
            return
        if not self._feed.recently_unavailable():
            self._forget(name, "entry removed", source)
            return
        loop = asyncio.get_running_loop()
        self._absent[name] = loop.call_later(
            const.UPSTREAM_ABSENCE_GRACE_S, self._still_absent, name, source
        )

    def _still_absent(self, name: str, source: str) -> None:
        self._absent.pop(name, None)
        self._forget(name, "entry lapsed and did not return", source)

    def _forget(self, name: str, reason: str, source: str) -> None:
        if name in self.upstreams.by_name:
            decisions.record(
                "upstream_gone", upstream=name, reason=reason, source=source
            )
            self.upstreams.remove(name)
            self._tell(self._on_weights)

    def _tell(self, listeners: list[Callable[[], None]]) -> None:
        for listener in listeners:
            listener()


def _tells(entry: upstreams.UpstreamEntry) -> tuple[object, ...]:
    """Returns what is worth a log line when it changes."""
    return (entry.born, entry.state, entry.address, dict(entry.weights))
