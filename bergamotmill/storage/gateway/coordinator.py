"""Client of the JSON gateway."""

import base64
from collections.abc import AsyncIterator
import json
from typing import Any

import result

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import json_text
from bergamotmill.storage import key_value
from bergamotmill.storage.gateway import const

_CALL_ERRORS = (http_errors.HttpError, TimeoutError, ValueError, KeyError)


def encode_base64(data: bytes) -> str:
    """Encodes bytes as Base64 text."""
    return base64.b64encode(data).decode()


def range_end(prefix: str) -> bytes:
    """Returns the exclusive end of the range of keys with a prefix."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return bytes(data)


def parse_entry(value: dict[str, Any]) -> key_value.Entry:
    """Decodes an entry from the gateway's JSON form."""
    return key_value.Entry(
        base64.b64decode(value["key"]).decode(),
        base64.b64decode(value.get("value", "")),
        int(value["mod_revision"]),
        int(value["create_revision"]),
    )


class GatewayStore:
    """Sends calls to the service; switches to the next address on failure."""

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = addresses
        self._current = 0
        self._pool = http_client.Pool()

    async def start(self) -> None:
        """Does nothing; connections are opened when needed."""

    async def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    async def _call(
        self, path: str, body: dict[str, Any]
    ) -> result.Result[dict[str, Any], key_value.Unavailable]:
        address = self._addresses[self._current]
        try:
            head, data = await http_client.fetch(
                self._pool,
                address,
                "POST",
                path,
                body=json.dumps(body).encode(),
                timeout_s=const.CALL_TIMEOUT_S,
                max_body_bytes=const.MAX_ANSWER_BYTES,
            )
            if head.status != 200:
                raise ValueError(f"status {head.status}")
            return result.Ok(json_text.loads(data))
        except _CALL_ERRORS as err:
            self._pool.close_idle(address)
            self._current = (self._current + 1) % len(self._addresses)
            reason = f"{address}{path}: {err!r}"
            return result.Err(key_value.Unavailable(reason))

    async def get(
        self, key: str
    ) -> result.Result[key_value.Entry | None, key_value.Unavailable]:
        """Reads one key."""
        response = await self._call(
            const.PATH_RANGE, {"key": encode_base64(key.encode())}
        )
        return response.map(_parse_first_entry)

    async def scan(
        self, prefix: str, limit: int = 0
    ) -> result.Result[list[key_value.Entry], key_value.Unavailable]:
        """Reads all keys under a prefix in order."""
        body = {
            "key": encode_base64(prefix.encode()),
            "range_end": encode_base64(range_end(prefix)),
            "limit": limit,
        }
        response = await self._call(const.PATH_RANGE, body)
        return response.map(
            lambda value: [parse_entry(kv) for kv in value.get("kvs", [])]
        )

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> result.Result[int, key_value.Error]:
        """Writes if the key's revision is as expected."""
        encoded_key = encode_base64(key.encode())
        put = {
            "key": encoded_key,
            "value": encode_base64(value),
            "lease": str(lease),
        }
        body = _build_transaction(encoded_key, expected, {"requestPut": put})
        return _parse_write_result(await self._call(const.PATH_TXN, body))

    async def delete(
        self, key: str, expected: int | None
    ) -> result.Result[None, key_value.Error]:
        """Deletes a key if its revision is as expected."""
        encoded_key = encode_base64(key.encode())
        operation = {"requestDeleteRange": {"key": encoded_key}}
        body = _build_transaction(encoded_key, expected, operation)
        return _parse_write_result(await self._call(const.PATH_TXN, body)).map(
            lambda _: None
        )

    async def grant(
        self, ttl_s: float
    ) -> result.Result[int, key_value.Unavailable]:
        """Creates a lease and returns its id."""
        response = await self._call(const.PATH_GRANT, {"TTL": str(int(ttl_s))})
        return response.map(lambda value: int(value["ID"]))

    async def renew(
        self, lease: int
    ) -> result.Result[bool, key_value.Unavailable]:
        """Renews a lease; False if it has expired."""
        response = await self._call(const.PATH_RENEW, {"ID": str(lease)})
        return response.map(
            lambda value: int(value.get("result", {}).get("TTL", 0)) > 0
        )

    async def revoke(
        self, lease: int
    ) -> result.Result[None, key_value.Unavailable]:
        """Revokes a lease and deletes its keys."""
        response = await self._call(const.PATH_REVOKE, {"ID": str(lease)})
        return response.map(lambda _: None)

    async def watch(self, prefix: str) -> AsyncIterator[list[key_value.Event]]:
        """Yields changes under a prefix; ends when the connection fails."""
        address = self._addresses[self._current]
        body = {
            "create_request": {
                "key": encode_base64(prefix.encode()),
                "range_end": encode_base64(range_end(prefix)),
            }
        }
        try:
            conn = await self._pool.acquire(address, fresh=True)
        except http_errors.HttpError:
            return
        try:
            await conn.request(
                "POST",
                const.PATH_WATCH,
                body=json.dumps(body).encode(),
                read_timeout_s=const.WATCH_READ_TIMEOUT_S,
            )
            partial_line = bytearray()
            while data := await conn.read():
                partial_line += data
                if b"\n" not in data:
                    if len(partial_line) > const.MAX_ANSWER_BYTES:
                        return
                    continue
                *lines, last = bytes(partial_line).split(b"\n")
                partial_line = bytearray(last)
                for line in lines:
                    events = (
                        _parse_events(json_text.loads(line)) if line else []
                    )
                    if events:
                        yield events
        except _CALL_ERRORS:
            return
        finally:
            conn.close()


def _build_transaction(
    encoded_key: str, expected: int | None, operation: dict[str, Any]
) -> dict[str, Any]:
    compare = []
    if expected is not None:
        compare = [
            {
                "key": encoded_key,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(expected),
            }
        ]
    failure = [{"requestRange": {"key": encoded_key}}]
    return {"compare": compare, "success": [operation], "failure": failure}


def _parse_write_result(
    response: result.Result[dict[str, Any], key_value.Unavailable],
) -> result.Result[int, key_value.Error]:
    if response.is_err():
        return response
    value = response.ok()
    if value.get("succeeded"):
        return result.Ok(int(value["header"]["revision"]))
    responses = value.get("responses", [{}])
    range_response = responses[0].get("response_range", {}) if responses else {}
    return result.Err(key_value.Conflict(_parse_first_entry(range_response)))


def _parse_first_entry(value: dict[str, Any]) -> key_value.Entry | None:
    entries = value.get("kvs", [])
    return parse_entry(entries[0]) if entries else None


def _parse_events(value: dict[str, Any]) -> list[key_value.Event]:
    events = []
    for event in value.get("result", {}).get("events", []):
        kv = event["kv"]
        key = base64.b64decode(kv["key"]).decode()
        is_deleted = event.get("type") == "DELETE"
        events.append(
            key_value.Event(key, None if is_deleted else parse_entry(kv))
        )
    return events
