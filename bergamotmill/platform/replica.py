"""Client of the replicas: requests, status reports and orders."""

import json
import math
import re
from typing import Any

import result

from bergamotmill.dispatch import const as dispatch_const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import rollout
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import decisions
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import json_text
from bergamotmill.platform import const
from bergamotmill.platform import documents
from bergamotmill.routing import stated_limit
from bergamotmill.upstream import errors

# Unreadable limits of which each is logged once.
MAX_LOGGED_LIMITS = 64
_logged_limits: set[str] = set()
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
_LENGTH = re.compile(r"[0-9]{1,18}")
_MISDIRECTED_STATUS = 421
_CALL_ERRORS = (http_errors.HttpError, TimeoutError, ValueError, KeyError)
_STATUS_ERRORS = (*_CALL_ERRORS, TypeError, AttributeError, OverflowError)
_ORDER_ANSWER_BY_STATUS = {
    200: rollout.OrderAnswer.HOLDS,
    202: rollout.OrderAnswer.ACCEPTED,
    409: rollout.OrderAnswer.CONFLICT,
    412: rollout.OrderAnswer.FENCED,
}


class ReplicaResponse:
    """A response that is being received from a replica."""

    def __init__(
        self,
        pool: http_client.Pool,
        conn: http_client.ClientConnection,
        head: messages.ResponseHead,
    ):
        self._pool = pool
        self._conn = conn
        self._head = head
        self._address = conn.address

    @property
    def head(self) -> messages.ResponseHead:
        """Status and headers."""
        return self._head

    async def read(self) -> bytes:
        """Returns the next bytes; empty at the end of a complete response."""
        try:
            return await self._conn.read()
        except http_errors.HttpError as err:
            raise errors.UpstreamError(
                errors.Failure.LOST, repr(err), sent=True
            )

    def pause(self) -> None:
        """Stops receiving until all that has been received is read."""
        self._conn.pause_reading()

    async def is_whole(self) -> bool:
        """Whether a response that ended with its connection is complete."""
        return not await self._pool.is_refused(self._address)

    def release(self) -> None:
        """Returns the connection to the pool after a complete response."""
        self._pool.release(self._conn)

    def close(self) -> None:
        """Closes the connection."""
        self._conn.close()


