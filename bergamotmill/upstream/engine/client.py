"""HTTP client of one engine."""

import asyncio
import contextlib
import dataclasses
import json

import result

from bergamotmill import core
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import json_text
from bergamotmill.upstream import drivers
from bergamotmill.upstream import errors
from bergamotmill.upstream.engine import config
from bergamotmill.upstream.engine import const

_REFUSED_STATUSES = (409, 429, 503)


class EngineStream:
    """Streamed response of an engine to one request."""

    def __init__(
        self,
        conn: http_client.ClientConnection,
        pool: http_client.Pool,
        head: config.StreamHead,
    ):
        self._conn = conn
        self._pool = pool
        self.head = head

    async def read(self) -> bytes:
        """Returns the next bytes; `b""` at the end of the response."""
        try:
            return await self._conn.read()
        except http_errors.ReadTimeoutError as err:
            self._pool.close_idle(self._conn.address)
            raise errors.UpstreamError(
                errors.Failure.SILENT, str(err), sent=True
            )
        except http_errors.HttpError as err:
            raise errors.UpstreamError(errors.Failure.LOST, str(err), sent=True)

    def finish(self) -> None:
        """Returns the connection to the pool after a complete response."""
        self._pool.release(self._conn)

    def close(self) -> None:
        """Closes the connection before the response is complete."""
        self._conn.close()


