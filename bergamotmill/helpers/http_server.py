"""HTTP/1.1 server on h11 with limits on size, time and memory."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
import dataclasses
import json
import urllib.parse

import h11
import loguru

from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import memory_budget
from bergamotmill.helpers import piece_pacing
from bergamotmill.helpers import slow_readers
from bergamotmill.helpers import socket_options

MAX_HEAD_BYTES = 32 * 1024
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
# Bytes that may wait while a request is served; a caller needs no more to send
# its next request early.
READ_PAUSE_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024
# How long a request waits for memory before it is refused.
MEMORY_WAIT_S = 0.5
# With a check for slow readers, the kernel leaves a caller that reads nothing
# to this check.
WATCHED_USER_TIMEOUT_MS = 1000 * int(slow_readers.CALLER_TIMEOUT_S + 2)

JSON_TYPE = (b"content-type", b"application/json")


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and duration of requests.

    Attributes:
        head_bytes: maximum size of the request line and headers.
        body_bytes: maximum size of a body.
        head_timeout_s: time to receive a whole head.
        body_timeout_s: time to receive a whole body.
        idle_timeout_s: time to wait for a request on an open connection.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = DEFAULT_MAX_BODY_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    body_timeout_s: float = BODY_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: header values by lower-case name.
        body: whole body.
        raw_headers: all headers in the order and spelling of the sender.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query parameters by name."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


class Exchange:
    """A request and the methods that write its response."""

    def __init__(self, connection: "ServerConnection", request: HttpRequest):
        self.request = request
        self._connection = connection
        self._started = False
        self._finished = False
        self._disconnect_callbacks: list[Callable[[], None]] = []
        self.disconnected = False

    @property
    def is_first(self) -> bool:
        """Whether this is the first request on its connection."""
        return self._connection.requests_read == 1

    @property
    def started(self) -> bool:
        """Whether the head of the response has been written."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the response has been ended or aborted."""
        return self._finished

    def on_close(self, callback: Callable[[], None]) -> None:
        """Registers a callback for a disconnect before the response ends.

        The callback runs immediately if the caller has already disconnected.
        """
        if self.disconnected:
            callback()
        else:
            self._disconnect_callbacks.append(callback)

    def mark_disconnected(self) -> None:
        """Marks the caller as disconnected and runs the callbacks."""
        self.disconnected = True
        for callback in self._disconnect_callbacks:
            callback()
        self._disconnect_callbacks.clear()

    def start(
        self, status: int, headers: Iterable[tuple[bytes, bytes]] = ()
    ) -> None:
        """Writes the head of the response."""
        self._started = True
        self._connection.send(
            h11.Response(status_code=status, headers=list(headers))
        )

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        self._connection.send(h11.Data(data=data))

    async def drain(self) -> None:
        """Waits while the write buffer is full."""
        if self._connection.write_paused:
            await self._connection.drain()

    @property
    def write_paused(self) -> bool:
        """Whether the write buffer is full because the caller reads slowly."""
        return self._connection.write_paused

    def write_raw(self, data: bytes) -> None:
        """Writes bytes without HTTP encoding; used by test stand-ins."""
        self._connection.send_raw(data)

    def finish(self) -> None:
        """Ends the response."""
        if not self._finished:
            self._finished = True
            self._connection.send(h11.EndOfMessage())

    def close(self) -> None:
        """Closes the connection without an end of the response.

        Used by test stand-ins.
        """
        self._finished = True
        self._connection.close()

    def abort(self) -> None:
        """Aborts the connection, so that the caller detects a partial body."""
        self._finished = True
        self._connection.abort()

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[bytes, bytes]] = (JSON_TYPE,),
    ) -> None:
        """Writes a whole response."""
        all_headers = [*headers, (b"content-length", str(len(body)).encode())]
        self.start(status, all_headers)
        if body:
            self.write(body)
        self.finish()

    def respond_json(
        self,
        status: int,
        value: object,
        headers: Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        """Writes a whole response in JSON."""
        body = json.dumps(value).encode()
        self.respond(status, body, [JSON_TYPE, *headers])


Handler = Callable[[Exchange], Awaitable[None]]
# Refuses a request, whose body is left out, as there is no memory for it.
# Its second argument is the time after which the caller may return, in seconds.
RefusalHandler = Callable[[Exchange, float], None]


def refuse_for_memory(exchange: Exchange, retry_after_s: float) -> None:
    """Refuses a request for lack of memory."""
    body = json.dumps(_error_body(503, "no memory", run="not_run")).encode()
    retry_after = f"{retry_after_s:.3f}".encode()
    exchange.respond(503, body, [JSON_TYPE, (b"retry-after", retry_after)])


class _NoMemoryError(Exception):
    """There is no memory for a request."""


class ServerConnection(asyncio.Protocol):
    """A connection from a caller; its requests are served one at a time."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._meter = piece_pacing.PieceMeter(server.pace)
        self._data_received = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._unparsed_bytes = 0
        self._bytes_written = 0
        self._latest_write_bytes = 0
        # Size of what the write buffer refers to since it became full. It is
        # freed only when all of it has been sent.
        self._full_buffer_bytes = 0
        self._reading_paused = False
        self._disconnected = False
        self.requests_read = 0
        self._exchange: Exchange | None = None
        self._idle = True
        # Memory that the present request has taken from the budget.
        self._memory_cost = 0

    @property
    def write_paused(self) -> bool:
        """Whether the write buffer of the transport is full."""
        return not self._writable.is_set()

    @property
    def idle(self) -> bool:
        """Whether no request is being handled.

        Also true while a request is still being received.
        """
        return self._idle

    @property
    def held_bytes(self) -> int:
        """Bytes that wait for the caller, or for the present request to end."""
        unsent = self._transport.get_write_buffer_size()
        return max(unsent, self._full_buffer_bytes) + self._unparsed_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer."""
        return self._transport.get_write_buffer_size()

    @property
    def taken_bytes(self) -> int:
        """Bytes that the caller has acknowledged."""
        return (
            self._bytes_written
            - self._transport.get_write_buffer_size()
            - socket_options.unacknowledged_bytes(self._transport)
        )

    @property
    def unread_timeout_s(self) -> float:
        """Time after which a caller that reads nothing is disconnected."""
        return slow_readers.CALLER_TIMEOUT_S

    @property
    def peer_address(self) -> str:
        """Address of the caller; empty if unknown."""
        return _address_text(self._transport.get_extra_info("peername"))

    @property
    def request_id(self) -> str:
        """Id of the request that is being served; empty if none has one."""
        if self._exchange is None:
            return ""
        headers = self._exchange.request.headers
        return headers.get(self._server.request_id_header, "")

    def disconnect_unread(self) -> None:
        """Aborts the connection, as the caller does not read."""
        self.abort()

    def connection_made(self, transport) -> None:
        """Configures the transport and starts serving requests."""
        self._transport = transport
        watch = self._server.connection_memory
        if watch is None:
            socket_options.enable_keep_alive(transport)
        else:
            socket_options.enable_keep_alive(transport, WATCHED_USER_TIMEOUT_MS)
            watch.add(self)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._server.connections[self] = None
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; pauses reading above the limit of unparsed data."""
        self._h11.receive_data(data)
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > READ_PAUSE_BYTES and not self._reading_paused:
            self._pause_reading()
            self._measure()
        self._data_received.set()

    def eof_received(self) -> bool:
        """Closes the connection at the end of the stream."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the current exchange as disconnected."""
        self._disconnected = True
        self._server.connections.pop(self, None)
        if self._server.connection_memory is not None:
            self._server.connection_memory.remove(self)
        self._writable.set()
        self._data_received.set()
        if self._exchange is not None and not self._exchange.finished:
            self._exchange.mark_disconnected()

    def pause_writing(self) -> None:
        """Makes `drain` wait: the write buffer is full."""
        self._writable.clear()
        self._full_buffer_bytes = max(
            self._transport.get_write_buffer_size(), self._latest_write_bytes
        )
        self._measure()

    def resume_writing(self) -> None:
        """Lets `drain` return: the write buffer has room."""
        self._full_buffer_bytes = 0
        self._measure()
        self._writable.set()

    def _measure(self) -> None:
        if self._server.connection_memory is not None:
            self._server.connection_memory.measure(self)

    async def drain(self) -> None:
        """Waits for room in the write buffer."""
        await self._writable.wait()

    def send(self, event) -> None:
        """Encodes and writes one event; does nothing after a disconnect."""
        if self._disconnected:
            return
        if self._server.keep_alive_disabled and type(event) is h11.Response:
            event = _with_connection_close(event)
        data = self._h11.send(event)
        if data:
            self._latest_write_bytes = len(data)
            self._bytes_written += len(data)
            self._transport.write(data)

    def send_raw(self, data: bytes) -> None:
        """Writes bytes without encoding; does nothing after a disconnect."""
        if not self._disconnected:
            self._bytes_written += len(data)
            self._transport.write(data)

    def close(self) -> None:
        """Closes the connection after what has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection.

        After a clean end, a caller would take a part of a response without
        length and chunks (HTTP/1.0) for the whole.
        """
        if self._transport is not None:
            socket_options.reset(self._transport)

    def drop(self) -> None:
        """Ends the connection at once; resets it during a request."""
        if not self._idle:
            self.abort()
        elif self._transport is not None:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Closes the connection unless a request is received or handled."""
        if self._transport is None or not self._idle or self._is_receiving():
            return
        self._transport.close()

    def _is_receiving(self) -> bool:
        """Whether a part of a request has arrived."""
        return (
            self._h11.their_state is not h11.IDLE
            or self._h11.trailing_data[0] != b""
        )

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                pass
        except h11.RemoteProtocolError as err:
            self._respond_error(err.error_status_hint or 400, str(err))
        except TimeoutError:
            self._respond_error(408, "the request did not arrive in time")
        except h11.LocalProtocolError as err:
            loguru.logger.warning(
                "http: handler produced an invalid response: {}", err
            )
            self.abort()
        finally:
            if self._transport is not None:
                self._transport.close()

    async def _serve_one(self) -> bool:
        head = await self._next_head()
        if head is None:
            return False
        try:
            return await self._serve_request(head)
        finally:
            self._server.memory.give_back(self._memory_cost)
            self._memory_cost = 0

    async def _serve_request(self, head: h11.Request) -> bool:
        try:
            body = await self._read_body(head)
        except _NoMemoryError:
            body = None
        else:
            if body is None:
                return False
        self._idle = False
        self.requests_read += 1
        exchange = Exchange(self, _make_request(head, body or b""))
        if body is None:
            self._server.refuse_for_memory(
                exchange, self._server.memory.retry_after_s()
            )
            await self._discard_body()
        else:
            await self._handle(exchange)
        self._resume_reading()
        self._idle = True
        if self._disconnected or self._server.closing:
            return False
        if not self._h11.our_state is self._h11.their_state is h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def _handle(self, exchange: Exchange) -> None:
        self._exchange = exchange
        if self._disconnected:
            exchange.mark_disconnected()
        try:
            await self._server.handler(exchange)
        except Exception as err:
            loguru.logger.exception("http: handler failed: {}", err)
            if exchange.started:
                exchange.abort()
            else:
                exchange.respond_json(500, _error_body(500, "internal error"))
        await self._wait_until_taken()
        self._exchange = None

    async def _wait_until_taken(self) -> None:
        """Waits until the caller has taken most of its response.

        The request holds its memory until then. A check for slow readers
        disconnects callers that take nothing; others may take their time.
        """
        if not self.write_paused:
            return
        if self._server.connection_memory is not None:
            await self.drain()
            return
        try:
            async with asyncio.timeout(self._server.limits.idle_timeout_s):
                await self.drain()
        except TimeoutError:
            loguru.logger.info("http: a caller did not take its response.")
            self.abort()

    async def _take_memory(self, body_bytes: int) -> None:
        """Takes memory for a request with a body of a size.

        Raises:
            _NoMemoryError: there is no room in time.
        """
        cost = memory_budget.request_cost(body_bytes) - self._memory_cost
        if cost <= 0:
            return
        memory = self._server.memory
        if not await memory.take_for_request(cost, 0.0):
            self._pause_reading()
            taken = await memory.take_for_request(cost, MEMORY_WAIT_S)
            self._resume_reading()
            if not taken:
                raise _NoMemoryError
        self._memory_cost += cost

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self._disconnected:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and not self._disconnected:
            self._reading_paused = False
            self._transport.resume_reading()

    async def _read_body(self, head: h11.Request) -> bytes | None:
        """Returns the body; None after a disconnect.

        Memory for a body of unknown length is taken as it comes.

        Raises:
            _NoMemoryError: there is no memory for it.
        """
        limits = self._server.limits
        declared_bytes = _declared_body_bytes(head)
        await self._take_memory(min(declared_bytes, limits.body_bytes))
        if self._h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        self._meter.restart()
        async with asyncio.timeout(limits.body_timeout_s):
            while True:
                event = await self._next_event()
                if event is None:
                    return None
                if type(event) is h11.EndOfMessage:
                    return bytes(body)
                body += event.data
                if len(body) > limits.body_bytes:
                    raise h11.RemoteProtocolError(
                        "the body is too large", error_status_hint=413
                    )
                await self._take_memory(len(body))

    async def _discard_body(self) -> None:
        """Reads the rest of a body that was refused.

        A connection that is closed with unread bytes is reset, and its caller
        may not get the response.
        """
        async with asyncio.timeout(self._server.limits.body_timeout_s):
            while (
                self._h11.their_state is h11.SEND_BODY
                and not self._h11.they_are_waiting_for_100_continue
            ):
                if await self._next_event() is None:
                    return

    async def _next_head(self):
        limits = self._server.limits
        async with asyncio.timeout(limits.idle_timeout_s) as timeout:
            loop = asyncio.get_running_loop()
            has_begun = False
            while True:
                event = self._h11.next_event()
                if type(event) is h11.Request:
                    # What else has arrived is its body, or another request,
                    # whose parts count as they are parsed or arrive.
                    self._unparsed_bytes = 0
                    return event
                if event is not h11.NEED_DATA or self._disconnected:
                    return None
                self._data_received.clear()
                self._resume_reading()
                await self._data_received.wait()
                if not has_begun:
                    has_begun = True
                    timeout.reschedule(loop.time() + limits.head_timeout_s)

    async def _next_event(self):
        while True:
            event = self._h11.next_event()
            if type(event) is h11.EndOfMessage:
                # Else a caller that disconnects is not noticed.
                self._unparsed_bytes = 0
                self._resume_reading()
                return event
            if type(event) is h11.Data:
                size = len(event.data)
                self._unparsed_bytes = max(0, self._unparsed_bytes - size)
                if self._meter.ends_slice(size):
                    await self._wait_for_turn()
                return event
            if event is not h11.NEED_DATA or self._disconnected:
                return None
            self._unparsed_bytes = 0
            self._data_received.clear()
            self._resume_reading()
            await self._data_received.wait()

    async def _wait_for_turn(self) -> None:
        """Lets other connections have their turn after many small pieces."""
        self._unparsed_bytes = len(self._h11.trailing_data[0])
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0)
        while not self._disconnected:
            delay_s = self._meter.delay_s(loop.time(), self.peer_address)
            if not delay_s:
                return
            await asyncio.sleep(delay_s)

    def _respond_error(self, status: int, reason: str) -> None:
        if self._disconnected or self._h11.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        body = json.dumps(_error_body(status, reason)).encode()
        headers = [
            JSON_TYPE,
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        self.send(h11.Response(status_code=status, headers=headers))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())


def _address_text(peername: object) -> str:
    if not isinstance(peername, tuple):
        return ""
    return f"{peername[0]}:{peername[1]}"


def _declared_body_bytes(head: h11.Request) -> int:
    """Returns the length of a body as its head says; 0 if it does not."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _make_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in head.headers
    }
    return HttpRequest(
        head.method.decode(),
        head.target.decode("latin-1"),
        headers,
        body,
        tuple(head.headers.raw_items()),
    )


