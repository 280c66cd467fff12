"""Stand-in for the platform's store, with injectable faults."""

import asyncio
import base64
import enum
import json
import random
from typing import Any

from bergamotmill.helpers import http_server
from bergamotmill.platform import const
from bergamotmill.storage import key_value
from bergamotmill.storage.memory import coordinator


class Mode(enum.Enum):
    """How the store answers calls.

    Calls that wait while the store is silent are never answered, also when it
    answers new ones again.
    """

    SERVING = "serving"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"


SILENT_MODE_DELAY_S = 60.0
# Ids of leases may take up all of 63 bits.
FIRST_LEASE = 0x7C3A_90D1_5B00_0001


class StoreStandIn:
    """Serves a memory store over the protocol of the platform's store.

    Attributes:
        memory: store behind the protocol; operators and replicas write to it
            directly.
        lost_answer_fraction: fraction of the writes that take effect but get
            no answer.
        lose_watch_answers: whether the answers of watches are lost while their
            connections stay open.
        hide_compaction: whether a watch from a revision that has been
            compacted waits for later changes instead of answering 410.
        calls: number of calls by path; a lease id at the end of a path is left
            out.
        era: number of times that the store was restored from a copy;
            sent in all answers.
        spoiled_body: sent with status 200 instead of each answer; None for
            proper answers.
    """

    def __init__(self, address: str, rng: random.Random):
        self.memory = coordinator.MemoryStore(FIRST_LEASE)
        self._mode = Mode.SERVING
        # Number of times that the store fell silent.
        self._silences = 0
        self.lost_answer_fraction = 0.0
        self.lose_watch_answers = False
        self.hide_compaction = False
        self.calls: dict[str, int] = {}
        self.era = 0
        self.spoiled_body: Any = None
        self._rng = rng
        self._server = http_server.HttpServer(address, self._handle)

    @property
    def mode(self) -> Mode:
        """How calls are answered."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        if mode is Mode.SILENT:
            self._silences += 1
        self._mode = mode

    async def start(self) -> None:
        """Starts listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stops listening."""
        await self._server.close()

    async def write(self, key: str, value: Any) -> int:
        """Writes a value directly, as operators and replicas do."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        written = await self.memory.put(key, data, None)
        return written.unwrap()

    async def restore(self, copy: coordinator.StoreCopy, away_s: float) -> None:
        """Is away for a time, then comes back from an older copy."""
        self.mode = Mode.RESET
        await asyncio.sleep(away_s)
        self.memory.restore(copy)
        self.era += 1
        self.mode = Mode.SERVING

    async def remove(self, key: str) -> None:
        """Removes a key."""
        await self.memory.delete(key, None)

    def _answer(
        self, exchange: http_server.Exchange, status: int, value: Any
    ) -> None:
        if self.spoiled_body is not None:
            status, value = 200, self.spoiled_body
        header = (const.HEADER_STORE_ERA.encode(), str(self.era).encode())
        exchange.respond_json(status, value, [header])

    async def _handle(self, exchange: http_server.Exchange) -> None:
        if self.mode is Mode.BUSY:
            self._answer(exchange, 503, {})
            return
        if self.mode is Mode.RESET:
            exchange.abort()
            return
        if self.mode is Mode.SILENT:
            await self._stay_silent(exchange)
            return
        await self._dispatch(exchange)

    async def _stay_silent(self, exchange: http_server.Exchange) -> None:
        await asyncio.sleep(SILENT_MODE_DELAY_S)
        exchange.abort()

    async def _dispatch(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        path = request.path
        name = path.rstrip("0123456789")
        self.calls[name] = self.calls.get(name, 0) + 1
        if path == const.PATH_RANGE:
            await self._range(exchange)
        elif path == const.PATH_KEY:
            await self._key(exchange)
        elif path == const.PATH_WATCH:
            await self._watch(exchange)
        elif path == const.PATH_TRANSACTION:
            await self._transact(exchange)
        elif path == const.PATH_LEASE_GRANT:
            await self._grant(exchange)
        elif path.startswith(const.PATH_LEASE_RENEW):
            lease = int(path[len(const.PATH_LEASE_RENEW) :])
            renewed = (await self.memory.renew(lease)).unwrap()
            self._answer(exchange, 200 if renewed else 404, {})
        elif path.startswith(const.PATH_LEASE_REVOKE):
            await self.memory.revoke(int(path[len(const.PATH_LEASE_REVOKE) :]))
            self._answer(exchange, 200, {})
        else:
            exchange.respond(404)

    async def _range(self, exchange: http_server.Exchange) -> None:
        prefix = exchange.request.query.get("prefix", "")
        snapshot = (await self.memory.snapshot(prefix)).unwrap()
        items = [_encode_entry(entry) for entry in snapshot.entries]
        self._answer(
            exchange,
            200,
            {
                "items": items,
                "hasMore": False,
                "storeRevision": snapshot.revision,
            },
        )

    async def _key(self, exchange: http_server.Exchange) -> None:
        entry = (await self.memory.get(exchange.request.query["key"])).unwrap()
        if entry is None:
            self._answer(exchange, 404, {})
            return
        self._answer(exchange, 200, _encode_entry(entry))

    async def _watch(self, exchange: http_server.Exchange) -> None:
        query = exchange.request.query
        after = int(query["after"])
        if self.hide_compaction:
            after = max(after, self.memory.compacted_revision)
        silences = self._silences
        answer = await self.memory.changes(
            query.get("prefix", ""),
            after,
            int(query["waitMs"]) / 1000.0,
        )
        if self.lose_watch_answers or self._silences != silences:
            await self._stay_silent(exchange)
            return
        if self.mode is not Mode.SERVING:
            exchange.abort()
            return
        if answer.is_err():
            self._answer(exchange, 410, {})
            return
        changes = answer.ok()
        self._answer(
            exchange,
            200,
            {
                "events": [_encode_event(event) for event in changes.events],
                "storeRevision": changes.revision,
            },
        )

    async def _transact(self, exchange: http_server.Exchange) -> None:
        body = json.loads(exchange.request.body)
        expected = None
        for row in body["precondition"]:
            expected = row["revision"]
        if body["puts"]:
            put = body["puts"][0]
            written = await self.memory.put(
                put["key"],
                base64.b64decode(put["value"]),
                expected,
                put.get("lease", 0),
            )
        else:
            written = await self.memory.delete(body["remove"][0], expected)
        if self._rng.random() < self.lost_answer_fraction:
            exchange.abort()
            return
        if written.is_ok():
            self._answer(exchange, 200, {"revision": self.memory.revision})
        elif isinstance(written.err(), key_value.Conflict):
            current = written.err().current
            items = [] if current is None else [_encode_entry(current)]
            self._answer(exchange, 412, {"items": items})
        else:
            self._answer(exchange, 404, {})

    async def _grant(self, exchange: http_server.Exchange) -> None:
        ttl_ms = json.loads(exchange.request.body)["ttlMs"]
        lease = (await self.memory.grant(ttl_ms / 1000.0)).unwrap()
        self._answer(exchange, 200, {"lease": lease, "ttlMs": ttl_ms})


def _encode_entry(entry: key_value.Entry) -> dict[str, Any]:
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.create_revision,
        "lease": 0,
    }


def _encode_event(event: key_value.Event) -> dict[str, Any]:
    if event.entry is not None:
        return _encode_entry(event.entry)
    return {"key": event.key, "revision": event.revision, "deleted": True}
