"""Relays the response to one model request from the engines to its caller.

The relay writes the stream's replay buffer. A caller may disconnect and
reconnect while the relay runs. If the connection to the engine breaks, the
relay resumes the stream there, or continues the response on another replica
after the last token received.
"""

import asyncio
import dataclasses
import json

import loguru
import result

from bergamotmill.control import quarantine
from bergamotmill.helpers import json_text
from bergamotmill.helpers import refusal
from bergamotmill.helpers import run_state
from bergamotmill.routing import const as routing_const
from bergamotmill.routing import messages as routing_messages
from bergamotmill.routing import prompt_quarantine
from bergamotmill.streams import assemble
from bergamotmill.streams import body as engine_body
from bergamotmill.streams import caller_output
from bergamotmill.streams import const
from bergamotmill.streams import context as stream_context
from bergamotmill.streams import events as sse
from bergamotmill.streams import messages
from bergamotmill.streams import numbering
from bergamotmill.streams import replay_buffer
from bergamotmill.streams import stream_id
from bergamotmill.upstream import errors
from bergamotmill.upstream.engine import config
from bergamotmill.upstream.engine import const as engine_const

_USAGE_KEY = b'"usage"'


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResult:
    """Result of a relay.

    Attributes:
        refusal: error for the caller; None after a complete response.
    """

    refusal: refusal.Refusal | None


