"""A network in memory for virtual loops, with faults on demand.

A process is known by its host, the IP number it listens on. Whoever opens a
connection does so as the host that the context variable names.
"""

import asyncio
import collections
from collections.abc import Callable
import contextvars
import random
from typing import Any

from bergamotmill.util import virtual_loop

CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar(
    "host", default="10.0.9.9"
)
HIGH_WATER_BYTES = 64 * 1024


class _Endpoint(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self,
        network: "MemoryNetwork",
        host: str,
        protocol: Any,
        context: contextvars.Context,
    ):
        super().__init__()
        # Callbacks run as the end's own host, and so do tasks they start.
        self.context = context
        self._network = network
        self.host = host
        self.protocol = protocol
        self.peer: _Endpoint | None = None
        self._inbox: collections.deque[bytes | None] = collections.deque()
        self._inbox_bytes = 0
        self._reading = True
        self._closing = False
        self._lost = False
        self._high = HIGH_WATER_BYTES
        self._writer_paused = False
        self.silent = False

    def get_extra_info(self, name, default=None):
        """Knows nothing more."""
        return default

    def is_closing(self) -> bool:
        """Whether it is closed or about to be."""
        return self._closing

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Sets when the writer is paused."""
        if high is not None:
            self._high = high

    def get_write_buffer_size(self) -> int:
        """Returns bytes that the other side has not taken."""
        return self.peer._inbox_bytes if self.peer else 0

    def write(self, data) -> None:
        """Sends bytes to the other end."""
        if self._closing or self._lost or self.silent:
            return
        self._network.bytes_sent += len(data)
        self._send(bytes(data))

    def _send(self, item: bytes | None) -> None:
        peer = self.peer
        peer._inbox.append(item)
        peer._inbox_bytes += len(item or b"")
        if peer._inbox_bytes > self._high and not self._writer_paused:
            self._writer_paused = True
            self.protocol.pause_writing()
        delay = self._network.delay(self.host, peer.host)
        asyncio.get_running_loop().call_later(
            delay, peer._deliver, context=peer.context
        )

    def _deliver(self) -> None:
        if not self._reading or self._lost:
            return
        if not self._network.connected(self.host, self.peer.host):
            asyncio.get_running_loop().call_later(
                0.05, self._deliver, context=self.context
            )
            return
        while self._inbox and self._reading and not self._lost:
            item = self._inbox.popleft()
            if item is None:
                self._terminate(None)
                return
            self._inbox_bytes -= len(item)
            self.protocol.data_received(item)
        peer = self.peer
        if peer._writer_paused and self._inbox_bytes < peer._high // 4:
            peer._writer_paused = False
            if not peer._lost:
                peer.protocol.resume_writing()

    def pause_reading(self) -> None:
        """Keeps what arrives."""
        self._reading = False

    def resume_reading(self) -> None:
        """Delivers what was kept."""
        self._reading = True
        asyncio.get_running_loop().call_soon(
            self._deliver, context=self.context
        )

    def close(self) -> None:
        """Closes both ends after what was written."""
        if self._closing:
            return
        self._closing = True
        if not self.silent and not self._lost:
            self._send(None)
        asyncio.get_running_loop().call_soon(
            self._terminate, None, context=self.context
        )

    def abort(self) -> None:
        """Closes both ends."""
        self.close()

    def reset(self, reason: str) -> None:
        """Ends this side with an error."""
        self._closing = True
        asyncio.get_running_loop().call_soon(
            self._terminate, ConnectionResetError(reason), context=self.context
        )

    def _terminate(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._lost = True
        self._closing = True
        self._network.endpoints.pop(self, None)
        self.protocol.connection_lost(error)


class _Server:
    """A listening address."""

    def __init__(self, network: "MemoryNetwork", address: tuple[str, int]):
        self._network = network
        self._address = address

    @property
    def sockets(self):
        """Has no real socket."""
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening."""
        self._network.servers.pop(self._address, None)


class MemoryNetwork:
    """All servers and connections of one virtual loop."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.servers: dict[
            tuple[str, int], tuple[Callable[[], Any], contextvars.Context]
        ] = {}
        self.endpoints: dict[_Endpoint, None] = {}
        self._cut: set[frozenset[str]] = set()
        self._dead: set[str] = set()
        self.bytes_sent = 0
        self.latency_s = 0.0005
        self.jitter_s = 0.0005

    def delay(self, source: str, target: str) -> float:
        """Returns how long a message takes."""
        del source, target
        return self.latency_s + self.jitter_s * self._rng.random()

    def connected(self, one: str, other: str) -> bool:
        """Whether messages pass between two hosts."""
        if one in self._dead or other in self._dead:
            return False
        return frozenset((one, other)) not in self._cut

    def partition(self, one: str, other: str) -> None:
        """Holds back all messages between two hosts."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Lets all messages pass again."""
        self._cut.clear()

    def kill(self, host: str) -> None:
        """Ends a host: its servers go and its connections break."""
        self._dead.add(host)
        for address in list(self.servers):
            if address[0] == host:
                del self.servers[address]
        for end in list(self.endpoints):
            if end.host == host or end.peer.host == host:
                end.reset("the other side died")

    def revive(self, host: str) -> None:
        """Lets a host start anew."""
        self._dead.discard(host)

    def blackhole(self, one: str, other: str) -> int:
        """Makes the present connections between two hosts silent for good."""
        count = 0
        for end in self.endpoints:
            if {end.host, end.peer.host} == {one, other} and not end.silent:
                end.silent = True
                count += 1
        return count

    async def open(self, factory, host: str, port: int):
        """Opens a connection from the present host."""
        source = CURRENT_HOST.get()
        if source in self._dead:
            raise ConnectionRefusedError(f"{source} is dead")
        while not self.connected(source, host) and host not in self._dead:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.delay(source, host))
        accept = self.servers.get((host, port))
        if accept is None or source in self._dead:
            raise ConnectionRefusedError(f"nothing listens on {host}:{port}")
        far_factory, far_context = accept
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


class NetworkLoop(virtual_loop.VirtualLoop):
    """A virtual loop whose TCP connections stay in memory."""

    def __init__(self, network: MemoryNetwork):
        super().__init__()
        self.network = network

    async def create_connection(self, protocol_factory, host, port, **kwargs):
        """Opens a connection in memory."""
        del kwargs
        return await self.network.open(protocol_factory, host, port)

    async def create_server(self, protocol_factory, host, port, **kwargs):
        """Listens in memory, in the context of the present host."""
        del kwargs
        context = contextvars.copy_context()
        self.network.servers[(host, port)] = (protocol_factory, context)
        return _Server(self.network, (host, port))


def run(network: MemoryNetwork, main) -> Any:
    """Runs a coroutine to its end on a new loop with this network."""
    with asyncio.Runner(loop_factory=lambda: NetworkLoop(network)) as runner:
        return runner.run(main)
