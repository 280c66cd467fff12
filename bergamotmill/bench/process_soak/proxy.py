"""A loopback TCP proxy that delays, blocks or resets connections."""

import asyncio
import dataclasses
import socket
import struct

from bergamotmill.util import tasks as background

READ_BYTES = 64 * 1024
BLOCKED_POLL_S = 0.05


@dataclasses.dataclass
class LinkFaults:
    """Faults that a proxy applies to all its connections.

    Attributes:
        delay_s: delay of each chunk of bytes in both directions, in seconds.
        cut_to: whether bytes towards the server are held back.
        cut_from: whether bytes from the server are held back.
        refusing: whether new connections are reset.
    """

    delay_s: float = 0.0
    cut_to: bool = False
    cut_from: bool = False
    refusing: bool = False


class _ProxiedConnection:
    """One connection through the proxy."""

    def __init__(
        self,
        client_writer: asyncio.StreamWriter,
        server_writer: asyncio.StreamWriter,
    ):
        self.client_writer = client_writer
        self.server_writer = server_writer
        self.silent = False

    def abort(self) -> None:
        """Resets both sides; a plain close would look like a proper end."""
        for writer in (self.client_writer, self.server_writer):
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        # With a linger time of 0, closing resets the connection.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another."""

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.link_faults = LinkFaults()
        self._connections: set[_ProxiedConnection] = set()
        self._tasks = background.Tasks()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def reset(self) -> None:
        """Resets all open connections."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Blocks the open connections permanently without closing them."""
        for connection in self._connections:
            connection.silent = True

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        self.reset()
        await self._tasks.close()

    async def _accept(
        self,
        client_reader,
        client_writer: asyncio.StreamWriter,
    ) -> None:
        if self.link_faults.refusing:
            _reset(client_writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(client_writer)
            return
        connection = _ProxiedConnection(client_writer, server_writer)
        self._connections.add(connection)
        to_server = self._tasks.spawn(
            self._relay(connection, client_reader, server_writer, True)
        )
        from_server = self._tasks.spawn(
            self._relay(connection, server_reader, client_writer, False)
        )
        try:
            await asyncio.wait({to_server, from_server})
        finally:
            self._connections.discard(connection)
            for writer in (client_writer, server_writer):
                writer.close()

    def _is_blocked(
        self, connection: _ProxiedConnection, to_server: bool
    ) -> bool:
        return connection.silent or (
            self.link_faults.cut_to if to_server else self.link_faults.cut_from
        )

    async def _relay(
        self, connection: _ProxiedConnection, reader, writer, to_server: bool
    ) -> None:
        """Copies bytes in one direction until the end of the stream."""
        try:
            while data := await reader.read(READ_BYTES):
                if self.link_faults.delay_s:
                    await asyncio.sleep(self.link_faults.delay_s)
                while self._is_blocked(connection, to_server):
                    await asyncio.sleep(BLOCKED_POLL_S)
                writer.write(data)
                await writer.drain()
            while self._is_blocked(connection, to_server):
                await asyncio.sleep(BLOCKED_POLL_S)
            writer.write_eof()
        except OSError:
            connection.abort()
