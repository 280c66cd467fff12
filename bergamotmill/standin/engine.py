"""A stand-in for a model engine over HTTP."""

import asyncio
import dataclasses
import json
import time
from typing import Any

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import http_server
from bergamotmill.standin import engine_model
from bergamotmill.standin import engine_stream
from bergamotmill.upstream.engine import const
from bergamotmill.util import tasks as background

PIECE_TOKENS = 2000
HEARTBEAT_S = 1.0
HOLD_S = 10.0
COMPLETIONS = ("/v1/chat/completions", "/v1/completions")


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Misbehaviour on demand.

    Attributes:
        ignore_fencing: takes orders with old fencing numbers.
        ignore_target: serves whatever version a request expects.
        ignore_orders: answers orders and does nothing.
        crossed_answers: answers carry another request's id.
    """

    ignore_fencing: bool = False
    ignore_target: bool = False
    ignore_orders: bool = False
    crossed_answers: bool = False


class EngineStandIn:
    """One engine; its record of runs is what tests compare with.

    Attributes:
        runs: request ids in the order in which they were accepted.
        orders: orders in the order in which they took effect.
        max_loading_seen: most models seen loading at once here.
    """

    def __init__(
        self,
        address: str,
        models: dict[str, str],
        speed: engine_model.Speed | None = None,
        load_s: float = 0.4,
        incarnation: int = 0,
    ):
        self._speed = speed or engine_model.Speed()
        self._model = engine_model.EngineModel(self._speed)
        self._server = http_server.HttpServer(address, self._handle)
        self._address = address
        self._load_s = load_s
        self._pool = http_client.Pool()
        self.incarnation = incarnation or time.time_ns() // 1_000_000
        self.models: dict[str, dict[str, Any]] = {
            name: {"version": version, "state": "ready", "adapters": {}}
            for name, version in models.items()
        }
        self.faults = Faults()
        self.draining = False
        self.runs: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self._fencing = 0
        self._streams: dict[str, engine_stream.ResumableStream] = {}
        self._wake = asyncio.Event()
        self._tasks = background.Tasks()

    @property
    def streams(self) -> dict[str, engine_stream.ResumableStream]:
        """Streams that run or are still held."""
        return self._streams

    async def start(self) -> None:
        await self._server.start()
        self._tasks.spawn(self._drive())

    async def close(self) -> None:
        """Ends at once, as a killed process does."""
        self._tasks.cancel()
        await self._server.close()
        self._pool.close()

    async def _drive(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for ready in self._model.advance(loop.time()):
                stream = self._streams.get(ready.job.name)
                if stream is not None:
                    self._tasks.spawn(
                        stream.generate(ready, self._speed.token_s)
                    )
            due = self._model.next_event_time(loop.time())
            self._wake.clear()
            try:
                async with asyncio.timeout_at(due):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _handle(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        path = request.path
        if path in COMPLETIONS and request.method == "POST":
            await self._complete(exchange)
        elif path.startswith(const.PATH_STREAMS):
            await self._stream_call(exchange, path[len(const.PATH_STREAMS) :])
        elif path == const.PATH_REPORT:
            exchange.respond_json(200, self._report())
        elif path == const.PATH_EVENTS:
            self._events(exchange)
        elif path == const.PATH_ORDERS:
            self._order(exchange)
        elif path == const.PATH_EXPORT:
            await self._export(exchange)
        else:
            exchange.respond_json(404, {"error": {"message": path}})

    def _report(self) -> dict[str, Any]:
        now = asyncio.get_running_loop().time()
        return {
            "incarnation": self.incarnation,
            "queued_tokens": self._model.queued_tokens(now),
            "running": self._model.running,
            "slots": self._speed.slots,
            "accepted_tokens": self._model.accepted_tokens,
            "prefill_tokens_per_s": self._speed.prefill_tokens_per_s,
            "models": self.models,
            "draining": self.draining,
        }

    def _events(self, exchange: http_server.Exchange) -> None:
        query = exchange.request.query
        after = int(query.get("after", "0"))
        limit = int(query.get("limit", "256"))
        found = [e for e in self._model.cache.events if e[0] > after][:limit]
        exchange.respond_json(
            200, {"incarnation": self.incarnation, "events": found}
        )

    def _refuse(self, exchange, status: int, message: str) -> None:
        exchange.respond_json(
            status,
            {"error": {"message": message}},
            [(const.HEADER_NOT_RUN.encode(), b"1")],
        )

    async def _complete(self, exchange: http_server.Exchange) -> None:
        headers = exchange.request.headers
        body = json.loads(exchange.request.body)
        model = self.models.get(body.get("model", ""))
        if model is None or model["state"] != "ready" or self.draining:
            self._refuse(exchange, 503, "the model is not ready")
            return
        wanted = (
            headers.get(const.HEADER_INCARNATION, str(self.incarnation)),
            headers.get(const.HEADER_VERSION, model["version"]),
        )
        held = (str(self.incarnation), model["version"])
        if wanted != held and not self.faults.ignore_target:
            self._refuse(exchange, 409, f"this is {held}")
            return
        if body.get("temperature", 0) > 2:
            self._refuse(exchange, 400, "temperature must be at most 2")
            return
        request_id = headers.get(const.HEADER_REQUEST_ID, "none")
        kept = await self._kept(headers)
        stream = engine_stream.ResumableStream(
            request_id, exchange.request.path, body, model["version"]
        )
        self.runs.append(request_id)
        self._streams[request_id] = stream
        self._model.submit(self._job(request_id, headers, body, kept))
        self._wake.set()
        await self._serve_stream(exchange, stream, 0)

    def _job(self, request_id, headers, body, kept) -> engine_model.Job:
        chain = tuple(
            int(item, 16)
            for item in headers.get(const.HEADER_CHAIN, "").split(",")
            if item
        )
        return engine_model.Job(
            request_id,
            int(headers.get(const.HEADER_PRIORITY, "0")),
            chain,
            PIECE_TOKENS,
            max(engine_stream.prompt_tokens(body), len(chain) * PIECE_TOKENS),
            engine_stream.wanted_tokens(body),
            kept,
        )

    async def _kept(self, headers) -> int:
        store = headers.get(const.HEADER_IMPORT)
        chain = headers.get(const.HEADER_CHAIN, "")
        if not store or not chain:
            return 0
        digests = [int(item, 16) for item in chain.split(",")]
        try:
            _, answer = await http_client.fetch(
                self._pool,
                store,
                "POST",
                "/v1/kv/has",
                body=json.dumps({"chain": digests}).encode(),
            )
        except (http_errors.HttpError, TimeoutError):
            return 0
        return int(json.loads(answer)["depth"])

    async def _serve_stream(self, exchange, stream, seen: int) -> None:
        answered = stream.request_id
        if self.faults.crossed_answers:
            answered = "another"
        exchange.start(
            200,
            [
                (b"content-type", b"text/event-stream"),
                (const.HEADER_REQUEST_ID.encode(), answered.encode()),
                (
                    const.HEADER_INCARNATION.encode(),
                    str(self.incarnation).encode(),
                ),
                (const.HEADER_VERSION.encode(), stream.version.encode()),
                (const.HEADER_LOAD.encode(), self._load_header()),
            ],
        )
        await stream.serve(exchange, seen, HEARTBEAT_S)
        if exchange.disconnected and not stream.complete:
            self._tasks.spawn(self._drop_later(stream))

    def _load_header(self) -> bytes:
        return json.dumps(self._report(), separators=(",", ":")).encode()

    async def _drop_later(self, stream) -> None:
        await asyncio.sleep(HOLD_S)
        if not stream.watched:
            self._cancel(stream.request_id)

    def _cancel(self, request_id: str) -> None:
        stream = self._streams.pop(request_id, None)
        if stream is not None:
            stream.cancel()
            self._model.cancel(request_id)
            self._wake.set()

    async def _stream_call(self, exchange, request_id: str) -> None:
        stream = self._streams.get(request_id)
        if exchange.request.method == "DELETE":
            self._cancel(request_id)
            exchange.respond_json(200, {})
            return
        if stream is None:
            self._refuse(exchange, 404, "no such stream")
            return
        seen = int(exchange.request.query.get("seen", "0"))
        await self._serve_stream(exchange, stream, seen)

    def _order(self, exchange: http_server.Exchange) -> None:
        order = json.loads(exchange.request.body)
        if self.faults.ignore_orders:
            exchange.respond_json(200, {})
            return
        fencing = int(order.get("fencing", 0))
        if fencing < self._fencing and not self.faults.ignore_fencing:
            self._refuse(exchange, 412, f"fencing number below {self._fencing}")
            return
        self._fencing = max(self._fencing, fencing)
        self.orders.append(order)
        name = order["model"]
        if order["kind"] == "unload":
            self.models.pop(name, None)
        elif order["kind"] == "load":
            held = self.models.get(name)
            same = held is not None and held["version"] == order["version"]
            if not same or held["adapters"] != order["adapters"]:
                self._tasks.spawn(self._load(order))
        exchange.respond_json(200, {})

    async def _load(self, order: dict[str, Any]) -> None:
        entry = {
            "version": order["version"],
            "state": "loading",
            "adapters": order["adapters"],
        }
        self.models[order["model"]] = entry
        self._model.cache.clear()
        await asyncio.sleep(self._load_s)
        if self.models.get(order["model"]) is entry:
            entry["state"] = "ready"

    async def _export(self, exchange: http_server.Exchange) -> None:
        body = json.loads(exchange.request.body)
        held = [item for item in body["chain"] if item in self._model.cache]
        await http_client.fetch(
            self._pool,
            body["store"],
            "POST",
            "/v1/kv/put",
            body=json.dumps({"chain": held}).encode(),
        )
        exchange.respond_json(200, {"pieces": len(held)})
