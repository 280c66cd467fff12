"""Speaks to replicas: requests, reports and orders."""

import json
from typing import Any

import result

from bergamotmill.dispatch import const as dispatch_const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import rollout
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.platform import const
from bergamotmill.platform import documents
from bergamotmill.upstream import errors

_FAILURES = (http_errors.HttpError, TimeoutError, ValueError, KeyError)
_BAD_ACCOUNT = (*_FAILURES, TypeError, AttributeError)
_ORDER_ANSWERS = {
    200: rollout.OrderAnswer.HOLDS,
    202: rollout.OrderAnswer.ACCEPTED,
    409: rollout.OrderAnswer.CONFLICT,
    412: rollout.OrderAnswer.FENCED,
}


class ReplicaResponse:
    """A replica's answer while it arrives."""

    def __init__(
        self,
        pool: http_client.Pool,
        conn: http_client.ClientConnection,
        head: messages.ResponseHead,
    ):
        self._pool = pool
        self._conn = conn
        self._head = head

    @property
    def head(self) -> messages.ResponseHead:
        """Status and headers."""
        return self._head

    async def read(self) -> bytes:
        """Returns the next bytes; empty at the end of a whole answer."""
        try:
            return await self._conn.read()
        except http_errors.HttpError as err:
            raise errors.UpstreamError(
                errors.Failure.LOST, repr(err), sent=True
            )

    def release(self) -> None:
        """Gives the connection back after a whole answer."""
        self._pool.release(self._conn)

    def close(self) -> None:
        """Cuts the connection."""
        self._conn.close()


class ReplicaLink:
    """Sends attempts and orders to replicas."""

    def __init__(self, holder_name: str):
        self._holder_name = holder_name
        self._pool = http_client.Pool(
            dispatch_const.CONNECT_TIMEOUT_S, dispatch_const.MAX_IDLE_REUSE_S
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def close_idle(self, address: str) -> None:
        """Closes idle connections to an address."""
        self._pool.suspect(address)

    async def is_reachable(self, address: str) -> bool:
        """Whether a replica takes a new connection."""
        try:
            conn = await self._pool.acquire(address, fresh=True)
        except http_errors.ConnectError:
            return False
        conn.close()
        return True

    async def send(
        self, call: messages.Call, attempt: messages.Attempt
    ) -> ReplicaResponse:
        """Sends an attempt and waits for the head of its answer."""
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
                _headers_of(call, attempt),
                call.body,
                host=call.route.host,
            )
            answer = _head_of(call, head)
        except http_errors.HttpError as err:
            conn.close()
            raise errors.UpstreamError(
                errors.Failure.LOST, repr(err), sent=conn.sent
            )
        except BaseException:
            conn.close()
            raise
        return ReplicaResponse(self._pool, conn, answer)

    async def read_status(
        self, entry: upstreams.UpstreamEntry
    ) -> result.Result[rollout.EngineStatus, str]:
        """Reads a replica's account of itself."""
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
            )
            if head.status != 200:
                return result.Err(f"status {head.status}")
            return result.Ok(_status_of(json.loads(data)))
        except _BAD_ACCOUNT as err:
            return result.Err(repr(err))

    async def send_order(
        self, order: rollout.WeightsOrder
    ) -> rollout.OrderAnswer:
        """Gives an order."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "mode": "hold",
            "holder": self._holder_name,
            "fenceToken": order.fencing,
            "precondition": order.expected_orders,
        }
        lines = [
            (b"content-type", b"application/json"),
            (const.HEADER_EXPECTED_UPSTREAM.encode(), order.upstream.encode()),
        ]
        try:
            head, _ = await http_client.fetch(
                self._pool,
                order.address,
                "POST",
                const.PATH_ORDER,
                headers=lines,
                body=json.dumps(body).encode(),
                timeout_s=dispatch_const.ORDER_TIMEOUT_S,
                fresh=True,
            )
        except _FAILURES:
            return rollout.OrderAnswer.NONE
        return _ORDER_ANSWERS.get(head.status, rollout.OrderAnswer.OTHER)


def _status_of(value: Any) -> rollout.EngineStatus:
    return rollout.EngineStatus(
        weights=documents.parse_held_weights(value["models"]),
        orders_accepted=int(value["sequence"]),
        busy=bool(value["busy"]),
    )


def _headers_of(
    call: messages.Call, attempt: messages.Attempt
) -> list[tuple[bytes, bytes]]:
    """Returns the caller's headers with those that are ours to set."""
    own = {
        const.HEADER_EXPECTED_UPSTREAM: attempt.upstream,
        const.HEADER_DEADLINE: str(max(1, int(attempt.time_left_s * 1000))),
        const.HEADER_CUSTOMER: call.customer_name,
        const.HEADER_CACHE_SCOPE: attempt.cache_scope,
        const.HEADER_KV_SOURCE: attempt.kv_source_address,
        const.HEADER_LAST_EVENT: attempt.resume_after_event_id,
        const.HEADER_KV_STANDBY: attempt.standby_address,
    }
    if attempt.continuation_address:
        # A copy is named by where it lies and by the request's id.
        copy = f"{attempt.continuation_address}/{call.request_id}"
        own[const.HEADER_KV_CONTINUATION] = copy
    if attempt.weights_version:
        own[const.HEADER_EXPECTED_WEIGHTS] = str(attempt.weights_version)
    if attempt.urgency >= 0:
        own[const.HEADER_URGENCY] = str(attempt.urgency)
    lines = list(call.headers)
    lines += [(k.encode(), v.encode()) for k, v in own.items() if v]
    return lines


def _head_of(
    call: messages.Call, head: http_client.ResponseHead
) -> messages.ResponseHead:
    """Reads the head of an answer.

    Raises:
        errors.UpstreamError: it answers another request.
    """
    answered = head.text(const.HEADER_REQUEST_ID)
    # A late second answer may bear no id; only refusals do without one.
    refused = head.status in const.NOT_RUN_STATUSES and not answered
    if answered != call.request_id and not refused:
        raise errors.UpstreamError(
            errors.Failure.CROSSED, f"answer to {answered!r}", sent=True
        )
    lines = forwarded_headers(head.lines, frozenset())
    weights = head.text(const.HEADER_WEIGHTS_USED, "0")
    whole = (
        bool(head.text(const.HEADER_RESPONSE_SEAL))
        and not head.text("content-encoding")
        and head.status not in const.NOT_RUN_STATUSES
    )
    return messages.ResponseHead(
        head.status,
        lines,
        whole,
        _not_run_of(head),
        int(weights) if weights.isdigit() else 0,
    )


def _not_run_of(head: http_client.ResponseHead) -> messages.NotRun | None:
    if head.status == 421:
        return messages.NotRun.MISDIRECTED
    if not head.text(const.HEADER_NOT_RUN):
        return None
    if head.status == 400:
        return messages.NotRun.UNREADABLE
    return messages.NotRun.BUSY


def forwarded_headers(
    lines: http_client.Headers, dropped: frozenset[str]
) -> messages.Headers:
    """Returns headers without those of one connection and some others."""
    named = set()
    for name, value in lines:
        if name.lower() == b"connection":
            named.update(
                part.strip().lower().decode("latin-1")
                for part in value.split(b",")
            )
    gone = const.HOP_BY_HOP_HEADERS | dropped | named
    return tuple(
        (name, value)
        for name, value in lines
        if name.lower().decode("latin-1") not in gone
    )
