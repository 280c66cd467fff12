"""Stand-ins of the platform's replicas, with faults on demand."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import json
from typing import Any

from bergamotmill.helpers import http_server
from bergamotmill.platform import const
from bergamotmill.standin.platform import engine_model
from bergamotmill.util import tasks as background

EVENT = b"id: %d\ndata: t%d\n\n"
LOAD_S = 0.4
MUTE_S = 60.0

Publish = Callable[[str, dict[str, Any] | None], Awaitable[None]]


@dataclasses.dataclass
class Run:
    """A request that a replica began to work on."""

    request_id: str
    customer: str
    scope: str
    weights: int
    began: float
    resumed_after: int = 0
    outcome: str = ""
    continued: bool = False


@dataclasses.dataclass
class Faults:
    """What a replica does wrong.

    Attributes:
        lose_answers: runs requests and cuts the connection.
        mute: takes requests and never answers.
        cut_after: cuts streams after so many events; 0 for never.
        order_delay_s: carries orders out late and leaves them unanswered.
        errors: answers with a failure of its own.
        extra_after_s: sends a second answer so long after each; with the
            first one when 0, never when negative.
        extra_has_id: whether that one bears the first one's id.
    """

    lose_answers: bool = False
    mute: bool = False
    cut_after: int = 0
    order_delay_s: float = 0.0
    errors: bool = False
    extra_after_s: float = -1.0
    extra_has_id: bool = True


def _nobody(address: str) -> None:
    """Knows no other replica."""
    del address


def _parts_of(text: str) -> engine_model.Parts:
    found = []
    for item in text.split(","):
        name, _, tokens = item.partition(":")
        found.append((name, int(tokens)))
    return tuple(found)


class ReplicaStandIn:
    """One replica; an engine when it has a model."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        data_centre: str,
        publish: Publish,
        replica_at: Callable[[str], "ReplicaStandIn | None"] = _nobody,
        model: str = "",
        weights: int = 1,
        slots: int = 64,
        work_s: float = 0.05,
        born: int = 1,
        listen: str = "",
    ):
        self.name = name
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.model = model
        self.weights = weights
        self.slots = slots
        self.born = born
        self.state = "ready"
        self.faults = Faults()
        self.runs: list[Run] = []
        self.orders: list[tuple[str, int, int]] = []
        self.refused: list[tuple[float, str, str]] = []
        self._publish = publish
        self._replica_at = replica_at
        self._uses = engine_model.Uses()
        self.tokens_per_event = 1
        self._work_s = work_s
        self._sequence = 0
        self._running = 0
        self._loading = False
        self.engine = engine_model.EngineModel()
        self._fence = 0
        self._tasks = background.Tasks()
        # Requests of which another engine sent a copy of their memory.
        self.copies: set[str] = set()
        self._server = http_server.HttpServer(listen or address, self._handle)

    def share_uses(self, uses: engine_model.Uses) -> None:
        """Shares the note of what was read lately with other engines."""
        self._uses = uses

    async def start(self) -> None:
        """Starts listening and registers."""
        await self._server.start()
        await self.register()

    async def close(self) -> None:
        """Stops listening."""
        await self._tasks.close()
        await self._server.close()

    async def register(self) -> None:
        """Writes its entry."""
        self._sequence += 1
        models = []
        if self.model:
            models = [
                {"name": self.model, "version": self.weights, "adapters": []}
            ]
        await self._publish(
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.data_centre,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldLeftMs": 0,
                "models": models,
                "born": self.born,
                "sequence": self._sequence,
            },
        )

    async def leave(self) -> None:
        """Reports that it is leaving."""
        self.state = "draining"
        await self.register()

    async def deregister(self) -> None:
        """Takes its entry away."""
        await self._publish(self.name, None)

    async def _handle(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        expected = request.headers.get(
            const.HEADER_EXPECTED_UPSTREAM, self.name
        )
        if expected != self.name:
            exchange.respond(421, b"", self._lines(exchange))
            return
        if request.path == const.PATH_REPORT:
            self._account(exchange)
        elif request.path == const.PATH_ORDER:
            await self._order(exchange)
        else:
            await self._serve(exchange)

    def _lines(self, exchange) -> list[tuple[bytes, bytes]]:
        name = const.HEADER_REQUEST_ID
        request_id = exchange.request.headers.get(name, "")
        return [
            (name.encode(), request_id.encode()),
            (const.HEADER_ANSWERED_BY.encode(), self.name.encode()),
        ]

    def _refuse(self, exchange) -> None:
        headers = exchange.request.headers
        self.refused.append(
            (
                asyncio.get_running_loop().time(),
                headers.get(const.HEADER_REQUEST_ID, ""),
                headers.get(const.HEADER_CUSTOMER, ""),
            )
        )
        lines = self._lines(exchange)
        lines.append((const.HEADER_NOT_RUN.encode(), b"1"))
        exchange.respond(503, b"", lines)

    async def _serve(self, exchange) -> None:
        headers = exchange.request.headers
        wanted = headers.get(const.HEADER_EXPECTED_WEIGHTS)
        if self.model and wanted and int(wanted) != self.weights:
            exchange.respond(421, b"", self._lines(exchange))
            return
        if self._loading or self._running >= self.slots:
            self._refuse(exchange)
            return
        loop = asyncio.get_running_loop()
        run = Run(
            headers.get(const.HEADER_REQUEST_ID, ""),
            headers.get(const.HEADER_CUSTOMER, ""),
            headers.get(const.HEADER_CACHE_SCOPE, ""),
            self.weights,
            loop.time(),
            int(headers.get(const.HEADER_LAST_EVENT, "0")),
        )
        kept = headers.get(const.HEADER_KV_CONTINUATION)
        if kept:
            if kept != f"{self.address}/{run.request_id}" or (
                run.request_id not in self.copies
            ):
                self._refuse(exchange)
                return
            run.continued = True
        self.runs.append(run)
        keeper = self._replica_at(headers.get(const.HEADER_KV_STANDBY, ""))
        if keeper is not None:
            keeper.copies.add(run.request_id)
        self._running += 1
        try:
            if self.model:
                await self._generate(exchange, run)
            else:
                await self._work(exchange, run)
        finally:
            self._running -= 1

    def _receipt(self, exchange) -> list[tuple[bytes, bytes]]:
        lines = self._lines(exchange)
        lines.append((const.HEADER_RESPONSE_SEAL.encode(), self.name.encode()))
        if self.model:
            used = str(self.weights).encode()
            lines.append((const.HEADER_WEIGHTS_USED.encode(), used))
        return lines

    async def _work(self, exchange, run: Run) -> None:
        await asyncio.sleep(self._work_s)
        if self.faults.mute:
            await self._say_nothing(exchange)
        if self.faults.lose_answers:
            run.outcome = "lost"
            exchange.abort()
            return
        run.outcome = "error" if self.faults.errors else "ok"
        status = 500 if self.faults.errors else 200
        body = b"done:" + run.request_id.encode() + exchange.request.body
        exchange.respond(status, body, self._receipt(exchange))
        if self.faults.extra_after_s >= 0:
            self._extra(exchange, run)

    def _extra(self, exchange, run: Run) -> None:
        """Sends a second answer that nobody asked for."""
        request_id = run.request_id if self.faults.extra_has_id else ""
        text = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n"
        if request_id:
            name = const.HEADER_REQUEST_ID
            text += f"{name}: {request_id}\r\n".encode()
        text += f"{const.HEADER_RESPONSE_SEAL}: x\r\n\r\nextra".encode()
        if not self.faults.extra_after_s:
            exchange.write_raw(text)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.extra_after_s, exchange.write_raw, text)

    async def _say_nothing(self, exchange) -> None:
        """Is silent until the caller leaves, for a minute at most."""
        left = asyncio.Event()
        exchange.on_close(left.set)
        try:
            async with asyncio.timeout(MUTE_S):
                await left.wait()
        except TimeoutError:
            return

    async def _generate(self, exchange, run: Run) -> None:
        headers = exchange.request.headers
        total, output = (
            int(text) for text in headers[const.HEADER_TOKEN_COUNTS].split(",")
        )
        parts = _parts_of(headers[const.HEADER_PROMPT_PREFIX])
        source = self._replica_at(headers.get(const.HEADER_KV_SOURCE, ""))
        if source is not None:
            tokens = source.engine.cached_tokens(run.scope, parts)
            await asyncio.sleep(self.engine.fetch(run.scope, parts, tokens))
        work = self.engine.submit(
            run.scope,
            parts,
            total,
            int(headers.get(const.HEADER_URGENCY, "5")),
            self._uses.lately,
        )
        exchange.on_close(work.prefilled.set)
        exchange.on_close(work.turn.set)
        try:
            await work.prefilled.wait()
            self._uses.note(engine_model.keys_of(run.scope, parts))
            if self.faults.mute:
                await self._say_nothing(exchange)
            await self._events(exchange, run, work, output)
        finally:
            self.engine.finish(work)

    async def _events(self, exchange, run: Run, work, output: int) -> None:
        """Writes an event for each few tokens, as they are made."""
        if exchange.disconnected:
            run.outcome = "left"
            return
        exchange.start(200, self._receipt(exchange))
        for number in range(run.resumed_after + 1, output + 1):
            made = (number - run.resumed_after - 1) * self.tokens_per_event + 1
            while work.made < made and not exchange.disconnected:
                work.turn.clear()
                await work.turn.wait()
            if exchange.disconnected:
                run.outcome = "left"
                return
            if self.faults.cut_after and number > self.faults.cut_after:
                run.outcome = "cut"
                exchange.write(b"id: %d\nda" % number)
                await asyncio.sleep(0)
                exchange.abort()
                return
            exchange.write(EVENT % (number, number))
            await exchange.drain()
        exchange.finish()
        run.outcome = "ok"

    def _account(self, exchange) -> None:
        models = [{"name": self.model, "version": self.weights}]
        exchange.respond_json(
            200,
            {
                "models": models,
                "busy": self._loading,
                "sequence": len(self.orders),
            },
        )

    async def _order(self, exchange) -> None:
        body = json.loads(exchange.request.body)
        if self.faults.order_delay_s:
            await asyncio.sleep(self.faults.order_delay_s)
        if body["fenceToken"] < self._fence:
            exchange.respond(412)
            return
        if self._loading or body["precondition"] != len(self.orders):
            exchange.respond(409)
            return
        self._fence = body["fenceToken"]
        order = (body["holder"], body["fenceToken"], body["version"])
        self.orders.append(order)
        self._loading = True
        if self.faults.order_delay_s:
            exchange.abort()
        else:
            exchange.respond(202)
        # The connection is free for other calls meanwhile.
        self._tasks.spawn(self._load(body["version"]))

    async def _load(self, version: int) -> None:
        """Lets requests end, then loads."""
        while self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.weights = version
        self.engine.clear()
        self._loading = False
        await self.register()
