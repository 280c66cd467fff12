"""Decides what becomes of a call, without I/O and without effects.

The dispatcher acts on these decisions, and previews describe them, so that both
follow the same rules.
"""

from collections.abc import Callable
import random

from bergamotmill.control import quarantine
from bergamotmill.dispatch import allowances as upstream_allowances
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_client
from bergamotmill.dispatch import placement_messages
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import waiting
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import shutdown

# A caller rejected by a router that is shutting down may try another at once.
LEAVING_RETRY_AFTER_S = 0.02
# Why a router that is shutting down rejects a call: it may not complete before
# the process ends.
REASON_LEAVING = "leaving"
# What the decision of a placement owner means here.
_OWNER_VERDICTS = {
    placement_messages.Verdict.GO: waiting.Verdict.GO,
    placement_messages.Verdict.HELD: waiting.Verdict.HOLD,
    placement_messages.Verdict.REFUSE: waiting.Verdict.REFUSE,
}


class CallDecisions:
    """Decides on calls from the state of the fleet.

    What is decided on a call is kept in its `Progress` only.

    Attributes:
        durations: how long requests of each route take.
        stream_durations: how long streams take.
    """

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        prompts: quarantine.Quarantine,
        allowances: upstream_allowances.Allowances,
        seconds_until_exit: Callable[[], float],
        others_serve: Callable[[], bool],
        now: Callable[[], float],
        rng: random.Random,
    ):
        """Makes decisions.

        Args:
            fleet: upstreams in use.
            prompts: holds back prompts that crash engines.
            allowances: the limits that upstreams name.
            seconds_until_exit: returns seconds until this process ends.
            others_serve: returns whether other routers take requests.
            now: the monotonic clock.
            rng: randomizes the retry hints.
        """
        self._fleet = fleet
        self._prompts = prompts
        self._allowances = allowances
        self._seconds_until_exit = seconds_until_exit
        self._others_serve = others_serve
        self._now = now
        self._rng = rng
        self.durations = shutdown.LongestDurations()
        self.stream_durations = shutdown.StreamDurations()

    def time_rejection(
        self, progress: call_progress.Progress, started: bool
    ) -> messages.Rejection | None:
        """Rejects a call for which this router or its caller has no time."""
        call = progress.call
        if not started and not self.may_complete(call):
            return self.leaving_rejection(progress, REASON_LEAVING)
        if call.deadline - self._now() < const.MIN_ATTEMPT_S:
            return self.rejection_of(progress, "no_time")
        return None

    def may_complete(self, call: messages.Call) -> bool:
        """Whether a call can complete before this process ends."""
        exit_s = self._seconds_until_exit()
        if exit_s == float("inf"):
            return True
        prospect = shutdown.Prospect(
            call.deadline - self._now(),
            self.durations.longest_s(call.route.name),
            call.route.repeatable,
            self._others_serve(),
            call.route.is_stream,
            self._stream_bound_s(call),
        )
        return shutdown.may_complete(prospect, exit_s)

    def _stream_bound_s(self, call: messages.Call) -> float | None:
        """Returns an upper bound on a stream's duration; None if unknown."""
        generation = call.generation
        if generation is None:
            return None
        tokens = generation.output_tokens
        if tokens > 0 and call.last_event_id.isdecimal():
            # Each event that the caller has is one token or more.
            tokens = max(1, tokens - int(call.last_event_id))
        return self.stream_durations.bound_s(
            call.route.name, generation.model, tokens
        )

    def note_stream(self, progress: call_progress.Progress) -> None:
        """Records how long a stream took, if that depended on its engine."""
        call = progress.call
        began_at = progress.answer_began_at
        if (
            call.generation is None
            or not call.route.is_stream
            or began_at is None
            or progress.was_paused
            or len(progress.tried_upstreams) > 1
        ):
            return
        self.stream_durations.record(
            call.route.name,
            call.generation.model,
            began_at - call.received_at,
            progress.last_data_at - began_at,
            progress.events_received,
            self._now(),
        )

    def leaving_rejection(
        self, progress: call_progress.Progress, reason: str
    ) -> messages.Rejection:
        """Rejects a call of a router that is shutting down.

        If no other router serves, the caller may return once this one has been
        replaced.
        """
        exit_s = max(0.0, self._seconds_until_exit())
        call = progress.call
        limit_s = call.deadline - self._now()
        progress.last_error = f"limit {limit_s:.2f} s, exit in {exit_s:.2f} s"
        stream_s = self._stream_bound_s(call)
        if stream_s is not None:
            progress.last_error += f", stream of {stream_s:.2f} s at most"
        retry_after_s = LEAVING_RETRY_AFTER_S
        if not self._others_serve():
            retry_after_s = self.time_until_room_s(exit_s)
        return self.rejection_of(progress, reason, retry_after_s)

    def held_back_rejection(
        self,
        progress: call_progress.Progress,
        entry: prompt_quarantine.Entry,
        has_spare: bool,
    ) -> messages.Rejection:
        """Rejects a call that a quarantine entry holds back."""
        progress.last_error = f"quarantine {entry.key}"
        subject = "request" if entry.is_whole_request else "prompt"
        return self.rejection_of(
            progress,
            f"{subject}_quarantined",
            self._prompts.retry_after_s(entry, has_spare),
        )

    def has_spare(self, service: str) -> bool:
        """Whether a service keeps an upstream if a trial crashes one."""
        now = self._now()
        usable = (
            upstream.usable(now)
            for upstream in self._fleet.upstreams.ready(service)
        )
        return sum(usable) > 1

    def admission_verdict(
        self,
        progress: call_progress.Progress,
        placed: placement_client.Placed,
    ) -> waiting.Verdict:
        """Decides on a call with the chosen upstream."""
        if placed.verdict is not placement_messages.Verdict.UNKNOWN:
            return _OWNER_VERDICTS[placed.verdict]
        call = progress.call
        if call.generation is None or progress.attempts_sent:
            return waiting.Verdict.GO
        return waiting.admission_verdict(self.outlook(call, placed.choice))

    def outlook(
        self, call: messages.Call, choice: placement.Choice
    ) -> waiting.Outlook:
        """Returns the prediction for a call at the chosen upstream."""
        now = self._now()
        return waiting.Outlook(
            # Allowance is waited for where it is handed out.
            wait_s=choice.best.work_wait_s,
            prefill_s=choice.best.prefill_s,
            target_s=call.route.target_s - (now - call.received_at),
            time_left_s=call.first_byte_deadline - now,
            time_limit_s=call.first_byte_deadline - call.received_at,
        )

    def overload_rejection(
        self, progress: call_progress.Progress, choice: placement.Choice
    ) -> messages.Rejection:
        """Rejects a call that no upstream can serve in time."""
        return self.rejection_of(
            progress, "overloaded", self.time_until_room_s(choice.best.wait_s)
        )

    def pause_verdict(
        self, call: messages.Call, pause_s: float
    ) -> waiting.Verdict:
        """Decides on a call while all upstreams want nothing."""
        return waiting.pause_verdict(pause_s, self.hold_left_s(call))

    def hold_left_s(self, call: messages.Call) -> float:
        """Returns for how much longer a call may be held."""
        return waiting.hold_limit_s(
            call.first_byte_deadline - call.received_at,
            self._now() - call.received_at,
        )

    def pause_rejection(
        self, progress: call_progress.Progress, pause_s: float
    ) -> messages.Rejection:
        """Rejects a call while no upstream takes it."""
        return self.rejection_of(
            progress,
            "upstreams_paused" if pause_s else "no_upstream",
            pause_s + self.retry_after_s(),
        )

    def max_allowance_wait_s(
        self, call: messages.Call, choice: placement.Choice
    ) -> tuple[float, bool]:
        """Returns for how long a call waits for allowance.

        Returns:
            The time, and whether an upstream without a limit can serve the
            call.
        """
        outlook = self.outlook(call, choice)
        if self.has_unlimited_choice(choice, outlook):
            return const.SHORT_CLAIM_WAIT_S, True
        return waiting.allowance_wait_limit_s(outlook), False

    def has_unlimited_choice(
        self, choice: placement.Choice, outlook: waiting.Outlook
    ) -> bool:
        """Whether an upstream that names no limit can serve a call in time."""
        if choice.candidate_count > len(choice.ranked):
            # The placement owner knows more candidates.
            return True
        return any(
            self._allowances.is_unlimited(item.upstream)
            and waiting.is_on_time(item.first_byte_s, outlook.target_s)
            for item in choice.ranked
        )

    def exclude_late_upstreams(
        self,
        progress: call_progress.Progress,
        choice: placement.Choice,
        max_wait_s: float,
    ) -> bool:
        """Excludes upstreams whose limits are known to allow a call too late.

        Returns:
            Whether the chosen upstream is one of them.
        """
        now = self._now()
        priority = progress.call.priority
        for item in choice.ranked:
            upstream = item.upstream
            wait_s = upstream.allowance_wait_s(now)
            if wait_s > max_wait_s and upstream.allowance_priority <= priority:
                progress.limited_upstreams[upstream.entry.name] = now + wait_s
        name = choice.best.upstream.entry.name
        return name in progress.limited_upstreams

    def limit_rejection(
        self, progress: call_progress.Progress
    ) -> messages.Rejection:
        """Rejects a call that the limits of all upstreams allow too late."""
        return self.rejection_of(
            progress,
            "upstreams_limited",
            self.time_until_allowance_s(progress),
        )

    def time_until_allowance_s(self, progress: call_progress.Progress) -> float:
        """Returns when a limit allows a call that it refused."""
        wait_s = min(progress.limited_upstreams.values()) - self._now()
        return self.time_until_room_s(wait_s)

    def rejection_of(
        self,
        progress: call_progress.Progress,
        reason: str,
        retry_after_s: float = 0.0,
    ) -> messages.Rejection:
        """Returns the final response that the run state allows.

        A 503 promises that the request has not run, so a request that may
        have run gets 504 or 502 and no retry hint.
        """
        if not progress.may_have_run:
            return messages.Rejection(503, reason, False, retry_after_s)
        status = 504 if reason == "deadline" else 502
        return messages.Rejection(status, reason, True)

    def retry_after_s(self) -> float:
        """Returns a retry delay, jittered so that callers spread out."""
        jitter = self._rng.uniform(
            1.0 - const.RETRY_JITTER, 1.0 + const.RETRY_JITTER
        )
        return const.RETRY_AFTER_S * jitter

    def time_until_room_s(self, wait_s: float) -> float:
        """Returns when an engine will have room for a refused request.

        Callers refused at the same moment see the same wait, so the time is
        spread over half as much again.
        """
        return max(const.RETRY_AFTER_S, wait_s) * self._rng.uniform(
            1.0, 1.0 + const.RETRY_JITTER
        )
