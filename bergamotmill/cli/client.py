"""Calls the operators' interface of a router."""

import asyncio
import json
from typing import Any

import result

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors

TIMEOUT_S = 15.0


async def _call(
    address: str, key: str, method: str, target: str, body: Any
) -> tuple[int, Any]:
    pool = http_client.Pool()
    headers = [(b"authorization", f"Bearer {key}".encode())]
    data = b"" if body is None else json.dumps(body).encode()
    try:
        head, answer = await http_client.fetch(
            pool, address, method, target, headers, data, TIMEOUT_S
        )
    finally:
        pool.close()
    return head.status, json.loads(answer)


def call(
    address: str, key: str, method: str, target: str, body: Any = None
) -> result.Result[tuple[int, Any], str]:
    """Sends one request and returns status and JSON."""
    try:
        return result.Ok(asyncio.run(_call(address, key, method, target, body)))
    except (http_errors.HttpError, TimeoutError, ValueError) as err:
        return result.Err(f"{address}: {err!r}")
