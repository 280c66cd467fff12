"""Serves model requests: new ones, resumed ones, whole and streamed."""

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
from bergamotmill.streams import context
from bergamotmill.streams import events as sse
from bergamotmill.streams import journal as stream_journal
from bergamotmill.streams import messages
from bergamotmill.streams import numbering
from bergamotmill.streams import pump as stream_pump
from bergamotmill.streams import stream_id
from bergamotmill.upstream import errors

TAIL_TIMEOUT_S = 1.0


class _NoSink:
    """Takes the place of a caller who waits for the whole answer."""

    write_paused = False

    def write(self, data: bytes) -> None:
        """Drops the events; the journal has them."""

    async def drain(self) -> None:
        """Is never full."""

    def abort(self) -> None:
        """Has nothing to cut."""


class EndedStream:
    """A whole stream that is only given again."""

    def __init__(
        self, journal: stream_journal.Journal, lines: numbering.Numbering
    ):
        self._journal = journal
        self._lines = lines

    @property
    def journal(self) -> stream_journal.Journal:
        """The stream's events."""
        return self._journal

    async def serve(
        self, sink: messages.Sink, seen: int
    ) -> stream_pump.Finished:
        """Writes the events after the first `seen`."""
        for line in self._lines.replay(self._journal, seen):
            sink.write(line)
        return stream_pump.Finished(None)

    def caller_left(self, sink: messages.Sink) -> None:
        """Has nothing to stop."""


Found: TypeAlias = stream_pump.Pump | EndedStream


class Generator:
    """Starts pumps, and finds running or ended streams again."""

    def __init__(
        self, shared: context.StreamContext, peers: peer_links.PeerClient
    ):
        self._shared = shared
        self._peers = peers
        self._taking: dict[str, asyncio.Task[Found | None]] = {}

    def open(self, request: messages.ModelRequest) -> stream_pump.Pump:
        """Starts serving a new request."""
        journal = self._shared.journals.open(
            request.request_id, request.customer.name
        )
        pump = stream_pump.Pump(self._shared, request, journal)
        self._shared.add_pump(request.request_id, pump)
        pump.start()
        return pump

    async def whole(
        self,
        pump: stream_pump.Pump,
        on_close: Callable[[Callable[[], None]], None],
    ) -> result.Result[dict, refusal.Refusal]:
        """Waits for a whole answer.

        Args:
            pump: the running request.
            on_close: takes what is to be called when the caller leaves.
        """
        sink = _NoSink()
        on_close(lambda: pump.caller_left(sink))
        finished = await pump.serve(sink, 0)
        if finished is None:
            return result.Err(
                refusal.Refusal(
                    499,
                    refusal.CODE_STREAM_LOST,
                    "the caller left",
                    run_state.RunState.MAY_HAVE_RUN,
                )
            )
        if finished.refusal is not None:
            return result.Err(finished.refusal)
        return result.Ok(assemble.assemble(pump.journal.events))

    async def find(
        self, request: messages.ModelRequest, event_id: str
    ) -> result.Result[tuple[Found, int], refusal.Refusal]:
        """Finds the stream that an event id names.

        It is looked for in this router, at its engine, and at the router
        that served it, in this order. It is never run anew from the start.
        """
        customer = request.customer.name
        parsed = stream_id.parse(event_id, self._shared.fleet_key, customer)
        if parsed is None:
            return result.Err(
                refusal.invalid("Last-Event-ID", "not an id of your streams")
            )
        where, seen = parsed
        pump = self._shared.pumps.get(where.request_id)
        if pump is None or pump.request.customer.name != customer:
            pump = await self._take_over_once(request, where)
            self._shared.metrics.count("streams.taken_over")
        # What the caller lacks must be there, not only what follows it.
        if pump is None or pump.journal.base > seen:
            return result.Err(_lost())
        return result.Ok((pump, seen))

    async def _take_over_once(
        self, request: messages.ModelRequest, where: stream_id.StreamId
    ) -> Found | None:
        """Takes a stream over; who asks meanwhile gets the same pump."""
        task = self._taking.get(where.request_id)
        if task is None:
            task = asyncio.create_task(self._take_over(request, where))
            self._taking[where.request_id] = task
            task.add_done_callback(
                lambda _: self._taking.pop(where.request_id, None)
            )
        return await asyncio.shield(task)

    async def _take_over(
        self, request: messages.ModelRequest, where: stream_id.StreamId
    ) -> Found | None:
        customer = request.customer.name
        ended = self._shared.journals.find(where.request_id, customer)
        if ended is not None and ended.complete:
            lines = numbering.Numbering(request.show_usage)
            lines.set_token(where.token(self._shared.fleet_key, customer))
            return EndedStream(ended, lines)
        stream = await self._from_engine(where)
        if stream is not None:
            return self._adopt(request, where, (), stream, where.base)
        tail = await self._from_router(request, where)
        if tail is None:
            return None
        events = tuple(tail.events)
        return self._adopt(request, where, events, None, tail.base)

    async def _from_engine(self, where: stream_id.StreamId):
        link = self._shared.links.get(where.replica)
        if link is None:
            return None
        try:
            stream = await link.resume_stream(where.request_id, 0)
        except errors.UpstreamError as err:
            loguru.logger.info(
                "streams: {} not at {}: {}.",
                where.request_id,
                where.replica,
                err,
            )
            return None
        found = (stream.head.incarnation, stream.head.version)
        if found != (where.replica_incarnation, where.version):
            stream.close()
            return None
        return stream

    async def _from_router(
        self, request: messages.ModelRequest, where: stream_id.StreamId
    ) -> peer_pb2.TailReply | None:
        answer = await self._peers.call(
            where.router,
            "Tail",
            peer_pb2.TailRequest(
                customer=request.customer.name,
                stream=where.request_id,
                incarnation=where.router_incarnation,
            ),
            TAIL_TIMEOUT_S,
        )
        if answer.is_err() or not answer.ok().found:
            return None
        return answer.ok()

    def _adopt(
        self,
        request: messages.ModelRequest,
        where: stream_id.StreamId,
        events: tuple[bytes, ...],
        stream: object | None,
        base: int,
    ) -> stream_pump.Pump:
        # A stream goes on with the weights it began with.
        model = dataclasses.replace(request.model, serving=where.version)
        request = dataclasses.replace(
            request, request_id=where.request_id, model=model
        )
        journal = self._shared.journals.replace(
            where.request_id, request.customer.name
        )
        journal.base = base
        for event in events:
            journal.append(event)
            journal.complete = sse.is_done(event)
        pump = stream_pump.Pump(self._shared, request, journal)
        self._shared.add_pump(where.request_id, pump)
        pump.start(taken_over=stream, at=where)
        return pump

    async def tail(self, request: peer_pb2.TailRequest) -> peer_pb2.TailReply:
        """Hands a stream's events to the router that takes it over."""
        if request.incarnation != self._shared.incarnation:
            return peer_pb2.TailReply(found=False)
        journal = self._shared.journals.find(request.stream, request.customer)
        if journal is None:
            return peer_pb2.TailReply(found=False)
        pump = self._shared.pumps.get(request.stream)
        if pump is not None:
            await pump.stop()
        return peer_pb2.TailReply(
            found=True,
            events=journal.events,
            complete=journal.complete,
            base=journal.base,
        )


def _lost() -> refusal.Refusal:
    return refusal.Refusal(
        410,
        refusal.CODE_STREAM_LOST,
        "the stream is held by no engine and no router any more",
        run_state.RunState.MAY_HAVE_RUN,
    )
