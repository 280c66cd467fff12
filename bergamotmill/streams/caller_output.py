"""The caller's side of a stream, which may be lost and replaced."""

import asyncio
from collections.abc import Callable

from bergamotmill.streams import const
from bergamotmill.streams import messages
from bergamotmill.streams import numbering
from bergamotmill.streams import replay_buffer


class CallerOutput:
    """Writes numbered events to whichever sink is attached now."""

    def __init__(
        self,
        buffer: replay_buffer.ReplayBuffer,
        event_numbering: numbering.EventNumbering,
        on_abandoned: Callable[[], object],
    ):
        """Makes a port without a sink.

        Args:
            buffer: the stream's events.
            event_numbering: numbers events for the caller.
            on_abandoned: called when no caller has come back in time.
        """
        self._buffer = buffer
        self._numbering = event_numbering
        self._on_abandoned = on_abandoned
        self._sink: messages.Sink | None = None
        self._seen = 0
        self._detached: asyncio.Future[None] | None = None
        self._grace_timer: asyncio.TimerHandle | None = None

    @property
    def seen(self) -> int:
        """Events that the attached caller had already."""
        return self._seen

    def attach(self, sink: messages.Sink, seen: int) -> asyncio.Future[None]:
        """Attaches a sink in place of any other, and catches it up.

        Returns:
            A future that is done when the sink is lost or replaced.
        """
        self.disconnect()
        self.cancel_grace_timer()
        self._sink = sink
        self._seen = seen
        self._detached = asyncio.get_running_loop().create_future()
        for line in self._numbering.replay(self._buffer, seen):
            sink.write(line)
        return self._detached

    def on_sink_lost(self, sink: messages.Sink) -> None:
        """Takes note that a sink was lost; another may come for a while."""
        if sink is not self._sink:
            return
        self._detach()
        loop = asyncio.get_running_loop()
        self._grace_timer = loop.call_later(
            const.RECONNECT_GRACE_S, self._on_abandoned
        )

    def disconnect(self) -> None:
        """Cuts the attached sink off."""
        if self._sink is not None:
            self._sink.abort()
            self._detach()

    def cancel_grace_timer(self) -> None:
        """No longer waits for a caller to come back."""
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None

    def write_keep_alive(self) -> None:
        """Shows the caller that the stream lives."""
        if self._sink is not None:
            self._sink.write(const.KEEP_ALIVE)

    def write(self, out: list[bytes]) -> bool:
        """Writes events; returns whether the caller's side is full."""
        sink = self._sink
        if sink is None:
            return False
        sink.write(out[0] if len(out) == 1 else b"".join(out))
        return sink.write_paused

    async def drain(self) -> None:
        """Waits for a slow caller, but not for ever."""
        sink = self._sink
        if sink is None:
            return
        try:
            async with asyncio.timeout(const.CALLER_STALL_TIMEOUT_S):
                await sink.drain()
        except TimeoutError:
            sink.abort()
            self.on_sink_lost(sink)

    def _detach(self) -> None:
        self._sink = None
        if self._detached is not None and not self._detached.done():
            self._detached.set_result(None)
