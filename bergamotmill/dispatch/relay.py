"""Passes an upstream's answer on to the caller."""

from collections.abc import Callable

from bergamotmill.dispatch import ports
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import metrics as stats
from bergamotmill.streams import events as sse
from bergamotmill.upstream import errors

MAX_BODY_BYTES = 16 * 1024 * 1024
_EVENT_ID = b"id:"


def event_id(event: bytes) -> str:
    """Returns an event's id; empty when it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_EVENT_ID):
            return line[len(_EVENT_ID) :].strip().decode("latin-1")
    return ""


class ResponseRelay:
    """Carries answers: plain ones whole, streams event by event."""

    def __init__(self, metrics: stats.Metrics, now: Callable[[], float]):
        self._metrics = metrics
        self._now = now

    async def forward(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        reply: ports.UpstreamResponse,
        item: upstreams.Upstream,
        may_retry: bool,
    ) -> None:
        """Passes an answer on to its end.

        Args:
            progress: how far the call has come.
            sink: the caller's side.
            reply: the upstream's answer.
            item: the upstream.
            may_retry: whether a failure of the upstream's own leads to
                another attempt.

        Raises:
            errors.UpstreamError: it is no whole answer.
        """
        head = reply.head
        if head.not_run is not None:
            item.note_refusal(self._now())
            raise errors.UpstreamError(
                errors.Failure.REFUSED,
                head.not_run.value,
                sent=True,
                ran=False,
                status=head.status,
            )
        if not head.forwardable:
            raise errors.UpstreamError(
                errors.Failure.BROKEN, "not an answer", True
            )
        if progress.call.route.is_stream and head.ok:
            await self._stream(progress, sink, reply, item)
            return
        if sink.started:
            raise errors.UpstreamError(
                errors.Failure.BROKEN, "a stream that goes on ended", True
            )
        body = await _whole(reply)
        if head.status >= 500 and may_retry:
            raise errors.UpstreamError(
                errors.Failure.FAILED, str(head.status), True
            )
        sink.respond(head, body)

    async def _stream(
        self,
        progress: call_progress.Progress,
        sink: ports.Sink,
        reply: ports.UpstreamResponse,
        item: upstreams.Upstream,
    ) -> None:
        """Passes a stream on in whole events."""
        splitter = sse.EventSplitter()
        begun_after = progress.last_event_id if sink.started else ""
        while data := await reply.read():
            item.note_bytes_received(self._now())
            progress.last_data_at = self._now()
            found = splitter.feed(data)
            if not found:
                continue
            if begun_after:
                _check_follows(found[0], begun_after)
                begun_after = ""
            if not sink.started:
                sink.start(reply.head)
                self._note_first_byte(progress)
            progress.last_event_id = event_id(found[-1])
            sink.write(found[0] if len(found) == 1 else b"".join(found))
            if sink.write_paused:
                await sink.drain()
        if splitter.partial:
            raise errors.UpstreamError(
                errors.Failure.LOST, "ended within an event", True
            )
        if not sink.started:
            sink.start(reply.head)
        sink.finish()

    def _note_first_byte(self, progress: call_progress.Progress) -> None:
        call = progress.call
        waited = self._now() - call.received_at
        progress.first_byte_s = waited
        self._metrics.timing(f"first_byte.{call.route.name}", waited)


def _check_follows(event: bytes, last_id: str) -> None:
    """Checks that a stream goes on after what the caller has.

    Raises:
        errors.UpstreamError: it repeats something.
    """
    first_id = event_id(event)
    numbers = first_id.isdigit() and last_id.isdigit()
    if first_id == last_id or (numbers and int(first_id) <= int(last_id)):
        raise errors.UpstreamError(
            errors.Failure.BROKEN, f"event {first_id} after {last_id}", True
        )


async def _whole(reply: ports.UpstreamResponse) -> bytes:
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
