"""Starts, resumes and takes over the streams of model requests."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TypeAlias

import loguru
import result

from bergamotmill.control import peers as peer_links
from bergamotmill.helpers import refusal
from bergamotmill.helpers import run_state
from bergamotmill.proto import peer_pb2
from bergamotmill.streams import assemble
from bergamotmill.streams import context as stream_context
from bergamotmill.streams import events as sse
from bergamotmill.streams import messages
from bergamotmill.streams import numbering
from bergamotmill.streams import relay as stream_relay
from bergamotmill.streams import replay_buffer
from bergamotmill.streams import stream_id
from bergamotmill.upstream import errors

TAIL_TIMEOUT_S = 1.0


class _DiscardingSink:
    """Sink for a caller that waits for the complete, non-streaming response."""

    write_paused = False

    def write(self, data: bytes) -> None:
        """Discards the events; the response is built from the buffer."""

    async def drain(self) -> None:
        """Returns at once, as nothing is queued."""

    def abort(self) -> None:
        """Does nothing, as there is no connection to abort."""


class CompletedStream:
    """A complete stream that is replayed from its buffer."""

    def __init__(
        self,
        buffer: replay_buffer.ReplayBuffer,
        event_numbering: numbering.EventNumbering,
    ):
        self._buffer = buffer
        self._numbering = event_numbering

    @property
    def buffer(self) -> replay_buffer.ReplayBuffer:
        """The stream's replay buffer."""
        return self._buffer

    async def serve(
        self, sink: messages.Sink, seen: int
    ) -> stream_relay.RelayResult:
        """Writes the events after the first `seen` to a sink."""
        for event in self._numbering.replay(self._buffer, seen):
            sink.write(event)
        return stream_relay.RelayResult(None)

    def on_caller_lost(self, sink: messages.Sink) -> None:
        """Does nothing, as no engine is running."""


ResumableStream: TypeAlias = stream_relay.StreamRelay | CompletedStream


