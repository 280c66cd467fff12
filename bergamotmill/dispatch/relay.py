"""Forwards an upstream's response to the caller."""

from collections.abc import Callable, Sequence
import dataclasses

from bergamotmill.dispatch import const
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import memory_budget
from bergamotmill.helpers import metrics as stats
from bergamotmill.streams import events as sse
from bergamotmill.upstream import errors

MAX_BODY_BYTES = 16 * 1024 * 1024
# An incomplete event of a stream counts as memory in use beyond this size.
SMALL_EVENT_BYTES = 8 * 1024
_EVENT_ID_FIELD = b"id:"


def event_id(event: bytes) -> str:
    """Returns the id of an SSE event; empty when it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_EVENT_ID_FIELD):
            return line[len(_EVENT_ID_FIELD) :].strip().decode("latin-1")
    return ""


def last_event_id(events: Sequence[bytes], previous: str) -> str:
    """Returns the id of the last event that has one, else the previous id."""
    for event in reversed(events):
        found = event_id(event)
        if found:
            return found
    return previous


@dataclasses.dataclass(slots=True)
class _Body:
    """A plain response that is being received.

    Attributes:
        taken_bytes: memory taken for it.
    """

    data: bytearray = dataclasses.field(default_factory=bytearray)
    size_bytes: int = 0
    taken_bytes: int = 0


class _Pauses:
    """Pauses of a stream while its caller does not read."""

    __slots__ = ("_sink", "_response", "_now", "_last_at")

    def __init__(
        self,
        sink: ports.Sink,
        response: ports.UpstreamResponse,
        now: Callable[[], float],
    ):
        self._sink = sink
        self._response = response
        self._now = now
        self._last_at = -const.UNREAD_MEMORY_S

    @property
    def may_have_cut(self) -> bool:
        """Whether the upstream may have cut the response as it was unread."""
        return self._now() - self._last_at < const.UNREAD_MEMORY_S

    async def wait(self) -> None:
        """Stops reading from the upstream until the caller reads again."""
        self._response.pause()
        began_at = self._now()
        await self._sink.drain()
        if self._now() - began_at >= const.UNREAD_PAUSE_S:
            self._last_at = self._now()


class ResponseRelay:
    """Forwards plain responses as a whole and streams event by event."""

    def __init__(
        self,
        metrics: stats.Metrics,
        now: Callable[[], float],
        memory: memory_budget.MemoryBudget,
        make_room: Callable[[int], None],
    ):
        """Makes a relay.

        Args:
            metrics: counters and timings.
            now: the monotonic clock.
            memory: memory of all bodies.
            make_room: disconnects slow peers if this much more memory is
                needed.
        """
        self._metrics = metrics
        self._now = now
        self._memory = memory
        self._make_room = make_room
        self._buffered_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Size of the plain bodies that are being received."""
        return self._buffered_bytes

    async def forward(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        response: ports.UpstreamResponse,
        upstream: upstreams.Upstream,
        may_retry: bool,
    ) -> None:
        """Forwards a response until it is complete.

        Args:
            progress: state of the call.
            sink: writes to the caller.
            response: the response being received.
            upstream: the upstream that sends it.
            may_retry: whether a 5xx response leads to another attempt.

        Raises:
            errors.UpstreamError: the response is incomplete, may not be
                forwarded, or is to be retried.
        """
        head = response.head
        if head.not_run is not None:
            upstream.note_refusal(self._now())
            raise errors.UpstreamError(
                errors.Failure.REFUSED,
                head.not_run.value,
                sent=True,
                ran=not head.is_identified,
                status=head.status,
            )
        if not head.forwardable:
            raise errors.UpstreamError(
                errors.Failure.BROKEN, "not a response of the upstream", True
            )
        if progress.call.route.is_stream and head.ok:
            await self._stream(progress, sink, response, upstream)
            return
        if sink.started:
            raise errors.UpstreamError(
                errors.Failure.BROKEN,
                "response does not resume the stream",
                True,
            )
        body = _Body()
        try:
            if head.body_bytes and progress.call.method != "HEAD":
                declared = min(head.body_bytes, MAX_BODY_BYTES)
                await self._take(body, memory_budget.COPIES * declared)
            await self._read_body(response, body)
            await _check_end(response)
            if head.status >= 500 and may_retry:
                raise errors.UpstreamError(
                    errors.Failure.FAILED, str(head.status), True
                )
            # What the caller does not take at once counts as a part of its
            # connection from now on.
            sink.respond(head, bytes(body.data))
        finally:
            # The frames of an error may keep it for some time.
            body.data.clear()
            self._buffered_bytes -= body.size_bytes
            self._memory.give_back_response(body.taken_bytes)

    async def _read_body(
        self, response: ports.UpstreamResponse, body: "_Body"
    ) -> None:
        """Receives the whole body of a plain response.

        Raises:
            errors.UpstreamError: the body exceeds its limit, or there is no
                memory for it.
        """
        while data := await response.read():
            body.size_bytes += len(data)
            self._buffered_bytes += len(data)
            if body.size_bytes > MAX_BODY_BYTES:
                raise errors.UpstreamError(
                    errors.Failure.BROKEN,
                    f"no room for a body of {body.size_bytes} bytes or more",
                    True,
                )
            body.data += data
            needed = memory_budget.COPIES * body.size_bytes
            if needed > body.taken_bytes:
                await self._take(body, needed - body.taken_bytes)

    async def _take(self, body: "_Body", cost: int) -> None:
        """Takes memory for a body, waiting for a short time if necessary.

        Raises:
            errors.UpstreamError: there is none.
        """
        small = body.taken_bytes + cost <= memory_budget.SMALL_COST_BYTES
        has_room = self._memory.take_for_response(cost, small)
        if not has_room:
            self._make_room(cost)
            has_room = await self._memory.wait_for_response(
                cost, const.RESPONSE_MEMORY_WAIT_S
            )
        if not has_room:
            raise errors.UpstreamError(
                errors.Failure.NO_MEMORY, f"no memory for {cost} bytes", True
            )
        body.taken_bytes += cost

    async def _stream(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        response: ports.UpstreamResponse,
        upstream: upstreams.Upstream,
    ) -> None:
        """Forwards a stream in complete events.

        Raises:
            errors.UpstreamError: the stream is broken off.
        """
        pauses = _Pauses(sink, response, self._now)
        event = _Body()
        try:
            await self._stream_events(
                progress, sink, response, upstream, pauses, event
            )
        except errors.UpstreamError as err:
            if err.failure is errors.Failure.LOST and pauses.may_have_cut:
                raise errors.UpstreamError(
                    errors.Failure.UNREAD, str(err), True
                ) from err
            raise
        finally:
            self._memory.give_back_response(event.taken_bytes)

    async def _stream_events(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        response: ports.UpstreamResponse,
        upstream: upstreams.Upstream,
        pauses: "_Pauses",
        event: "_Body",
    ) -> None:
        """Forwards the events of a stream.

        Args:
            progress: state of the call.
            sink: writes to the caller.
            response: the response being received.
            upstream: the upstream that sends it.
            pauses: pauses while the caller does not read.
            event: memory taken for an incomplete event.

        Raises:
            errors.UpstreamError: the stream is broken off.
        """
        splitter = sse.EventSplitter()
        resumed_after = progress.last_event_id if sink.started else ""
        while data := await response.read():
            upstream.note_bytes_received(self._now())
            progress.last_data_at = self._now()
            events = splitter.feed(data)
            needed = memory_budget.COPIES * splitter.partial_bytes
            if needed > SMALL_EVENT_BYTES + event.taken_bytes:
                await self._take(event, needed - event.taken_bytes)
            if not events:
                continue
            if progress.answer_began_at is None:
                progress.answer_began_at = self._now()
            progress.events_received += len(events)
            if resumed_after:
                _check_resumed_event(events[0], resumed_after)
                resumed_after = ""
            if not sink.started:
                sink.start(response.head)
                self._record_first_byte(progress)
            progress.last_event_id = last_event_id(
                events, progress.last_event_id
            )
            sink.write(events[0] if len(events) == 1 else b"".join(events))
            if sink.write_paused:
                # A paused stream holds only what its connections count.
                del data, events
                progress.was_paused = True
                await pauses.wait()
        if splitter.partial:
            raise errors.UpstreamError(
                errors.Failure.LOST, "stream ended within an event", True
            )
        if response.head.ends_with_connection and (
            progress.answer_began_at is None
        ):
            raise errors.UpstreamError(
                errors.Failure.LOST, "stream ended without an event", True
            )
        if response.head.ends_with_connection and pauses.may_have_cut:
            raise errors.UpstreamError(
                errors.Failure.LOST, "response ended after a pause", True
            )
        await _check_end(response)
        if not sink.started:
            sink.start(response.head)
        sink.finish()

    def _record_first_byte(self, progress: call_progress.Progress) -> None:
        call = progress.call
        first_byte_s = self._now() - call.received_at
        progress.first_byte_s = first_byte_s
        self._metrics.timing(f"first_byte.{call.route.name}", first_byte_s)


async def _check_end(response: ports.UpstreamResponse) -> None:
    """Checks that a response did not end because its upstream did.

    An upstream that ends closes its connections, which is also how responses
    without length or chunks end.

    Raises:
        errors.UpstreamError: the response may be incomplete.
    """
    if response.head.ends_with_connection and not await response.is_whole():
        raise errors.UpstreamError(
            errors.Failure.LOST, "response ended with its upstream", True
        )


def _check_resumed_event(event: bytes, last_id: str) -> None:
    """Checks that a resumed stream starts after the caller's last event.

    Raises:
        errors.UpstreamError: the stream repeats an event.
    """
    first_id = event_id(event)
    numeric = first_id.isdigit() and last_id.isdigit()
    if first_id == last_id or (numeric and int(first_id) <= int(last_id)):
        raise errors.UpstreamError(
            errors.Failure.BROKEN, f"event {first_id} after {last_id}", True
        )