class ReplicaLink:
    """Sends attempts and orders to replicas."""

    def __init__(self, router_name: str):
        self._router_name = router_name
        self._pool = http_client.Pool(
            dispatch_const.CONNECT_TIMEOUT_S, dispatch_const.MAX_IDLE_REUSE_S
        )

    def count_connections(
        self, connections: connection_memory.ConnectionMemory
    ) -> None:
        """Counts what connections opened from now on buffer."""
        self._pool.count_connections(connections)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def close_idle(self, address: str) -> None:
        """Closes idle connections to an address."""
        self._pool.close_idle(address)

    async def is_reachable(self, address: str) -> bool:
        """Whether a replica accepts a new connection."""
        try:
            conn = await self._pool.acquire(address, fresh=True)
        except http_errors.ConnectError:
            return False
        conn.close()
        return True

    async def has_ended(self, address: str) -> bool:
        """Whether a replica has ended: a new connection is refused."""
        return await self._pool.is_refused(address)

    async def send(
        self, call: messages.Call, attempt: messages.Attempt
    ) -> ReplicaResponse:
        """Sends an attempt and waits for the response head."""
        try:
            conn = await self._pool.acquire(
                attempt.address, attempt.new_connection
            )
        except http_errors.ConnectError as err:
            raise errors.UpstreamError(
                errors.Failure.CONNECT, str(err), sent=False
            )
        try:
            head = await conn.request(
                call.method,
                call.target,
                _request_headers(call, attempt),
                call.body,
                host=call.route.host,
            )
            response_head = _parse_head(call, head, conn.was_used_before)
        except http_errors.RequestUnreadError:
            raise errors.UpstreamError(
                errors.Failure.SILENT, "the request was not read", sent=True
            )
        except http_errors.HttpError as err:
            conn.close()
            raise errors.UpstreamError(
                errors.Failure.LOST, repr(err), sent=conn.sent
            )
        except BaseException:
            conn.close()
            raise
        return ReplicaResponse(self._pool, conn, response_head)

    async def check_health(
        self, entry: upstreams.UpstreamEntry, path: str
    ) -> messages.UpstreamSignals | None:
        """Asks a replica for its health; an engine for its report."""
        try:
            head, _ = await http_client.fetch(
                self._pool,
                entry.address,
                "GET",
                const.PATH_REPORT if entry.weights else path or "/",
                headers=[
                    (
                        const.HEADER_EXPECTED_UPSTREAM.encode(),
                        entry.name.encode(),
                    )
                ],
                timeout_s=dispatch_const.ORDER_TIMEOUT_S,
                max_body_bytes=const.MAX_REPORT_BYTES,
            )
        except _CALL_ERRORS as err:
            decisions.record(
                "health_unknown", upstream=entry.name, detail=repr(err)
            )
            return None
        return _parse_signals(head)

    async def read_status(
        self, entry: upstreams.UpstreamEntry
    ) -> result.Result[rollout.EngineStatus, rollout.StatusFailure]:
        """Reads a replica's status report."""
        signals = messages.NO_SIGNALS
        try:
            head, data = await http_client.fetch(
                self._pool,
                entry.address,
                "GET",
                const.PATH_REPORT,
                headers=[
                    (
                        const.HEADER_EXPECTED_UPSTREAM.encode(),
                        entry.name.encode(),
                    )
                ],
                timeout_s=dispatch_const.ORDER_TIMEOUT_S,
                max_body_bytes=const.MAX_REPORT_BYTES,
            )
            signals = _parse_signals(head)
            if head.status != 200:
                return result.Err(
                    rollout.StatusFailure(f"status {head.status}", signals)
                )
            return result.Ok(_parse_status(json_text.loads(data), signals))
        except _STATUS_ERRORS as err:
            return result.Err(rollout.StatusFailure(repr(err), signals))

    async def send_order(
        self, order: rollout.WeightsOrder
    ) -> rollout.OrderReply:
        """Sends an order to load a version of a model's weights."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "mode": "retain" if order.keeps_runs else "hold",
            "holder": self._router_name,
            "fenceToken": order.fencing,
            "precondition": order.expected_orders,
        }
        headers = [
            (b"content-type", b"application/json"),
            (const.HEADER_EXPECTED_UPSTREAM.encode(), order.upstream.encode()),
        ]
        try:
            head, _ = await http_client.fetch(
                self._pool,
                order.address,
                "POST",
                const.PATH_ORDER,
                headers=headers,
                body=json.dumps(body).encode(),
                timeout_s=dispatch_const.ORDER_TIMEOUT_S,
                max_body_bytes=const.MAX_REPLY_BYTES,
                fresh=True,
            )
        except _CALL_ERRORS:
            return rollout.OrderReply(rollout.OrderAnswer.NONE)
        answer = _ORDER_ANSWER_BY_STATUS.get(
            head.status, rollout.OrderAnswer.OTHER
        )
        return rollout.OrderReply(answer, _parse_signals(head))


def _parse_status(
    value: Any, signals: messages.UpstreamSignals
) -> rollout.EngineStatus:
    return rollout.EngineStatus(
        weights=documents.parse_held_weights(value["models"]),
        orders_accepted=int(value["sequence"]),
        busy=bool(value["busy"]),
        signals=signals,
    )


def _request_headers(
    call: messages.Call, attempt: messages.Attempt
) -> list[tuple[bytes, bytes]]:
    """Returns the caller's headers and those that the router sets."""
    router_headers = {
        const.HEADER_EXPECTED_UPSTREAM: attempt.upstream,
        const.HEADER_DEADLINE: str(max(1, int(attempt.time_left_s * 1000))),
        const.HEADER_CUSTOMER: call.customer_name,
        const.HEADER_CACHE_SCOPE: attempt.cache_scope,
        const.HEADER_KV_SOURCE: attempt.kv_source_address,
        const.HEADER_LAST_EVENT: attempt.resume_after_event_id,
        const.HEADER_KV_STANDBY: attempt.standby_address,
    }
    if attempt.continuation_address:
        # A KV copy is identified by its address and the request's id.
        copy = f"{attempt.continuation_address}/{call.request_id}"
        router_headers[const.HEADER_KV_CONTINUATION] = copy
    if attempt.weights_version:
        router_headers[const.HEADER_EXPECTED_WEIGHTS] = str(
            attempt.weights_version
        )
    if attempt.urgency >= 0:
        router_headers[const.HEADER_URGENCY] = str(attempt.urgency)
    headers = list(call.headers)
    headers += [
        (name.encode(), value.encode())
        for name, value in router_headers.items()
        if value
    ]
    return headers


