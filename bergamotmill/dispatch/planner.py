"""Plans attempts: which upstream, with what, and who is told."""

from collections.abc import Callable
import dataclasses

from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import notices
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import standby

# The id that stands before the first event of a stream.
_BEFORE_ALL = "0"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the settings allow.

    Attributes:
        weights_last_s: for so long after a newer version was named, an older
            one may still be used.
        keep_copies: whether long streams have a copy of their memory kept.
    """

    max_old_weights_s: float
    keep_copies: bool


class Planner:
    """Turns what is known of a call and of the fleet into an attempt."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        choose: placement.Placement,
        sent: notices.DispatchNotices,
        limits: Limits,
        now: Callable[[], float],
    ):
        """Makes a planner.

        Args:
            fleet: what calls are served by.
            choose: picks upstreams.
            sent: tells peers of attempts.
            limits: what the settings allow.
            now: the monotonic clock.
        """
        self._fleet = fleet
        self._placement = choose
        self._notices = sent
        self._limits = limits
        self._now = now

    def choose(
        self, progress: call_progress.Progress, service: str
    ) -> placement.Choice | None:
        """Ranks a service's upstreams for a call; none when there is none."""
        call = progress.call
        known = self._fleet.upstreams
        now = self._now()
        ready = known.ready(service)
        # When all are ejected, any is better than none.
        ready = [item for item in ready if item.usable(now)] or ready
        if call.generation is None:
            return self._placement.choose_plain(
                ready, progress.tried_upstreams, now
            )
        model = call.generation.model
        demand = self._demand_of(
            progress, {u.weights.get(model, 0) for u in ready}
        )
        return self._placement.choose_engine(
            demand, ready, model, known, progress.tried_upstreams, now
        )

    def _demand_of(
        self, progress: call_progress.Progress, versions: set[int]
    ) -> placement.Demand:
        call = progress.call
        generation = call.generation
        model = generation.model
        superseded_for_s = {
            version: self._fleet.superseded_for_s(model, version)
            for version in versions
        }
        size = (
            len(call.body) + const.OUTPUT_TOKEN_BYTES * generation.output_tokens
        )
        return placement.Demand(
            prefixes={
                version: placement.build_prefix(
                    generation, build_cache_scope(call, version)
                )
                for version in versions
                if superseded_for_s[version] < self._limits.max_old_weights_s
            },
            worth=placement.generation_worth(generation),
            target_s=call.route.target_s - (self._now() - call.received_at),
            payload_bytes=size,
            stale_versions=frozenset(
                version
                for version in versions
                if superseded_for_s[version] > const.OLD_WEIGHTS_FREE_PERIOD_S
            ),
        )

    def plan(
        self, progress: call_progress.Progress, choice: placement.Choice
    ) -> messages.Attempt:
        """Returns how a call goes to the chosen upstream, and tells peers."""
        call = progress.call
        entry = choice.best.upstream.entry
        weights = 0
        scope = ""
        urgency = -1
        if call.generation is not None:
            model = call.generation.model
            weights = choice.best.upstream.weights.get(model, 0)
            scope = build_cache_scope(call, weights)
            urgency = engine_urgency(progress, choice)
            self._learn(call, scope, choice)
            progress.standby = self._standby_of(call, choice, weights, scope)
        return messages.Attempt(
            address=entry.address,
            upstream=entry.name,
            time_left_s=self._time_left_s(call),
            weights_version=weights,
            cache_scope=scope,
            urgency=urgency,
            kv_source_address=choice.best.source,
            resume_after_event_id=progress.last_event_id,
            new_connection=not call.route.repeatable,
            standby_address=progress.standby_address,
        )

    def _standby_of(
        self,
        call: messages.Call,
        choice: placement.Choice,
        weights: int,
        scope: str,
    ) -> standby.Standby | None:
        if not self._limits.keep_copies:
            return None
        name = choice.best.upstream.entry.service
        service = self._fleet.catalog.services.get(name)
        if service is None or service.engine is None:
            return None
        if not service.engine.keeps_copies:
            return None
        found = standby.choose_standby(call, choice, weights)
        if found is None:
            return None
        return standby.Standby(found, weights, scope)

    def plan_continuation(
        self, progress: call_progress.Progress, kept: standby.Standby
    ) -> messages.Attempt:
        """Returns how a lost run goes on from the copy of its memory."""
        entry = kept.upstream.entry
        return messages.Attempt(
            address=entry.address,
            upstream=entry.name,
            time_left_s=self._time_left_s(progress.call),
            weights_version=kept.weights_version,
            cache_scope=kept.cache_scope,
            urgency=const.URGENCY_RETRY,
            resume_after_event_id=progress.last_event_id or _BEFORE_ALL,
            new_connection=True,
            continuation_address=entry.address,
        )

    def _time_left_s(self, call: messages.Call) -> float:
        return call.deadline - self._now() - const.RESPONSE_MARGIN_S

    def _learn(
        self, call: messages.Call, scope: str, choice: placement.Choice
    ) -> None:
        """Presumes that the engine will hold the prompt, and tells peers."""
        prefix = placement.build_prefix(call.generation, scope)
        best = choice.best
        entry = best.upstream.entry
        stored = max(0, prefix.total_tokens - best.cached_tokens)
        best.upstream.note_stored_tokens(stored)
        for digest in prefix.digests:
            self._fleet.upstreams.learn(digest, entry.name, best.first_byte_s)
        self._notices.record_dispatch(
            entry, prefix.digests, stored, best.work_s
        )


def build_cache_scope(call: messages.Call, weights: int) -> str:
    """Returns the text within which cached parts are shared."""
    scope = f"w{weights}"
    if call.customer is not None and call.customer.isolated:
        scope += f".{call.customer.name}"
    return scope


def engine_urgency(
    progress: call_progress.Progress, choice: placement.Choice
) -> int:
    """Returns a call's rank at an engine; what was lost goes first.

    A prompt whose reading takes most of its target is not to be overtaken
    by what comes after it, whatever the routes' ranks are: one that is
    overtaken once is late.
    """
    if progress.attempts_sent:
        return const.URGENCY_RETRY
    call = progress.call
    if (
        choice.best.prefill_s
        > const.TIGHT_TARGET_FRACTION * call.route.target_s
    ):
        return const.URGENCY_HIGHEST
    wanted = const.URGENCY_HIGHEST + max(0, call.priority)
    return min(const.URGENCY_LOWEST, wanted)
