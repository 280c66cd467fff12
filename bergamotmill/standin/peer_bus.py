"""In-memory calls between routers, with delay, loss and partitions."""

import asyncio
import collections
from collections.abc import Mapping
import contextvars
import random
from typing import Any

import result

from bergamotmill.control import peers as peer_links
from bergamotmill.util import memory_network

# Approximate framing and headers, added to each request and each reply.
MESSAGE_OVERHEAD_BYTES = 120


class PeerBus:
    """Connects the routers that run on one event loop.

    Attributes:
        loss_rate: fraction of requests, and of replies, that are lost.
        calls_by_method: number of calls by method.
        calls_by_content: number of calls by the host that receives them,
            method, and names of the repeated fields with items, as several
            kinds of small messages share a method.
        bytes_by_host: bytes sent and received by host, including framing.
    """

    def __init__(self, network: memory_network.MemoryNetwork, rng):
        self._network = network
        self._rng: random.Random = rng
        self._handlers: dict[str, Mapping[str, peer_links.Handler]] = {}
        self.loss_rate = 0.0
        self.calls_by_method: dict[str, int] = {}
        self.calls_by_content: collections.Counter[
            tuple[str, str, tuple[str, ...]]
        ] = collections.Counter()
        self.bytes_by_host: dict[str, int] = {}

    def make_peers(self, fleet_key: str, resolve: peer_links.Resolver):
        """Returns the client of one router; the fleet key is not used."""
        del fleet_key
        return BusPeers(self, resolve)

    def make_server(self, address: str, fleet_key: str, handlers):
        """Returns the server of one router; the fleet key is not used."""
        del fleet_key
        return _BusServer(self, address, handlers)

    def listen(self, address: str, handlers) -> None:
        """Registers the handlers of calls to an address."""
        self._handlers[address] = handlers

    def stop_listening(self, address: str) -> None:
        """Removes the handlers of an address; later calls are refused."""
        self._handlers.pop(address, None)

    async def call(self, address: str, method: str, request: Any) -> Any:
        """Carries one call; it never returns when a message is lost."""
        source = memory_network.CURRENT_HOST.get()
        host = address.rpartition(":")[0]
        data = request.SerializeToString()
        self.calls_by_method[method] = self.calls_by_method.get(method, 0) + 1
        fields = tuple(
            field.name for field, _ in request.ListFields() if field.is_repeated
        )
        self.calls_by_content[host, method, fields] += 1
        self._count_bytes(source, host, len(data))
        await self._transmit(source, host)
        handlers = self._handlers.get(address)
        if handlers is None:
            raise ConnectionRefusedError(address)
        context = handlers["context"]
        task = context.copy().run(
            asyncio.ensure_future,
            handlers[method](type(request).FromString(data)),
        )
        reply = await asyncio.shield(task)
        reply_data = reply.SerializeToString()
        self._count_bytes(source, host, len(reply_data))
        await self._transmit(host, source)
        return type(reply).FromString(reply_data)

    def _count_bytes(self, source: str, host: str, size: int) -> None:
        for endpoint in (source, host):
            total = (
                self.bytes_by_host.get(endpoint, 0)
                + size
                + MESSAGE_OVERHEAD_BYTES
            )
            self.bytes_by_host[endpoint] = total

    async def _transmit(self, source: str, target: str) -> None:
        await asyncio.sleep(self._network.delay(source, target))
        lost = self._rng.random() < self.loss_rate
        if lost or not self._network.connected(source, target):
            await asyncio.Event().wait()


class BusPeers:
    """The client of one router on the bus."""

    def __init__(self, bus: PeerBus, resolve: peer_links.Resolver):
        self._bus = bus
        self._resolve = resolve

    async def call(self, router, method, request, timeout_s):
        """Calls a router by its name."""
        address = self._resolve(router)
        if not address:
            return result.Err(f"router {router} has no known address")
        return await self.call_address(address, method, request, timeout_s)

    async def call_address(self, address, method, request, timeout_s):
        """Calls the router that listens on an address."""
        try:
            async with asyncio.timeout(timeout_s):
                return result.Ok(await self._bus.call(address, method, request))
        except (TimeoutError, ConnectionRefusedError) as err:
            return result.Err(repr(err))


class _BusServer:
    """The server of one router on the bus."""

    def __init__(self, bus: PeerBus, address: str, handlers):
        self._bus = bus
        self._address = address
        self._handlers = dict(handlers)

    async def start(self) -> None:
        """Starts accepting calls; they run in the context of this call."""
        self._handlers["context"] = contextvars.copy_context()
        self._bus.listen(self._address, self._handlers)

    async def close(self) -> None:
        """Stops accepting calls."""
        self._bus.stop_listening(self._address)
