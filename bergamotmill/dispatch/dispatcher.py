"""Carries one call to an upstream and its answer back to the caller."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from bergamotmill.dispatch import attempt_runner
from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import planner
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import records
from bergamotmill.dispatch import relay
from bergamotmill.dispatch import standby
from bergamotmill.dispatch import upstreams
from bergamotmill.dispatch import waiting
from bergamotmill.helpers import decisions
from bergamotmill.helpers import metrics as stats
from bergamotmill.routing import window_budget
from bergamotmill.upstream import errors
from bergamotmill.util import tasks as background

# A caller that is sent away by a leaving router may try another at once.
LEAVING_S = 0.02
# Failures after which a run may go on from a copy of its memory.
_ENDED_RUNS = (errors.Failure.LOST, errors.Failure.SILENT)
_EJECTING = (errors.Failure.CONNECT, errors.Failure.SILENT)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessContext:
    """What a dispatcher needs of the process that it runs in.

    Attributes:
        seconds_until_exit: returns seconds until this process ends.
        metrics: counters and timings.
        now: the monotonic clock.
        rng: draws shares and pauses.
    """

    seconds_until_exit: Callable[[], float]
    metrics: stats.Metrics
    now: Callable[[], float]
    rng: random.Random


class Dispatcher:
    """Serves calls: chooses, sends, retries, relays and refuses."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        link: ports.UpstreamLink,
        plans: planner.Planner,
        budgets: Callable[[str], window_budget.WindowBudget],
        process: ProcessContext,
    ):
        """Makes a dispatcher.

        Args:
            fleet: what calls are served by.
            link: sends attempts.
            plans: plans attempts.
            budgets: gives the retry budget of a service.
            process: what it needs of the process that it runs in.
        """
        self._fleet = fleet
        self._link = link
        self._planner = plans
        self._budgets = budgets
        self._end_in = process.seconds_until_exit
        self._metrics = process.metrics
        self._now = process.now
        self._rng = process.rng
        self._tasks = background.Tasks()
        self._room = waiting.AdmissionQueue(process.rng)
        self._carrier = attempt_runner.AttemptRunner(
            link, relay.ResponseRelay(process.metrics, process.now), process.now
        )

    @property
    def held_count(self) -> int:
        """How many requests wait here for an engine."""
        return len(self._room)

    async def close(self) -> None:
        """Cuts what is under way."""
        self._room.close()
        await self._tasks.close()
        await self._carrier.close()

    async def serve(self, call: messages.Call, sink: ports.Sink) -> None:
        """Serves one call to its end; a caller that leaves ends it."""
        progress = call_progress.Progress(call)
        if self._ends_before(call):
            rejection = messages.Rejection(503, "leaving", False, LEAVING_S)
            self._note(progress, rejection.reason, rejection.status)
            sink.reject(rejection)
            return
        task = self._tasks.spawn(self._guarded(progress, sink))
        sink.on_close(task.cancel)
        await asyncio.wait({task})
        if task.cancelled():
            self._note(progress, "caller_left", 0)
            return
        rejection = task.result()
        if rejection is None:
            return
        self._note(
            progress,
            rejection.reason,
            rejection.status,
            retry_after_s=rejection.retry_after_s,
        )
        if sink.started:
            sink.abort()
        else:
            sink.reject(rejection)

    def _ends_before(self, call: messages.Call) -> bool:
        """Whether this process may well end before the call does."""
        needed = const.MIN_PLAIN_BEFORE_EXIT_S
        if call.route.is_stream:
            needed = const.MIN_STREAM_BEFORE_EXIT_S
        return self._end_in() < needed

    async def _guarded(
        self, progress: call_progress.Progress, sink: ports.Sink
    ) -> messages.Rejection | None:
        left = progress.call.deadline - self._now()
        try:
            async with asyncio.timeout(max(0.0, left)):
                return await self._attempts(progress, sink)
        except TimeoutError:
            return self._give_up(progress, "deadline")

    def _give_up(
        self,
        progress: call_progress.Progress,
        reason: str,
        retry_after_s: float = 0.0,
    ) -> messages.Rejection:
        """Returns the final answer that the run state allows."""
        if not progress.may_have_run:
            return messages.Rejection(503, reason, False, retry_after_s)
        status = 504 if reason == "deadline" else 502
        return messages.Rejection(status, reason, True)

    def _pause(self) -> float:
        """Returns a retry hint that spreads callers in time."""
        spread = self._rng.uniform(
            1.0 - const.RETRY_JITTER, 1.0 + const.RETRY_JITTER
        )
        return const.RETRY_AFTER_S * spread

    def _overload_pause(self, call: messages.Call) -> float:
        """Returns a hint to come back while there is time to be served."""
        left = call.deadline - self._now()
        return left * self._rng.uniform(*const.OVERLOAD_RETRY_FRACTIONS)

    async def _attempts(
        self, progress: call_progress.Progress, sink: ports.Sink
    ) -> messages.Rejection | None:
        call = progress.call
        service = self._service_of(call.route)
        budget = self._budgets(service)
        budget.requested(self._now())
        while True:
            if call.deadline - self._now() < const.MIN_ATTEMPT_S:
                return self._give_up(progress, "no_time")
            choice = self._planner.choose(progress, service)
            if choice is None:
                return self._give_up(progress, "no_upstream", self._pause())
            verdict = await self._admit(progress, choice)
            if verdict is waiting.Verdict.REFUSE:
                return self._give_up(
                    progress, "overloaded", self._overload_pause(call)
                )
            if verdict is waiting.Verdict.HOLD:
                continue
            if progress.attempts_sent and not budget.try_take(self._now()):
                return self._give_up(progress, "retry_budget", self._pause())
            try:
                await self._attempt(progress, sink, choice)
                return None
            except errors.UpstreamError as err:
                if self._may_retry(progress, choice.best.upstream, err):
                    continue
                if await self._goes_on(progress, sink, choice, err):
                    return None
                return self._give_up(progress, err.failure.value, self._pause())

    def _service_of(self, route: config.Route) -> str:
        weights = [share.weight for share in route.shares]
        picked = self._rng.choices(route.shares, weights)[0]
        return picked.service

    def _outlook(
        self, call: messages.Call, choice: placement.Choice
    ) -> waiting.Outlook:
        now = self._now()
        return waiting.Outlook(
            wait_s=choice.best.wait_s,
            prefill_s=choice.best.prefill_s,
            target_s=call.route.target_s - (now - call.received_at),
            time_left_s=self._first_byte_by(call) - now,
            time_limit_s=self._first_byte_by(call) - call.received_at,
        )

    def _first_byte_by(self, call: messages.Call) -> float:
        """Returns when the caller leaves if nothing has come."""
        patience_end = call.received_at + call.route.patience_s
        return min(call.deadline, patience_end)

    async def _admit(
        self, progress: call_progress.Progress, choice: placement.Choice
    ) -> waiting.Verdict:
        """Judges a request; one that is held has waited when this returns."""
        call = progress.call
        if call.generation is None or progress.attempts_sent:
            return waiting.Verdict.GO
        outlook = self._outlook(call, choice)
        verdict = waiting.admission_verdict(outlook)
        if verdict is waiting.Verdict.HOLD:
            if not progress.was_held:
                progress.was_held = True
                self._metrics.count("requests.held")
                records.log_held(progress, choice, outlook, len(self._room))
            await self._room.wait(
                call.priority,
                call.received_at,
                waiting.hold_time_left_s(outlook),
            )
        return verdict

    async def _attempt(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        choice: placement.Choice,
    ) -> None:
        attempt = self._planner.plan(progress, choice)
        records.log_choice(progress, choice, attempt, self._now())
        item = choice.best.upstream
        status = await self._carrier.run(
            progress, sink, item, attempt, choice.best.work_s
        )
        self._note(progress, "answered", status, item.entry.name)

    async def _goes_on(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        choice: placement.Choice,
        err: errors.UpstreamError,
    ) -> bool:
        """Lets a lost run go on where a copy of its memory is kept.

        Only when its engine is dead: the same run must not go on twice.
        """
        kept = progress.standby
        progress.standby = None
        if kept is None or err.failure not in _ENDED_RUNS:
            return False
        lost = choice.best.upstream
        refusal = await self._why_not(progress.call, kept, lost)
        records.log_continuation(progress, kept, lost, refusal)
        if refusal:
            return False
        attempt = self._planner.plan_continuation(progress, kept)
        item = kept.upstream
        try:
            status = await self._carrier.run(progress, sink, item, attempt, 0.0)
        except errors.UpstreamError as second:
            self._may_retry(progress, item, second)
            return False
        self._metrics.count("streams.continued")
        self._note(progress, "answered", status, item.entry.name)
        return True

    async def _why_not(
        self,
        call: messages.Call,
        kept: standby.Standby,
        lost: upstreams.Upstream,
    ) -> str:
        """Returns why a lost run cannot go on; empty when it can."""
        item = kept.upstream
        if self._fleet.upstreams.by_name.get(item.entry.name) is not item:
            return "the engine with the copy is gone"
        if item.weights.get(call.generation.model, 0) != kept.weights_version:
            return "the engine with the copy has other weights"
        if not await self._carrier.refuses_connections(lost):
            return "its engine still answers"
        if not self._budgets(item.entry.service).try_take(self._now()):
            return "no repeat is left in the budget"
        return ""

    def _may_retry(
        self,
        progress: call_progress.Progress,
        item: upstreams.Upstream,
        err: errors.UpstreamError,
    ) -> bool:
        """Takes note of a failure; whether another attempt is allowed."""
        progress.last_error = str(err)
        if err.failure is not errors.Failure.REFUSED:
            at_once = err.failure in _EJECTING
            if item.note_failure(self._now(), at_once):
                decisions.record(
                    "upstream_ejected",
                    upstream=item.entry.name,
                    failure=err.failure.value,
                )
            self._link.close_idle(item.entry.address)
        self._metrics.count(f"upstream.failures.{err.failure.value}")
        decisions.record(
            "attempt_failed",
            request=progress.call.request_id,
            upstream=item.entry.name,
            failure=err.failure.value,
            detail=str(err),
            sent=err.sent,
            ran=err.ran,
        )
        route = progress.call.route
        if not err.ran:
            return True
        return route.repeatable and progress.possible_runs < route.max_attempts

    def _note(
        self,
        progress: call_progress.Progress,
        outcome: str,
        status: int,
        upstream: str = "",
        **more: object,
    ) -> None:
        call = progress.call
        seconds = self._now() - call.received_at
        self._metrics.count(f"requests.{outcome}")
        self._metrics.timing(f"whole.{call.route.name}", seconds)
        records.log_outcome(
            progress,
            outcome,
            status,
            upstream,
            self._fleet.catalog.version,
            seconds,
            **more,
        )
