"""HTTP/1.1 client on h11 with read timeouts and connection pools."""

import asyncio
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

import h11

from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import piece_pacing
from bergamotmill.helpers import slow_readers
from bergamotmill.helpers import socket_options

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

CONNECT_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 64 * 1024
# A body that is read as a whole, unless its reader expects larger ones.
MAX_BODY_BYTES = 1024 * 1024
# Interim responses (status 1xx) to one request at most.
MAX_INTERIM_RESPONSES = 8
# Bytes that may wait for the reader. One read from a socket may exceed this.
READ_PAUSE_BYTES = 64 * 1024
# Statuses of final responses, and the major version of HTTP, that are accepted.
FINAL_STATUSES = range(200, 600)
HTTP_MAJOR_VERSION = b"1."
# A response that ends with its connection is complete if no reset follows
# within this time. A peer that closes with unread input first sends the end of
# its data and then, as soon as it runs again, the reset. All other responses
# are complete without a wait.
END_CONFIRMATION_S = 0.1
# How long the rest of a body is still sent after its response, and how often
# the connection is checked meanwhile.
REST_TIMEOUT_S = 10.0
REST_CHECK_PERIOD_S = 0.02
IDLE_LIFETIME_S = 15.0
MAX_IDLE_PER_ADDRESS = 32
TIMER_TOLERANCE_S = 0.001
# Bodies of up to this size are sent with their head at once.
SMALL_BODY_BYTES = 16 * 1024
_CHUNK_END = b"\r\n"
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: HTTP status code.
        headers: header values by lower-case name.
        raw_headers: all headers in the order and spelling of the sender.
    """

    status: int
    headers: dict[bytes, bytes]
    raw_headers: Headers = ()

    def get_header(self, name: str, default: str = "") -> str:
        """Returns a header decoded as text."""
        value = self.headers.get(name.lower().encode())
        return default if value is None else value.decode("latin-1")


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request and response at a time.

    `read` returns the body bytes that arrived since the last call, and `b""`
    at the end of the response.
    """

    def __init__(
        self,
        address: str,
        connections: connection_memory.ConnectionMemory | None = None,
        pace: piece_pacing.SharedPace | None = None,
        is_essential: bool = False,
    ):
        self.address = address
        self._is_essential = is_essential
        self._meter = piece_pacing.PieceMeter(pace or piece_pacing.SharedPace())
        # Set while what has been received waits to be parsed, and how much.
        self._parse_timer: asyncio.Handle | None = None
        self._unparsed_bytes = 0
        # Whether the peer has ended the connection after that.
        self._has_unparsed_end = False
        self._transport_paused = False
        self._connection_memory = connections
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._head: ResponseHead | None = None
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._reading_paused = False
        self._response_complete = False
        # Whether the response ended with its connection.
        self._ended_by_close = False
        self._end_timer: asyncio.TimerHandle | None = None
        # Whether the body may exceed what the kernel takes at once.
        self._has_large_body = False
        self._interim_responses = 0
        self._error: http_errors.HttpError | None = None
        self._data_waiter: asyncio.Future[None] | None = None
        self._read_timeout_s = 0.0
        self._last_data_at = 0.0
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._request_sent = False
        self._bytes_written = 0
        self._head_bytes = 0
        self._in_use = False
        # Whether the response has been read, also if its request is not sent.
        self._is_released = False
        self._exchanges = 0
        self.idle_since = 0.0

    @property
    def sent(self) -> bool:
        """Whether any byte of the current request may have been sent."""
        return self._request_sent

    @property
    def was_used_before(self) -> bool:
        """Whether the connection carried an exchange before the present one."""
        return self._exchanges > 1

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return (
            self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
            and self._h11.our_state is h11.IDLE
        )

    @property
    def ended_by_close(self) -> bool:
        """Whether the end of the connection ended the present response."""
        return self._ended_by_close

    @property
    def is_sending_rest(self) -> bool:
        """Whether the response is complete, but its request is not sent."""
        return (
            self._response_complete
            and self._error is None
            and self._has_untaken_bytes()
        )

    def _has_untaken_bytes(self) -> bool:
        if not self._has_large_body:
            return self._transport.get_write_buffer_size() > 0
        return socket_options.count_untaken_bytes(self._transport) > 0

    @property
    def held_bytes(self) -> int:
        """Bytes that wait for the reader, or for the peer after the exchange.

        The request's body counts elsewhere during the exchange.
        """
        held = self._buffered_bytes + self._head_bytes + self._unparsed_bytes
        if self._in_use and not self._is_released:
            return held
        return held + self.unsent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that have not been sent."""
        return self._transport.get_write_buffer_size()

    @property
    def taken_bytes(self) -> int:
        """Bytes that the peer has acknowledged."""
        return (
            self._bytes_written
            - self._transport.get_write_buffer_size()
            - socket_options.unacknowledged_bytes(self._transport)
        )

    @property
    def unread_timeout_s(self) -> float:
        """Time after which a peer that does not read the request is abandoned.

        A peer that has begun to respond may read the rest later.
        """
        is_responding = self._in_use and self._head is not None
        if is_responding and not self._is_released:
            return float("inf")
        return slow_readers.UPSTREAM_TIMEOUT_S

    @property
    def peer_address(self) -> str:
        """Address of the peer."""
        return self.address

    @property
    def request_id(self) -> str:
        """Empty: the attempt that fails names its request."""
        return ""

    def disconnect_unread(self) -> None:
        """Fails the exchange, as the peer does not read the request."""
        self._fail(http_errors.RequestUnreadError(self.address))

    def connection_made(self, transport) -> None:
        """Stores the transport and enables TCP keep-alive."""
        self._transport = transport
        socket_options.enable_keep_alive(transport)
        if self._connection_memory is not None:
            self._connection_memory.add(self)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser and wakes the reader."""
        if self._error is not None:
            return
        if not self._in_use or self._response_complete:
            # This data belongs to no response. One that is complete but not
            # read yet stays valid.
            self._fail(
                http_errors.ProtocolError(
                    "received data while no response was expected"
                )
            )
            return
        self._last_data_at = self._loop.time()
        if self._head is None:
            self._head_bytes += len(data)
        try:
            self._h11.receive_data(data)
            if self._parse_timer is None:
                self._process_events()
        except h11.RemoteProtocolError as err:
            self._fail(http_errors.ProtocolError(str(err)))

    def _parse_later(self) -> None:
        """Goes on parsing after other connections have had their turn."""
        self._unparsed_bytes = len(self._h11.trailing_data[0])
        self._parse_timer = self._loop.call_soon(self._continue_parsing)
        self._update_reading()

    def _continue_parsing(self) -> None:
        """Parses the next slice as soon as the pace allows it."""
        self._parse_timer = None
        if self._error is not None:
            return
        delay_s = self._meter.delay_s(self._loop.time(), self.address)
        if delay_s:
            self._parse_timer = self._loop.call_later(
                delay_s, self._continue_parsing
            )
            return
        self._unparsed_bytes = 0
        try:
            self._process_events()
        except h11.RemoteProtocolError as err:
            self._fail(http_errors.ProtocolError(str(err)))
        self._update_reading()
        if self._has_unparsed_end and self._parse_timer is None:
            self._has_unparsed_end = False
            if not self.eof_received():
                self._transport.close()

    def _update_reading(self) -> None:
        """Receives nothing while the reader or the parser is behind."""
        paused = self._reading_paused or self._parse_timer is not None
        if paused == self._transport_paused or self._transport.is_closing():
            return
        self._transport_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Ends a response that has neither length nor chunks.

        Returns:
            Whether the connection stays open: to see whether a reset follows,
            or to send the rest of the request.
        """
        if self._parse_timer is not None:
            self._has_unparsed_end = True
            return True
        if self._response_complete:
            return self.is_sending_rest
        if not self._in_use or self._error is not None:
            return False
        try:
            self._h11.receive_data(b"")
            self._process_events(at_end=True)
        except h11.RemoteProtocolError as err:
            self._fail(http_errors.ConnectionLostError(str(err)))
            return False
        if self._error is not None:
            return False
        if not self._ended_by_close:
            self._fail(http_errors.ConnectionLostError("closed"))
            return False
        # A peer that has ended its response has acknowledged what it received
        # of the request by then. One that had not received all of it answered
        # something else, or ended in between.
        if socket_options.count_untaken_bytes(self._transport):
            self._fail(
                http_errors.ConnectionLostError(
                    "response ended before the request was received"
                )
            )
            return False
        self._end_timer = self._loop.call_later(
            END_CONFIRMATION_S, self._confirm_end
        )
        return True

    def _confirm_end(self) -> None:
        """Completes a response that its connection ended, without a reset."""
        self._end_timer = None
        if self._error is not None:
            return
        if socket_options.is_reset(self._transport):
            self._fail(
                http_errors.ConnectionLostError("reset after the last data")
            )
            return
        self._response_complete = True
        self._wake_reader()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails an exchange that is still incomplete."""
        if not self._response_complete:
            self._fail(http_errors.ConnectionLostError(str(exc or "closed")))
        self._cancel_timers()
        if self._connection_memory is not None:
            self._connection_memory.remove(self)

    def _process_events(self, at_end: bool = False) -> None:
        """Takes what the parser has read.

        Args:
            at_end: whether the peer has ended the connection.
        """
        connection = self._h11
        next_event = connection.next_event
        while True:
            event = next_event()
            event_type = type(event)
            if event_type is h11.Data:
                if event.data:
                    self._chunks.append(bytes(event.data))
                    self._buffered_bytes += len(event.data)
                    if self._meter.ends_slice(len(event.data)) and not at_end:
                        self._parse_later()
                        break
                # Only the CRLF that ends this chunk is left in the parser, so
                # another call would return no event.
                if (
                    event.chunk_end
                    and connection.trailing_data[0] == _CHUNK_END
                ):
                    break
            elif event_type is h11.Response:
                if not _is_acceptable(event):
                    self._fail_status(event)
                    return
                self._head = ResponseHead(
                    event.status_code,
                    dict(event.headers),
                    tuple(event.headers.raw_items()),
                )
                self._head_bytes = 0
            elif event_type is h11.EndOfMessage:
                # Framed responses do not end with the end of the connection.
                if at_end:
                    self._ended_by_close = True
                else:
                    self._response_complete = True
                break
            elif event_type is h11.InformationalResponse:
                if not event.http_version.startswith(HTTP_MAJOR_VERSION):
                    self._fail_status(event)
                    return
                self._interim_responses += 1
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    self._fail(
                        http_errors.ProtocolError("too many interim responses")
                    )
                    return
            else:
                break
        if self._buffered_bytes > READ_PAUSE_BYTES:
            self.pause_reading()
        self._wake_reader()

    def _fail_status(self, event: h11.Response) -> None:
        version = event.http_version.decode("latin-1")
        self._fail(
            http_errors.ProtocolError(
                f"response of HTTP/{version} with status {event.status_code}"
            )
        )

    def pause_reading(self) -> None:
        """Stops receiving until all that has been received is read.

        The peer cannot send more than the kernel takes.
        """
        if (
            self._reading_paused
            or self._response_complete
            or self._transport.is_closing()
        ):
            return
        self._reading_paused = True
        self._update_reading()
        if self._connection_memory is not None:
            self._connection_memory.measure(self)

    def _wake_reader(self) -> None:
        waiter = self._data_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _fail(self, error: http_errors.HttpError) -> None:
        if self._error is None:
            self._error = error
        self._wake_reader()
        if self._transport is not None:
            self._transport.abort()

    def set_read_timeout(self, seconds: float) -> None:
        """Fails the exchange after `seconds` without data; 0 disables this."""
        self._read_timeout_s = seconds
        self._last_data_at = self._loop.time()
        self._cancel_timeout_timer()
        if seconds > 0:
            self._timeout_timer = self._loop.call_later(
                seconds, self._check_read_timeout
            )

    def _check_read_timeout(self) -> None:
        if self._response_complete or self._error is not None:
            return
        now = self._loop.time()
        if self._transport_paused:
            self._last_data_at = now
        deadline = self._last_data_at + self._read_timeout_s
        # The event loop may fire a timer slightly early. Without the tolerance
        # the timer would be set again for the tiny remainder.
        if now >= deadline - TIMER_TOLERANCE_S:
            self._fail(
                http_errors.ReadTimeoutError(f"{self._read_timeout_s:.1f} s")
            )
            return
        self._timeout_timer = self._loop.call_at(
            deadline, self._check_read_timeout
        )

    def _cancel_timers(self) -> None:
        self._cancel_timeout_timer()
        if self._end_timer is not None:
            self._end_timer.cancel()
            self._end_timer = None
        if self._parse_timer is not None:
            self._parse_timer.cancel()
            self._parse_timer = None

    def _cancel_timeout_timer(self) -> None:
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        read_timeout_s: float = 0.0,
        host: str = "",
    ) -> ResponseHead:
        """Sends a request and waits for the head of the response."""
        self._head = None
        self._response_complete = False
        self._ended_by_close = False
        self._has_large_body = len(body) > SMALL_BODY_BYTES
        self._interim_responses = 0
        self._request_sent = False
        self._chunks.clear()
        self._buffered_bytes = 0
        self._unparsed_bytes = 0
        self._head_bytes = 0
        self._meter.restart()
        header_lines = [
            (b"host", (host or self.address).encode()),
            *headers,
        ]
        if body or method not in _METHODS_WITHOUT_BODY:
            header_lines.append((b"content-length", str(len(body)).encode()))
        head_data = self._h11.send(
            h11.Request(method=method, target=target, headers=header_lines)
        )
        if body:
            self._h11.send(h11.Data(data=body))
        self._h11.send(h11.EndOfMessage())
        self._require_open()
        self._in_use = True
        self._is_released = False
        self._exchanges += 1
        self._request_sent = True
        self._bytes_written += len(head_data) + len(body)
        if not self._has_large_body:
            self._transport.write(head_data + body)
        else:
            # Not joined with the head, as that would copy the body.
            self._transport.write(head_data)
            self._transport.write(body)
        self.set_read_timeout(read_timeout_s)
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait_for_data()
        return self._head

    def _require_open(self) -> None:
        if self._error is not None:
            raise self._error
        if self._transport is None or self._transport.is_closing():
            raise http_errors.ConnectionLostError(
                "connection was closed before the request was sent"
            )

    async def read(self) -> bytes:
        """Returns the next body bytes; `b""` when the response is complete."""
        while not self._chunks:
            if self._response_complete:
                return b""
            if self._error is not None:
                raise self._error
            self._resume_reading()
            await self._wait_for_data()
        chunks = self._chunks
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        chunks.clear()
        self._buffered_bytes = 0
        self._resume_reading()
        return data

    def _resume_reading(self) -> None:
        if not self._reading_paused:
            return
        self._reading_paused = False
        self._last_data_at = self._loop.time()
        self._update_reading()
        if self._connection_memory is not None:
            self._connection_memory.measure(self)

    async def read_all(self, max_bytes: int) -> bytes:
        """Returns the whole body.

        It counts in the memory budget until it is returned.

        Raises:
            http_errors.BodyTooLargeError: The body exceeds `max_bytes`.
            http_errors.NoMemoryError: There is no memory for it.
        """
        body = bytearray()
        taken = 0
        try:
            while data := await self.read():
                body += data
                if len(body) > max_bytes:
                    raise http_errors.BodyTooLargeError(
                        f"body exceeds {max_bytes} bytes"
                    )
                if self._connection_memory is not None:
                    taken += self._connection_memory.take_for_body(
                        len(body), taken, self._is_essential
                    )
            return bytes(body)
        finally:
            # The frames of an error may keep it for some time.
            body.clear()
            if taken:
                self._connection_memory.give_back(taken, self._is_essential)

    async def _wait_for_data(self) -> None:
        self._data_waiter = self._loop.create_future()
        try:
            await self._data_waiter
        finally:
            self._data_waiter = None

    def finish(self) -> bool:
        """Ends the exchange; returns whether the connection can be reused."""
        self._cancel_timers()
        if not self._response_complete or self._error is not None:
            return False
        self._in_use = False
        if self._h11.trailing_data[0]:
            # Data after the response would be taken for the response to the
            # next request.
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return self.reusable

    def note_released(self) -> None:
        """Records that only the rest of the request is still to be sent."""
        self._is_released = True

    def close_when_sent(self) -> None:
        """Closes the connection after the request's body.

        For a peer that has responded before it has read the whole body, and
        may read the rest later.
        """
        self._in_use = False
        self._transport.close()

    def close(self) -> None:
        """Closes the connection immediately and fails a pending read."""
        self._cancel_timers()
        if self._error is None:
            self._error = http_errors.ConnectionLostError(
                "connection was closed locally"
            )
        # The frames that it refers to hold the request's body.
        self._error.__traceback__ = None
        self._chunks.clear()
        self._buffered_bytes = 0
        self._wake_reader()
        if self._transport is not None:
            self._transport.abort()


