"""HTTP/1.1 client connections on h11, with silence detection and pools."""

import asyncio
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

import h11

from bergamotmill.helpers import http_errors
from bergamotmill.helpers import socket_options

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

CONNECT_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 64 * 1024
READ_PAUSE_BYTES = 256 * 1024
IDLE_LIFETIME_S = 15.0
MAX_IDLE = 32
TIMER_SLACK_S = 0.001
_CHUNK_END = b"\r\n"
_BODYLESS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an answer; header names are lower case.

    Attributes:
        raw_headers: all headers in order, as they were sent.
    """

    status: int
    headers: dict[bytes, bytes]
    raw_headers: Headers = ()

    def get_header(self, name: str, default: str = "") -> str:
        """Returns a header as text."""
        value = self.headers.get(name.lower().encode())
        return default if value is None else value.decode("latin-1")


class ClientConnection(asyncio.Protocol):
    """One connection that carries one exchange at a time.

    `read` gives body bytes as they come, joined over what arrived since the
    last call, and `b""` at the end of the answer.
    """

    def __init__(self, address: str):
        self.address = address
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._head: ResponseHead | None = None
        self._chunks: list[bytes] = []
        self._buffered = 0
        self._paused = False
        self._complete = False
        self._error: http_errors.HttpError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._read_timeout_s = 0.0
        self._last_data = 0.0
        self._watch: asyncio.TimerHandle | None = None
        self._sent = False
        self._in_use = False
        self.idle_since = 0.0

    @property
    def sent(self) -> bool:
        """Whether any byte of the present request may have left."""
        return self._sent

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        return (
            self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
            and self._h11.our_state is h11.IDLE
        )

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport
        socket_options.enable_keep_alive(transport)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser and wakes the reader."""
        if not self._in_use:
            # Whatever it is, it answers nothing that was asked.
            self._fail(http_errors.ProtocolError("data between exchanges"))
            return
        self._last_data = self._loop.time()
        try:
            self._h11.receive_data(data)
            self._pull()
        except h11.RemoteProtocolError as err:
            self._fail(http_errors.ProtocolError(str(err)))

    def eof_received(self) -> bool:
        """Tells the parser that nothing follows."""
        try:
            self._h11.receive_data(b"")
            self._pull()
        except h11.RemoteProtocolError:
            pass
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails what is still waiting for data."""
        if not self._complete:
            self._fail(http_errors.ConnectionLostError(str(exc or "closed")))
        self._stop_watch()

    def _pull(self) -> None:
        connection = self._h11
        next_event = connection.next_event
        while True:
            event = next_event()
            kind = type(event)
            if kind is h11.Data:
                if event.data:
                    self._chunks.append(bytes(event.data))
                    self._buffered += len(event.data)
                # Nothing but the end of this chunk is left: the next round
                # would find no event.
                if connection.trailing_data[0] == _CHUNK_END:
                    break
            elif kind is h11.Response:
                self._head = ResponseHead(
                    event.status_code,
                    dict(event.headers),
                    tuple(event.headers.raw_items()),
                )
            elif kind is h11.EndOfMessage:
                self._complete = True
                break
            elif kind is h11.InformationalResponse:
                continue
            else:
                break
        if self._buffered > READ_PAUSE_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _fail(self, error: http_errors.HttpError) -> None:
        if self._error is None:
            self._error = error
        self._wake()
        if self._transport is not None:
            self._transport.abort()

    def set_read_timeout(self, seconds: float) -> None:
        """Fails the exchange when nothing arrives for so long; 0 is never."""
        self._read_timeout_s = seconds
        self._last_data = self._loop.time()
        self._stop_watch()
        if seconds > 0:
            self._watch = self._loop.call_later(
                seconds, self._check_read_timeout
            )

    def _check_read_timeout(self) -> None:
        if self._complete or self._error is not None:
            return
        now = self._loop.time()
        if self._paused:
            self._last_data = now
        due = self._last_data + self._read_timeout_s
        # A timer may fire a little early; it must not be set again for it.
        if now >= due - TIMER_SLACK_S:
            self._fail(
                http_errors.ReadTimeoutError(f"{self._read_timeout_s:.1f} s")
            )
            return
        self._watch = self._loop.call_at(due, self._check_read_timeout)

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        read_timeout_s: float = 0.0,
        host: str = "",
    ) -> ResponseHead:
        """Sends a request and waits for the head of its answer."""
        self._head = None
        self._complete = False
        self._sent = False
        self._chunks.clear()
        self._buffered = 0
        lines = [
            (b"host", (host or self.address).encode()),
            *headers,
        ]
        if body or method not in _BODYLESS:
            lines.append((b"content-length", str(len(body)).encode()))
        data = self._h11.send(
            h11.Request(method=method, target=target, headers=lines)
        )
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        self._require_open()
        self._in_use = True
        self._sent = True
        self._transport.write(data)
        self.set_read_timeout(read_timeout_s)
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    def _require_open(self) -> None:
        if self._error is not None:
            raise self._error
        if self._transport is None or self._transport.is_closing():
            raise http_errors.ConnectionLostError("closed before the request")

    async def read(self) -> bytes:
        """Returns the next body bytes; `b""` when the answer is complete."""
        while not self._chunks:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        chunks = self._chunks
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        chunks.clear()
        self._buffered = 0
        if self._paused:
            self._paused = False
            self._last_data = self._loop.time()
            self._transport.resume_reading()
        return data

    async def read_all(self, limit: int) -> bytes:
        """Returns the whole body, or raises BodyTooLargeError."""
        parts = []
        size = 0
        while data := await self.read():
            size += len(data)
            if size > limit:
                raise http_errors.BodyTooLargeError(f"over {limit} bytes")
            parts.append(data)
        return b"".join(parts)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def finish(self) -> bool:
        """Prepares the next exchange; False when the connection is done."""
        self._stop_watch()
        if not self._complete or self._error is not None:
            return False
        self._in_use = False
        if self._h11.trailing_data[0]:
            # A second answer follows the first.
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return self.reusable

    def close(self) -> None:
        """Closes the connection at once."""
        self._stop_watch()
        if self._error is None:
            self._error = http_errors.ConnectionLostError("closed by this side")
        self._wake()
        if self._transport is not None:
            self._transport.abort()


class Pool:
    """Idle connections by address."""

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_lifetime_s: float = IDLE_LIFETIME_S,
    ):
        self._connect_timeout_s = connect_timeout_s
        self._idle_lifetime_s = idle_lifetime_s
        self._idle: dict[str, list[ClientConnection]] = {}
        self._closed = False

    async def acquire(
        self, address: str, fresh: bool = False
    ) -> ClientConnection:
        """Returns an idle connection, or opens one; `fresh` always opens."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        while idle and not fresh:
            conn = idle.pop()
            if conn.reusable and now - conn.idle_since < self._idle_lifetime_s:
                return conn
            conn.close()
        return await self._open(address)

    async def _open(self, address: str) -> ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(address), host, int(port)
                )
        except (OSError, TimeoutError) as err:
            raise http_errors.ConnectError(f"{address}: {err}") from err
        return conn

    def release(self, conn: ClientConnection) -> None:
        """Takes back a connection after its exchange."""
        if self._closed or not conn.finish():
            conn.close()
            return
        conn.idle_since = asyncio.get_running_loop().time()
        idle = self._idle.setdefault(conn.address, [])
        idle.append(conn)
        if len(idle) > MAX_IDLE:
            idle.pop(0).close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections that share a silent one's path."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def close(self) -> None:
        """Closes all idle connections."""
        self._closed = True
        for address in list(self._idle):
            self.close_idle(address)


async def fetch(
    pool: Pool,
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float = 5.0,
    limit: int = 64 * 1024 * 1024,
    fresh: bool = False,
    host: str = "",
) -> tuple[ResponseHead, bytes]:
    """Sends one request and returns head and whole body.

    Raises:
        http_errors.HttpError: the exchange failed.
        TimeoutError: it took longer than `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        conn = await pool.acquire(address, fresh)
        try:
            head = await conn.request(method, target, headers, body, host=host)
            data = await conn.read_all(limit)
        except BaseException:
            conn.close()
            raise
        pool.release(conn)
        return head, data
