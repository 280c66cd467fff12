"""Serves calls: chooses an upstream, sends, retries and responds."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from bergamotmill.control import quarantine
from bergamotmill.dispatch import abandoned_attempts
from bergamotmill.dispatch import allowances as upstream_allowances
from bergamotmill.dispatch import attempt_runner
from bergamotmill.dispatch import call_decisions
from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_client
from bergamotmill.dispatch import planner
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import records
from bergamotmill.dispatch import relay
from bergamotmill.dispatch import standby
from bergamotmill.dispatch import upstreams
from bergamotmill.dispatch import waiting
from bergamotmill.helpers import decisions
from bergamotmill.helpers import memory_budget
from bergamotmill.helpers import metrics as stats
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import window_budget
from bergamotmill.upstream import errors
from bergamotmill.util import tasks as background

# Why a router that has shut down rejects a call: it has not completed.
REASON_ENDED = "router_ended"
# Outcomes that show how long requests of a route take.
_FULL_LENGTH_OUTCOMES = ("answered", "deadline", REASON_ENDED)
# Failures after which a run may continue from the standby's KV copy.
_CONTINUABLE_FAILURES = (errors.Failure.LOST, errors.Failure.SILENT)
# Failures that say nothing against the upstream.
_BLAMELESS_FAILURES = (
    errors.Failure.REFUSED,
    errors.Failure.WITHDRAWN,
    errors.Failure.UNREAD,
    errors.Failure.NO_MEMORY,
)
# Failures of the caller or of this router, after which another attempt would
# fail as well.
_FINAL_FAILURES = (errors.Failure.UNREAD, errors.Failure.NO_MEMORY)
# Failures that eject an upstream at once.
_EJECTING_FAILURES = (errors.Failure.CONNECT, errors.Failure.SILENT)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessContext:
    """Process-wide objects that a dispatcher uses.

    Attributes:
        seconds_until_exit: returns seconds until this process ends.
        others_serve: returns whether other routers take requests.
        metrics: counters and timings.
        now: the monotonic clock.
        boottime: the clock that also runs during suspensions.
        rng: randomizes the choice of services and the retry hints.
        memory: memory of all bodies.
        make_room: disconnects slow peers if this much more memory is needed.
    """

    seconds_until_exit: Callable[[], float]
    others_serve: Callable[[], bool]
    metrics: stats.Metrics
    now: Callable[[], float]
    boottime: Callable[[], float]
    rng: random.Random
    memory: memory_budget.MemoryBudget
    make_room: Callable[[int], None]


@dataclasses.dataclass(slots=True)
class _OpenCall:
    """A call that is being served.

    Attributes:
        ended_for: why this router ends it; empty if it does not.
    """

    progress: call_progress.Progress
    sink: ports.Sink
    task: asyncio.Task[messages.Rejection | None]
    ended_for: str = ""

    def end(self, reason: str) -> None:
        """Has the call rejected."""
        self.ended_for = reason
        self.task.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class _ChoiceObserver:
    """Tells the placement how a chosen engine responds."""

    placer: placement_client.PlacementClient
    progress: call_progress.Progress
    choice: placement.Choice

    def on_overdue(self, late_s: float) -> None:
        """Called repeatedly while the response is overdue."""
        self.placer.note_overdue(self.choice, late_s)

    def on_first_byte(self, first_byte_s: float) -> None:
        """Called when the response begins."""
        if self.choice.best.work_s or self.progress.placed is not None:
            self.placer.note_first_byte(
                self.progress, self.choice, first_byte_s
            )


class Dispatcher:
    """Serves calls from admission to the final response."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        link: ports.UpstreamLink,
        attempt_planner: planner.Planner,
        placer: placement_client.PlacementClient,
        budget_of: Callable[[str], window_budget.WindowBudget],
        prompts: quarantine.Quarantine,
        allowances: upstream_allowances.Allowances,
        process: ProcessContext,
    ):
        """Makes a dispatcher.

        Args:
            fleet: configuration, weights and upstreams in use.
            link: sends attempts.
            attempt_planner: plans attempts.
            placer: chooses upstreams.
            budget_of: returns the retry budget of a service.
            prompts: holds back prompts that crash engines.
            allowances: keeps within the limits that upstreams name.
            process: clock, metrics and other process-wide objects.
        """
        self._fleet = fleet
        self._link = link
        self._planner = attempt_planner
        self._placer = placer
        self._budget_of = budget_of
        self._prompts = prompts
        self._allowances = allowances
        prompts.add_listener(self._withdraw_attempts)
        self._abandoned = abandoned_attempts.AbandonedAttempts(process.now)
        prompts.add_end_listener(self._note_end)
        fleet.add_removal_listener(self._note_removal)
        # The calls whose present attempt has no response yet, by request id.
        self._unanswered: dict[str, call_progress.Progress] = {}
        self._open: dict[call_progress.Progress, _OpenCall] = {}
        self._decisions = call_decisions.CallDecisions(
            fleet,
            prompts,
            allowances,
            process.seconds_until_exit,
            process.others_serve,
            process.now,
            process.rng,
        )
        self._metrics = process.metrics
        self._now = process.now
        self._rng = process.rng
        self._tasks = background.Tasks()
        self._admission_queue = waiting.AdmissionQueue(process.rng)
        self._relay = relay.ResponseRelay(
            process.metrics, process.now, process.memory, process.make_room
        )
        self._attempt_runner = attempt_runner.AttemptRunner(
            link,
            self._relay,
            fleet.apply_signals,
            process.now,
            process.boottime,
        )

    @property
    def decisions(self) -> call_decisions.CallDecisions:
        """What becomes of calls."""
        return self._decisions

    @property
    def held_count(self) -> int:
        """Number of requests held here until an engine has room."""
        return len(self._admission_queue)

    @property
    def buffered_bytes(self) -> int:
        """Size of the plain responses that are being received."""
        return self._relay.buffered_bytes

    async def close(self) -> None:
        """Cancels the calls in progress."""
        self._admission_queue.close()
        await self._tasks.close()
        await self._attempt_runner.close()

    def begin_shutdown(self) -> None:
        """Rejects the calls that wait and may not complete before the exit."""
        for item in list(self._open.values()):
            is_at_upstream = item.progress.call.request_id in self._unanswered
            if (
                not is_at_upstream
                and not item.sink.started
                and not self._decisions.may_complete(item.progress.call)
            ):
                item.end(call_decisions.REASON_LEAVING)

    def end_unstarted_calls(self) -> None:
        """Rejects the open calls whose responses have not begun."""
        for item in list(self._open.values()):
            if not item.sink.started:
                item.end(REASON_ENDED)

    def end_calls(self) -> None:
        """Ends all open calls, as this process is about to end."""
        for item in list(self._open.values()):
            item.end(REASON_ENDED)

    async def serve(self, call: messages.Call, sink: ports.Sink) -> bool:
        """Serves one call; it is cancelled when the caller disconnects.

        Returns:
            Whether it has certainly not run at any upstream.
        """
        progress = call_progress.Progress(call)
        task = self._tasks.spawn(self._serve_until_deadline(progress, sink))
        item = self._open[progress] = _OpenCall(progress, sink, task)
        sink.on_close(task.cancel)
        try:
            await asyncio.wait({task})
        finally:
            del self._open[progress]
            self._placer.note_end(progress)
        if not task.cancelled():
            rejection = task.result()
        elif item.ended_for:
            rejection = self._decisions.leaving_rejection(
                progress, item.ended_for
            )
        else:
            self._record_outcome(progress, "caller_left", 0)
            return not progress.may_have_run
        if rejection is None:
            return False
        self._record_outcome(
            progress,
            rejection.reason,
            rejection.status,
            retry_after_s=rejection.retry_after_s,
        )
        if sink.started:
            sink.abort()
        else:
            sink.reject(rejection)
        return not progress.may_have_run

    async def _serve_until_deadline(
        self, progress: call_progress.Progress, sink: ports.Sink
    ) -> messages.Rejection | None:
        left_s = progress.call.deadline - self._now()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._run_attempts(progress, sink)
        except TimeoutError:
            return self._decisions.rejection_of(progress, "deadline")

    async def _run_attempts(
        self, progress: call_progress.Progress, sink: ports.Sink
    ) -> messages.Rejection | None:
        call = progress.call
        service = self._pick_service(call.route)
        budget = self._budget_of(service)
        budget.record_request(self._now())
        while True:
            rejection = self._decisions.time_rejection(progress, sink.started)
            if rejection is not None:
                return rejection
            rejection = await self._quarantine_rejection(progress, service)
            if rejection is not None:
                return rejection
            placed = await self._placer.place(progress, service)
            choice = placed.choice
            if choice is None and progress.limited_upstreams:
                return self._decisions.limit_rejection(progress)
            if choice is None:
                pause_s = self._planner.pause_left_s(progress, service)
                if await self._wait_for_pause(progress, pause_s):
                    continue
                return self._decisions.pause_rejection(progress, pause_s)
            verdict = self._decisions.admission_verdict(progress, placed)
            if verdict is waiting.Verdict.REFUSE:
                return self._decisions.overload_rejection(progress, choice)
            if verdict is waiting.Verdict.HOLD:
                await self._hold(progress, choice)
                progress.limited_upstreams.clear()
                continue
            allowance = await self._claim_allowance(progress, choice)
            if allowance is None:
                continue
            if not self._may_still_send(progress, sink, choice):
                self._allowances.give_back(allowance)
                continue
            if progress.attempts_sent and not budget.try_take(self._now()):
                self._allowances.give_back(allowance)
                return self._decisions.rejection_of(
                    progress, "retry_budget", self._decisions.retry_after_s()
                )
            try:
                await self._run_attempt(progress, sink, choice)
                return None
            except errors.UpstreamError as err:
                if not err.sent:
                    self._allowances.give_back(allowance)
                self._placer.note_failure(
                    choice,
                    refused=err.failure is errors.Failure.REFUSED,
                    failed=err.failure in _EJECTING_FAILURES,
                )
                may_repeat = self._record_failure(
                    progress, choice.best.upstream, err
                )
                if err.failure is errors.Failure.LOST:
                    await self._note_loss(progress, choice.best.upstream)
                elif err.failure is errors.Failure.CONNECT:
                    self._check_end(choice.best.upstream.entry)
                if err.ran:
                    progress.trial_of = ""
                if may_repeat:
                    progress.limited_upstreams.clear()
                    continue
                if await self._continue_at_standby(progress, sink, choice, err):
                    return None
                return self._decisions.rejection_of(
                    progress, err.failure.value, self._decisions.retry_after_s()
                )

    async def _claim_allowance(
        self, progress: call_progress.Progress, choice: placement.Choice
    ) -> upstream_allowances.Allowance | None:
        """Claims allowance for an attempt, if its upstream named a limit.

        It is not waited for while an upstream without a limit can serve the
        call in time, which would be late there if the wait is in vain; and
        only where the wait is known, and thus part of the choice.

        Returns:
            The allowance; None if there is none.
        """
        call = progress.call
        upstream = choice.best.upstream
        if self._allowances.is_unlimited(upstream):
            return upstream_allowances.NO_LIMIT
        max_wait_s, has_unlimited_choice = self._decisions.max_allowance_wait_s(
            call, choice
        )
        if self._decisions.exclude_late_upstreams(progress, choice, max_wait_s):
            return None
        is_wait_known = choice.best.allowance_wait_s > 0
        may_wait = is_wait_known or choice.candidate_count <= 1
        claimed = await self._allowances.claim(
            upstream,
            upstream_allowances.Terms(
                max_wait_s if may_wait else const.SHORT_CLAIM_WAIT_S,
                call.deadline - self._now(),
                call.priority,
                _worth_of(call),
                call.customer_name,
                spread=has_unlimited_choice,
            ),
        )
        records.log_allowance(progress, claimed)
        if claimed.granted:
            return claimed
        self._placer.note_allowance(choice, claimed.wait_s)
        progress.claims_refused += 1
        if (
            may_wait
            or has_unlimited_choice
            or progress.claims_refused >= const.MAX_CLAIMS_REFUSED
        ):
            name = upstream.entry.name
            progress.limited_upstreams[name] = self._now() + claimed.wait_s
        return None

    def _may_still_send(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        choice: placement.Choice,
    ) -> bool:
        """Whether a choice still holds after a wait for it or for allowance."""
        upstream = choice.best.upstream
        known = self._fleet.upstreams
        return (
            known.by_name.get(upstream.entry.name) is upstream
            and known.accepts_work(upstream)
            and not upstream.pause_left_s(self._now())
            and not self._is_held_back(progress)
            and (sink.started or self._decisions.may_complete(progress.call))
        )

    def _pick_service(self, route: config.Route) -> str:
        weights = [share.weight for share in route.shares]
        picked = self._rng.choices(route.shares, weights)[0]
        return picked.service

    async def _hold(
        self, progress: call_progress.Progress, choice: placement.Choice
    ) -> None:
        """Waits until a call is to be considered again."""
        call = progress.call
        outlook = self._decisions.outlook(call, choice)
        if not progress.was_held:
            progress.was_held = True
            self._metrics.count("requests.held")
            records.log_held(
                progress, choice, outlook, len(self._admission_queue)
            )
        await self._admission_queue.wait(
            call.priority, call.deadline, waiting.hold_time_left_s(outlook)
        )

    async def _wait_for_pause(
        self, progress: call_progress.Progress, pause_s: float
    ) -> bool:
        """Holds a call while all upstreams want nothing; False to refuse it."""
        call = progress.call
        if (
            self._decisions.pause_verdict(call, pause_s)
            is waiting.Verdict.REFUSE
        ):
            return False
        if not progress.was_held:
            progress.was_held = True
            self._metrics.count("requests.held")
        await self._admission_queue.wait(
            call.priority, call.deadline, self._decisions.hold_left_s(call)
        )
        return True

    async def _run_attempt(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        choice: placement.Choice,
    ) -> None:
        call = progress.call
        attempt = self._planner.plan(progress, choice)
        records.log_choice(progress, choice, attempt, self._now())
        upstream = choice.best.upstream
        progress.withdrawn = asyncio.get_running_loop().create_future()
        self._unanswered[call.request_id] = progress
        try:
            status = await self._attempt_runner.run(
                progress,
                sink,
                upstream,
                attempt,
                self._planner.workload(choice),
                _ChoiceObserver(self._placer, progress, choice),
            )
        except asyncio.CancelledError:
            # The deadline has passed, or the caller has left.
            self._note_abandoned(progress, upstream)
            raise
        except errors.UpstreamError as err:
            if err.failure is errors.Failure.SILENT:
                self._note_abandoned(progress, upstream)
            raise
        finally:
            self._unanswered.pop(call.request_id, None)
        self._note_answer(progress, status)
        self._record_outcome(progress, "answered", status, upstream.entry.name)

    def _note_answer(
        self, progress: call_progress.Progress, status: int
    ) -> None:
        """Records that an upstream answered a call; parts need a success."""
        is_success = 200 <= status < 300
        prompt = progress.prompt
        self._prompts.note_answer(prompt if is_success else prompt.whole_only())

    async def _continue_at_standby(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        choice: placement.Choice,
        err: errors.UpstreamError,
    ) -> bool:
        """Continues a lost run at its standby; True when that succeeded.

        Only when the run's engine is dead, since one run must not continue
        at two engines.
        """
        standby_copy = progress.standby
        progress.standby = None
        if standby_copy is None or err.failure not in _CONTINUABLE_FAILURES:
            return False
        if self._is_held_back(progress):
            return False
        lost_upstream = choice.best.upstream
        refusal_reason = await self._continuation_refusal(
            progress.call, standby_copy, lost_upstream
        )
        records.log_continuation(
            progress, standby_copy, lost_upstream, refusal_reason
        )
        if refusal_reason:
            return False
        upstream = standby_copy.upstream
        allowance = await self._allowances.claim(
            upstream,
            upstream_allowances.Terms(
                const.SHORT_CLAIM_WAIT_S,
                progress.call.deadline - self._now(),
                progress.call.priority,
                _worth_of(progress.call),
                progress.call.customer_name,
            ),
        )
        if not allowance.granted:
            return False
        attempt = self._planner.plan_continuation(progress, standby_copy)
        try:
            status = await self._attempt_runner.run(
                progress,
                sink,
                upstream,
                attempt,
                attempt_runner.Workload(0.0),
            )
        except errors.UpstreamError as continuation_err:
            self._record_failure(progress, upstream, continuation_err)
            if continuation_err.failure is errors.Failure.LOST:
                await self._note_loss(progress, upstream)
            return False
        self._note_answer(progress, status)
        self._metrics.count("streams.continued")
        self._record_outcome(progress, "answered", status, upstream.entry.name)
        return True

    async def _continuation_refusal(
        self,
        call: messages.Call,
        standby_copy: standby.Standby,
        lost_upstream: upstreams.Upstream,
    ) -> str:
        """Returns why a lost run cannot continue; empty when it can.

        A run that can continue has taken one retry from the budget.
        """
        upstream = standby_copy.upstream
        if (
            self._fleet.upstreams.by_name.get(upstream.entry.name)
            is not upstream
        ):
            return "the standby engine is no longer registered"
        if (
            upstream.weights.get(call.generation.model, 0)
            != standby_copy.weights_version
        ):
            return "the standby engine has other weights"
        if not await self._attempt_runner.refuses_connections(lost_upstream):
            return "the original engine still accepts connections"
        if not self._budget_of(upstream.entry.service).try_take(self._now()):
            return "the retry budget is exhausted"
        return ""

    def _is_held_back(self, progress: call_progress.Progress) -> bool:
        """Whether a call was quarantined since it was admitted."""
        return bool(self._prompts.holding(progress.prompt, progress.trial_of))

    async def _quarantine_rejection(
        self, progress: call_progress.Progress, service: str
    ) -> messages.Rejection | None:
        """Rejects a call that crashes upstreams, unless it is a trial."""
        has_spare = self._decisions.has_spare(service)
        admission = await self._prompts.admit(
            progress.prompt,
            not progress.attempts_sent,
            progress.trial_of,
            has_spare,
        )
        progress.trial_of = admission.trial_of
        entry = admission.held_by
        if entry is None:
            return None
        return self._decisions.held_back_rejection(progress, entry, has_spare)

    def _withdraw_attempts(self, entry: prompt_quarantine.Entry) -> None:
        """Gives up attempts that would crash their upstreams, too."""
        for progress in list(self._unanswered.values()):
            withdrawn = progress.withdrawn
            if (
                entry.blocks(progress.prompt)
                and progress.trial_of != entry.key
                and not withdrawn.done()
            ):
                withdrawn.set_result(None)

    async def _note_loss(
        self, progress: call_progress.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Records what a lost connection says of the call."""
        known = self._fleet.upstreams
        entry = upstream.entry
        if known.by_name.get(entry.name) is not upstream or (
            not known.accepts_work(upstream)
        ):
            # It was about to end anyway: some upstreams leave without a word
            # after their entry is removed.
            return
        answered_s = None
        if progress.answer_began_at is not None:
            answered_s = self._now() - progress.answer_began_at
        ended = await self._prompts.note_loss(
            progress.prompt,
            quarantine.LostAttempt(
                prompt_quarantine.Crash(entry.name, entry.born),
                answered_s,
                lambda: self._attempt_runner.has_ended(upstream),
            ),
        )
        if not ended:
            return
        self._note_end(prompt_quarantine.Crash(entry.name, entry.born))
        self._metrics.count("upstream.ended")
        decisions.record(
            "upstream_ended",
            request=progress.call.request_id,
            upstream=entry.name,
            born=entry.born,
            fingerprint=progress.fingerprint,
            parts=sorted(progress.prompt.parts),
        )

    def _note_abandoned(
        self, progress: call_progress.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Remembers an attempt that is given up, in case its upstream ends."""
        if self._fleet.upstreams.accepts_work(upstream):
            entry = upstream.entry
            self._abandoned.add(
                prompt_quarantine.Crash(entry.name, entry.born), progress.prompt
            )

    def _note_end(self, incarnation: prompt_quarantine.Crash) -> None:
        """Reports the attempts that were given up at an upstream that ended."""
        for prompt in self._abandoned.take(incarnation):
            decisions.record(
                "abandoned_upstream_ended",
                upstream=incarnation.replica,
                born=incarnation.incarnation,
                fingerprints=sorted(prompt.fingerprints),
            )
            self._tasks.spawn(
                self._prompts.note_crash(prompt, incarnation, abandoned=True)
            )

    def _note_removal(self, entry: upstreams.UpstreamEntry) -> None:
        """Finds out whether an upstream whose entry is gone has ended."""
        known = self._fleet.upstreams
        if entry.state is upstreams.UpstreamState.READY and (
            not known.is_leaving(entry.name, entry.born)
        ):
            self._check_end(entry)

    def _check_end(self, entry: upstreams.UpstreamEntry) -> None:
        """Finds out whether an upstream has ended, if that is evidence."""
        incarnation = prompt_quarantine.Crash(entry.name, entry.born)
        if self._abandoned.has(incarnation):
            self._tasks.spawn(self._report_if_ended(entry, incarnation))

    async def _report_if_ended(
        self,
        entry: upstreams.UpstreamEntry,
        incarnation: prompt_quarantine.Crash,
    ) -> None:
        known = self._fleet.upstreams.by_name.get(entry.name)
        is_replaced = known is not None and known.entry.born > entry.born
        if is_replaced or await self._link.has_ended(entry.address):
            self._note_end(incarnation)

    def _record_failure(
        self,
        progress: call_progress.Progress,
        upstream: upstreams.Upstream,
        err: errors.UpstreamError,
    ) -> bool:
        """Records a failed attempt; True when another attempt is allowed."""
        progress.last_error = str(err)
        if err.failure not in _BLAMELESS_FAILURES:
            eject_at_once = err.failure in _EJECTING_FAILURES
            if upstream.note_failure(self._now(), eject_at_once):
                decisions.record(
                    "upstream_ejected",
                    upstream=upstream.entry.name,
                    failure=err.failure.value,
                )
            self._link.close_idle(upstream.entry.address)
        if err.failure not in _FINAL_FAILURES:
            self._metrics.count(f"upstream.failures.{err.failure.value}")
        decisions.record(
            "attempt_failed",
            request=progress.call.request_id,
            upstream=upstream.entry.name,
            failure=err.failure.value,
            detail=str(err),
            sent=err.sent,
            ran=err.ran,
            began=progress.answer_began_at is not None,
            fingerprint=progress.fingerprint,
        )
        route = progress.call.route
        if err.failure in _FINAL_FAILURES:
            return False
        if not err.ran:
            return True
        return route.repeatable and progress.possible_runs < route.max_attempts

    def _record_outcome(
        self,
        progress: call_progress.Progress,
        outcome: str,
        status: int,
        upstream: str = "",
        **more: object,
    ) -> None:
        call = progress.call
        seconds = self._now() - call.received_at
        if outcome in _FULL_LENGTH_OUTCOMES:
            self._decisions.durations.record(
                call.route.name, seconds, self._now()
            )
            self._decisions.note_stream(progress)
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


def _worth_of(call: messages.Call) -> float:
    if call.generation is None:
        return const.BASE_REQUEST_WORTH
    return placement.generation_worth(call.generation)