def _is_acceptable(event: h11.Response) -> bool:
    """Whether a final response has a known version and status."""
    return (
        event.http_version.startswith(HTTP_MAJOR_VERSION)
        and event.status_code in FINAL_STATUSES
    )


class Pool:
    """A pool of idle connections by address.

    A connection whose response came before its request was sent sends the rest
    first; only then it is idle.
    """

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_lifetime_s: float = IDLE_LIFETIME_S,
        is_essential: bool = False,
    ):
        """Makes an empty pool.

        Args:
            connect_timeout_s: time limit for opening a connection.
            idle_lifetime_s: time for which an idle connection is kept.
            is_essential: whether bodies that are read as a whole have
                memory of their own.
        """
        self._is_essential = is_essential
        self._connect_timeout_s = connect_timeout_s
        self._idle_lifetime_s = idle_lifetime_s
        self._idle: dict[str, list[ClientConnection]] = {}
        # Connections that send the rest of a request, with the next check.
        self._sending: dict[ClientConnection, asyncio.TimerHandle] = {}
        self._closed = False
        self._connection_memory: connection_memory.ConnectionMemory | None = (
            None
        )
        self._pace = piece_pacing.SharedPace()

    def count_connections(
        self, connections: connection_memory.ConnectionMemory
    ) -> None:
        """Counts what connections opened from now on buffer."""
        self._connection_memory = connections

    def idle_count(self, address: str) -> int:
        """Returns the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    async def acquire(
        self, address: str, fresh: bool = False
    ) -> ClientConnection:
        """Returns an idle connection or opens one.

        Args:
            address: host and port of the peer.
            fresh: whether to open a new connection in any case.
        """
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(address, [])
        while connections and not fresh:
            conn = connections.pop()
            if conn.reusable and now - conn.idle_since < self._idle_lifetime_s:
                return conn
            conn.close()
        return await self._open(address)

    async def is_refused(self, address: str) -> bool:
        """Whether a new connection is refused: nothing listens there.

        False if there is no answer, as the peer may go on out of reach.
        """
        try:
            conn = await self._open(address)
        except http_errors.ConnectError as err:
            return isinstance(err.__cause__, ConnectionRefusedError)
        conn.close()
        return False

    async def _open(self, address: str) -> ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(
                        address,
                        self._connection_memory,
                        self._pace,
                        self._is_essential,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as err:
            # The last two: no system accepts the address.
            raise http_errors.ConnectError(f"{address!r}: {err}") from err
        return conn

    def release(self, conn: ClientConnection) -> None:
        """Puts a connection back into the pool after its exchange."""
        if not self._closed and conn.is_sending_rest:
            conn.note_released()
            now = asyncio.get_running_loop().time()
            self._send_rest(conn, now + REST_TIMEOUT_S)
            return
        self._put_back(conn)

    def _send_rest(self, conn: ClientConnection, deadline: float) -> None:
        """Waits until a request is sent; closes its connection if late."""
        loop = asyncio.get_running_loop()
        if conn.is_sending_rest and loop.time() < deadline:
            self._sending[conn] = loop.call_later(
                REST_CHECK_PERIOD_S, self._send_rest, conn, deadline
            )
            return
        self._sending.pop(conn, None)
        if conn.is_sending_rest:
            conn.close()
            return
        self._put_back(conn)

    def _put_back(self, conn: ClientConnection) -> None:
        if self._closed or not conn.finish():
            conn.close()
            return
        if conn.unsent_bytes:
            conn.close_when_sent()
            return
        conn.idle_since = asyncio.get_running_loop().time()
        connections = self._idle.setdefault(conn.address, [])
        connections.append(conn)
        if len(connections) > MAX_IDLE_PER_ADDRESS:
            connections.pop(0).close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address.

        Meant for an address where a connection timed out or failed: the idle
        connections share its network path and are probably dead too.
        """
        for conn in self._idle.pop(address, []):
            conn.close()

    def close(self) -> None:
        """Closes the idle connections now and the others on their release."""
        self._closed = True
        for address in list(self._idle):
            self.close_idle(address)
        for conn, timer in self._sending.items():
            timer.cancel()
            conn.close()
        self._sending.clear()


async def fetch(
    pool: Pool,
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float = 5.0,
    max_body_bytes: int = MAX_BODY_BYTES,
    fresh: bool = False,
    host: str = "",
) -> tuple[ResponseHead, bytes]:
    """Sends one request and returns the head and the whole body.

    Raises:
        http_errors.HttpError: The exchange failed.
        TimeoutError: The exchange took longer than `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        conn = await pool.acquire(address, fresh)
        try:
            head = await conn.request(method, target, headers, body, host=host)
            data = await conn.read_all(max_body_bytes)
        except BaseException:
            conn.close()
            raise
        pool.release(conn)
        return head, data
