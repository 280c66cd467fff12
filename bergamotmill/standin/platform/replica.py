"""Stand-in for a replica of the platform, with injectable faults."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import json
from typing import Any

from bergamotmill.helpers import http_server
from bergamotmill.platform import const
from bergamotmill.standin.platform import engine_model
from bergamotmill.util import tasks as background

EVENT_FORMAT = b"id: %d\ndata: t%d\n\n"
LOAD_S = 0.4
HEALTH_PATH = "/health"
SILENCE_MAX_S = 60.0
PIECE_BYTES = 7
PIECE_PAUSE_S = 0.002

Publish = Callable[[str, dict[str, Any] | None], Awaitable[None]]


@dataclasses.dataclass
class Run:
    """A request that a replica started to process.

    Attributes:
        weights: version of the weights.
        began: start time on the loop's clock.
        resumed_after: number of the last event that the caller already has.
        outcome: `ok`, `error`, `lost` (answer not sent), `cut` (stream cut),
            `crashed` or `left` (caller disconnected); empty while the request
            runs.
        continued: whether it continues from a copy of the KV cache.
        parts: names of the parts of its prompt.
        answered: whether the first bytes of its answer were sent.
        body: its body.
        unframed: whether its answer has neither a length nor chunks.
    """

    request_id: str
    customer: str
    scope: str
    weights: int
    began: float
    resumed_after: int = 0
    outcome: str = ""
    continued: bool = False
    parts: tuple[str, ...] = ()
    answered: bool = False
    body: bytes = b""
    unframed: bool = False


@dataclasses.dataclass
class Faults:
    """Faults that a test can switch on.

    Only `mute`, `cut_after`, `order_delay_s`, `endless`, `endless_control`,
    `crash_parts`, `crash_mark` and `unframed` affect engines; `endless` and the
    last two affect plain services, too.

    Attributes:
        lose_answers: whether requests run but their connection is cut.
        mute: whether answers are withheld for `SILENCE_MAX_S`.
        cut_after: number of the event after which streams are cut; 0 for
            never.
        order_delay_s: delay of orders in seconds; a delayed order gets no
            answer.
        errors: whether requests run and are answered with status 500.
        extra_after_s: delay of a second answer after each answer, in seconds;
            0 sends both at once, a negative value sends none.
        extra_has_id: whether the second answer carries the request id.
        refuse: whether requests are refused with status 503.
        retry_after_s: value of `Retry-After` in refusals, in seconds; 0 for
            none.
        says_leaving: whether answers say that the replica is leaving.
        limit: value of the header in which answers name the requests per
            second that the replica takes; empty for none.
        endless: part of an answer that never ends, until the caller
            disconnects: a key of `ENDLESS_PARTS`; empty for none.
        endless_control: whether answers to reports and orders never end.
        crash_parts: parts of prompts on which an engine crashes when it begins
            to write the answer, unless it is the last part.
        crash_mark: a request whose body contains it crashes the replica; empty
            for none.
        crash_after_s: time from the start of such a request to the crash, in
            seconds, at plain services.
        crash_after_events: number of events that an engine sends before such a
            request crashes it.
        unframed: whether answers have neither a length nor chunks and end with
            their connection.
        end_after_head: whether unframed answers end after their head.
        reset_before_answer: whether engines cut the connection instead of
            answering, and go on.
        pause_after_start_s: pause within unframed answers, after their first
            bytes, in seconds.
        repeats_refusals: whether a refusal without a request id arrives before
            the answer of each request but the first of its connection, as if
            it were that of an earlier one.
        resume_answer: written in small pieces instead of an answer to requests
            that resume or continue a stream, after which their connection is
            closed. `ID` is replaced by the request's id.
        answer: written instead of the answer to each request that runs, after
            which the connection is closed, or reset with `resets`. `ID` is
            replaced by the request's id.
        resets: see `answer`.
    """

    lose_answers: bool = False
    mute: bool = False
    cut_after: int = 0
    order_delay_s: float = 0.0
    errors: bool = False
    extra_after_s: float = -1.0
    extra_has_id: bool = True
    refuse: bool = False
    retry_after_s: float = 0.0
    says_leaving: bool = False
    limit: str = ""
    endless: str = ""
    endless_control: bool = False
    crash_parts: frozenset[str] = frozenset()
    crash_mark: bytes = b""
    crash_after_s: float = 0.04
    crash_after_events: int = 0
    unframed: bool = False
    end_after_head: bool = False
    reset_before_answer: bool = False
    pause_after_start_s: float = 0.0
    repeats_refusals: bool = False
    resume_answer: bytes = b""
    answer: bytes = b""
    resets: bool = False


# Bytes that answers without an end start with, and those that follow. `ID` is
# replaced by the request's id.
_PROPER_HEAD = (
    f"HTTP/1.1 200 OK\r\n{const.HEADER_REQUEST_ID}: ID\r\n"
    f"{const.HEADER_RESPONSE_SEAL}: x\r\n"
).encode()
_FILLER = b"z" * 4096
_REFUSAL = (
    f"HTTP/1.1 503 Busy\r\n{const.HEADER_NOT_RUN}: 1\r\n"
    "content-length: 0\r\n\r\n"
).encode()
ENDLESS_PARTS = {
    "garbage": (b"", _FILLER),
    "header": (b"HTTP/1.1 200 OK\r\nx-filler: ", _FILLER),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 500),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    "body": (_PROPER_HEAD + b"\r\n", _FILLER),
    "chunks": (
        _PROPER_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1000\r\n" + _FILLER + b"\r\n",
    ),
    "chunk size": (
        _PROPER_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"0" * 4096,
    ),
    "trailers": (
        _PROPER_HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x: y\r\n" * 500,
    ),
}


def _no_replica(address: str) -> None:
    """Returns None for every address."""
    del address


def _ignore_crash(standin: "ReplicaStandIn") -> None:
    """Does nothing: the replica stays."""
    del standin


def _parse_parts(text: str) -> engine_model.Parts:
    parts = []
    for item in text.split(","):
        name, _, tokens = item.partition(":")
        parts.append((name, int(tokens)))
    return tuple(parts)


class ReplicaStandIn:
    """One replica: an engine when it has a model, else a plain service.

    Attributes:
        address: registered address; the replica listens on `listen` if given.
        weights: version of the weights.
        born: incarnation.
        state: state in the store entry, `ready` or `draining`.
        runs: requests that the replica started to process.
        orders: lease holder, fencing token and version of each accepted order.
        ordered_at: time of each accepted order.
        refused: time, request id and customer of each request that was
            refused with status 503.
        received_at: time of each request, order and status query.
        requests_at: time of each request, also of those that it refused.
        tokens_per_event: output tokens per event of a stream.
        engine: model of compute time and KV memory.
        kv_copies: ids of requests whose KV cache was copied here.
        endless_bytes_sent: bytes sent of answers that never end.
        on_crash: called when a request crashes the replica.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        data_centre: str,
        publish: Publish,
        replica_at: Callable[[str], "ReplicaStandIn | None"] = _no_replica,
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
        self.ordered_at: list[float] = []
        self.refused: list[tuple[float, str, str]] = []
        self.received_at: list[float] = []
        self.requests_at: list[float] = []
        self._publish = publish
        self._replica_at = replica_at
        self._recent_uses = engine_model.RecentUses()
        self.tokens_per_event = 1
        self._work_s = work_s
        self._sequence = 0
        self._running = 0
        self._loading = False
        self.engine = engine_model.EngineModel()
        self.engine.on_memory_exceeded = self._crash_for_memory
        self._fencing_token = 0
        self._tasks = background.Tasks()
        self.kv_copies: set[str] = set()
        self.endless_bytes_sent = 0
        self.on_crash: Callable[[ReplicaStandIn], None] = _ignore_crash
        self._server = http_server.HttpServer(listen or address, self._handle)

    def share_recent_uses(self, uses: engine_model.RecentUses) -> None:
        """Sets the record of recent uses that the engines share."""
        self._recent_uses = uses

    async def start(self) -> None:
        """Starts listening and writes the store entry."""
        await self._server.start()
        await self.register()

    async def close(self) -> None:
        """Stops listening."""
        await self._tasks.close()
        await self._server.close()

    async def register(self) -> None:
        """Writes the replica's entry to the store."""
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
        """Writes the entry with the state `draining`; answers say so too."""
        self.state = "draining"
        self.faults.says_leaving = True
        await self.register()

    async def deregister(self) -> None:
        """Removes the entry from the store."""
        await self._publish(self.name, None)

    async def _handle(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        now = asyncio.get_running_loop().time()
        self.received_at.append(now)
        if request.path not in (
            const.PATH_REPORT,
            const.PATH_ORDER,
            HEALTH_PATH,
        ):
            self.requests_at.append(now)
        expected = request.headers.get(
            const.HEADER_EXPECTED_UPSTREAM, self.name
        )
        if expected != self.name:
            exchange.respond(421, b"", self._identity_headers(exchange))
            return
        if self.faults.endless_control and request.path in (
            const.PATH_REPORT,
            const.PATH_ORDER,
        ):
            await self._write_endlessly(exchange, "chunks")
        elif request.path == const.PATH_REPORT:
            self._send_report(exchange)
        elif request.path == const.PATH_ORDER:
            await self._handle_order(exchange)
        elif request.path == HEALTH_PATH:
            exchange.respond(200, b"", self._identity_headers(exchange))
        else:
            await self._serve(exchange)

    def _identity_headers(self, exchange) -> list[tuple[bytes, bytes]]:
        name = const.HEADER_REQUEST_ID
        request_id = exchange.request.headers.get(name, "")
        headers = [
            (name.encode(), request_id.encode()),
            (const.HEADER_ANSWERED_BY.encode(), self.name.encode()),
        ]
        if self.faults.says_leaving:
            headers.append((const.HEADER_LEAVING.encode(), b"1"))
        if self.faults.limit:
            headers.append(
                (const.HEADER_LIMIT.encode(), self.faults.limit.encode())
            )
        return headers

    def _refuse(self, exchange) -> None:
        headers = exchange.request.headers
        self.refused.append(
            (
                asyncio.get_running_loop().time(),
                headers.get(const.HEADER_REQUEST_ID, ""),
                headers.get(const.HEADER_CUSTOMER, ""),
            )
        )
        response_headers = self._identity_headers(exchange)
        response_headers.append((const.HEADER_NOT_RUN.encode(), b"1"))
        if self.faults.retry_after_s:
            seconds = str(self.faults.retry_after_s).encode()
            response_headers.append(
                (const.HEADER_RETRY_AFTER.encode(), seconds)
            )
        exchange.respond(503, b"", response_headers)

    async def _serve(self, exchange) -> None:
        headers = exchange.request.headers
        expected = headers.get(const.HEADER_EXPECTED_WEIGHTS)
        if self.model and expected and int(expected) != self.weights:
            exchange.respond(421, b"", self._identity_headers(exchange))
            return
        is_full = self._loading or self._running >= self.slots
        if is_full or self.faults.refuse:
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
        continuation = headers.get(const.HEADER_KV_CONTINUATION)
        if continuation:
            if continuation != f"{self.address}/{run.request_id}" or (
                run.request_id not in self.kv_copies
            ):
                self._refuse(exchange)
                return
            run.continued = True
        run.body = exchange.request.body
        self.runs.append(run)
        if self.faults.resume_answer and (run.resumed_after or continuation):
            await self._write_in_pieces(exchange, run)
            return
        if self.faults.answer:
            await self._write_answer(exchange, run)
            return
        if self.faults.repeats_refusals and not exchange.is_first:
            exchange.write_raw(_REFUSAL)
        backup = self._replica_at(headers.get(const.HEADER_KV_STANDBY, ""))
        if backup is not None:
            backup.kv_copies.add(run.request_id)
        self._running += 1
        try:
            if self.model:
                await self._generate(exchange, run)
            else:
                await self._run_plain(exchange, run)
        finally:
            self._running -= 1

    def _success_headers(self, exchange) -> list[tuple[bytes, bytes]]:
        response_headers = self._identity_headers(exchange)
        response_headers.append(
            (const.HEADER_RESPONSE_SEAL.encode(), self.name.encode())
        )
        if self.model:
            weights_used = str(self.weights).encode()
            response_headers.append(
                (const.HEADER_WEIGHTS_USED.encode(), weights_used)
            )
        return response_headers

    async def _run_plain(self, exchange, run: Run) -> None:
        if self._crashes_under(run):
            await asyncio.sleep(self.faults.crash_after_s)
            self._crash(run)
            return
        await asyncio.sleep(self._work_s)
        if self.faults.mute:
            await self._stay_silent(exchange)
        if self.faults.endless:
            run.outcome = "endless"
            await self._write_endlessly(exchange, self.faults.endless)
            return
        if self.faults.lose_answers:
            run.outcome = "lost"
            exchange.abort()
            return
        run.outcome = "error" if self.faults.errors else "ok"
        status = 500 if self.faults.errors else 200
        body = b"done:" + run.request_id.encode() + exchange.request.body
        if self.faults.unframed and not self.faults.errors:
            self._start(exchange, run)
            self._write(exchange, run, body[:2])
            run.answered = True
            await asyncio.sleep(self.faults.pause_after_start_s)
            self._write(exchange, run, body[2:])
            return
        exchange.respond(status, body, self._success_headers(exchange))
        if self.faults.extra_after_s >= 0:
            self._send_extra_answer(exchange, run)

    def _crashes_under(self, run: Run) -> bool:
        mark = self.faults.crash_mark
        return bool(mark) and mark in run.body

    def _crash(self, run: Run) -> None:
        run.outcome = "crashed"
        self.on_crash(self)

    def _crash_for_memory(self) -> None:
        self.on_crash(self)

    def _send_extra_answer(self, exchange, run: Run) -> None:
        """Sends an answer that belongs to no request."""
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

    async def _write_in_pieces(self, exchange, run: Run) -> None:
        run.outcome = "error"
        data = self.faults.resume_answer.replace(b"ID", run.request_id.encode())
        for first in range(0, len(data), PIECE_BYTES):
            exchange.write_raw(data[first : first + PIECE_BYTES])
            await asyncio.sleep(PIECE_PAUSE_S)
        exchange.abort()

    async def _write_answer(self, exchange, run: Run) -> None:
        run.outcome = "cut"
        data = self.faults.answer.replace(b"ID", run.request_id.encode())
        exchange.write_raw(data)
        await asyncio.sleep(PIECE_PAUSE_S)
        if self.faults.resets:
            exchange.abort()
        else:
            exchange.close()

    async def _write_endlessly(self, exchange, part: str) -> None:
        start, filler = ENDLESS_PARTS[part]
        name = const.HEADER_REQUEST_ID
        request_id = exchange.request.headers.get(name, "")
        data = start.replace(b"ID", request_id.encode()) + filler
        while not exchange.disconnected:
            exchange.write_raw(data)
            data = filler
            self.endless_bytes_sent += len(filler)
            await exchange.drain()
            await asyncio.sleep(0.0001)

    async def _stay_silent(self, exchange) -> None:
        """Waits until the caller disconnects, or for `SILENCE_MAX_S`."""
        disconnected = asyncio.Event()
        exchange.on_close(disconnected.set)
        try:
            async with asyncio.timeout(SILENCE_MAX_S):
                await disconnected.wait()
        except TimeoutError:
            return

    async def _generate(self, exchange, run: Run) -> None:
        headers = exchange.request.headers
        total, output = (
            int(text) for text in headers[const.HEADER_TOKEN_COUNTS].split(",")
        )
        parts = _parse_parts(headers[const.HEADER_PROMPT_PREFIX])
        run.parts = tuple(name for name, _ in parts)
        source = self._replica_at(headers.get(const.HEADER_KV_SOURCE, ""))
        if source is not None:
            tokens = source.engine.cached_tokens(run.scope, parts)
            await asyncio.sleep(self.engine.fetch_kv(run.scope, parts, tokens))
        work = self.engine.submit(
            run.scope,
            parts,
            total,
            int(headers.get(const.HEADER_URGENCY, "5")),
            self._recent_uses.used_recently,
            output * self.tokens_per_event,
        )
        exchange.on_close(work.prefilled.set)
        exchange.on_close(work.token_event.set)
        try:
            await work.prefilled.wait()
            if self.engine.first_token_s:
                await asyncio.sleep(self.engine.first_token_s)
            self._recent_uses.record(engine_model.cache_keys(run.scope, parts))
            if self.faults.mute:
                await self._stay_silent(exchange)
            if exchange.disconnected:
                run.outcome = "left"
            elif self.faults.reset_before_answer:
                run.outcome = "lost"
                exchange.abort()
            elif self.faults.crash_parts.intersection(run.parts[:-1]):
                self._crash(run)
            else:
                await self._write_events(exchange, run, work, output)
        finally:
            self.engine.finish(work)

    async def _write_events(
        self, exchange, run: Run, work, output: int
    ) -> None:
        """Writes one event for every `tokens_per_event` tokens generated."""
        crash_after = float("inf")
        if self._crashes_under(run):
            crash_after = self.faults.crash_after_events
        if not crash_after:
            self._crash(run)
            return
        if self.faults.endless:
            run.outcome = "endless"
            await self._write_endlessly(exchange, self.faults.endless)
            return
        self._start(exchange, run)
        if self.faults.end_after_head:
            run.outcome = "cut"
            return
        for number in range(run.resumed_after + 1, output + 1):
            tokens_due = (
                number - run.resumed_after - 1
            ) * self.tokens_per_event + 1
            while (
                work.generated_tokens < tokens_due and not exchange.disconnected
            ):
                work.token_event.clear()
                await work.token_event.wait()
            if exchange.disconnected:
                run.outcome = "left"
                return
            if self.faults.cut_after and number > self.faults.cut_after:
                run.outcome = "cut"
                self._write(exchange, run, b"id: %d\nda" % number)
                await asyncio.sleep(0)
                exchange.abort()
                return
            events_sent = number - 1 - run.resumed_after
            if events_sent >= crash_after:
                self._crash(run)
                return
            self._write(exchange, run, EVENT_FORMAT % (number, number))
            await exchange.drain()
            is_first, run.answered = not run.answered, True
            if is_first and self.faults.pause_after_start_s:
                await asyncio.sleep(self.faults.pause_after_start_s)
        # An unframed answer ends when the connection closes after this.
        if not run.unframed:
            exchange.finish()
        run.outcome = "ok"

    def _start(self, exchange, run: Run) -> None:
        """Writes the head of a successful answer."""
        headers = self._success_headers(exchange)
        run.unframed = self.faults.unframed
        if not run.unframed:
            exchange.start(200, headers)
            return
        lines = [name + b": " + value for name, value in headers]
        lines = [b"HTTP/1.1 200 OK", *lines, b"connection: close", b"", b""]
        exchange.write_raw(b"\r\n".join(lines))

    def _write(self, exchange, run: Run, data: bytes) -> None:
        """Writes a part of the body of a successful answer."""
        if run.unframed:
            exchange.write_raw(data)
        else:
            exchange.write(data)

    def _send_report(self, exchange) -> None:
        if self.faults.refuse:
            self._refuse(exchange)
            return
        models = [{"name": self.model, "version": self.weights}]
        body = {
            "models": models,
            "busy": self._loading,
            "sequence": len(self.orders),
        }
        headers = self._identity_headers(exchange)
        exchange.respond_json(200, body, headers)

    async def _handle_order(self, exchange) -> None:
        body = json.loads(exchange.request.body)
        if self.faults.order_delay_s:
            await asyncio.sleep(self.faults.order_delay_s)
        if body["fenceToken"] < self._fencing_token:
            exchange.respond(412)
            return
        if self._loading or body["precondition"] != len(self.orders):
            exchange.respond(409)
            return
        self._fencing_token = body["fenceToken"]
        order = (body["holder"], body["fenceToken"], body["version"])
        self.orders.append(order)
        self.ordered_at.append(asyncio.get_running_loop().time())
        self._loading = True
        if self.faults.order_delay_s:
            exchange.abort()
        else:
            exchange.respond(202)
        # Loads in the background, as the connection may carry other calls.
        keeps_runs = body["mode"] == "retain"
        self._tasks.spawn(self._load(body["version"], keeps_runs))

    async def _load(self, version: int, keeps_runs: bool) -> None:
        """Loads the weights, usually after all running requests have ended."""
        while self._running and not keeps_runs:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.weights = version
        self.engine.clear()
        self._loading = False
        await self.register()
