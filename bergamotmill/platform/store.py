"""Client of the platform's store."""

import base64
from collections.abc import AsyncIterator
import json
from typing import Any
import urllib.parse

import result

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.platform import const
from bergamotmill.storage import key_value

_CALL_ERRORS = (http_errors.HttpError, TimeoutError, ValueError, KeyError)
_JSON_HEADERS = ((b"content-type", b"application/json"),)


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text)


def _parse_entry(item: dict[str, Any]) -> key_value.Entry:
    return key_value.Entry(
        item["key"],
        _decode_base64(item.get("value", "")),
        int(item["revision"]),
        int(item["created"]),
    )


class PlatformStore:
    """Sends calls to the store.

    A write whose outcome is unknown is reported as `Unavailable`, as it may
    have taken effect.
    """

    def __init__(self, address: str):
        self._address = address
        self._pool = http_client.Pool()

    async def start(self) -> None:
        """Does nothing; connections are opened when needed."""

    async def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    def set_address(self, address: str) -> None:
        """Directs further calls to another address."""
        self._pool.close_idle(self._address)
        self._address = address

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = const.CALL_TIMEOUT_S,
        **query: object,
    ) -> result.Result[tuple[int, dict[str, Any]], key_value.Unavailable]:
        """Sends one request and returns the status and the decoded body.

        Statuses 429 and 500 and above count as unavailable; all others are
        returned.
        """
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        encoded_body = b"" if body is None else json.dumps(body).encode()
        try:
            head, data = await http_client.fetch(
                self._pool,
                self._address,
                method,
                target,
                headers=_JSON_HEADERS if encoded_body else (),
                body=encoded_body,
                timeout_s=timeout_s,
            )
            if head.status == 429 or head.status >= 500:
                raise ValueError(f"status {head.status}")
            value = json.loads(data) if data else {}
            return result.Ok((head.status, value))
        except _CALL_ERRORS as err:
            self._pool.close_idle(self._address)
            return result.Err(key_value.Unavailable(f"{path}: {err!r}"))

    async def get(
        self, key: str
    ) -> result.Result[key_value.Entry | None, key_value.Unavailable]:
        """Reads one key."""
        response = await self._call("GET", const.PATH_KEY, key=key)
        return response.map(
            lambda status_and_body: (
                None
                if status_and_body[0] == 404
                else _parse_entry(status_and_body[1])
            )
        )

    async def scan(
        self, prefix: str, limit: int = 0
    ) -> result.Result[list[key_value.Entry], key_value.Unavailable]:
        """Reads all keys under a prefix in order."""
        response = await self.snapshot(prefix)
        return response.map(
            lambda snapshot: list(
                snapshot.entries[:limit] if limit else snapshot.entries
            )
        )

    async def snapshot(
        self, prefix: str
    ) -> result.Result[key_value.Snapshot, key_value.Unavailable]:
        """Reads all pages under a prefix, with the revision of the first page.

        Later pages may contain entries that are newer than this revision. A
        watch from the revision reports them again, which is harmless.
        """
        entries: list[key_value.Entry] = []
        revision = 0
        query: dict[str, object] = {"prefix": prefix}
        while True:
            response = await self._call("GET", const.PATH_RANGE, **query)
            if response.is_err():
                return response
            status, value = response.ok()
            if status != 200:
                return result.Err(key_value.Unavailable(f"status {status}"))
            entries.extend(_parse_entry(item) for item in value["items"])
            revision = revision or int(value["storeRevision"])
            if not value.get("hasMore") or not entries:
                return result.Ok(key_value.Snapshot(tuple(entries), revision))
            query["after"] = entries[-1].key

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[
        key_value.Changes, key_value.Unavailable | key_value.Compacted
    ]:
        """Waits up to `wait_s` for changes after a revision; may find none."""
        response = await self._call(
            "GET",
            const.PATH_WATCH,
            timeout_s=wait_s + const.WATCH_TIMEOUT_MARGIN_S,
            prefix=prefix,
            after=after,
            waitMs=int(wait_s * 1000),
        )
        if response.is_err():
            return response
        status, value = response.ok()
        if status == 410:
            return result.Err(key_value.Compacted(f"after {after}"))
        if status != 200:
            return result.Err(key_value.Unavailable(f"status {status}"))
        events = tuple(_parse_event(item) for item in value.get("events", ()))
        revision = int(value["storeRevision"])
        return result.Ok(key_value.Changes(events, revision))

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> result.Result[int, key_value.Error]:
        """Writes if the key's revision is as expected."""
        put = {"key": key, "value": base64.b64encode(value).decode()}
        if lease:
            put["lease"] = lease
        return await self._transact(key, expected, {"puts": [put]})

    async def delete(
        self, key: str, expected: int | None
    ) -> result.Result[None, key_value.Error]:
        """Deletes a key if its revision is as expected."""
        written = await self._transact(key, expected, {"remove": [key]})
        return written.map(lambda _: None)

    async def _transact(
        self, key: str, expected: int | None, change: dict[str, Any]
    ) -> result.Result[int, key_value.Error]:
        body = {"precondition": [], "puts": [], "remove": [], **change}
        if expected is not None:
            body["precondition"] = [{"key": key, "revision": expected}]
        response = await self._call("POST", const.PATH_TRANSACTION, body)
        if response.is_err():
            return response
        status, value = response.ok()
        if status == 412:
            return result.Err(_parse_conflict(value))
        if status != 200:
            return result.Err(key_value.Unavailable(f"status {status}"))
        return result.Ok(int(value["revision"]))

    async def grant(
        self, ttl_s: float
    ) -> result.Result[int, key_value.Unavailable]:
        """Creates a lease and returns its id."""
        body = {"ttlMs": int(ttl_s * 1000)}
        response = await self._call("POST", const.PATH_LEASE_GRANT, body)
        if response.is_err():
            return response
        status, value = response.ok()
        if status != 200:
            return result.Err(key_value.Unavailable(f"status {status}"))
        return result.Ok(int(value["lease"]))

    async def renew(
        self, lease: int
    ) -> result.Result[bool, key_value.Unavailable]:
        """Renews a lease; False if it has expired."""
        response = await self._call("POST", f"{const.PATH_LEASE_RENEW}{lease}")
        if response.is_err():
            return response
        status, _ = response.ok()
        if status not in (200, 404):
            return result.Err(key_value.Unavailable(f"status {status}"))
        return result.Ok(status == 200)

    async def revoke(
        self, lease: int
    ) -> result.Result[None, key_value.Unavailable]:
        """Revokes a lease and deletes its keys."""
        response = await self._call(
            "DELETE", f"{const.PATH_LEASE_REVOKE}{lease}"
        )
        return response.map(lambda _: None)

    async def watch(self, prefix: str) -> AsyncIterator[list[key_value.Event]]:
        """Yields changes under a prefix; ends when the store fails."""
        snapshot = await self.snapshot(prefix)
        if snapshot.is_err():
            return
        after = snapshot.ok().revision
        while True:
            response = await self.changes(prefix, after, const.CALL_TIMEOUT_S)
            if response.is_err():
                return
            after = response.ok().revision
            if response.ok().events:
                yield list(response.ok().events)


def _parse_event(item: dict[str, Any]) -> key_value.Event:
    revision = int(item["revision"])
    if item.get("deleted"):
        return key_value.Event(item["key"], None, revision)
    return key_value.Event(item["key"], _parse_entry(item), revision)


def _parse_conflict(value: dict[str, Any]) -> key_value.Conflict:
    items = value.get("items") or [{}]
    current = items[0]
    if not current.get("revision") or "value" not in current:
        return key_value.Conflict(None)
    return key_value.Conflict(_parse_entry(current))
