"""Sends one attempt to an upstream and forwards the response."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import relay
from bergamotmill.dispatch import upstreams
from bergamotmill.upstream import errors
from bergamotmill.util import tasks as background


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """The work of an attempt before its first byte.

    Attributes:
        work_s: work to add to the upstream's backlog, in seconds.
        expected_s: predicted time to the first byte, in seconds; None for the
            upstream's present wait and the work.
    """

    work_s: float
    expected_s: float | None = None


class ResponseObserver(Protocol):
    """Observes when a response begins."""

    def on_overdue(self, late_s: float) -> None:
        """Called repeatedly while the response is overdue."""

    def on_first_byte(self, first_byte_s: float) -> None:
        """Called with the time from the attempt to a successful response."""


# Called with the upstream, what it says, and when the request was sent on the
# clock that also runs during suspensions.
ApplySignals = Callable[
    [upstreams.Upstream, messages.UpstreamSignals, float], None
]


class AttemptRunner:
    """Runs attempts and detects upstreams that have gone silent."""

    def __init__(
        self,
        link: ports.UpstreamLink,
        response_relay: relay.ResponseRelay,
        apply_signals: ApplySignals,
        now: Callable[[], float],
        boottime: Callable[[], float],
    ):
        """Makes a runner.

        Args:
            link: sends attempts.
            response_relay: forwards responses to callers.
            apply_signals: applies what an upstream says of itself.
            now: the monotonic clock.
            boottime: the clock that also runs during suspensions.
        """
        self._link = link
        self._relay = response_relay
        self._apply_signals = apply_signals
        self._now = now
        self._boottime = boottime
        self._tasks = background.Tasks()

    async def close(self) -> None:
        """Cancels the attempts in progress."""
        await self._tasks.close()

    async def refuses_connections(self, upstream: upstreams.Upstream) -> bool:
        """Whether an upstream currently refuses new connections."""
        return not await self._link.is_reachable(upstream.entry.address)

    async def has_ended(self, upstream: upstreams.Upstream) -> bool:
        """Whether an upstream has ended, as far as can be seen from here."""
        return await self._link.has_ended(upstream.entry.address)

    async def run(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        upstream: upstreams.Upstream,
        attempt: messages.Attempt,
        workload: Workload,
        observer: ResponseObserver | None = None,
    ) -> int:
        """Sends an attempt and forwards the response until it is complete.

        Args:
            progress: state of the call.
            sink: writes to the caller.
            upstream: where the attempt is sent.
            attempt: what is sent.
            workload: the work that it brings.
            observer: observes when the response begins.

        Returns:
            The status of the response.

        Raises:
            errors.UpstreamError: no complete response arrived; `progress`
                tells whether an upstream may have run the request.
        """
        call = progress.call
        progress.tried_upstreams.add(upstream.entry.name)
        progress.answer_began_at = None
        progress.events_received = 0
        progress.run_tracker.mark_sending()
        upstream.note_started(
            call.request_id, workload.work_s, self._now(), workload.expected_s
        )
        response = watchdog = None
        try:
            started_at = self._now()
            sent_at = self._boottime()
            response = await self._send(progress, attempt, upstream, observer)
            upstream.note_first_byte(call.request_id, self._now())
            if observer is not None and response.head.ok:
                observer.on_first_byte(self._now() - started_at)
            self._apply_signals(upstream, response.head.signals, sent_at)
            if call.generation is not None and response.head.weights_version:
                upstream.note_weights(
                    call.generation.model, response.head.weights_version
                )
            if progress.standby is not None:
                watchdog = self._tasks.spawn(
                    self._close_if_dead(progress, response, upstream)
                )
            await self._relay.forward(
                progress, sink, response, upstream, progress.may_retry
            )
            progress.run_tracker.mark_answered()
            upstream.note_success(self._now())
            status = response.head.status
            response.release()
            response = None
            return status
        except errors.UpstreamError as err:
            if err.ran:
                progress.possible_runs += 1
            else:
                progress.run_tracker.mark_not_run()
            if err.sent:
                progress.attempts_sent += 1
            raise
        finally:
            upstream.note_ended(call.request_id)
            if watchdog is not None:
                watchdog.cancel()
            if response is not None:
                response.close()

    async def _send(
        self,
        progress: call_progress.Progress,
        attempt: messages.Attempt,
        upstream: upstreams.Upstream,
        observer: ResponseObserver | None,
    ) -> ports.UpstreamResponse:
        """Sends an attempt and waits for the response head.

        Abandons an upstream that has been silent for `SILENCE_TIMEOUT_S`
        if the call may be retried, or if it refuses new connections as well.
        """
        call = progress.call
        send_task = self._tasks.spawn(self._link.send(call, attempt))
        awaited = {send_task}
        done: set[asyncio.Future[ports.UpstreamResponse]] | None = None
        if progress.withdrawn is not None:
            awaited.add(progress.withdrawn)
        try:
            while True:
                done, _ = await asyncio.wait(
                    awaited,
                    timeout=const.SILENCE_CHECK_PERIOD_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if send_task in done:
                    return send_task.result()
                if done:
                    raise errors.UpstreamError(
                        errors.Failure.WITHDRAWN, "part quarantined", True
                    )
                silent_s = upstream.overdue_s(call.request_id, self._now())
                if silent_s > 0 and observer is not None:
                    observer.on_overdue(silent_s)
                if silent_s > const.SILENCE_TIMEOUT_S and (
                    progress.may_retry or await self._is_dead(upstream)
                ):
                    raise errors.UpstreamError(
                        errors.Failure.SILENT, f"{silent_s:.2f} s", True
                    )
        finally:
            if not send_task.done():
                send_task.cancel()
            elif not send_task.cancelled():
                # Marks a failure as seen that ended together with the wait.
                send_task.exception()
            # Else this frame and the failure refer to each other, and the
            # request's body stays until the garbage collector runs.
            del send_task, awaited
            done = None

    async def _is_dead(self, upstream: upstreams.Upstream) -> bool:
        """Whether a silent upstream refuses new connections as well."""
        now = self._now()
        if upstream.may_probe(now):
            is_reachable = await self._link.is_reachable(upstream.entry.address)
            upstream.note_probe(not is_reachable, self._now())
        return upstream.probed_dead(now)

    async def _close_if_dead(
        self,
        progress: call_progress.Progress,
        response: ports.UpstreamResponse,
        upstream: upstreams.Upstream,
    ) -> None:
        """Closes the response when the engine of a stream is dead.

        Used only for streams that can continue at a standby engine.
        """
        limit_s = max(
            const.SILENCE_TIMEOUT_S, progress.call.route.max_event_gap_s
        )
        progress.last_data_at = self._now()
        while True:
            await asyncio.sleep(const.SILENCE_CHECK_PERIOD_S)
            silent_s = self._now() - progress.last_data_at
            if silent_s > limit_s and await self._is_dead(upstream):
                response.close()
                return
