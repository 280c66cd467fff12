"""Output of a stream to a caller that may disconnect and reconnect."""

import asyncio
from collections.abc import Callable

from bergamotmill.streams import const
from bergamotmill.streams import messages
from bergamotmill.streams import numbering
from bergamotmill.streams import replay_buffer


class CallerOutput:
    """Writes numbered events to the sink that is currently attached."""

    def __init__(
        self,
        buffer: replay_buffer.ReplayBuffer,
        event_numbering: numbering.EventNumbering,
        on_abandoned: Callable[[], object],
    ):
        """Creates an output without a sink.

        Args:
            buffer: replay buffer of the stream.
            event_numbering: adds event ids.
            on_abandoned: called if no caller reconnects within
                `RECONNECT_GRACE_S`.
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
        """Number of events that the attached caller has already seen."""
        return self._seen

    def attach(self, sink: messages.Sink, seen: int) -> asyncio.Future[None]:
        """Replaces the sink and replays the events after the first `seen`.

        Returns:
            A future that is done when the sink is lost or replaced.
        """
        self.disconnect()
        self.cancel_grace_timer()
        self._sink = sink
        self._seen = seen
        self._detached = asyncio.get_running_loop().create_future()
        for event in self._numbering.replay(self._buffer, seen):
            sink.write(event)
        return self._detached

    def on_sink_lost(self, sink: messages.Sink) -> None:
        """Detaches a lost sink and starts the timer for a reconnect."""
        if sink is not self._sink:
            return
        self._detach()
        loop = asyncio.get_running_loop()
        self._grace_timer = loop.call_later(
            const.RECONNECT_GRACE_S, self._on_abandoned
        )

    def disconnect(self) -> None:
        """Aborts and detaches the current sink."""
        if self._sink is not None:
            self._sink.abort()
            self._detach()

    def cancel_grace_timer(self) -> None:
        """Stops the timer that waits for a reconnect."""
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None

    def write_keep_alive(self) -> None:
        """Writes a keep-alive comment."""
        if self._sink is not None:
            self._sink.write(const.KEEP_ALIVE)

    def write(self, events: list[bytes]) -> bool:
        """Writes events; returns whether the sink's send buffer is full."""
        sink = self._sink
        if sink is None:
            return False
        sink.write(events[0] if len(events) == 1 else b"".join(events))
        return sink.write_paused

    async def drain(self) -> None:
        """Waits for a slow caller; disconnects it after the stall timeout."""
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
