"""In-memory network for virtual event loops, with fault injection.

A simulated process is identified by its host, the IP address that it listens
on. A new connection originates from the host in the `CURRENT_HOST` context
variable.
"""

import asyncio
import collections
from collections.abc import Callable
import contextvars
import enum
import random
from typing import Any

from bergamotmill.util import virtual_loop

CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar(
    "host", default="10.0.9.9"
)
MAX_PORT = 65535
HIGH_WATER_BYTES = 64 * 1024


class _End(enum.Enum):
    """How an endpoint ended a connection.

    Attributes:
        CLEAN: it closed the connection after its data.
        RESET: it aborted the connection.
    """

    CLEAN = enum.auto()
    RESET = enum.auto()


class _Endpoint(asyncio.Transport):
    """One endpoint of a connection."""

    def __init__(
        self,
        network: "MemoryNetwork",
        host: str,
        protocol: Any,
        context: contextvars.Context,
    ):
        super().__init__()
        # Callbacks of the protocol, and tasks that they start, run with
        # CURRENT_HOST set to the host of this endpoint.
        self.context = context
        self._network = network
        self.host = host
        self.protocol = protocol
        self.peer: _Endpoint | None = None
        self._receive_buffer: collections.deque[bytes | _End] = (
            collections.deque()
        )
        self._receive_buffer_bytes = 0
        self._reading = True
        self._closing = False
        self._disconnected = False
        self._high_water_bytes = HIGH_WATER_BYTES
        self._writing_paused = False
        self.blackholed = False

    def get_extra_info(self, name, default=None):
        """Returns the default, as there is no socket."""
        return default

    def is_closing(self) -> bool:
        """Whether the endpoint is closed or closing."""
        return self._closing

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Sets the buffer size above which the writer is paused."""
        if high is not None:
            self._high_water_bytes = high

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that the peer has not read yet."""
        return self.peer._receive_buffer_bytes if self.peer else 0

    def write(self, data) -> None:
        """Sends bytes to the peer."""
        if self._closing or self._disconnected or self.blackholed:
            return
        self._network.bytes_sent += len(data)
        self._enqueue(bytes(data))

    def _enqueue(self, chunk: bytes | _End) -> None:
        peer = self.peer
        peer._receive_buffer.append(chunk)
        if not isinstance(chunk, _End):
            peer._receive_buffer_bytes += len(chunk)
        if (
            peer._receive_buffer_bytes > self._high_water_bytes
            and not self._writing_paused
        ):
            self._writing_paused = True
            self.protocol.pause_writing()
        delay_s = self._network.delay(self.host, peer.host)
        asyncio.get_running_loop().call_later(
            delay_s, peer._deliver, context=peer.context
        )

    def _deliver(self) -> None:
        if not self._reading or self._disconnected:
            return
        if not self._network.connected(self.host, self.peer.host):
            asyncio.get_running_loop().call_later(
                0.05, self._deliver, context=self.context
            )
            return
        while self._receive_buffer and self._reading and not self._disconnected:
            chunk = self._receive_buffer.popleft()
            if chunk is _End.RESET:
                self._terminate(ConnectionResetError("reset by the peer"))
                return
            if chunk is _End.CLEAN:
                # As with real transports, a protocol that returns True keeps
                # its endpoint open.
                if not self.protocol.eof_received():
                    self._terminate(None)
                    return
                continue
            self._receive_buffer_bytes -= len(chunk)
            self.protocol.data_received(chunk)
        peer = self.peer
        if (
            peer._writing_paused
            and self._receive_buffer_bytes < peer._high_water_bytes // 4
        ):
            peer._writing_paused = False
            if not peer._disconnected:
                peer.protocol.resume_writing()

    def pause_reading(self) -> None:
        """Stops delivery; arriving data is buffered."""
        self._reading = False

    def resume_reading(self) -> None:
        """Resumes delivery, starting with the buffered data."""
        self._reading = True
        asyncio.get_running_loop().call_soon(
            self._deliver, context=self.context
        )

    def close(self) -> None:
        """Closes the connection; the peer first receives the pending data."""
        self._end(_End.CLEAN)

    def abort(self) -> None:
        """Closes the connection; the peer gets a ConnectionResetError.

        What the peer has not received yet comes before the reset, as Linux
        keeps received data readable.
        """
        self._end(_End.RESET)

    def _end(self, end: _End) -> None:
        if self._closing:
            return
        self._closing = True
        if not self.blackholed and not self._disconnected:
            self._enqueue(end)
        asyncio.get_running_loop().call_soon(
            self._terminate, None, context=self.context
        )

    def reset(self, reason: str) -> None:
        """Closes this endpoint with a ConnectionResetError."""
        self._closing = True
        asyncio.get_running_loop().call_soon(
            self._terminate, ConnectionResetError(reason), context=self.context
        )

    def _terminate(self, error: Exception | None) -> None:
        if self._disconnected:
            return
        self._disconnected = True
        self._closing = True
        self._network.endpoints.pop(self, None)
        self.protocol.connection_lost(error)


