"""A loopback proxy that delays, resets, cuts or silences connections."""

import asyncio
import dataclasses

from bergamotmill.util import tasks as background

READ_BYTES = 64 * 1024
HELD_CHECK_S = 0.05


@dataclasses.dataclass
class Leg:
    """What happens to bytes of one proxy.

    Attributes:
        delay_s: how much later bytes pass.
        cut_to: nothing passes towards the server.
        cut_from: nothing passes back.
        refusing: new connections are reset.
    """

    delay_s: float = 0.0
    cut_to: bool = False
    cut_from: bool = False
    refusing: bool = False


class _Pair:
    """One connection through the proxy."""

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter):
        self.near = near
        self.far = far
        self.silent = False

    def abort(self) -> None:
        """Resets both sides."""
        for writer in (self.near, self.far):
            writer.transport.abort()


class Proxy:
    """Passes connections of one address on to another."""

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.leg = Leg()
        self._pairs: set[_Pair] = set()
        self._tasks = background.Tasks()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def reset(self) -> None:
        """Resets all connections there are."""
        for pair in list(self._pairs):
            pair.abort()

    def silence(self) -> None:
        """Lets the connections there are go silent for good."""
        for pair in self._pairs:
            pair.silent = True

    async def close(self) -> None:
        """Stops listening and resets everything."""
        self._server.close()
        self.reset()
        await self._tasks.close()

    async def _accept(self, reader, near: asyncio.StreamWriter) -> None:
        if self.leg.refusing:
            near.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            back, far = await asyncio.open_connection(host, int(port))
        except OSError:
            near.transport.abort()
            return
        pair = _Pair(near, far)
        self._pairs.add(pair)
        towards = self._tasks.spawn(self._pump(pair, reader, far, True))
        backwards = self._tasks.spawn(self._pump(pair, back, near, False))
        try:
            await asyncio.wait({towards, backwards})
        finally:
            self._pairs.discard(pair)
            for writer in (near, far):
                writer.close()

    def _holds(self, pair: _Pair, towards: bool) -> bool:
        return pair.silent or (
            self.leg.cut_to if towards else self.leg.cut_from
        )

    async def _pump(self, pair: _Pair, reader, writer, towards: bool) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.leg.delay_s:
                    await asyncio.sleep(self.leg.delay_s)
                while self._holds(pair, towards):
                    await asyncio.sleep(HELD_CHECK_S)
                writer.write(data)
                await writer.drain()
            while self._holds(pair, towards):
                await asyncio.sleep(HELD_CHECK_S)
            writer.write_eof()
        except OSError:
            pair.abort()
