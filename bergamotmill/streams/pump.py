"""Carries one model request from the engines to its caller.

The pump owns the stream's journal. A caller's side may be lost and another
attached while it runs; an engine's side may break and be resumed, or the
answer goes on at another replica from the exact token.
"""

import asyncio
import dataclasses
import json

import loguru
import result

from bergamotmill.helpers import refusal
from bergamotmill.helpers import run_state
from bergamotmill.routing import const as routing_const
from bergamotmill.routing import messages as routing_messages
from bergamotmill.streams import assemble
from bergamotmill.streams import body as engine_body
from bergamotmill.streams import caller_port
from bergamotmill.streams import const
from bergamotmill.streams import context
from bergamotmill.streams import events as sse
from bergamotmill.streams import journal as stream_journal
from bergamotmill.streams import messages
from bergamotmill.streams import numbering
from bergamotmill.streams import stream_id
from bergamotmill.upstream import errors
from bergamotmill.upstream.engine import config
from bergamotmill.upstream.engine import const as engine_const

_USAGE = b'"usage"'


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """How a pump ended; no refusal means a whole answer."""

    refusal: refusal.Refusal | None


class Pump:
    """One request's way through the engines."""

    def __init__(
        self,
        shared: context.StreamContext,
        request: messages.ModelRequest,
        journal: stream_journal.Journal,
    ):
        self._shared = shared
        self._request = request
        self._journal = journal
        self._tracker = run_state.RunTracker()
        self._task: asyncio.Task[Finished] | None = None
        self._stream = None
        self._replica = ""
        # Events of the stream before the present engine's own first one.
        self._base = 0
        self._numbering = numbering.Numbering(request.show_usage)
        self._port = caller_port.CallerPort(
            journal, self._numbering, self._cancel
        )
        self._mark = request.request_id.encode()
        self._excluded: set[str] = set()
        self._decision: routing_messages.Decision | None = None
        self._first_token_at = 0.0
        self._started_at = shared.now()

    @property
    def tracker(self) -> run_state.RunTracker:
        """Whether an engine may have run the request."""
        return self._tracker

    @property
    def journal(self) -> stream_journal.Journal:
        """The stream's events."""
        return self._journal

    @property
    def request(self) -> messages.ModelRequest:
        """The request that is served."""
        return self._request

    @property
    def decision(self) -> routing_messages.Decision | None:
        """The latest decision."""
        return self._decision

    def start(
        self,
        taken_over: object | None = None,
        at: stream_id.StreamId | None = None,
    ) -> None:
        """Starts the pump; it may go on with a stream taken over."""
        self._stream = taken_over
        if at is not None:
            self._tracker.mark_sending()
            self._replica = at.replica
            self._base = at.base
            self._set_prefix(at.replica_incarnation)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops the pump; its journal stays for some time."""
        self._port.cut()
        self._task.cancel()
        await asyncio.wait({self._task})

    def _cancel(self) -> None:
        self._task.cancel()

    async def serve(self, sink: messages.Sink, seen: int) -> Finished | None:
        """Attaches a caller's side and waits until it is done.

        Returns:
            None when the sink was replaced or lost.
        """
        gone = self._port.attach(sink, seen)
        await asyncio.wait(
            {self._task, gone}, return_when=asyncio.FIRST_COMPLETED
        )
        if gone.done():
            return None
        if self._task.cancelled():
            sink.abort()
            return None
        return self._task.result()

    def caller_left(self, sink: messages.Sink) -> None:
        """Takes note that a caller's side was lost.

        The engine goes on for a short time, in which the caller may resume
        here or elsewhere.
        """
        self._port.lost(sink)

    async def _run(self) -> Finished:
        try:
            left = self._request.deadline - self._shared.now()
            async with asyncio.timeout(max(0.0, left)):
                refused = await self._attempts()
        except TimeoutError:
            await self._cancel_upstream()
            refused = self._refuse(
                504, refusal.CODE_DEADLINE, "the deadline has passed"
            )
        except asyncio.CancelledError:
            await self._cancel_upstream()
            self._shared.metrics.count("streams.abandoned")
            raise
        finally:
            self._port.stop_waiting()
            self._shared.pump_ended(self)
        return Finished(refused)

    async def _attempts(self) -> refusal.Refusal | None:
        resumes = 0
        if self._journal.complete:
            return None
        while True:
            try:
                if self._stream is None:
                    if assemble.is_finished(self._journal.events):
                        await self._close_finished()
                        return None
                    if self._journal.base:
                        return self._lost()
                    opened = await self._open()
                    if opened.is_err():
                        return opened.err()
                await self._relay()
                return None
            except errors.UpstreamError as err:
                self._note_failure(err)
                resumes += 1
                refused = await self._recover(err, resumes)
                if refused is not None:
                    return refused

    def _lost(self) -> refusal.Refusal:
        return self._refuse(
            410, refusal.CODE_STREAM_LOST, "the stream's beginning is lost"
        )

    async def _close_finished(self) -> None:
        """Ends a stream whose engine died after the last token."""
        self._journal.append(const.DONE)
        self._journal.complete = True
        number = self._journal.count
        if number > self._port.seen:
            self._port.write([self._numbering.line(number, const.DONE)])

    async def _open(self) -> result.Result[None, refusal.Refusal]:
        decided = await self._shared.decide(
            self._request, self._priority(), frozenset(self._excluded)
        )
        if decided.is_err():
            missing = decided.err()
            return result.Err(
                self._refuse(
                    503,
                    refusal.CODE_NO_REPLICA,
                    missing.reason,
                    missing.retry_after_s,
                )
            )
        decision = decided.ok()
        late = self._too_late(decision)
        if late is not None:
            return result.Err(late)
        self._decision = decision
        self._replica = decision.choice.replica
        link = self._shared.links.get(self._replica)
        if link is None:
            raise errors.UpstreamError(
                errors.Failure.CONNECT, "withdrawn meanwhile", sent=False
            )
        call = self._call_of(decision)
        self._tracker.mark_sending()
        self._shared.sent(decision)
        try:
            self._stream = await link.open(call)
        except errors.UpstreamError as err:
            if not err.ran:
                self._tracker.mark_not_run()
            raise
        self._base = self._journal.count
        self._check_head(decision, self._stream.head)
        self._set_prefix(self._stream.head.incarnation)
        return result.Ok(None)

    def _too_late(
        self, decision: routing_messages.Decision
    ) -> refusal.Refusal | None:
        """Refuses at once what cannot begin before its deadline."""
        left = self._request.deadline - self._shared.now()
        wait = decision.choice.wait_s
        if wait <= left:
            return None
        return self._refuse(
            503,
            refusal.CODE_OVERLOADED,
            f"the engines are {wait:.1f} s behind",
            wait - left,
        )

    def _call_of(
        self, decision: routing_messages.Decision
    ) -> config.GenerateCall:
        request = self._request
        body = engine_body.for_engine(request)
        if self._journal.events:
            text, tokens = assemble.text_of(self._journal.events)
            body = engine_body.continued(request.path, body, text, tokens)
        choice = decision.choice
        return config.GenerateCall(
            request_id=request.request_id,
            path=request.path,
            body=json.dumps(body).encode(),
            priority=self._priority(),
            incarnation=choice.incarnation,
            version=request.model.served_version,
            chain=decision.request.chain.digests,
            import_from=self._shared.store_for(decision),
        )

    def _priority(self) -> int:
        """Returns the priority; what an engine has lost goes first."""
        priority = self._request.request_class.priority
        if self._excluded:
            priority += routing_const.RETRY_PRIORITY_BOOST
        return priority

    def _check_head(self, decision, head: config.StreamHead) -> None:
        """Asserts that the answer comes from the weights asked for."""
        if head.version != self._request.model.served_version:
            raise errors.UpstreamError(
                errors.Failure.WRONG_TARGET,
                f"answer of version {head.version!r}",
                sent=True,
            )
        self._shared.head_seen(self._replica, head)

    def _set_prefix(self, replica_incarnation: int) -> None:
        token = stream_id.StreamId(
            self._request.request_id,
            self._shared.router,
            self._shared.incarnation,
            self._replica,
            replica_incarnation,
            self._request.model.served_version,
            self._base,
        ).token(self._shared.fleet_key, self._request.customer.name)
        self._numbering.set_token(token)

    async def _relay(self) -> None:
        """Passes events on until the stream is complete."""
        stream = self._stream
        splitter = sse.EventSplitter()
        while not self._journal.complete:
            data = await stream.read()
            if not data:
                raise errors.UpstreamError(
                    errors.Failure.LOST, "ended too early", sent=True
                )
            out: list[bytes] = []
            try:
                self._take(splitter, data, out)
            finally:
                # What the journal holds must reach the caller, also when
                # a later event of the same read is bad.
                if out and self._port.write(out):
                    await self._port.drain()
        stream.finish()
        self._stream = None

    def _take(
        self, splitter: sse.EventSplitter, data: bytes, out: list[bytes]
    ) -> None:
        """Checks and keeps the events in some bytes; fills `out`.

        This runs for each token.
        """
        journal = self._journal
        seen = self._port.seen
        for event in splitter.feed(data):
            if event.startswith(b":"):
                self._comment(event)
                continue
            if self._mark in event:
                journal.append(event)
                if not self._first_token_at:
                    self._note_first_token()
                if _USAGE in event and not self._usage(event):
                    continue
            elif sse.is_done(event):
                journal.append(event)
                journal.complete = True
            else:
                raise errors.UpstreamError(
                    errors.Failure.CROSSED, "an event of another", sent=True
                )
            number = journal.count
            if number > seen:
                out.append(self._numbering.line(number, event))

    def _note_first_token(self) -> None:
        self._first_token_at = self._shared.now()
        self._shared.first_token(
            self._request, self._first_token_at - self._started_at
        )

    def _comment(self, event: bytes) -> None:
        if event.startswith(engine_const.MOVED_COMMENT):
            raise errors.UpstreamError(
                errors.Failure.MOVED, "read elsewhere", sent=True
            )
        self._port.keep_alive()

    def _usage(self, event: bytes) -> bool:
        """Learns from an event with usage; returns whether it is shown."""
        if not numbering.has_usage(event):
            return True
        try:
            usage = sse.data_of(event).get("usage") or {}
        except ValueError:
            return True
        details = usage.get("prompt_tokens_details") or {}
        cached = details.get("cached_tokens")
        if cached is not None and self._decision is not None:
            self._shared.answered(
                self._decision,
                int(cached),
                self._first_token_at - self._started_at,
                self._shared.now() - self._started_at,
            )
        return self._numbering.shown(event)

    def _note_failure(self, err: errors.UpstreamError) -> None:
        loguru.logger.info(
            "streams: {} at {}: {} ({}).",
            self._request.request_id,
            self._replica,
            err.failure.value,
            err,
        )
        self._shared.failed(self._request, self._replica, err)
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _recover(
        self, err: errors.UpstreamError, resumes: int
    ) -> refusal.Refusal | None:
        """Prepares another attempt, or says why there is none."""
        if err.failure is errors.Failure.MOVED:
            self._port.cut()
            return self._refuse(
                409, refusal.CODE_STREAM_LOST, "resumed elsewhere"
            )
        if err.failure is errors.Failure.BAD_REQUEST:
            return self._pass_on(err)
        if resumes > const.MAX_RESUMES:
            return self._give_up(err)
        if err.failure is errors.Failure.WRONG_TARGET:
            await self._cancel_upstream()
        elif err.sent and err.ran and await self._resume_here():
            return None
        return self._go_elsewhere(err)

    async def _resume_here(self) -> bool:
        """Takes the running stream up again on a new connection."""
        link = self._shared.links.get(self._replica)
        if link is None:
            return False
        seen = self._journal.count - self._base
        try:
            self._stream = await link.resume(self._request.request_id, seen)
        except errors.UpstreamError:
            return False
        if not self._is_same(self._stream.head):
            self._stream.close()
            self._stream = None
            return False
        self._shared.metrics.count("streams.resumed")
        self._set_prefix(self._stream.head.incarnation)
        return True

    def _is_same(self, head: config.StreamHead) -> bool:
        """Whether a resumed stream has the weights of its beginning."""
        if head.version != self._request.model.served_version:
            return False
        if self._decision is None:
            return True
        return head.incarnation == self._decision.choice.incarnation

    def _go_elsewhere(
        self, err: errors.UpstreamError
    ) -> refusal.Refusal | None:
        self._excluded.add(self._replica)
        if err.ran and not self._request.request_class.idempotent:
            return self._give_up(err)
        if self._journal.count and not self._may_continue():
            return self._give_up(err)
        if err.ran and not self._shared.try_retry():
            return self._give_up(err)
        name = "continued" if self._journal.events else "retried"
        self._shared.metrics.count(f"streams.{name}")
        return None

    def _may_continue(self) -> bool:
        """Whether the text so far is known and enough to go on from."""
        if self._journal.base:
            return False
        return engine_body.may_continue(self._request.body)

    def _pass_on(self, err: errors.UpstreamError) -> refusal.Refusal:
        message = err.body.decode("utf-8", "replace")[:500] or str(err)
        try:
            message = json.loads(err.body)["error"]["message"]
        except (ValueError, KeyError, TypeError):
            pass
        return self._refuse(err.status, refusal.CODE_INVALID_REQUEST, message)

    def _give_up(self, err: errors.UpstreamError) -> refusal.Refusal:
        message = f"the engine failed: {err}"
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
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        link = self._shared.links.get(self._replica)
        sent = self._tracker.state is not run_state.RunState.NOT_SENT
        if link is not None and sent and not self._journal.complete:
            await link.cancel(self._request.request_id)
