"""Client of the platform's store.

The store may be restored from a copy some seconds old. It then loses what it
has acknowledged since, gives revisions and lease ids out again, and reports a
higher era in all its answers. This client includes the era in revisions (see
storage.key_value) and remembers that of each lease, so that those of an earlier
era match nothing.
"""

import asyncio
import base64
from collections.abc import AsyncIterator, Callable
import dataclasses
import functools
import json
import math
from typing import Any, TypeVar
import urllib.parse

import result

from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import decisions
from bergamotmill.helpers import hedged_fetch
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import json_text
from bergamotmill.platform import const
from bergamotmill.storage import key_value

_CALL_ERRORS = (http_errors.HttpError, TimeoutError, ValueError)
_DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)
_JSON_HEADERS = ((b"content-type", b"application/json"),)
# Higher eras would leave no room for a revision in the 53 bits of a number
# that JSON readers keep exactly.
MAX_ERA = (1 << 53 - key_value.ERA_SHIFT) - 1
_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    """A lease of this client.

    Attributes:
        number: the id that the store gave it.
        era: era of the store when it did.
    """

    number: int
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store.

    Attributes:
        era: era of the store when it gave the answer.
        body: the decoded JSON body.
    """

    status: int
    era: int
    body: Any

    def revision(self, name: str) -> int:
        """Returns a revision of the body, with the era."""
        return key_value.with_era(self.era, int(self.body[name]))

    def entry(self, item: Any) -> key_value.Entry:
        """Decodes an item of the body."""
        return key_value.Entry(
            item["key"],
            base64.b64decode(item.get("value", "")),
            key_value.with_era(self.era, int(item["revision"])),
            key_value.with_era(self.era, int(item["created"])),
        )

    def event(self, item: Any) -> key_value.Event:
        """Decodes a change."""
        if item.get("deleted"):
            revision = key_value.with_era(self.era, int(item["revision"]))
            return key_value.Event(item["key"], None, revision)
        entry = self.entry(item)
        return key_value.Event(entry.key, entry, entry.revision)

    def conflict(self) -> key_value.Conflict:
        """Decodes the present state of a key that was not as expected."""
        items = self.body.get("items") or [{}]
        current = items[0]
        if not current.get("revision") or "value" not in current:
            return key_value.Conflict(None)
        return key_value.Conflict(self.entry(current))


def _decode(
    path: str, decode: Callable[[], _T]
) -> result.Result[_T, key_value.Unavailable]:
    """Decodes an answer; a malformed one counts as no answer."""
    try:
        return result.Ok(decode())
    except _DECODE_ERRORS as err:
        return result.Err(key_value.Unavailable(f"{path}: {err!r}"))


class PlatformStore:
    """Sends calls to the store.

    A write whose outcome is unknown is reported as `Unavailable`, as it may
    have taken effect.
    """

    def __init__(self, address: str):
        self._address = address
        self._pool = http_client.Pool(is_essential=True)
        # Highest era seen in an answer.
        self._era = 0
        # Leases by the ids that this client gives out, which are never reused.
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1

    def count_connections(
        self, connections: connection_memory.ConnectionMemory
    ) -> None:
        """Counts what connections opened from now on buffer."""
        self._pool.count_connections(connections)

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
        wait_s: float | None = None,
        **query: object,
    ) -> result.Result[_Answer, key_value.Unavailable]:
        """Sends one call and returns the answer.

        Statuses 429 and 500 and above count as unavailable, as does an answer
        of an earlier era than one seen before; all others are returned.

        Args:
            method: HTTP method.
            path: path of the call.
            body: JSON body.
            wait_s: how long the store may wait before it answers, for an
                idempotent call, which is repeated when the answer is overdue;
                None for calls that must be sent only once.
            **query: query parameters.
        """
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        encoded_body = b"" if body is None else json.dumps(body).encode()
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            head, data = await self._send(method, target, encoded_body, wait_s)
            era = self._note_era(head.get_header(const.HEADER_STORE_ERA))
            if head.status == 429 or head.status >= 500:
                raise ValueError(f"status {head.status}")
            value = json_text.loads(data) if data else {}
            return result.Ok(_Answer(head.status, era, value))
        except _CALL_ERRORS as err:
            self._pool.close_idle(self._address)
            decisions.record(
                "store_call_failed",
                path=path,
                detail=repr(err),
                seconds=round(loop.time() - sent_at, 2),
            )
            return result.Err(key_value.Unavailable(f"{path}: {err!r}"))

    async def _send(
        self, method: str, target: str, body: bytes, wait_s: float | None
    ) -> tuple[http_client.ResponseHead, bytes]:
        if wait_s is None:
            return await http_client.fetch(
                self._pool,
                self._address,
                method,
                target,
                headers=_JSON_HEADERS if body else (),
                body=body,
                timeout_s=const.CALL_TIMEOUT_S,
                max_body_bytes=const.MAX_ANSWER_BYTES,
            )
        return await hedged_fetch.fetch(
            self._pool,
            self._address,
            method,
            target,
            max(const.CALL_TIMEOUT_S, wait_s + const.WATCH_TIMEOUT_MARGIN_S),
            wait_s + const.HEDGE_PERIOD_S,
            const.HEDGE_PERIOD_S,
            const.MAX_ANSWER_BYTES,
        )

    def _note_era(self, text: str) -> int:
        """Returns the era of an answer.

        Raises:
            ValueError: the era is malformed or has been superseded.
        """
        era = int(text) if text else 0
        if not 0 <= era <= MAX_ERA:
            raise ValueError(f"era {era}")
        if era < self._era:
            raise ValueError(f"answer of era {era}, not {self._era}")
        if era > self._era:
            decisions.record("store_era", era=era, before=self._era)
            self._era = era
        return era

    async def get(
        self, key: str
    ) -> result.Result[key_value.Entry | None, key_value.Unavailable]:
        """Reads one key."""
        response = await self._call("GET", const.PATH_KEY, wait_s=0.0, key=key)
        if response.is_err():
            return response
        answer = response.ok()
        if answer.status == 404:
            return result.Ok(None)
        return _decode(const.PATH_KEY, lambda: answer.entry(answer.body))

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
            response = await self._call(
                "GET", const.PATH_RANGE, wait_s=0.0, **query
            )
            if response.is_err():
                return response
            answer = response.ok()
            if answer.status != 200:
                return _unexpected(answer)
            page = _decode(
                const.PATH_RANGE, functools.partial(_parse_page, answer)
            )
            if page.is_err():
                return page
            page_revision, items, has_more = page.ok()
            entries.extend(items)
            revision = revision or page_revision
            if key_value.era_of(page_revision) != key_value.era_of(revision):
                return result.Err(
                    key_value.Unavailable("pages of different eras")
                )
            if not has_more or not entries:
                return result.Ok(key_value.Snapshot(tuple(entries), revision))
            query["after"] = entries[-1].key

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[
        key_value.Changes, key_value.Unavailable | key_value.Compacted
    ]:
        """Waits up to `wait_s` for changes after a revision; may find none."""
        if key_value.era_of(after) < self._era:
            return result.Err(key_value.Compacted("of an earlier era"))
        response = await self._call(
            "GET",
            const.PATH_WATCH,
            wait_s=wait_s,
            prefix=prefix,
            after=key_value.number_in_era(after),
            waitMs=int(wait_s * 1000),
        )
        if response.is_err():
            return response
        answer = response.ok()
        # A restored store may have given the revision out again.
        if answer.status == 410 or answer.era != key_value.era_of(after):
            return result.Err(
                key_value.Compacted(f"after {key_value.format_revision(after)}")
            )
        if answer.status != 200:
            return _unexpected(answer)
        return _decode(
            const.PATH_WATCH,
            lambda: key_value.Changes(
                tuple(answer.event(i) for i in answer.body.get("events", ())),
                answer.revision("storeRevision"),
            ),
        )

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> result.Result[int, key_value.Error]:
        """Writes if the key's revision is as expected."""
        put = {"key": key, "value": base64.b64encode(value).decode()}
        if not lease:
            return await self._transact(key, expected, {"puts": [put]})
        held = self._valid_lease(lease)
        if held is None:
            return result.Err(key_value.Unavailable("the lease was lost"))
        put["lease"] = held.number
        written = await self._transact(key, expected, {"puts": [put]})
        if written.is_err():
            return written
        revision = written.ok()
        if key_value.era_of(revision) == held.era:
            return written
        # The store was restored meanwhile, and the lease id may belong to
        # another client by now, which would keep the key alive.
        await self.delete(key, revision)
        return result.Err(key_value.Unavailable("the lease was lost"))

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
        if expected and key_value.era_of(expected) < self._era:
            return result.Err(key_value.Conflict(None))
        if expected is not None:
            number = key_value.number_in_era(expected)
            body["precondition"] = [{"key": key, "revision": number}]
        response = await self._call("POST", const.PATH_TRANSACTION, body)
        if response.is_err():
            return response
        answer = response.ok()
        if answer.status == 412:
            conflict = _decode(const.PATH_TRANSACTION, answer.conflict)
            return result.Err(
                conflict.ok() if conflict.is_ok() else conflict.err()
            )
        if answer.status != 200:
            return _unexpected(answer)
        return _decode(
            const.PATH_TRANSACTION, lambda: answer.revision("revision")
        )

    async def grant(
        self, ttl_s: float
    ) -> result.Result[int, key_value.Unavailable]:
        """Creates a lease and returns its id."""
        body = {"ttlMs": math.ceil(ttl_s * 1000)}
        response = await self._call("POST", const.PATH_LEASE_GRANT, body)
        if response.is_err():
            return response
        answer = response.ok()
        if answer.status != 200:
            return _unexpected(answer)
        number = _decode(
            const.PATH_LEASE_GRANT, lambda: int(answer.body["lease"])
        )
        return number.map(lambda value: self._add_lease(value, answer.era))

    def _add_lease(self, number: int, era: int) -> int:
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = _Lease(number, era)
        return lease

    def _valid_lease(self, lease: int) -> _Lease | None:
        """Returns a lease unless it has ended or was lost in a restore."""
        held = self._leases.get(lease)
        if held is None or held.era < self._era:
            # Its number may belong to another client by now.
            self._leases.pop(lease, None)
            return None
        return held

    async def renew(
        self, lease: int
    ) -> result.Result[bool, key_value.Unavailable]:
        """Renews a lease; False if it has expired or was lost in a restore."""
        held = self._valid_lease(lease)
        if held is None:
            return result.Ok(False)
        response = await self._call(
            "POST", f"{const.PATH_LEASE_RENEW}{held.number}", wait_s=0.0
        )
        if response.is_err():
            return response
        answer = response.ok()
        if answer.status not in (200, 404):
            return _unexpected(answer)
        renewed = answer.status == 200 and answer.era == held.era
        if not renewed:
            self._leases.pop(lease, None)
        return result.Ok(renewed)

    async def revoke(
        self, lease: int
    ) -> result.Result[None, key_value.Unavailable]:
        """Revokes a lease and deletes its keys."""
        held = self._valid_lease(lease)
        if held is None:
            return result.Ok(None)
        del self._leases[lease]
        response = await self._call(
            "DELETE", f"{const.PATH_LEASE_REVOKE}{held.number}"
        )
        if response.is_err():
            return response
        answer = response.ok()
        if answer.status not in (200, 204, 404):
            return _unexpected(answer)
        return result.Ok(None)

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


def _parse_page(
    answer: _Answer,
) -> tuple[int, list[key_value.Entry], bool]:
    """Returns the store's revision, the entries, and whether more follow."""
    return (
        answer.revision("storeRevision"),
        [answer.entry(item) for item in answer.body["items"]],
        bool(answer.body.get("hasMore")),
    )


def _unexpected(
    answer: _Answer,
) -> result.Result[Any, key_value.Unavailable]:
    return result.Err(key_value.Unavailable(f"status {answer.status}"))