class StreamManager:
    """Starts stream relays, and finds streams that callers resume."""

    def __init__(
        self,
        context: stream_context.StreamContext,
        peers: peer_links.PeerClient,
    ):
        self._context = context
        self._peers = peers
        self._takeovers: dict[str, asyncio.Task[ResumableStream | None]] = {}

    def start(self, request: messages.ModelRequest) -> stream_relay.StreamRelay:
        """Starts the relay of a new request."""
        buffer = self._context.buffers.open(
            request.request_id, request.customer.name
        )
        relay = stream_relay.StreamRelay(self._context, request, buffer)
        self._context.add_relay(request.request_id, relay)
        relay.start()
        return relay

    async def collect_response(
        self,
        relay: stream_relay.StreamRelay,
        on_close: Callable[[Callable[[], None]], None],
    ) -> result.Result[dict, refusal.Refusal]:
        """Waits for the complete response to a non-streaming request.

        Args:
            relay: the relay of the request.
            on_close: registers a callback for when the caller disconnects.
        """
        sink = _DiscardingSink()
        on_close(lambda: relay.on_caller_lost(sink))
        relay_result = await relay.serve(sink, 0)
        if relay_result is None:
            return result.Err(
                refusal.Refusal(
                    499,
                    refusal.CODE_STREAM_LOST,
                    "the caller disconnected",
                    run_state.RunState.MAY_HAVE_RUN,
                )
            )
        if relay_result.refusal is not None:
            return result.Err(relay_result.refusal)
        return result.Ok(assemble.assemble(relay.buffer.events))

    async def find_stream(
        self, request: messages.ModelRequest, event_id: str
    ) -> result.Result[tuple[ResumableStream, int], refusal.Refusal]:
        """Finds the stream that an event id names.

        Looks in this router, then at the engine that ran the stream, then at
        the router that served it. Never runs the request again from its
        start.

        Returns:
            The stream, and the number of events that the caller has seen.
        """
        customer = request.customer.name
        parsed = stream_id.parse(event_id, self._context.fleet_key, customer)
        if parsed is None:
            return result.Err(
                refusal.invalid(
                    "Last-Event-ID", "not an event id of this customer"
                )
            )
        location, seen = parsed
        stream = self._context.relays.get(location.request_id)
        if stream is None or stream.request.customer.name != customer:
            stream = await self._take_over_once(request, location)
            self._context.metrics.count("streams.taken_over")
        # The buffer must hold every event after the last one seen; one that
        # begins later would leave a gap in the caller's response.
        if stream is None or stream.buffer.base > seen:
            return result.Err(_refuse_lost())
        return result.Ok((stream, seen))

    async def _take_over_once(
        self, request: messages.ModelRequest, location: stream_id.StreamId
    ) -> ResumableStream | None:
        """Takes a stream over; concurrent callers share one takeover."""
        task = self._takeovers.get(location.request_id)
        if task is None:
            task = asyncio.create_task(self._take_over(request, location))
            self._takeovers[location.request_id] = task
            task.add_done_callback(
                lambda _: self._takeovers.pop(location.request_id, None)
            )
        return await asyncio.shield(task)

    async def _take_over(
        self, request: messages.ModelRequest, location: stream_id.StreamId
    ) -> ResumableStream | None:
        customer = request.customer.name
        buffer = self._context.buffers.find(location.request_id, customer)
        if buffer is not None and buffer.complete:
            event_numbering = numbering.EventNumbering(request.show_usage)
            event_numbering.set_token(
                location.token(self._context.fleet_key, customer)
            )
            return CompletedStream(buffer, event_numbering)
        engine_stream = await self._resume_at_engine(location)
        if engine_stream is not None:
            return self._start_taken_over(
                request, location, (), engine_stream, location.base
            )
        tail = await self._fetch_from_router(request, location)
        if tail is None:
            return None
        events = tuple(tail.events)
        return self._start_taken_over(
            request, location, events, None, tail.base
        )

    async def _resume_at_engine(self, location: stream_id.StreamId):
        client = self._context.engine_clients.get(location.replica)
        if client is None:
            return None
        try:
            stream = await client.resume_stream(location.request_id, 0)
        except errors.UpstreamError as err:
            loguru.logger.info(
                "streams: cannot resume request {} at {}: {}.",
                location.request_id,
                location.replica,
                err,
            )
            return None
        served_by = (stream.head.incarnation, stream.head.version)
        if served_by != (location.replica_incarnation, location.version):
            stream.close()
            return None
        return stream

    async def _fetch_from_router(
        self, request: messages.ModelRequest, location: stream_id.StreamId
    ) -> peer_pb2.TailReply | None:
        reply = await self._peers.call(
            location.router,
            "Tail",
            peer_pb2.TailRequest(
                customer=request.customer.name,
                stream=location.request_id,
                incarnation=location.router_incarnation,
            ),
            TAIL_TIMEOUT_S,
        )
        if reply.is_err() or not reply.ok().found:
            return None
        return reply.ok()

    def _start_taken_over(
        self,
        request: messages.ModelRequest,
        location: stream_id.StreamId,
        events: tuple[bytes, ...],
        engine_stream: object | None,
        base: int,
    ) -> stream_relay.StreamRelay:
        # The stream must continue with the weights version it began with.
        model = dataclasses.replace(request.model, serving=location.version)
        request = dataclasses.replace(
            request, request_id=location.request_id, model=model
        )
        buffer = self._context.buffers.replace(
            location.request_id, request.customer.name
        )
        buffer.base = base
        for event in events:
            buffer.append(event)
            buffer.complete = sse.is_done(event)
        relay = stream_relay.StreamRelay(self._context, request, buffer)
        self._context.add_relay(location.request_id, relay)
        relay.start(engine_stream=engine_stream, location=location)
        return relay

    async def serve_tail(
        self, request: peer_pb2.TailRequest
    ) -> peer_pb2.TailReply:
        """Stops a stream and returns its events to the router taking over."""
        if request.incarnation != self._context.incarnation:
            return peer_pb2.TailReply(found=False)
        buffer = self._context.buffers.find(request.stream, request.customer)
        if buffer is None:
            return peer_pb2.TailReply(found=False)
        relay = self._context.relays.get(request.stream)
        if relay is not None:
            await relay.stop()
        return peer_pb2.TailReply(
            found=True,
            events=buffer.events,
            complete=buffer.complete,
            base=buffer.base,
        )


def _refuse_lost() -> refusal.Refusal:
    return refusal.Refusal(
        410,
        refusal.CODE_STREAM_LOST,
        "no engine and no router has the stream any more",
        run_state.RunState.MAY_HAVE_RUN,
    )
