"""The measured loads of the engines that a placement owner places on."""

from collections.abc import Callable, Iterable, Iterator, Mapping
import contextlib
import dataclasses

from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_messages as messages
from bergamotmill.dispatch import upstreams
from bergamotmill.engine_load import const as load_const
from bergamotmill.engine_load import queue
from bergamotmill.engine_load import speed
from bergamotmill.proto import peer_pb2

# Fraction of an engine's KV memory that the requests there may hold. An engine
# whose requests exceed its memory preempts some, or crashes.
MEMORY_FRACTION = 0.9
# Requests whose engine is remembered at most. Ends that are never reported
# leave entries behind.
MAX_REQUESTS = 65536
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Counted:
    """A request that counts at an engine, and the reply that placed it."""

    load: queue.EngineLoad
    reply: messages.Reply


class MeasuredLoads:
    """Attaches loads to engines, and keeps them up to date.

    A service whose load is not measured keeps the estimates of its upstreams.
    """

    def __init__(
        self,
        model: load_const.LoadModel,
        services: Callable[[], Mapping[str, config.Service]],
        now: Callable[[], float],
    ):
        """Makes loads without any known work.

        Args:
            model: whose load is measured.
            services: returns the services of the configuration.
            now: the monotonic clock.
        """
        self._model = model
        self._services = services
        self._now = now
        self._speeds: dict[str, speed.ServiceSpeed] = {}
        # The requests that are counted, oldest first.
        self._counted: dict[queue.Key, _Counted] = {}

    @property
    def speeds(self) -> Mapping[str, speed.ServiceSpeed]:
        """What was learned of the engines of each service."""
        return self._speeds

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page."""
        gauges = {}
        for service, learned in self._speeds.items():
            name = service.replace("-", "_")
            gauges[f"first_byte_latency_seconds_{name}"] = learned.latency_s
            gauges[f"prefill_tokens_per_second_{name}"] = learned.tokens_per_s
        return gauges

    def _traits(self, service: str) -> config.EngineTraits | None:
        """Returns the traits of engines whose load is measured."""
        known = self._services().get(service)
        if known is None or known.engine is None:
            return None
        traits = known.engine
        if not self._model.is_measured(
            traits.token_bytes, traits.memory_tokens
        ):
            return None
        return traits

    def is_measured(self, service: str) -> bool:
        """Whether the load of a service's engines is measured."""
        return self._traits(service) is not None

    def attach(
        self, service: str, engines: Iterable[upstreams.Upstream]
    ) -> None:
        """Begins to measure the load of engines that have none yet."""
        traits = self._traits(service)
        now = self._now()
        for engine in engines:
            if traits is None:
                continue
            if engine.used_load(now) is None:
                engine.load = queue.EngineLoad(
                    self._speeds.setdefault(service, speed.ServiceSpeed()),
                    traits.copied_tokens_per_s or const.TRANSFER_TOKENS_PER_S,
                    traits.slots,
                    MEMORY_FRACTION * traits.memory_tokens,
                    now,
                )
            engine.load.touch(now)

    @contextlib.contextmanager
    def restored(
        self, service: str, engines: Iterable[upstreams.Upstream]
    ) -> Iterator[None]:
        """Undoes at its end what `attach` does within the context."""
        loads = [
            (engine, engine.load, engine.load and engine.load.used_at)
            for engine in engines
        ]
        is_new = service not in self._speeds
        try:
            yield
        finally:
            for engine, load, used_at in loads:
                engine.load = load
                if load is not None:
                    load.touch(used_at)
            if is_new:
                self._speeds.pop(service, None)

    def has_room(self, engine: upstreams.Upstream, ask: messages.Ask) -> bool:
        """Whether an engine has a slot and memory for a request."""
        now = self._now()
        load = engine.used_load(now)
        return load is None or load.has_room(
            ask.held_tokens, now, ask.repeatable
        )

    def estimate(self, ask: messages.Ask) -> tuple[float, float]:
        """Returns the work and the latency of a request at any engine, in s.

        Parts of the prompt that requests share count as cached.
        """
        learned = self._speeds.get(ask.service)
        prefix = next(iter(ask.demand.prefixes.values()), None)
        if learned is None or prefix is None:
            return 0.0, 0.0
        work = speed.prompt_work(prefix.total_tokens, prefix.shared_tokens)
        return learned.work_s(work), learned.latency_s

    def reply_to(self, key: queue.Key) -> messages.Reply | None:
        """Returns the reply with which a counted request was placed."""
        counted = self._counted.get(key)
        return None if counted is None else counted.reply

    def add(
        self,
        ask: messages.Ask,
        best: placement.Candidate,
        reply: messages.Reply,
    ) -> None:
        """Counts a request that is sent to the chosen engine."""
        now = self._now()
        load = best.upstream.load
        self.end(ask.key)
        self._counted[ask.key] = _Counted(load, reply)
        if len(self._counted) > MAX_REQUESTS:
            self.end(next(iter(self._counted)))
        load.add(
            ask.key,
            best.work,
            ask.held_tokens,
            now + ask.deadline_s,
            now,
            best.copied_tokens > 0,
        )

    def apply(self, reports: peer_pb2.EngineReports) -> None:
        """Applies first bytes and ends of requests that were placed here."""
        now = self._now()
        for report in reports.reports:
            key = (reports.sender, report.id)
            counted = self._counted.get(key)
            if counted is not None and report.HasField("first_byte_ms"):
                counted.load.note_first_byte(
                    key, report.first_byte_ms / MS_PER_S, now
                )
            if report.ended:
                self.end(key)

    def end(self, key: queue.Key) -> None:
        """Forgets a request that has ended, or was never sent."""
        counted = self._counted.pop(key, None)
        if counted is not None:
            counted.load.end(key)
