"""Stand-in for the platform's key-value service over HTTP."""

import asyncio
import base64
import json
from typing import Any

from bergamotmill.helpers import http_server
from bergamotmill.storage import key_value
from bergamotmill.storage.gateway import const
from bergamotmill.storage.memory import coordinator

# An idle watch sends an empty list of events at this interval.
PROGRESS_INTERVAL_S = 5.0
STATE_PATH = "/standin/state"


def _encode_entry(entry: key_value.Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(entry.key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.revision),
        "create_revision": str(entry.create_revision),
    }


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


class KeyValueStandIn:
    """Serves the calls of the gateway client from a memory store.

    Attributes:
        store: memory store behind the service.
        down: whether calls are answered with 503; set with `set_down`.
        lose_answers: number of next calls, other than range reads and watches,
            that take effect but get no answer.
        delay_s: delay before each call is processed.
        mute_watches: whether watches stay open and report no changes.
    """

    def __init__(self, address: str):
        self.store = coordinator.MemoryStore()
        self._server = http_server.HttpServer(address, self._handle)
        self.down = False
        self.lose_answers = 0
        self.delay_s = 0.0
        self.mute_watches = False
        self._watches: dict[http_server.Exchange, None] = {}

    @property
    def port(self) -> int:
        return self._server.port

    async def start(self) -> None:
        await self._server.start()

    async def close(self) -> None:
        await self._server.close()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; its start closes all watches."""
        self.down = down
        if down:
            for exchange in list(self._watches):
                exchange.abort()

    async def _handle(self, exchange: http_server.Exchange) -> None:
        if exchange.request.path == STATE_PATH:
            self.set_down(bool(json.loads(exchange.request.body)["down"]))
            exchange.respond_json(200, {"down": self.down})
            return
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            exchange.respond_json(503, {"error": "unavailable"})
            return
        body = json.loads(exchange.request.body or b"{}")
        if exchange.request.path == const.PATH_WATCH:
            await self._watch(exchange, body["create_request"])
            return
        answer = await self._execute(exchange.request.path, body)
        writes = exchange.request.path != const.PATH_RANGE
        if writes and self.lose_answers > 0:
            self.lose_answers -= 1
            exchange.abort()
            return
        exchange.respond_json(200, answer)

    async def _execute(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if path == const.PATH_RANGE:
            return await self._range(body)
        if path == const.PATH_TXN:
            return await self._transact(body)
        if path == const.PATH_GRANT:
            lease = await self.store.grant(float(body["TTL"]))
            return {"ID": str(lease.ok()), "TTL": body["TTL"]}
        if path == const.PATH_RENEW:
            alive = (await self.store.renew(int(body["ID"]))).ok()
            return {"result": {"ID": body["ID"], "TTL": "1" if alive else "0"}}
        if path == const.PATH_REVOKE:
            await self.store.revoke(int(body["ID"]))
        return {}

    async def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        key = _decode(body["key"])
        if body.get("range_end"):
            limit = int(body.get("limit", 0))
            entries = (await self.store.scan(key, limit)).ok()
        else:
            entry = (await self.store.get(key)).ok()
            entries = [] if entry is None else [entry]
        return {
            "header": {"revision": str(self.store.revision)},
            "kvs": [_encode_entry(entry) for entry in entries],
        }

    async def _transact(self, body: dict[str, Any]) -> dict[str, Any]:
        compare = body.get("compare", [])
        expected = int(compare[0]["mod_revision"]) if compare else None
        operation = body["success"][0]
        if "requestPut" in operation:
            put = operation["requestPut"]
            written = await self.store.put(
                _decode(put["key"]),
                base64.b64decode(put["value"]),
                expected,
                int(put.get("lease", 0)),
            )
        else:
            key = _decode(operation["requestDeleteRange"]["key"])
            written = await self.store.delete(key, expected)
        header = {"revision": str(self.store.revision)}
        if written.is_ok():
            return {"header": header, "succeeded": True}
        current = written.err().current
        kvs = [] if current is None else [_encode_entry(current)]
        return {
            "header": header,
            "responses": [{"response_range": {"kvs": kvs}}],
        }

    async def _watch(
        self, exchange: http_server.Exchange, body: dict[str, Any]
    ) -> None:
        disconnected = asyncio.Event()
        exchange.on_close(disconnected.set)
        exchange.start(200, [http_server.JSON_TYPE])
        exchange.write(b'{"result":{"created":true}}\n')
        self._watches[exchange] = None
        changes = self.store.watch(_decode(body["key"]))
        next_change: asyncio.Task | None = None
        disconnect_task = asyncio.create_task(disconnected.wait())
        try:
            while not exchange.disconnected and not self.down:
                next_change = next_change or asyncio.create_task(anext(changes))
                done, _ = await asyncio.wait(
                    {next_change, disconnect_task},
                    timeout=PROGRESS_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                events = []
                if next_change in done:
                    events = [
                        _encode_event(event) for event in next_change.result()
                    ]
                    next_change = None
                if self.mute_watches:
                    events = []
                line = json.dumps({"result": {"events": events}})
                exchange.write(line.encode() + b"\n")
        finally:
            self._watches.pop(exchange, None)
            disconnect_task.cancel()
            if next_change is not None:
                next_change.cancel()
        exchange.abort()


def _encode_event(event: key_value.Event) -> dict[str, Any]:
    if event.entry is None:
        key = base64.b64encode(event.key.encode()).decode()
        return {"type": "DELETE", "kv": {"key": key}}
    return {"type": "PUT", "kv": _encode_entry(event.entry)}
