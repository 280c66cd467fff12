"""Carries one attempt to an upstream, and its answer to the caller."""

import asyncio
from collections.abc import Callable

from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import relay
from bergamotmill.dispatch import upstreams
from bergamotmill.upstream import errors
from bergamotmill.util import tasks as background


class AttemptRunner:
    """Sends attempts and notices upstreams that went silent."""

    def __init__(
        self,
        link: ports.UpstreamLink,
        response_relay: relay.ResponseRelay,
        now: Callable[[], float],
    ):
        """Makes a runner.

        Args:
            link: sends attempts.
            response_relay: forwards answers to callers.
            now: the monotonic clock.
        """
        self._link = link
        self._relay = response_relay
        self._now = now
        self._tasks = background.Tasks()

    async def close(self) -> None:
        """Cuts what is under way."""
        await self._tasks.close()

    async def refuses_connections(self, item: upstreams.Upstream) -> bool:
        """Whether an upstream takes no connection at this moment."""
        return not await self._link.is_reachable(item.entry.address)

    async def run(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        item: upstreams.Upstream,
        attempt: messages.Attempt,
        work_s: float,
    ) -> int:
        """Sends an attempt and passes its answer on to the end.

        Returns:
            The status of the answer.

        Raises:
            errors.UpstreamError: there was no whole answer; the call's
                progress tells what may have run.
        """
        call = progress.call
        progress.tried_upstreams.add(item.entry.name)
        progress.run_tracker.sending()
        item.note_started(call.request_id, work_s, self._now())
        reply = watch = None
        try:
            reply = await self._send(progress, attempt, item)
            item.note_first_byte(call.request_id, self._now())
            if call.generation is not None and reply.head.weights_version:
                item.note_weights(
                    call.generation.model, reply.head.weights_version
                )
            if progress.standby is not None:
                watch = self._tasks.spawn(self._watch(progress, reply, item))
            await self._relay.forward(
                progress, sink, reply, item, progress.may_retry
            )
            progress.run_tracker.answered()
            item.note_success(self._now())
            status = reply.head.status
            reply.release()
            reply = None
            return status
        except errors.UpstreamError as err:
            if err.ran:
                progress.possible_runs += 1
            else:
                progress.run_tracker.refused_unrun()
            if err.sent:
                progress.attempts_sent += 1
            raise
        finally:
            item.note_ended(call.request_id)
            if watch is not None:
                watch.cancel()
            if reply is not None:
                reply.close()

    async def _send(
        self,
        progress: call_progress.Progress,
        attempt: messages.Attempt,
        item: upstreams.Upstream,
    ) -> ports.UpstreamResponse:
        """Sends; a repeatable call leaves an upstream that went silent."""
        call = progress.call
        sending = self._tasks.spawn(self._link.send(call, attempt))
        try:
            while True:
                done, _ = await asyncio.wait(
                    {sending}, timeout=const.SILENCE_CHECK_PERIOD_S
                )
                if done:
                    return sending.result()
                silent = item.overdue_s(call.request_id, self._now())
                if silent > const.SILENCE_TIMEOUT_S and (
                    progress.may_retry or await self._is_dead(item)
                ):
                    raise errors.UpstreamError(
                        errors.Failure.SILENT, f"{silent:.2f} s", True
                    )
        finally:
            if not sending.done():
                sending.cancel()

    async def _is_dead(self, item: upstreams.Upstream) -> bool:
        """Whether a silent upstream takes no connection either."""
        now = self._now()
        if item.may_probe(now):
            is_reachable = await self._link.is_reachable(item.entry.address)
            item.note_probe(not is_reachable, self._now())
        return item.probed_dead(now)

    async def _watch(
        self,
        progress: call_progress.Progress,
        reply: ports.UpstreamResponse,
        item: upstreams.Upstream,
    ) -> None:
        """Ends a stream that can go on elsewhere when its engine is dead."""
        limit_s = max(
            const.SILENCE_TIMEOUT_S, progress.call.route.max_event_gap_s
        )
        progress.last_data_at = self._now()
        while True:
            await asyncio.sleep(const.SILENCE_CHECK_PERIOD_S)
            silent_s = self._now() - progress.last_data_at
            if silent_s > limit_s and await self._is_dead(item):
                reply.close()
                return
