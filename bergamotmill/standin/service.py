"""Stand-ins for a plain service and for a store of kept KV cache."""

import asyncio
import json

from bergamotmill.helpers import http_server


class ServiceStandIn:
    """A registry of records; what it ran is its record.

    Attributes:
        runs: bodies of the non-idempotent calls in the order they ran.
        look_ups: paths of the idempotent calls in the order they came.
        lose_answers: so many next calls run, but their answer is cut.
        hang: calls run but are never answered.
        delay_s: pause before a call runs.
    """

    def __init__(self, address: str, name: str = "registry"):
        self._server = http_server.HttpServer(address, self._handle)
        self._name = name
        self.runs: list[bytes] = []
        self.lookups: list[str] = []
        self.lose_answers = 0
        self.hang = False
        self.crossed = False
        self.delay_s = 0.0

    async def start(self) -> None:
        await self._server.start()

    async def close(self) -> None:
        await self._server.close()

    async def _handle(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        if request.method in ("GET", "HEAD"):
            self.lookups.append(request.path)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if request.method in ("GET", "HEAD"):
            exchange.respond_json(
                200, {"record": request.path, "by": self._name}
            )
            return
        self.runs.append(request.body)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            exchange.abort()
            return
        if self.hang:
            left = asyncio.Event()
            exchange.on_close(left.set)
            await left.wait()
            return
        headers = [(b"x-request-id", b"another")] if self.crossed else []
        exchange.respond_json(
            201, {"lodged": len(self.runs), "by": self._name}, headers
        )


class OffloadStoreStandIn:
    """A store that remembers which pieces it was given."""

    def __init__(self, address: str):
        self._server = http_server.HttpServer(address, self._handle)
        self.pieces: set[int] = set()

    async def start(self) -> None:
        await self._server.start()

    async def close(self) -> None:
        await self._server.close()

    async def _handle(self, exchange: http_server.Exchange) -> None:
        chain = json.loads(exchange.request.body)["chain"]
        if exchange.request.path == "/v1/kv/put":
            self.pieces.update(chain)
            exchange.respond_json(200, {})
            return
        depth = 0
        for digest in chain:
            if digest not in self.pieces:
                break
            depth += 1
        exchange.respond_json(200, {"depth": depth})