class _MemoryServer:
    """A listening server."""

    def __init__(self, network: "MemoryNetwork", address: tuple[str, int]):
        self._network = network
        self._address = address

    @property
    def sockets(self):
        """Not supported, as there are no real sockets."""
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening on the address."""
        self._network.servers.pop(self._address, None)


class MemoryNetwork:
    """All servers and connections of one virtual event loop."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.servers: dict[
            tuple[str, int], tuple[Callable[[], Any], contextvars.Context]
        ] = {}
        self.endpoints: dict[_Endpoint, None] = {}
        self._partitions: set[frozenset[str]] = set()
        self._killed_hosts: set[str] = set()
        self.bytes_sent = 0
        self.latency_s = 0.0005
        self.jitter_s = 0.0005

    def delay(self, source: str, target: str) -> float:
        """Returns the transmission delay of a message in seconds."""
        del source, target
        return self.latency_s + self.jitter_s * self._rng.random()

    def connected(self, host_a: str, host_b: str) -> bool:
        """Whether messages can pass between two hosts."""
        if host_a in self._killed_hosts or host_b in self._killed_hosts:
            return False
        return frozenset((host_a, host_b)) not in self._partitions

    def partition(self, host_a: str, host_b: str) -> None:
        """Holds back all messages between two hosts until `heal`."""
        self._partitions.add(frozenset((host_a, host_b)))

    def heal(self) -> None:
        """Removes all network partitions."""
        self._partitions.clear()

    def kill(self, host: str) -> None:
        """Stops a host: removes its servers and resets its connections."""
        self._killed_hosts.add(host)
        for address in list(self.servers):
            if address[0] == host:
                del self.servers[address]
        for endpoint in list(self.endpoints):
            if endpoint.host == host or endpoint.peer.host == host:
                endpoint.reset("the peer host was killed")

    def revive(self, host: str) -> None:
        """Allows a killed host to start again."""
        self._killed_hosts.discard(host)

    def blackhole(self, host_a: str, host_b: str) -> int:
        """Drops all further data on the open connections between two hosts.

        Connections opened later are not affected.

        Returns:
            The number of endpoints affected.
        """
        count = 0
        for endpoint in self.endpoints:
            if {endpoint.host, endpoint.peer.host} == {
                host_a,
                host_b,
            } and not endpoint.blackholed:
                endpoint.blackholed = True
                count += 1
        return count

    async def open(self, factory, host: str, port: int):
        """Opens a connection from the current host.

        Raises:
            ConnectionRefusedError: nothing listens there.
            OverflowError, ValueError: no system accepts the address.
        """
        _check_address(host, port)
        source = CURRENT_HOST.get()
        if source in self._killed_hosts:
            raise ConnectionRefusedError(f"host {source} is not running")
        while (
            not self.connected(source, host) and host not in self._killed_hosts
        ):
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.delay(source, host))
        server = self.servers.get((host, port))
        if server is None or source in self._killed_hosts:
            raise ConnectionRefusedError(f"nothing listens on {host}:{port}")
        far_factory, far_context = server
        own_context = contextvars.copy_context()
        near = _Endpoint(self, source, factory(), own_context)
        far = _Endpoint(
            self, host, far_context.run(far_factory), far_context.copy()
        )
        near.peer, far.peer = far, near
        self.endpoints[near] = None
        self.endpoints[far] = None
        near.protocol.connection_made(near)
        far.context.run(far.protocol.connection_made, far)
        return near, near.protocol


def _check_address(host: str, port: int) -> None:
    """Raises what an event loop raises for an address that cannot exist."""
    if not 0 <= port <= MAX_PORT:
        raise OverflowError("connect(): port must be 0-65535.")
    if "\0" in host:
        raise ValueError("embedded null character")
    host.encode("idna")


class NetworkLoop(virtual_loop.VirtualLoop):
    """A virtual event loop whose TCP connections stay in memory."""

    def __init__(self, network: MemoryNetwork):
        super().__init__()
        self.network = network

    async def create_connection(self, protocol_factory, host, port, **kwargs):
        """Opens an in-memory connection."""
        del kwargs
        return await self.network.open(protocol_factory, host, port)

    async def create_server(self, protocol_factory, host, port, **kwargs):
        """Starts an in-memory server in the context of the current host."""
        del kwargs
        context = contextvars.copy_context()
        self.network.servers[(host, port)] = (protocol_factory, context)
        return _MemoryServer(self.network, (host, port))


def run(network: MemoryNetwork, main) -> Any:
    """Runs a coroutine to completion on a new loop with this network."""
    with asyncio.Runner(loop_factory=lambda: NetworkLoop(network)) as runner:
        return runner.run(main)