def _with_connection_close(event: h11.Response) -> h11.Response:
    headers = [*event.headers.raw_items(), (b"connection", b"close")]
    return h11.Response(status_code=event.status_code, headers=headers)


def _error_body(status: int, message: str, run: str = "") -> dict[str, object]:
    error_type = "server_error" if status >= 500 else "invalid_request_error"
    return {
        "error": {
            "message": message,
            "type": error_type,
            "code": "bad_request" if status < 500 else "internal_error",
            "param": None,
            "run": run or ("not_run" if status < 500 else "unknown"),
        }
    }


class HttpServer:
    """An HTTP server that passes each request to a handler."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        memory: memory_budget.MemoryBudget | None = None,
        refusal_handler: RefusalHandler = refuse_for_memory,
        connections: connection_memory.ConnectionMemory | None = None,
        request_id_header: str = "x-request-id",
    ):
        """Makes a server that does not listen yet.

        Args:
            address: IP:PORT.
            handler: serves requests.
            max_body_bytes: maximum size of a body.
            memory: memory of all bodies; that of a process of default size if
                none is given.
            refusal_handler: refuses requests for lack of memory.
            connections: counts what connections buffer and disconnects
                callers that do not read; they stay if none is given.
            request_id_header: header, in lower case, that names a request in
                the log.
        """
        self._address = address
        self.handler = handler
        self.memory = memory or memory_budget.MemoryBudget(
            memory_budget.budget_bytes(memory_budget.DEFAULT_MEMORY_BYTES)
        )
        self.refuse_for_memory = refusal_handler
        self.connection_memory = connections
        self.request_id_header = request_id_header
        self.limits = Limits(body_bytes=max_body_bytes)
        self.connections: dict[ServerConnection, None] = {}
        self.closing = False
        self.keep_alive_disabled = False
        self.pace = piece_pacing.SharedPace()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1024
        )

    def disable_keep_alive(self) -> None:
        """Adds `Connection: close` to every response from now on."""
        self.keep_alive_disabled = True

    async def drain(self, timeout_s: float) -> bool:
        """Stops listening and waits until all connections have closed.

        Idle connections are closed; requests that are being received or handled
        may complete.

        Returns:
            Whether all connections closed within `timeout_s`.
        """
        self.closing = True
        if self._server is not None:
            self._server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.connections and loop.time() < deadline:
            for connection in list(self.connections):
                connection.close_when_idle()
            await asyncio.sleep(0.05)
        return not self.connections

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.drop()
        await asyncio.sleep(0)
