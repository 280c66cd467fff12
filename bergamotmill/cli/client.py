"""Client of a router's operator interface."""

import asyncio
import json
from typing import Any

import result

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors

REQUEST_TIMEOUT_S = 15.0
# A configuration with all its customers fits.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


async def _send_request(
    address: str, key: str, method: str, target: str, body: Any
) -> tuple[int, Any]:
    pool = http_client.Pool()
    headers = []
    if key:
        headers = [(b"authorization", f"Bearer {key}".encode())]
    data = b"" if body is None else json.dumps(body).encode()
    try:
        head, response_body = await http_client.fetch(
            pool,
            address,
            method,
            target,
            headers,
            data,
            REQUEST_TIMEOUT_S,
            MAX_ANSWER_BYTES,
        )
    finally:
        pool.close()
    return head.status, json.loads(response_body)


def send_request(
    address: str, key: str, method: str, target: str, body: Any = None
) -> result.Result[tuple[int, Any], str]:
    """Returns the status and the decoded JSON body, or an error message.

    Args:
        address: address of the router.
        key: the operator's key; empty for addresses that need none.
        method: HTTP method.
        target: path and query.
        body: value that is sent as JSON; None for no body.
    """
    try:
        return result.Ok(
            asyncio.run(_send_request(address, key, method, target, body))
        )
    except (http_errors.HttpError, TimeoutError, ValueError) as err:
        return result.Err(f"{address}: {err!r}")
