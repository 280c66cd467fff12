"""Plans attempts: chooses the upstream and what is sent, notifies peers."""

from collections.abc import Callable, Collection
import dataclasses

from bergamotmill.dispatch import attempt_runner
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import notices
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import standby

# The event id that requests a stream from its first event.
_BEFORE_FIRST_EVENT = "0"


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """What the router's settings say about plans.

    Attributes:
        own_name: name of this router.
        data_centre: data centre of this router.
        old_weights_max_age_s: time after a newer target version was set during
            which an older version may still be used, in seconds.
        keep_copies: whether long streams get a standby engine that keeps a
            copy of their KV memory.
    """

    own_name: str
    data_centre: str
    old_weights_max_age_s: float
    keep_copies: bool


class Planner:
    """Plans attempts from the state of a call and of the fleet."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        chooser: placement.Placement,
        peer_notices: notices.DispatchNotices,
        settings: PlannerSettings,
        now: Callable[[], float],
    ):
        """Makes a planner.

        Args:
            fleet: configuration, weights and upstreams.
            chooser: ranks upstreams.
            peer_notices: notifies peers of attempts.
            settings: what the router's settings say about plans.
            now: the monotonic clock.
        """
        self._fleet = fleet
        self._placement = chooser
        self._notices = peer_notices
        self._settings = settings
        self._now = now

    def choose(
        self, progress: call_progress.Progress, service: str
    ) -> placement.Choice | None:
        """Ranks a service's upstreams for a call; None if there are none."""
        call = progress.call
        known = self._fleet.upstreams
        now = self._now()
        ready = known.ready(service)
        ready = [item for item in ready if not item.pause_left_s(now)]
        # When all are ejected, an ejected upstream is better than none.
        ready = [item for item in ready if item.usable(now)] or ready
        if call.generation is None:
            return self._placement.choose_plain(
                ready, progress.unusable_upstreams, now
            )
        model = call.generation.model
        return self._placement.choose_engine(
            self.build_demand(progress, service),
            ready,
            model,
            known,
            progress.unusable_upstreams,
            now,
        )

    def pause_left_s(
        self, progress: call_progress.Progress, service: str
    ) -> float:
        """Returns when the next upstream accepts requests again, in seconds.

        0 when none has asked this router to pause, apart from those that the
        call has tried.
        """
        now = self._now()
        return min(
            (
                item.pause_left_s(now)
                for item in self._fleet.upstreams.ready(service)
                if item.entry.name not in progress.tried_upstreams
            ),
            default=0.0,
        )

    def workload(self, choice: placement.Choice) -> attempt_runner.Workload:
        """Returns the work of an attempt at a chosen upstream."""
        best = choice.best
        if not choice.owner:
            return attempt_runner.Workload(best.work_s)
        # An owner has counted the work already.
        work_s = 0.0 if choice.owner == self._settings.own_name else best.work_s
        return attempt_runner.Workload(work_s, best.first_byte_s)

    def build_demand(
        self,
        progress: call_progress.Progress,
        service: str,
        versions: Collection[int] = (),
    ) -> placement.Demand:
        """Returns what a generation needs from an engine.

        Args:
            progress: state of the call.
            service: service that it is sent to.
            versions: versions of the weights to consider; by default those
                that the service's engines hold or are to load.
        """
        call = progress.call
        generation = call.generation
        model = generation.model
        if not versions:
            versions = {
                engine.weights.get(model, 0)
                for engine in self._fleet.upstreams.ready(service)
            }
            versions.add(self._fleet.target_version(model))
        superseded_for_s = {
            version: self._fleet.superseded_for_s(model, version)
            for version in versions
        }
        payload_bytes = (
            len(call.body) + const.OUTPUT_TOKEN_BYTES * generation.output_tokens
        )
        return placement.Demand(
            prefixes={
                version: placement.build_prefix(
                    generation,
                    self._fleet.cache_scopes.name(call.customer, version),
                )
                for version in versions
                if superseded_for_s[version]
                < self._settings.old_weights_max_age_s
            },
            worth=placement.generation_worth(generation),
            target_s=call.route.target_s - (self._now() - call.received_at),
            payload_bytes=payload_bytes,
            stale_versions=frozenset(
                version
                for version in versions
                if superseded_for_s[version] > const.OLD_WEIGHTS_FREE_PERIOD_S
            ),
            data_centre=self._settings.data_centre,
        )

    def plan(
        self, progress: call_progress.Progress, choice: placement.Choice
    ) -> messages.Attempt:
        """Returns the attempt at the chosen upstream, and notifies peers."""
        call = progress.call
        entry = choice.best.upstream.entry
        weights_version = 0
        scope = ""
        urgency = -1
        if call.generation is not None:
            model = call.generation.model
            weights_version = choice.best.upstream.weights.get(model, 0)
            scope = self._fleet.cache_scopes.name(
                call.customer, weights_version
            )
            urgency = engine_urgency(progress, choice)
            self._expect_cached(call, scope, choice)
            progress.standby = self._pick_standby(call, choice, weights_version)
        return messages.Attempt(
            address=entry.address,
            upstream=entry.name,
            time_left_s=self._time_left_s(call),
            weights_version=weights_version,
            cache_scope=scope,
            urgency=urgency,
            kv_source_address=choice.best.source,
            resume_after_event_id=progress.last_event_id,
            new_connection=not call.route.repeatable,
            standby_address=progress.standby_address,
        )

    def _pick_standby(
        self,
        call: messages.Call,
        choice: placement.Choice,
        weights_version: int,
    ) -> standby.Standby | None:
        if not self._settings.keep_copies:
            return None
        name = choice.best.upstream.entry.service
        service = self._fleet.catalog.services.get(name)
        if service is None or service.engine is None:
            return None
        if not service.engine.keeps_copies:
            return None
        upstream = standby.choose_standby(call, choice, weights_version)
        if upstream is None:
            return None
        return standby.Standby(upstream, weights_version)

    def plan_continuation(
        self, progress: call_progress.Progress, standby_copy: standby.Standby
    ) -> messages.Attempt:
        """Returns the attempt that continues a lost run from its KV copy."""
        entry = standby_copy.upstream.entry
        return messages.Attempt(
            address=entry.address,
            upstream=entry.name,
            time_left_s=self._time_left_s(progress.call),
            weights_version=standby_copy.weights_version,
            # The configuration may have changed since the run began.
            cache_scope=self._fleet.cache_scopes.name(
                progress.call.customer, standby_copy.weights_version
            ),
            urgency=const.URGENCY_RETRY,
            resume_after_event_id=progress.last_event_id or _BEFORE_FIRST_EVENT,
            new_connection=True,
            continuation_address=entry.address,
        )

    def _time_left_s(self, call: messages.Call) -> float:
        return call.deadline - self._now() - const.RESPONSE_MARGIN_S

    def _expect_cached(
        self, call: messages.Call, scope: str, choice: placement.Choice
    ) -> None:
        """Records that the engine will hold the prompt; notifies peers."""
        prefix = placement.build_prefix(call.generation, scope)
        if choice.owner == self._settings.own_name:
            # Recorded when this router chose as the placement owner.
            return
        best = choice.best
        entry = best.upstream.entry
        stored_tokens = max(0, prefix.total_tokens - best.cached_tokens)
        best.upstream.note_stored_tokens(stored_tokens)
        for digest in prefix.digests:
            self._fleet.upstreams.learn(digest, entry.name, best.first_byte_s)
        if choice.owner:
            return
        self._notices.record_dispatch(
            entry, prefix.digests, stored_tokens, best.work_s
        )


def engine_urgency(
    progress: call_progress.Progress, choice: placement.Choice
) -> int:
    """Returns a call's rank in an engine's queue; lower ranks go first.

    A call whose earlier attempt failed goes before all others. A prompt whose
    prefill takes a large fraction of its target comes next, whatever the
    priority of its route: it is late as soon as one request overtakes it.
    """
    if progress.attempts_sent:
        return const.URGENCY_RETRY
    call = progress.call
    if (
        choice.best.prefill_s
        > const.TIGHT_TARGET_FRACTION * call.route.target_s
    ):
        return const.URGENCY_HIGHEST
    urgency = const.URGENCY_HIGHEST + max(0, call.priority)
    return min(const.URGENCY_LOWEST, urgency)