class StreamRelay:
    """Relays one request, across reconnects and retries on other engines."""

    def __init__(
        self,
        context: stream_context.StreamContext,
        request: messages.ModelRequest,
        buffer: replay_buffer.ReplayBuffer,
    ):
        self._context = context
        self._request = request
        self._buffer = buffer
        self._tracker = run_state.RunTracker()
        self._task: asyncio.Task[RelayResult] | None = None
        self._engine_stream = None
        self._replica = ""
        # Number of events in the stream before the current engine's first.
        self._events_before_engine = 0
        self._numbering = numbering.EventNumbering(request.show_usage)
        self._output = caller_output.CallerOutput(
            buffer, self._numbering, self._cancel
        )
        self._request_id_bytes = request.request_id.encode()
        self._excluded: set[str] = set()
        self._decision: routing_messages.Decision | None = None
        self._first_token_at = 0.0
        # When the present engine sent its first event; None before.
        self._answer_began_at: float | None = None
        self._prompt = context.prompt_of(request)
        self._trial_of = ""
        self._withdrawn = False
        self._started_at = context.now()

    @property
    def tracker(self) -> run_state.RunTracker:
        """Tracks whether an engine may have run the request."""
        return self._tracker

    @property
    def buffer(self) -> replay_buffer.ReplayBuffer:
        """The stream's replay buffer."""
        return self._buffer

    @property
    def request(self) -> messages.ModelRequest:
        """The request being served."""
        return self._request

    @property
    def decision(self) -> routing_messages.Decision | None:
        """The latest routing decision; None before the first."""
        return self._decision

    def start(
        self,
        engine_stream: object | None = None,
        location: stream_id.StreamId | None = None,
    ) -> None:
        """Starts the relay.

        Args:
            engine_stream: open engine stream to continue with, if any.
            location: where the stream ran before this router took it over;
                None for a new request.
        """
        self._engine_stream = engine_stream
        if location is not None:
            self._tracker.mark_sending()
            self._replica = location.replica
            self._events_before_engine = location.base
            self._update_event_id_token(location.replica_incarnation)
        self._task = asyncio.create_task(self._run())

    def withdraw(self, entry: prompt_quarantine.Entry) -> None:
        """Gives up an attempt without an event on a quarantined prompt."""
        if (
            self._engine_stream is not None
            and self._answer_began_at is None
            and entry.blocks(self._prompt)
            and entry.key != self._trial_of
        ):
            self._withdrawn = True
            self._engine_stream.close()

    async def stop(self) -> None:
        """Stops the relay; its replay buffer is retained for some time."""
        self._output.disconnect()
        self._task.cancel()
        await asyncio.wait({self._task})

    def _cancel(self) -> None:
        self._task.cancel()

    async def serve(self, sink: messages.Sink, seen: int) -> RelayResult | None:
        """Sends the events after the first `seen` to a sink until the end.

        Returns:
            The relay's result; None if the sink was lost or replaced, or the
            relay was cancelled.
        """
        detached = self._output.attach(sink, seen)
        await asyncio.wait(
            {self._task, detached}, return_when=asyncio.FIRST_COMPLETED
        )
        if detached.done():
            return None
        if self._task.cancelled():
            sink.abort()
            return None
        return self._task.result()

    def on_caller_lost(self, sink: messages.Sink) -> None:
        """Detaches a sink whose caller disconnected.

        The engine keeps generating for `RECONNECT_GRACE_S`, during which the
        caller may resume the stream here or at another router.
        """
        self._output.on_sink_lost(sink)

    async def _run(self) -> RelayResult:
        try:
            remaining_s = self._request.deadline - self._context.now()
            async with asyncio.timeout(max(0.0, remaining_s)):
                refused = await self._run_attempts()
        except TimeoutError:
            await self._cancel_upstream()
            refused = self._refuse(
                504,
                refusal.CODE_DEADLINE,
                "the deadline passed before the response was complete",
            )
        except asyncio.CancelledError:
            await self._cancel_upstream()
            self._context.metrics.count("streams.abandoned")
            raise
        finally:
            self._output.cancel_grace_timer()
            self._context.remove_relay(self)
        return RelayResult(refused)

    async def _run_attempts(self) -> refusal.Refusal | None:
        failures = 0
        if self._buffer.complete:
            return None
        while True:
            try:
                if self._engine_stream is None:
                    if assemble.has_finish_reason(self._buffer.events):
                        await self._close_finished()
                        return None
                    if self._buffer.base:
                        return self._refuse_lost()
                    opened = await self._open_upstream()
                    if opened.is_err():
                        return opened.err()
                await self._relay_events()
                return None
            except errors.UpstreamError as err:
                self._handle_failure(err)
                await self._note_loss(err)
                failures += 1
                refused = await self._recover(err, failures)
                if refused is not None:
                    return refused

    def _refuse_lost(self) -> refusal.Refusal:
        return self._refuse(
            410,
            refusal.CODE_STREAM_LOST,
            "the first events of the stream are no longer available",
        )

    async def _close_finished(self) -> None:
        """Appends the `[DONE]` of a stream that broke after its last token."""
        self._buffer.append(const.DONE)
        self._buffer.complete = True
        number = self._buffer.count
        if number > self._output.seen:
            self._output.write([self._numbering.with_id(number, const.DONE)])

    async def _open_upstream(self) -> result.Result[None, refusal.Refusal]:
        refused = await self._refuse_if_quarantined()
        if refused is not None:
            return result.Err(refused)
        decided = await self._context.decide(
            self._request, self._priority(), frozenset(self._excluded)
        )
        if decided.is_err():
            no_replica = decided.err()
            return result.Err(
                self._refuse(
                    503,
                    refusal.CODE_NO_REPLICA,
                    no_replica.reason,
                    no_replica.retry_after_s,
                )
            )
        decision = decided.ok()
        refused = self._refuse_if_late(decision)
        if refused is not None:
            return result.Err(refused)
        self._decision = decision
        self._replica = decision.choice.replica
        client = self._context.engine_clients.get(self._replica)
        if client is None:
            raise errors.UpstreamError(
                errors.Failure.CONNECT,
                "the replica is no longer configured",
                sent=False,
            )
        call = self._build_call(decision)
        self._answer_began_at = None
        self._tracker.mark_sending()
        self._context.record_dispatch(decision)
        try:
            self._engine_stream = await client.open_stream(call)
        except errors.UpstreamError as err:
            if not err.ran:
                self._tracker.mark_not_run()
            raise
        self._events_before_engine = self._buffer.count
        self._check_response_head(decision, self._engine_stream.head)
        self._update_event_id_token(self._engine_stream.head.incarnation)
        return result.Ok(None)

    async def _refuse_if_quarantined(self) -> refusal.Refusal | None:
        """Refuses a request whose prompt crashes engines, unless a trial."""
        may_be_trial = self._tracker.state is run_state.RunState.NOT_SENT
        admission = await self._context.prompts.admit(
            self._prompt, may_be_trial, self._trial_of
        )
        self._trial_of = admission.trial_of
        if admission.held_by is None:
            return None
        return self._refuse_held(admission.held_by)

    def _refuse_held(self, entry: prompt_quarantine.Entry) -> refusal.Refusal:
        self._context.metrics.count("streams.quarantined")
        status = 502
        if self._tracker.state is run_state.RunState.NOT_SENT:
            status = 503
        code = refusal.CODE_PROMPT_QUARANTINED
        reason = "engines ended under requests with this prompt"
        if entry.is_whole_request:
            code = refusal.CODE_REQUEST_QUARANTINED
            reason = "engines ended under this request"
        return self._refuse(
            status,
            code,
            f"{reason} ({entry.key})",
            self._context.prompts.retry_after_s(entry),
        )

    async def _note_loss(self, err: errors.UpstreamError) -> None:
        """Records what a lost connection says of the prompt."""
        if err.ran:
            self._trial_of = ""
        decision = self._decision
        client = self._context.engine_clients.get(self._replica)
        if (
            err.failure is not errors.Failure.LOST
            or self._withdrawn
            or decision is None
            or client is None
        ):
            return
        answered_s = None
        if self._answer_began_at is not None:
            answered_s = self._context.now() - self._answer_began_at
        ended = await self._context.prompts.note_loss(
            self._prompt,
            quarantine.LostAttempt(
                prompt_quarantine.Crash(
                    self._replica, decision.choice.incarnation
                ),
                answered_s,
                client.has_ended,
            ),
        )
        if ended:
            self._context.metrics.count("upstream.ended")

    def _refuse_if_late(
        self, decision: routing_messages.Decision
    ) -> refusal.Refusal | None:
        """Refuses a request whose predicted wait exceeds its deadline."""
        remaining_s = self._request.deadline - self._context.now()
        wait_s = decision.choice.wait_s
        if wait_s <= remaining_s:
            return None
        return self._refuse(
            503,
            refusal.CODE_OVERLOADED,
            f"the predicted wait of {wait_s:.1f} s exceeds the deadline",
            wait_s - remaining_s,
        )

    def _build_call(
        self, decision: routing_messages.Decision
    ) -> config.GenerateCall:
        request = self._request
        body = engine_body.build_first_body(request)
        if self._buffer.events:
            text, tokens = assemble.concatenate_text(self._buffer.events)
            body = engine_body.build_continuation_body(
                request.path, body, text, tokens
            )
        choice = decision.choice
        return config.GenerateCall(
            request_id=request.request_id,
            path=request.path,
            body=json.dumps(body).encode(),
            priority=self._priority(),
            incarnation=choice.incarnation,
            version=request.model.served_version,
            chain=decision.request.chain.digests,
            import_store_address=self._context.import_store_for(decision),
        )

    def _priority(self) -> int:
        """Returns the priority; retries go before others of their class."""
        priority = self._request.request_class.priority
        if self._excluded:
            priority += routing_const.RETRY_PRIORITY_BOOST
        return priority

    def _check_response_head(self, decision, head: config.StreamHead) -> None:
        """Checks that the response comes from the requested weights.

        Raises:
            errors.UpstreamError: the engine serves another version.
        """
        if head.version != self._request.model.served_version:
            raise errors.UpstreamError(
                errors.Failure.WRONG_TARGET,
                f"the response is from weights version {head.version!r}",
                sent=True,
            )
        self._context.on_response_head(self._replica, head)

    def _update_event_id_token(self, replica_incarnation: int) -> None:
        token = stream_id.StreamId(
            self._request.request_id,
            self._context.router,
            self._context.incarnation,
            self._replica,
            replica_incarnation,
            self._request.model.served_version,
            self._events_before_engine,
        ).token(self._context.fleet_key, self._request.customer.name)
        self._numbering.set_token(token)

    async def _relay_events(self) -> None:
        """Forwards events to the caller until the stream is complete."""
        stream = self._engine_stream
        splitter = sse.EventSplitter()
        while not self._buffer.complete:
            data = await stream.read()
            if not data:
                raise errors.UpstreamError(
                    errors.Failure.LOST,
                    "the stream ended before [DONE]",
                    sent=True,
                )
            out: list[bytes] = []
            try:
                self._process_bytes(splitter, data, out)
            finally:
                # Events already in the replay buffer must reach the caller
                # even if a later event of the same read is rejected.
                if out and self._output.write(out):
                    await self._output.drain()
        stream.finish()
        self._engine_stream = None
        self._context.prompts.note_answer(self._prompt)

    def _process_bytes(
        self, splitter: sse.EventSplitter, data: bytes, out: list[bytes]
    ) -> None:
        """Checks and buffers the complete events in `data`.

        Appends those that the caller has not seen to `out`. This is a hot
        path, run up to once per token.

        Raises:
            errors.UpstreamError: an event is too large or belongs to another
                request, or another router has resumed the stream.
        """
        buffer = self._buffer
        seen = self._output.seen
        for event in splitter.feed(data):
            if event.startswith(b":"):
                self._handle_comment(event)
                continue
            if self._request_id_bytes in event:
                buffer.append(event)
                if self._answer_began_at is None:
                    self._answer_began_at = self._context.now()
                if not self._first_token_at:
                    self._record_first_token()
                if _USAGE_KEY in event and not self._process_usage(event):
                    continue
            elif sse.is_done(event):
                buffer.append(event)
                buffer.complete = True
            else:
                raise errors.UpstreamError(
                    errors.Failure.CROSSED,
                    "received an event of another request",
                    sent=True,
                )
            number = buffer.count
            if number > seen:
                out.append(self._numbering.with_id(number, event))

    def _record_first_token(self) -> None:
        self._first_token_at = self._context.now()
        self._context.record_first_token(
            self._request, self._first_token_at - self._started_at
        )

    def _handle_comment(self, event: bytes) -> None:
        if event.startswith(engine_const.MOVED_COMMENT):
            raise errors.UpstreamError(
                errors.Failure.MOVED,
                "another router resumed the stream",
                sent=True,
            )
        self._output.write_keep_alive()

    def _process_usage(self, event: bytes) -> bool:
        """Records an event's usage; returns whether the caller gets it."""
        if not numbering.has_usage(event):
            return True
        try:
            usage = sse.parse_data(event).get("usage") or {}
        except ValueError:
            return True
        details = usage.get("prompt_tokens_details") or {}
        cached = details.get("cached_tokens")
        if cached is not None and self._decision is not None:
            self._context.record_completion(
                self._decision,
                int(cached),
                self._first_token_at - self._started_at,
                self._context.now() - self._started_at,
            )
        return self._numbering.is_visible(event)

    def _handle_failure(self, err: errors.UpstreamError) -> None:
        loguru.logger.info(
            "streams: request {} failed at {}: {} ({}).",
            self._request.request_id,
            self._replica,
            err.failure.value,
            err,
        )
        self._context.record_failure(self._request, self._replica, err)
        if self._engine_stream is not None:
            self._engine_stream.close()
            self._engine_stream = None

    async def _recover(
        self, err: errors.UpstreamError, failures: int
    ) -> refusal.Refusal | None:
        """Prepares another attempt.

        Returns:
            The refusal for the caller if there is no further attempt.
        """
        if err.failure is errors.Failure.MOVED:
            self._output.disconnect()
            return self._refuse(
                409,
                refusal.CODE_STREAM_LOST,
                "the stream was resumed at another router",
            )
        if err.failure is errors.Failure.BAD_REQUEST:
            return self._refuse_as_invalid(err)
        held_by = self._context.prompts.holding(self._prompt)
        if self._withdrawn or held_by and not self._buffer.count:
            await self._cancel_upstream()
            if not held_by:
                return self._refuse_failed(err)
            return self._refuse_held(held_by[0])
        if failures > const.MAX_RECOVERIES:
            return self._refuse_failed(err)
        if err.failure is errors.Failure.WRONG_TARGET:
            await self._cancel_upstream()
        elif err.sent and err.ran and await self._resume_here():
            return None
        return self._retry_elsewhere(err)

    async def _resume_here(self) -> bool:
        """Resumes the stream at the same engine on a new connection."""
        client = self._context.engine_clients.get(self._replica)
        if client is None:
            return False
        seen = self._buffer.count - self._events_before_engine
        try:
            self._engine_stream = await client.resume_stream(
                self._request.request_id, seen
            )
        except errors.UpstreamError:
            return False
        if not self._serves_same_weights(self._engine_stream.head):
            self._engine_stream.close()
            self._engine_stream = None
            return False
        self._context.metrics.count("streams.resumed")
        self._update_event_id_token(self._engine_stream.head.incarnation)
        return True

    def _serves_same_weights(self, head: config.StreamHead) -> bool:
        """Whether the engine still has the weights the stream began with.

        The engine's incarnation is only compared if this router made the
        routing decision; otherwise the decided incarnation is not known.
        """
        if head.version != self._request.model.served_version:
            return False
        if self._decision is None:
            return True
        return head.incarnation == self._decision.choice.incarnation

    def _retry_elsewhere(
        self, err: errors.UpstreamError
    ) -> refusal.Refusal | None:
        self._excluded.add(self._replica)
        if err.ran and not self._request.request_class.idempotent:
            return self._refuse_failed(err)
        if self._buffer.count and not self._can_continue():
            return self._refuse_failed(err)
        if err.ran and not self._context.try_retry():
            return self._refuse_failed(err)
        name = "continued" if self._buffer.events else "retried"
        self._context.metrics.count(f"streams.{name}")
        return None

    def _can_continue(self) -> bool:
        """Whether another engine can continue from the buffered text."""
        if self._buffer.base:
            return False
        return engine_body.supports_continuation(self._request.body)

    def _refuse_as_invalid(self, err: errors.UpstreamError) -> refusal.Refusal:
        message = err.body.decode("utf-8", "replace")[:500] or str(err)
        try:
            message = json_text.loads(err.body)["error"]["message"]
        except (ValueError, KeyError, TypeError):
            pass
        return self._refuse(err.status, refusal.CODE_INVALID_REQUEST, message)

    def _refuse_failed(self, err: errors.UpstreamError) -> refusal.Refusal:
        message = f"the engine request failed: {err}"
        if self._tracker.state is run_state.RunState.NOT_SENT:
            return self._refuse(503, refusal.CODE_OVERLOADED, message, 1.0)
        return self._refuse(502, refusal.CODE_UPSTREAM, message, 1.0)

    def _refuse(
        self, status: int, code: str, message: str, retry_after_s: float = 0.0
    ) -> refusal.Refusal:
        return refusal.Refusal(
            status, code, message, self._tracker.state, retry_after_s
        )

    async def _cancel_upstream(self) -> None:
        if self._engine_stream is not None:
            self._engine_stream.close()
            self._engine_stream = None
        client = self._context.engine_clients.get(self._replica)
        sent = self._tracker.state is not run_state.RunState.NOT_SENT
        if client is not None and sent and not self._buffer.complete:
            await client.cancel_stream(self._request.request_id)
