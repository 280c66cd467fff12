"""Carries one call to an upstream and its answer back to the caller."""

import asyncio
from collections.abc import Callable
import random

from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import notices
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import records
from bergamotmill.dispatch import upstreams
from bergamotmill.dispatch import waiting
from bergamotmill.helpers import decisions
from bergamotmill.helpers import metrics as stats
from bergamotmill.routing import window_budget
from bergamotmill.streams import events as sse
from bergamotmill.upstream import errors
from bergamotmill.util import tasks as background

# A caller that is sent away by a leaving router may try another at once.
LEAVING_S = 0.02
MAX_BODY_BYTES = 16 * 1024 * 1024
_EVENT_ID = b"id:"
_EJECTING = (errors.Failure.CONNECT, errors.Failure.SILENT)


class Dispatcher:
    """Serves calls: chooses, sends, retries, relays and refuses."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        link: ports.UpstreamLink,
        choose: placement.Placement,
        budgets: Callable[[str], window_budget.WindowBudget],
        sent: notices.Notices,
        end_in: Callable[[], float],
        metrics: stats.Metrics,
        now: Callable[[], float],
        rng: random.Random,
    ):
        """Makes a dispatcher.

        Args:
            fleet: what calls are served by.
            link: sends attempts.
            choose: picks upstreams.
            budgets: gives the retry budget of a service.
            sent: tells peers of attempts.
            end_in: returns seconds until this process ends.
            metrics: counters and timings.
            now: the monotonic clock.
            rng: draws shares and pauses.
        """
        self._fleet = fleet
        self._link = link
        self._placement = choose
        self._budgets = budgets
        self._notices = sent
        self._end_in = end_in
        self._metrics = metrics
        self._now = now
        self._rng = rng
        self._tasks = background.Tasks()
        self._room = waiting.WaitingRoom(rng)

    @property
    def held(self) -> int:
        """How many requests wait here for an engine."""
        return len(self._room)

    async def close(self) -> None:
        """Cuts what is under way."""
        self._room.close()
        await self._tasks.close()

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
        needed = const.LEAVING_PLAIN_S
        if call.route.streams:
            needed = const.LEAVING_STREAM_S
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
        if not progress.ran:
            return messages.Rejection(503, reason, False, retry_after_s)
        status = 504 if reason == "deadline" else 502
        return messages.Rejection(status, reason, True)

    def _pause(self) -> float:
        """Returns a retry hint that spreads callers in time."""
        spread = self._rng.uniform(
            1.0 - const.RETRY_JITTER, 1.0 + const.RETRY_JITTER
        )
        return const.RETRY_PAUSE_S * spread

    def _overload_pause(self, call: messages.Call) -> float:
        """Returns a hint to come back while there is time to be served."""
        left = call.deadline - self._now()
        return left * self._rng.uniform(*const.OVERLOAD_PAUSE_PARTS)

    async def _attempts(
        self, progress: call_progress.Progress, sink: ports.Sink
    ) -> messages.Rejection | None:
        call = progress.call
        service = self._service_of(call.route)
        budget = self._budgets(service)
        budget.requested(self._now())
        while True:
            if call.deadline - self._now() < const.LEAST_ATTEMPT_S:
                return self._give_up(progress, "no_time")
            choice = self._choose(progress, service)
            if choice is None:
                return self._give_up(progress, "no_upstream", self._pause())
            verdict = await self._admit(progress, choice)
            if verdict is waiting.Verdict.REFUSE:
                return self._give_up(
                    progress, "overloaded", self._overload_pause(call)
                )
            if verdict is waiting.Verdict.HOLD:
                continue
            if progress.arrivals and not budget.try_take(self._now()):
                return self._give_up(progress, "retry_budget", self._pause())
            try:
                return await self._attempt(progress, sink, choice)
            except errors.UpstreamError as err:
                if not self._may_retry(progress, choice, err):
                    return self._give_up(
                        progress, err.failure.value, self._pause()
                    )

    def _service_of(self, route: config.Route) -> str:
        weights = [share.weight for share in route.shares]
        picked = self._rng.choices(route.shares, weights)[0]
        return picked.service

    def _scope(self, call: messages.Call, weights: int) -> str:
        """Returns the text within which cached parts are shared."""
        scope = f"w{weights}"
        if call.customer is not None and call.customer.isolated:
            scope += f".{call.customer.name}"
        return scope

    def _choose(
        self, progress: call_progress.Progress, service: str
    ) -> placement.Choice | None:
        call = progress.call
        known = self._fleet.upstreams
        now = self._now()
        ready = known.ready(service)
        # When all are ejected, any is better than none.
        ready = [item for item in ready if item.usable(now)] or ready
        if call.generation is None:
            return self._placement.plain(ready, progress.tried, now)
        model = call.generation.model
        demand = self._demand_of(
            progress, {u.weights.get(model, 0) for u in ready}
        )
        return self._placement.engine(
            demand, ready, model, known, progress.tried, now
        )

    def _demand_of(
        self, progress: call_progress.Progress, versions: set[int]
    ) -> placement.Demand:
        call = progress.call
        generation = call.generation
        model = generation.model
        superseded_s = {
            version: self._fleet.superseded_s(model, version)
            for version in versions
        }
        size = len(call.body) + const.EVENT_BYTES * generation.output_tokens
        return placement.Demand(
            prefixes={
                version: placement.prefix_of(
                    generation, self._scope(call, version)
                )
                for version in versions
                if superseded_s[version] < const.OLD_WEIGHTS_LAST_S
            },
            worth=placement.worth_of(generation),
            target_s=call.route.target_s - (self._now() - call.received_at),
            far_bytes=size,
            stale=frozenset(
                version
                for version in versions
                if superseded_s[version] > const.OLD_WEIGHTS_FREE_S
            ),
        )

    def _urgency_of(self, progress: call_progress.Progress) -> int:
        if progress.arrivals:
            return const.URGENCY_RETRY
        wanted = const.URGENCY_FIRST + max(0, progress.call.priority)
        return min(const.URGENCY_LAST, wanted)

    def _outlook(
        self, call: messages.Call, choice: placement.Choice
    ) -> waiting.Outlook:
        now = self._now()
        return waiting.Outlook(
            wait_s=choice.best.wait_s,
            read_s=choice.best.read_s,
            target_s=call.route.target_s - (now - call.received_at),
            left_s=self._first_byte_by(call) - now,
            allowed_s=self._first_byte_by(call) - call.received_at,
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
        if call.generation is None or progress.arrivals:
            return waiting.Verdict.GO
        outlook = self._outlook(call, choice)
        verdict = waiting.judge(outlook)
        if verdict is waiting.Verdict.HOLD:
            if not progress.held:
                progress.held = True
                self._metrics.count("requests.held")
                records.held(progress, choice, outlook, len(self._room))
            await self._room.wait(
                call.priority, call.received_at, waiting.hold_left_s(outlook)
            )
        return verdict

    async def _attempt(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        choice: placement.Choice,
    ) -> messages.Rejection | None:
        call = progress.call
        item = choice.best.upstream
        attempt = self._plan(progress, choice)
        records.choice(progress, choice, attempt, self._now())
        progress.tried.add(item.entry.name)
        progress.tracker.sending()
        item.started(
            call.request_id,
            choice.best.work_s,
            self._now(),
        )
        reply = None
        try:
            reply = await self._send(progress, attempt, item)
            item.answering(call.request_id, self._now())
            if call.generation is not None and reply.head.weights:
                item.holds(call.generation.model, reply.head.weights)
            await self._pass_on(progress, sink, reply, item)
            item.succeeded(self._now())
            reply.release()
            reply = None
            return None
        except errors.UpstreamError as err:
            if err.ran:
                progress.runs += 1
            else:
                progress.tracker.refused_unrun()
            if err.sent:
                progress.arrivals += 1
            raise
        finally:
            item.ended(call.request_id)
            if reply is not None:
                reply.close()

    def _plan(
        self, progress: call_progress.Progress, choice: placement.Choice
    ) -> messages.Attempt:
        call = progress.call
        entry = choice.best.upstream.entry
        left = call.deadline - self._now() - const.RETURN_MARGIN_S
        weights = 0
        scope = ""
        urgency = -1
        if call.generation is not None:
            model = call.generation.model
            weights = choice.best.upstream.weights.get(model, 0)
            scope = self._scope(call, weights)
            urgency = self._urgency_of(progress)
            self._learn(call, scope, choice)
        return messages.Attempt(
            address=entry.address,
            upstream=entry.name,
            time_left_s=left,
            weights=weights,
            cache_scope=scope,
            urgency=urgency,
            copy_from=choice.best.source,
            resume_after=progress.last_event_id,
            fresh=not call.route.repeatable,
        )

    def _learn(
        self, call: messages.Call, scope: str, choice: placement.Choice
    ) -> None:
        """Presumes that the engine will hold the prompt, and tells peers."""
        prefix = placement.prefix_of(call.generation, scope)
        best = choice.best
        entry = best.upstream.entry
        for digest in prefix.digests:
            self._fleet.upstreams.learn(digest, entry.name, best.first_byte_s)
        self._notices.sent(entry, prefix.digests, best.work_s)

    async def _send(
        self,
        progress: call_progress.Progress,
        attempt: messages.Attempt,
        item: upstreams.Upstream,
    ) -> ports.Reply:
        """Sends; a repeatable call leaves an upstream that went silent."""
        call = progress.call
        sending = self._tasks.spawn(self._link.send(call, attempt))
        try:
            while True:
                done, _ = await asyncio.wait(
                    {sending}, timeout=const.SILENT_CHECK_S
                )
                if done:
                    return sending.result()
                silent = item.silent_s(call.request_id, self._now())
                if silent > const.SILENT_S and (
                    self._tries_again(progress)
                    or await self._is_dead(item, attempt)
                ):
                    raise errors.UpstreamError(
                        errors.Failure.SILENT, f"{silent:.2f} s", True
                    )
        finally:
            if not sending.done():
                sending.cancel()

    async def _is_dead(
        self, item: upstreams.Upstream, attempt: messages.Attempt
    ) -> bool:
        """Whether a silent upstream takes no connection either."""
        if not item.may_test(self._now()):
            return False
        return not await self._link.answers(attempt.address)

    async def _pass_on(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        reply: ports.Reply,
        item: upstreams.Upstream,
    ) -> None:
        head = reply.head
        if head.not_run is not None:
            item.refused(self._now())
            raise errors.UpstreamError(
                errors.Failure.REFUSED,
                head.not_run.value,
                sent=True,
                ran=False,
                status=head.status,
            )
        if not head.whole:
            raise errors.UpstreamError(
                errors.Failure.BROKEN, "not an answer", True
            )
        route = progress.call.route
        if route.streams and head.ok:
            await self._relay(progress, sink, reply, item)
        else:
            body = await self._whole(reply)
            if head.status >= 500 and self._tries_again(progress):
                raise errors.UpstreamError(
                    errors.Failure.FAILED, str(head.status), True
                )
            sink.answer(head, body)
        progress.tracker.answered()
        self._note(progress, "answered", head.status, item.entry.name)

    def _tries_again(self, progress: call_progress.Progress) -> bool:
        route = progress.call.route
        return route.repeatable and progress.runs + 1 < route.max_attempts

    async def _whole(self, reply: ports.Reply) -> bytes:
        parts = []
        size = 0
        while data := await reply.read():
            size += len(data)
            if size > MAX_BODY_BYTES:
                raise errors.UpstreamError(
                    errors.Failure.BROKEN, "the answer is too large", True
                )
            parts.append(data)
        return b"".join(parts)

    async def _relay(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        reply: ports.Reply,
        item: upstreams.Upstream,
    ) -> None:
        """Passes a stream on; a resumable one in whole events only."""
        resumable = progress.call.route.resumable
        splitter = sse.EventSplitter()
        while data := await reply.read():
            if not sink.started:
                sink.start(reply.head)
                self._note_first_byte(progress)
            item.heard(self._now())
            if resumable:
                found = splitter.feed(data)
                data = b"".join(found)
                self._note_events(progress, found)
            if data:
                sink.write(data)
            if sink.write_paused:
                await sink.drain()
        if resumable and splitter.partial:
            raise errors.UpstreamError(
                errors.Failure.LOST, "ended within an event", True
            )
        if not sink.started:
            sink.start(reply.head)
        sink.finish()

    def _note_events(
        self, progress: call_progress.Progress, found: list[bytes]
    ) -> None:
        if not found:
            return
        for line in found[-1].split(b"\n"):
            if line.startswith(_EVENT_ID):
                text = line[len(_EVENT_ID) :].strip()
                progress.last_event_id = text.decode("latin-1")

    def _note_first_byte(self, progress: call_progress.Progress) -> None:
        call = progress.call
        waited = self._now() - call.received_at
        progress.first_byte_s = waited
        self._metrics.timing(f"first_byte.{call.route.name}", waited)

    def _may_retry(
        self,
        progress: call_progress.Progress,
        choice: placement.Choice,
        err: errors.UpstreamError,
    ) -> bool:
        item = choice.best.upstream
        progress.last_reason = str(err)
        if err.failure is not errors.Failure.REFUSED:
            at_once = err.failure in _EJECTING
            if item.failed(self._now(), at_once):
                decisions.record(
                    "upstream_ejected",
                    upstream=item.entry.name,
                    failure=err.failure.value,
                )
            self._link.forget(item.entry.address)
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
        return route.repeatable and progress.runs < route.max_attempts

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
        records.outcome(
            progress,
            outcome,
            status,
            upstream,
            self._fleet.catalog.version,
            seconds,
            **more,
        )
