"""Stand-ins for a plain HTTP service and for the KV offload store."""

import asyncio
from collections.abc import Callable
import json

from bergamotmill.helpers import http_server


def _ignore_crash(standin: "ServiceStandIn") -> None:
    """Does nothing: the service stays."""
    del standin


class ServiceStandIn:
    """A registry of records that lists the calls that it ran.

    Attributes:
        runs: bodies of the non-idempotent calls in the order they ran.
        lookups: paths of the idempotent calls in the order they arrived.
        lose_answers: number of next non-idempotent calls that run but get no
            answer.
        hang: whether non-idempotent calls run but are never answered.
        crossed: whether answers to non-idempotent calls carry the id of
            another request.
        delay_s: delay before a call runs.
        crash_mark: a call whose path or body contains it crashes the service;
            empty for none.
        answer: written instead of the answer to each call, after which the
            connection is closed; empty for proper answers.
        on_crash: called when a call crashes the service.
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
        self.crash_mark = b""
        self.answer = b""
        self.on_crash: Callable[[ServiceStandIn], None] = _ignore_crash

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
        content = request.path.encode() + request.body
        if self.crash_mark and self.crash_mark in content:
            self.on_crash(self)
            return
        if self.answer:
            if request.method not in ("GET", "HEAD"):
                self.runs.append(request.body)
            exchange.write_raw(self.answer)
            exchange.close()
            return
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
            disconnected = asyncio.Event()
            exchange.on_close(disconnected.set)
            await disconnected.wait()
            return
        headers = [(b"x-request-id", b"another")] if self.crossed else []
        exchange.respond_json(
            201, {"lodged": len(self.runs), "by": self._name}, headers
        )


class OffloadStoreStandIn:
    """A KV offload store that records the digests of stored blocks."""

    def __init__(self, address: str):
        self._server = http_server.HttpServer(address, self._handle)
        self.blocks: set[int] = set()

    async def start(self) -> None:
        await self._server.start()

    async def close(self) -> None:
        await self._server.close()

    async def _handle(self, exchange: http_server.Exchange) -> None:
        chain = json.loads(exchange.request.body)["chain"]
        if exchange.request.path == "/v1/kv/put":
            self.blocks.update(chain)
            exchange.respond_json(200, {})
            return
        depth = 0
        for digest in chain:
            if digest not in self.blocks:
                break
            depth += 1
        exchange.respond_json(200, {"depth": depth})
