"""The caller's side of a stream, which may be lost and replaced."""

import asyncio
from collections.abc import Callable

from bergamotmill.streams import const
from bergamotmill.streams import journal as stream_journal
from bergamotmill.streams import messages
from bergamotmill.streams import numbering


class CallerPort:
    """Writes numbered events to whichever sink is attached now."""

    def __init__(
        self,
        journal: stream_journal.Journal,
        lines: numbering.Numbering,
        give_up: Callable[[], object],
    ):
        """Makes a port without a sink.

        Args:
            journal: the stream's events.
            lines: numbers events for the caller.
            give_up: called when no caller has come back in time.
        """
        self._journal = journal
        self._lines = lines
        self._give_up = give_up
        self._sink: messages.Sink | None = None
        self._seen = 0
        self._gone: asyncio.Future[None] | None = None
        self._linger: asyncio.TimerHandle | None = None

    @property
    def seen(self) -> int:
        """Events that the attached caller had already."""
        return self._seen

    def attach(self, sink: messages.Sink, seen: int) -> asyncio.Future[None]:
        """Attaches a sink in place of any other, and catches it up.

        Returns:
            A future that is done when the sink is lost or replaced.
        """
        self.cut()
        self.stop_waiting()
        self._sink = sink
        self._seen = seen
        self._gone = asyncio.get_running_loop().create_future()
        for line in self._lines.replay(self._journal, seen):
            sink.write(line)
        return self._gone

    def lost(self, sink: messages.Sink) -> None:
        """Takes note that a sink was lost; another may come for a while."""
        if sink is not self._sink:
            return
        self._detach()
        loop = asyncio.get_running_loop()
        self._linger = loop.call_later(const.LINGER_S, self._give_up)

    def cut(self) -> None:
        """Cuts the attached sink off."""
        if self._sink is not None:
            self._sink.abort()
            self._detach()

    def stop_waiting(self) -> None:
        """No longer waits for a caller to come back."""
        if self._linger is not None:
            self._linger.cancel()
            self._linger = None

    def keep_alive(self) -> None:
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
            async with asyncio.timeout(const.CALLER_STALL_S):
                await sink.drain()
        except TimeoutError:
            sink.abort()
            self.lost(sink)

    def _detach(self) -> None:
        self._sink = None
        if self._gone is not None and not self._gone.done():
            self._gone.set_result(None)
