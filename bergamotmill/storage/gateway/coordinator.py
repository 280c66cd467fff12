"""The client of the JSON gateway."""

import base64
from collections.abc import AsyncIterator
import json
from typing import Any

import result

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.storage import key_value
from bergamotmill.storage.gateway import const

_FAILURES = (http_errors.HttpError, TimeoutError, ValueError, KeyError)


def encode(data: bytes) -> str:
    """Returns bytes in base 64 as text."""
    return base64.b64encode(data).decode()


def range_end(prefix: str) -> bytes:
    """Returns the first key after all keys with the prefix."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return bytes(data)


def parse_entry(value: dict[str, Any]) -> key_value.Entry:
    """Makes an entry of the gateway's form."""
    return key_value.Entry(
        base64.b64decode(value["key"]).decode(),
        base64.b64decode(value.get("value", "")),
        int(value["mod_revision"]),
        int(value["create_revision"]),
    )


class GatewayStore:
    """Calls the service; a failed address is left for the next one."""

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = addresses
        self._current = 0
        self._pool = http_client.Pool()

    async def start(self) -> None:
        """Nothing to prepare; connections are opened when needed."""

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
            )
            if head.status != 200:
                raise ValueError(f"status {head.status}")
            return result.Ok(json.loads(data))
        except _FAILURES as err:
            self._pool.suspect(address)
            self._current = (self._current + 1) % len(self._addresses)
            reason = f"{address}{path}: {err!r}"
            return result.Err(key_value.Unavailable(reason))

    async def get(
        self, key: str
    ) -> result.Result[key_value.Entry | None, key_value.Unavailable]:
        """Reads one key."""
        answer = await self._call(
            const.PATH_RANGE, {"key": encode(key.encode())}
        )
        return answer.map(_first_entry)

    async def scan(
        self, prefix: str, limit: int = 0
    ) -> result.Result[list[key_value.Entry], key_value.Unavailable]:
        """Reads all keys under a prefix in order."""
        body = {
            "key": encode(prefix.encode()),
            "range_end": encode(range_end(prefix)),
            "limit": limit,
        }
        answer = await self._call(const.PATH_RANGE, body)
        return answer.map(
            lambda value: [parse_entry(item) for item in value.get("kvs", [])]
        )

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> result.Result[int, key_value.Error]:
        """Writes when the key's revision is as expected."""
        coded = encode(key.encode())
        put = {"key": coded, "value": encode(value), "lease": str(lease)}
        body = _transaction(coded, expected, {"requestPut": put})
        return _settle(await self._call(const.PATH_TXN, body))

    async def delete(
        self, key: str, expected: int | None
    ) -> result.Result[None, key_value.Error]:
        """Deletes a key at a revision."""
        coded = encode(key.encode())
        step = {"requestDeleteRange": {"key": coded}}
        body = _transaction(coded, expected, step)
        return _settle(await self._call(const.PATH_TXN, body)).map(
            lambda _: None
        )

    async def grant(
        self, ttl_s: float
    ) -> result.Result[int, key_value.Unavailable]:
        """Makes a lease."""
        answer = await self._call(const.PATH_GRANT, {"TTL": str(int(ttl_s))})
        return answer.map(lambda value: int(value["ID"]))

    async def renew(
        self, lease: int
    ) -> result.Result[bool, key_value.Unavailable]:
        """Renews a lease that has not lapsed."""
        answer = await self._call(const.PATH_RENEW, {"ID": str(lease)})
        return answer.map(
            lambda value: int(value.get("result", {}).get("TTL", 0)) > 0
        )

    async def revoke(
        self, lease: int
    ) -> result.Result[None, key_value.Unavailable]:
        """Ends a lease with its keys."""
        answer = await self._call(const.PATH_REVOKE, {"ID": str(lease)})
        return answer.map(lambda _: None)

    async def watch(self, prefix: str) -> AsyncIterator[list[key_value.Event]]:
        """Gives changes under a prefix; ends when the connection fails."""
        address = self._addresses[self._current]
        body = {
            "create_request": {
                "key": encode(prefix.encode()),
                "range_end": encode(range_end(prefix)),
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
                silence_s=const.WATCH_READ_TIMEOUT_S,
            )
            rest = b""
            while data := await conn.read():
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    events = _events_of(json.loads(line)) if line else []
                    if events:
                        yield events
        except _FAILURES:
            return
        finally:
            conn.close()


def _transaction(
    coded: str, expected: int | None, step: dict[str, Any]
) -> dict[str, Any]:
    compare = []
    if expected is not None:
        compare = [
            {
                "key": coded,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(expected),
            }
        ]
    failure = [{"requestRange": {"key": coded}}]
    return {"compare": compare, "success": [step], "failure": failure}


def _settle(
    answer: result.Result[dict[str, Any], key_value.Unavailable],
) -> result.Result[int, key_value.Error]:
    if answer.is_err():
        return answer
    value = answer.ok()
    if value.get("succeeded"):
        return result.Ok(int(value["header"]["revision"]))
    responses = value.get("responses", [{}])
    ranged = responses[0].get("response_range", {}) if responses else {}
    return result.Err(key_value.Conflict(_first_entry(ranged)))


def _first_entry(value: dict[str, Any]) -> key_value.Entry | None:
    found = value.get("kvs", [])
    return parse_entry(found[0]) if found else None


def _events_of(value: dict[str, Any]) -> list[key_value.Event]:
    events = []
    for item in value.get("result", {}).get("events", []):
        raw = item["kv"]
        key = base64.b64decode(raw["key"]).decode()
        gone = item.get("type") == "DELETE"
        events.append(key_value.Event(key, None if gone else parse_entry(raw)))
    return events
