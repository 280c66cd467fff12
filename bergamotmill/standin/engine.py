"""Stand-in for an inference engine with an HTTP interface."""

import asyncio
from collections.abc import Callable
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

BLOCK_TOKENS = 2000
HEARTBEAT_S = 1.0
# A stream without a reader is cancelled after this time.
ABANDONED_STREAM_HOLD_S = 10.0
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults that a test can switch on.

    Attributes:
        ignore_fencing: whether orders with old fencing tokens are accepted.
        ignore_target: whether requests that expect another incarnation or
            version are served.
        ignore_orders: whether orders are acknowledged but not carried out.
        crossed_answers: whether answers carry the id of another request.
        crash_text: text in a message, other than the last one, on which the
            engine crashes when it begins to answer; empty for none.
        crash_last_text: the same for text in the last message.
    """

    ignore_fencing: bool = False
    ignore_target: bool = False
    ignore_orders: bool = False
    crossed_answers: bool = False
    crash_text: str = ""
    crash_last_text: str = ""


def _ignore_crash(standin: "EngineStandIn") -> None:
    """Does nothing: the engine goes on."""
    del standin


class EngineStandIn:
    """One engine that records its requests and orders for tests.

    Attributes:
        incarnation: start time in milliseconds, or the constructor's argument.
        models: version, state and adapters of each model, by name.
        faults: faults that are switched on.
        draining: whether new requests are refused.
        runs: request ids in the order in which they were accepted.
        orders: orders in the order in which they were accepted.
        on_crash: called when a prompt crashes the engine.
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
        self._engine_model = engine_model.EngineModel(self._speed)
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
        self.on_crash: Callable[[EngineStandIn], None] = _ignore_crash
        self._fencing_token = 0
        self._streams: dict[str, engine_stream.ResumableStream] = {}
        self._wake = asyncio.Event()
        self._tasks = background.Tasks()

    @property
    def streams(self) -> dict[str, engine_stream.ResumableStream]:
        """Streams by request id, from acceptance until cancellation."""
        return self._streams

    async def start(self) -> None:
        await self._server.start()
        self._tasks.spawn(self._run_model())

    async def close(self) -> None:
        """Stops immediately, like a killed process."""
        self._tasks.cancel()
        await self._server.close()
        self._pool.close()

    async def _run_model(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for ready in self._engine_model.advance(loop.time()):
                stream = self._streams.get(ready.job.name)
                if stream is None:
                    continue
                if self._crashes_on(stream.body):
                    self.on_crash(self)
                else:
                    self._tasks.spawn(
                        stream.generate(ready, self._speed.token_s)
                    )
            wake_at = self._engine_model.next_event_time(loop.time())
            self._wake.clear()
            try:
                async with asyncio.timeout_at(wake_at):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _crashes_on(self, body: dict[str, Any]) -> bool:
        contents = [
            str(message.get("content")) for message in body.get("messages", ())
        ]
        text, last_text = self.faults.crash_text, self.faults.crash_last_text
        return (
            bool(text) and any(text in content for content in contents[:-1])
        ) or (bool(last_text) and last_text in contents[-1])

    async def _handle(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        path = request.path
        if path in COMPLETION_PATHS and request.method == "POST":
            await self._handle_completion(exchange)
        elif path.startswith(const.PATH_STREAMS):
            await self._handle_stream(exchange, path[len(const.PATH_STREAMS) :])
        elif path == const.PATH_REPORT:
            exchange.respond_json(200, self._report())
        elif path == const.PATH_EVENTS:
            self._send_cache_events(exchange)
        elif path == const.PATH_ORDERS:
            self._handle_order(exchange)
        elif path == const.PATH_EXPORT:
            await self._export_blocks(exchange)
        else:
            exchange.respond_json(404, {"error": {"message": path}})

    def _report(self) -> dict[str, Any]:
        now = asyncio.get_running_loop().time()
        return {
            "incarnation": self.incarnation,
            "queued_tokens": self._engine_model.queued_tokens(now),
            "running": self._engine_model.running,
            "slots": self._speed.slots,
            "accepted_tokens": self._engine_model.accepted_tokens,
            "prefill_tokens_per_s": self._speed.prefill_tokens_per_s,
            "models": self.models,
            "draining": self.draining,
        }

    def _send_cache_events(self, exchange: http_server.Exchange) -> None:
        query = exchange.request.query
        after = int(query.get("after", "0"))
        limit = int(query.get("limit", "256"))
        events = [e for e in self._engine_model.cache.events if e[0] > after][
            :limit
        ]
        exchange.respond_json(
            200, {"incarnation": self.incarnation, "events": events}
        )

    def _refuse(self, exchange, status: int, message: str) -> None:
        exchange.respond_json(
            status,
            {"error": {"message": message}},
            [(const.HEADER_NOT_RUN.encode(), b"1")],
        )

    async def _handle_completion(self, exchange: http_server.Exchange) -> None:
        headers = exchange.request.headers
        body = json.loads(exchange.request.body)
        model = self.models.get(body.get("model", ""))
        if model is None or model["state"] != "ready" or self.draining:
            self._refuse(exchange, 503, "the model is not ready")
            return
        expected = (
            headers.get(const.HEADER_INCARNATION, str(self.incarnation)),
            headers.get(const.HEADER_VERSION, model["version"]),
        )
        actual = (str(self.incarnation), model["version"])
        if expected != actual and not self.faults.ignore_target:
            self._refuse(exchange, 409, f"incarnation and version are {actual}")
            return
        if body.get("temperature", 0) > 2:
            self._refuse(exchange, 400, "temperature must be at most 2")
            return
        request_id = headers.get(const.HEADER_REQUEST_ID, "none")
        offloaded_blocks = await self._count_offloaded_blocks(headers)
        stream = engine_stream.ResumableStream(
            request_id, exchange.request.path, body, model["version"]
        )
        self.runs.append(request_id)
        self._streams[request_id] = stream
        self._engine_model.submit(
            self._make_job(request_id, headers, body, offloaded_blocks)
        )
        self._wake.set()
        await self._serve_stream(exchange, stream, 0)

    def _make_job(
        self, request_id, headers, body, offloaded_blocks
    ) -> engine_model.Job:
        chain = tuple(
            int(digest, 16)
            for digest in headers.get(const.HEADER_CHAIN, "").split(",")
            if digest
        )
        return engine_model.Job(
            request_id,
            int(headers.get(const.HEADER_PRIORITY, "0")),
            chain,
            BLOCK_TOKENS,
            max(engine_stream.prompt_tokens(body), len(chain) * BLOCK_TOKENS),
            engine_stream.requested_tokens(body),
            offloaded_blocks,
        )

    async def _count_offloaded_blocks(self, headers) -> int:
        store = headers.get(const.HEADER_IMPORT)
        chain = headers.get(const.HEADER_CHAIN, "")
        if not store or not chain:
            return 0
        digests = [int(digest, 16) for digest in chain.split(",")]
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
        response_id = stream.request_id
        if self.faults.crossed_answers:
            response_id = "another"
        exchange.start(
            200,
            [
                (b"content-type", b"text/event-stream"),
                (const.HEADER_REQUEST_ID.encode(), response_id.encode()),
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
            self._tasks.spawn(self._cancel_if_abandoned(stream))

    def _load_header(self) -> bytes:
        return json.dumps(self._report(), separators=(",", ":")).encode()

    async def _cancel_if_abandoned(self, stream) -> None:
        await asyncio.sleep(ABANDONED_STREAM_HOLD_S)
        if not stream.has_reader:
            self._cancel(stream.request_id)

    def _cancel(self, request_id: str) -> None:
        stream = self._streams.pop(request_id, None)
        if stream is not None:
            stream.cancel()
            self._engine_model.cancel(request_id)
            self._wake.set()

    async def _handle_stream(self, exchange, request_id: str) -> None:
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

    def _handle_order(self, exchange: http_server.Exchange) -> None:
        order = json.loads(exchange.request.body)
        if self.faults.ignore_orders:
            exchange.respond_json(200, {})
            return
        fencing = int(order.get("fencing", 0))
        if fencing < self._fencing_token and not self.faults.ignore_fencing:
            self._refuse(
                exchange, 412, f"fencing token below {self._fencing_token}"
            )
            return
        self._fencing_token = max(self._fencing_token, fencing)
        self.orders.append(order)
        name = order["model"]
        if order["kind"] == "unload":
            self.models.pop(name, None)
        elif order["kind"] == "load":
            loaded = self.models.get(name)
            same_version = (
                loaded is not None and loaded["version"] == order["version"]
            )
            if not same_version or loaded["adapters"] != order["adapters"]:
                self._tasks.spawn(self._load(order))
        exchange.respond_json(200, {})

    async def _load(self, order: dict[str, Any]) -> None:
        entry = {
            "version": order["version"],
            "state": "loading",
            "adapters": order["adapters"],
        }
        self.models[order["model"]] = entry
        self._engine_model.cache.clear()
        await asyncio.sleep(self._load_s)
        if self.models.get(order["model"]) is entry:
            entry["state"] = "ready"

    async def _export_blocks(self, exchange: http_server.Exchange) -> None:
        body = json.loads(exchange.request.body)
        cached = [
            digest
            for digest in body["chain"]
            if digest in self._engine_model.cache
        ]
        await http_client.fetch(
            self._pool,
            body["store"],
            "POST",
            "/v1/kv/put",
            body=json.dumps({"chain": cached}).encode(),
        )
        exchange.respond_json(200, {"pieces": len(cached)})
