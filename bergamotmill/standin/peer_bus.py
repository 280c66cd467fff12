"""Calls between routers in memory, with delay, loss and cuts."""

import asyncio
from collections.abc import Mapping
import contextvars
import random
from typing import Any

import result

from bergamotmill.control import peers as peer_links
from bergamotmill.util import memory_network

# Rough cost of a call beside its message: frames and headers both ways.
FRAME_BYTES = 120


class PeerBus:
    """Connects routers of one loop.

    Attributes:
        loss: share of requests, and of replies, that are lost.
        calls: calls by method.
        bytes: bytes sent and received by address, framing included.
    """

    def __init__(self, network: memory_network.MemoryNetwork, rng):
        self._network = network
        self._rng: random.Random = rng
        self._handlers: dict[str, Mapping[str, peer_links.Handler]] = {}
        self.loss_rate = 0.0
        self.calls_by_method: dict[str, int] = {}
        self.bytes_by_host: dict[str, int] = {}

    def make_peers(self, fleet_key: str, resolve: peer_links.Resolver):
        """Makes a router's links."""
        del fleet_key
        return BusPeers(self, resolve)

    def make_server(self, address: str, fleet_key: str, handlers):
        """Makes a router's server."""
        del fleet_key
        return _BusServer(self, address, handlers)

    def listen(self, address: str, handlers) -> None:
        """Takes calls for an address."""
        self._handlers[address] = handlers

    def stop_listening(self, address: str) -> None:
        """Takes no more calls for an address."""
        self._handlers.pop(address, None)

    async def call(self, address: str, method: str, request: Any) -> Any:
        """Carries one call; a lost message never returns."""
        source = memory_network.CURRENT_HOST.get()
        host = address.rpartition(":")[0]
        data = request.SerializeToString()
        self.calls_by_method[method] = self.calls_by_method.get(method, 0) + 1
        self._count(source, host, len(data))
        await self._travel(source, host)
        handlers = self._handlers.get(address)
        if handlers is None:
            raise ConnectionRefusedError(address)
        context = handlers["context"]
        task = context.copy().run(
            asyncio.ensure_future,
            handlers[method](type(request).FromString(data)),
        )
        reply = await asyncio.shield(task)
        answer = reply.SerializeToString()
        self._count(source, host, len(answer))
        await self._travel(host, source)
        return type(reply).FromString(answer)

    def _count(self, source: str, host: str, size: int) -> None:
        for end in (source, host):
            total = self.bytes_by_host.get(end, 0) + size + FRAME_BYTES
            self.bytes_by_host[end] = total

    async def _travel(self, source: str, target: str) -> None:
        await asyncio.sleep(self._network.delay(source, target))
        lost = self._rng.random() < self.loss_rate
        if lost or not self._network.connected(source, target):
            await asyncio.Event().wait()


class BusPeers:
    """One router's links over the bus."""

    def __init__(self, bus: PeerBus, resolve: peer_links.Resolver):
        self._bus = bus
        self._resolve = resolve

    async def call(self, router, method, request, timeout_s):
        """Calls a router by name."""
        address = self._resolve(router)
        if not address:
            return result.Err(f"no address of {router}")
        return await self.call_address(address, method, request, timeout_s)

    async def call_address(self, address, method, request, timeout_s):
        """Calls whatever router listens on an address."""
        try:
            async with asyncio.timeout(timeout_s):
                return result.Ok(await self._bus.call(address, method, request))
        except (TimeoutError, ConnectionRefusedError) as err:
            return result.Err(repr(err))


class _BusServer:
    """One router's place on the bus."""

    def __init__(self, bus: PeerBus, address: str, handlers):
        self._bus = bus
        self._address = address
        self._handlers = dict(handlers)

    async def start(self) -> None:
        """Starts taking calls, in the context of its host."""
        self._handlers["context"] = contextvars.copy_context()
        self._bus.listen(self._address, self._handlers)

    async def close(self) -> None:
        """Stops taking calls."""
        self._bus.stop_listening(self._address)