def _parse_head(
    call: messages.Call, head: http_client.ResponseHead, is_kept: bool
) -> messages.ResponseHead:
    """Converts the head of a response.

    Args:
        call: the call that the response may answer.
        head: the head.
        is_kept: whether the connection has carried earlier requests.

    Raises:
        errors.UpstreamError: the response belongs to another request.
    """
    response_id = head.get_header(const.HEADER_REQUEST_ID)
    # Only refusals may lack a request id. Any other response without one may
    # be a late second response to an earlier request on the connection, and on
    # a kept connection a refusal may be so, too.
    is_refusal = head.status in const.NOT_RUN_STATUSES and not response_id
    if response_id != call.request_id and not is_refusal:
        raise errors.UpstreamError(
            errors.Failure.CROSSED,
            f"response to request {response_id!r}",
            sent=True,
        )
    headers = forwarded_headers(head.raw_headers, frozenset())
    weights_version = head.get_header(const.HEADER_WEIGHTS_USED, "0")
    length = head.get_header("content-length")
    forwardable = (
        bool(head.get_header(const.HEADER_RESPONSE_SEAL))
        and not head.get_header("content-encoding")
        and head.status not in const.NOT_RUN_STATUSES
    )
    return messages.ResponseHead(
        head.status,
        headers,
        forwardable,
        _not_run_reason(head),
        int(weights_version) if weights_version.isdigit() else 0,
        _parse_signals(head),
        not (length or head.get_header("transfer-encoding")),
        bool(response_id) or not is_kept,
        int(length) if _LENGTH.fullmatch(length) else 0,
    )


def _parse_signals(
    head: http_client.ResponseHead,
) -> messages.UpstreamSignals:
    """Decodes what a replica says of itself in any of its responses."""
    pause_s = 0.0
    text = head.get_header(const.HEADER_RETRY_AFTER)
    if text and head.status == 503:
        pause_s = _parse_seconds(text)
    return messages.UpstreamSignals(
        head.get_header(const.HEADER_LEAVING) == "1",
        pause_s,
        _parse_limit(head),
    )


def _parse_limit(head: http_client.ResponseHead) -> float | None:
    """Decodes the request rate that a replica names.

    Returns:
        The rate in requests per second; None if it cannot be read, or if
        another replica may have responded, as with a misdirected request.
    """
    if head.status == _MISDIRECTED_STATUS:
        return None
    name = const.HEADER_LIMIT.encode()
    values = [
        value for header, value in head.raw_headers if header.lower() == name
    ]
    if not values:
        return stated_limit.UNLIMITED
    text = b", ".join(values).decode("latin-1")
    if _DECIMAL.fullmatch(text):
        limit_per_s = float(text)
        if math.isfinite(limit_per_s):
            return limit_per_s
    if text not in _logged_limits and len(_logged_limits) < MAX_LOGGED_LIMITS:
        _logged_limits.add(text)
        decisions.record(
            "header_unreadable", name=const.HEADER_LIMIT, value=text[:40]
        )
    return None


def _parse_seconds(text: str) -> float:
    """Decodes a number of seconds; 0 for a value that is none."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if math.isfinite(seconds) and seconds >= 0:
        return seconds
    decisions.record("header_unreadable", name="retry-after", value=text[:40])
    return 0.0


def _not_run_reason(head: http_client.ResponseHead) -> messages.NotRun | None:
    if head.status == _MISDIRECTED_STATUS:
        return messages.NotRun.MISDIRECTED
    if not head.get_header(const.HEADER_NOT_RUN):
        return None
    if head.status == 400:
        return messages.NotRun.UNREADABLE
    return messages.NotRun.BUSY


def forwarded_headers(
    headers: http_client.Headers, dropped: frozenset[str]
) -> messages.Headers:
    """Returns the headers without `dropped` and hop-by-hop headers."""
    named_by_connection = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named_by_connection.update(
                part.strip().lower().decode("latin-1")
                for part in value.split(b",")
            )
    excluded = const.HOP_BY_HOP_HEADERS | dropped | named_by_connection
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower().decode("latin-1") not in excluded
    )
