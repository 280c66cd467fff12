"""A stand-in for the platform's key-value service over HTTP."""

import asyncio
import base64
import json
from typing import Any

from bergamotmill.helpers import http_server
from bergamotmill.storage import key_value
from bergamotmill.storage.gateway import const
from bergamotmill.storage.memory import coordinator

PROGRESS_S = 5.0
STATE_PATH = "/standin/state"


def _kv(entry: key_value.Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(entry.key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.revision),
        "create_revision": str(entry.create_revision),
    }


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


class KeyValueStandIn:
    """Serves the gateway's calls from memory, with faults on demand.

    Attributes:
        down: answers every call with 503 and ends watches.
        lose_answers: so many next writes take effect unanswered.
        delay_s: pause before each answer.
    """

    def __init__(self, address: str):
        self.store = coordinator.MemoryStore()
        self._server = http_server.HttpServer(address, self._handle)
        self.down = False
        self.lose_answers = 0
        self.delay_s = 0.0
        self._watching: dict[http_server.Exchange, None] = {}

    @property
    def port(self) -> int:
        return self._server.port

    async def start(self) -> None:
        await self._server.start()

    async def close(self) -> None:
        await self._server.close()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage."""
        self.down = down
        if down:
            for exchange in list(self._watching):
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
        answer = await self._answer(exchange.request.path, body)
        writes = exchange.request.path != const.PATH_RANGE
        if writes and self.lose_answers > 0:
            self.lose_answers -= 1
            exchange.abort()
            return
        exchange.respond_json(200, answer)

    async def _answer(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
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
            found = (await self.store.scan(key, limit)).ok()
        else:
            entry = (await self.store.get(key)).ok()
            found = [] if entry is None else [entry]
        return {
            "header": {"revision": str(self.store.revision)},
            "kvs": [_kv(entry) for entry in found],
        }

    async def _transact(self, body: dict[str, Any]) -> dict[str, Any]:
        compare = body.get("compare", [])
        expected = int(compare[0]["mod_revision"]) if compare else None
        step = body["success"][0]
        if "requestPut" in step:
            put = step["requestPut"]
            written = await self.store.put(
                _decode(put["key"]),
                base64.b64decode(put["value"]),
                expected,
                int(put.get("lease", 0)),
            )
        else:
            key = _decode(step["requestDeleteRange"]["key"])
            written = await self.store.delete(key, expected)
        header = {"revision": str(self.store.revision)}
        if written.is_ok():
            return {"header": header, "succeeded": True}
        current = written.err().current
        kvs = [] if current is None else [_kv(current)]
        return {
            "header": header,
            "responses": [{"response_range": {"kvs": kvs}}],
        }

    async def _watch(
        self, exchange: http_server.Exchange, body: dict[str, Any]
    ) -> None:
        left = asyncio.Event()
        exchange.on_close(left.set)
        exchange.start(200, [http_server.JSON_TYPE])
        exchange.write(b'{"result":{"created":true}}\n')
        self._watching[exchange] = None
        changes = self.store.watch(_decode(body["key"]))
        pending: asyncio.Task | None = None
        leaving = asyncio.create_task(left.wait())
        try:
            while not exchange.disconnected and not self.down:
                pending = pending or asyncio.create_task(anext(changes))
                done, _ = await asyncio.wait(
                    {pending, leaving},
                    timeout=PROGRESS_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                events = []
                if pending in done:
                    events = [_event(event) for event in pending.result()]
                    pending = None
                line = json.dumps({"result": {"events": events}})
                exchange.write(line.encode() + b"\n")
        finally:
            self._watching.pop(exchange, None)
            leaving.cancel()
            if pending is not None:
                pending.cancel()
        exchange.abort()


def _event(event: key_value.Event) -> dict[str, Any]:
    if event.entry is None:
        key = base64.b64encode(event.key.encode()).decode()
        return {"type": "DELETE", "kv": {"key": key}}
    return {"type": "PUT", "kv": _kv(event.entry)}