@drivers.ENGINES.register(const.DRIVER)
class EngineClient:
    """Sends requests to one engine over pooled connections."""

    def __init__(self, replica: core.Replica):
        self._replica = replica
        self._pool = http_client.Pool()

    @property
    def replica(self) -> core.Replica:
        """The engine's entry in the configuration."""
        return self._replica

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    async def open_stream(self, call: config.GenerateCall) -> EngineStream:
        """Sends a request and waits for the response head.

        Raises:
            errors.UpstreamError: the engine did not start a stream; `sent` and
                `ran` tell whether it may have run the request.
        """
        headers = _request_headers(call)
        conn = await self._acquire(fresh=False)
        was_idle = conn.idle_since > 0
        silence_s = call.silence_s or const.SILENCE_LIMIT_S
        try:
            head = await self._send(
                conn, "POST", call.path, headers, call.body, silence_s
            )
        except errors.UpstreamError as err:
            if err.failure is not errors.Failure.LOST or not was_idle:
                raise
            # The engine may have closed a pooled connection while it was idle;
            # sends the request again, on a new connection.
            try:
                conn = await self._acquire(fresh=True)
            except errors.UpstreamError:
                # The engine has ended; it may have run the request before.
                raise err from None
            head = await self._send(
                conn, "POST", call.path, headers, call.body, silence_s
            )
        return await self._stream_of(conn, head, call.request_id)

    async def resume_stream(self, request_id: str, seen: int) -> EngineStream:
        """Takes over a running stream after its first `seen` events."""
        target = f"{const.PATH_STREAMS}{request_id}?seen={seen}"
        conn = await self._acquire(fresh=True)
        head = await self._send(
            conn, "GET", target, [], b"", const.RESUME_SILENCE_LIMIT_S
        )
        conn.set_read_timeout(const.SILENCE_LIMIT_S)
        return await self._stream_of(conn, head, request_id)

    async def has_ended(self) -> bool:
        """Whether the engine has ended: a new connection is refused."""
        return await self._pool.is_refused(self._replica.address)

    async def cancel_stream(self, request_id: str) -> None:
        """Requests that the engine stop a stream; failures are ignored."""
        target = f"{const.PATH_STREAMS}{request_id}"
        with contextlib.suppress(http_errors.HttpError, TimeoutError):
            await self._fetch("DELETE", target, b"", const.CANCEL_TIMEOUT_S)

    async def fetch_load_report(self) -> result.Result[config.LoadReport, str]:
        """Fetches the engine's load report."""
        now = asyncio.get_running_loop().time()
        try:
            head, body = await self._fetch(
                "GET", const.PATH_REPORT, b"", const.REPORT_TIMEOUT_S
            )
            if head.status != 200:
                return result.Err(f"status {head.status}")
            return result.Ok(
                config.report_from_json(json_text.loads(body), now)
            )
        except (http_errors.HttpError, TimeoutError) as err:
            self._pool.close_idle(self._replica.address)
            return result.Err(repr(err))
        except (ValueError, KeyError, TypeError) as err:
            return result.Err(f"unreadable report: {err!r}")

    async def fetch_cache_events(
        self, after_sequence: int
    ) -> result.Result[tuple[int, list[config.CacheEvent]], str]:
        """Fetches the cache events that follow a sequence number.

        Returns:
            The engine's incarnation and the events.
        """
        target = (
            f"{const.PATH_EVENTS}?after={after_sequence}"
            f"&limit={const.MAX_EVENTS_PER_FETCH}"
        )
        try:
            head, body = await self._fetch(
                "GET", target, b"", const.REPORT_TIMEOUT_S
            )
            if head.status != 200:
                return result.Err(f"status {head.status}")
            value = json_text.loads(body)
            events = [
                config.CacheEvent(int(item[0]), bool(item[1]), int(item[2]))
                for item in value["events"]
            ]
            return result.Ok((int(value["incarnation"]), events))
        except (
            http_errors.HttpError,
            TimeoutError,
            ValueError,
            KeyError,
            TypeError,
        ) as err:
            return result.Err(repr(err))

    async def send_order(self, order: config.Order) -> result.Result[None, str]:
        """Sends an order; the engine may refuse an outdated fencing token."""
        body = json.dumps(dataclasses.asdict(order)).encode()
        try:
            head, response = await self._fetch(
                "POST", const.PATH_ORDERS, body, const.ORDER_TIMEOUT_S
            )
        except (http_errors.HttpError, TimeoutError) as err:
            return result.Err(repr(err))
        if head.status != 200:
            return result.Err(response.decode("utf-8", "replace"))
        return result.Ok(None)

    async def request_export(
        self, store: str, chain: tuple[int, ...]
    ) -> result.Result[None, str]:
        """Requests that the engine copy cached blocks to a KV offload store.

        Args:
            store: address of the store.
            chain: prefix digests of the blocks.
        """
        body = json.dumps({"store": store, "chain": list(chain)}).encode()
        try:
            head, _ = await self._fetch(
                "POST", const.PATH_EXPORT, body, const.ORDER_TIMEOUT_S
            )
        except (http_errors.HttpError, TimeoutError) as err:
            return result.Err(repr(err))
        if head.status != 200:
            return result.Err(f"status {head.status}")
        return result.Ok(None)

    async def _fetch(self, method, target, body, timeout_s):
        return await http_client.fetch(
            self._pool,
            self._replica.address,
            method,
            target,
            body=body,
            timeout_s=timeout_s,
        )

    async def _acquire(self, fresh: bool) -> http_client.ClientConnection:
        try:
            return await self._pool.acquire(self._replica.address, fresh)
        except http_errors.ConnectError as err:
            raise errors.UpstreamError(
                errors.Failure.CONNECT, str(err), sent=False
            )

    async def _send(self, conn, method, target, headers, body, silence_s):
        try:
            return await conn.request(
                method, target, headers, body, read_timeout_s=silence_s
            )
        except http_errors.ReadTimeoutError as err:
            self._pool.close_idle(conn.address)
            raise errors.UpstreamError(
                errors.Failure.SILENT, str(err), sent=True
            )
        except http_errors.ProtocolError as err:
            # Something was answered, so that the request may not be sent again
            # as one whose idle connection had been closed.
            conn.close()
            raise errors.UpstreamError(
                errors.Failure.BROKEN, str(err), sent=True
            )
        except http_errors.HttpError as err:
            conn.close()
            raise errors.UpstreamError(
                errors.Failure.LOST, str(err), sent=conn.sent
            )
        except BaseException:
            conn.close()
            raise

    async def _stream_of(
        self,
        conn: http_client.ClientConnection,
        head: http_client.ResponseHead,
        request_id: str,
    ) -> EngineStream:
        if head.status != 200:
            raise await self._error_of(conn, head)
        stream_head = config.StreamHead(
            int(head.get_header(const.HEADER_INCARNATION, "0")),
            head.get_header(const.HEADER_VERSION),
            head.get_header(const.HEADER_REQUEST_ID),
            _load_report_of(head),
        )
        if stream_head.request_id != request_id:
            conn.close()
            raise errors.UpstreamError(
                errors.Failure.CROSSED,
                f"response is for request {stream_head.request_id!r}",
                sent=True,
            )
        return EngineStream(conn, self._pool, stream_head)

    async def _error_of(
        self,
        conn: http_client.ClientConnection,
        head: http_client.ResponseHead,
    ) -> errors.UpstreamError:
        try:
            body = await conn.read_all(const.MAX_ERROR_BYTES)
        except http_errors.HttpError:
            body = b""
            conn.close()
        self._pool.release(conn)
        not_run = head.get_header(const.HEADER_NOT_RUN) == "1"
        failure = errors.Failure.BROKEN
        if head.status in _REFUSED_STATUSES:
            failure = errors.Failure.REFUSED
        if head.status == 409:
            failure = errors.Failure.WRONG_TARGET
        elif 400 <= head.status < 500 and head.status != 429:
            failure = errors.Failure.BAD_REQUEST
        return errors.UpstreamError(
            failure,
            f"status {head.status}",
            sent=True,
            ran=not not_run,
            status=head.status,
            body=body,
        )


def _request_headers(call: config.GenerateCall) -> list[tuple[bytes, bytes]]:
    headers = [
        (const.HEADER_REQUEST_ID, call.request_id),
        (const.HEADER_PRIORITY, str(call.priority)),
        (const.HEADER_INCARNATION, str(call.incarnation)),
        (const.HEADER_VERSION, call.version),
        ("content-type", "application/json"),
    ]
    if call.chain:
        chain = ",".join(f"{digest:016x}" for digest in call.chain)
        headers.append((const.HEADER_CHAIN, chain))
    if call.import_store_address:
        headers.append((const.HEADER_IMPORT, call.import_store_address))
    return [(name.encode(), value.encode()) for name, value in headers]


def _load_report_of(head: http_client.ResponseHead) -> config.LoadReport | None:
    text = head.get_header(const.HEADER_LOAD)
    if not text:
        return None
    now = asyncio.get_running_loop().time()
    try:
        return config.report_from_json(json_text.loads(text), now)
    except (ValueError, KeyError, TypeError):
        return None
