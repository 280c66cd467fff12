"""Stand-ins and a small deployment for the scripts of the second review.

Uses the standard library only. The store, the replicas and the requesters run
in this process; the routers are processes of their own, started with the
command and the settings template of the deploy file, on loopback addresses.
"""

import asyncio
import base64
from collections.abc import Awaitable, Callable
import dataclasses
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE = "BERGAMOTMILL_NODE_FILE"
METRICS_PORT = 9102
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "calls.example"
MODEL = "drafter"
# The figures of a small installation, as its sheet and settings name them.
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 54,
    "leaseMs": 3000,
    "versionMs": 8000,
}
HEARTBEAT_S = 1.2


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder: str):
        self._began = time.monotonic()
        self._lines: list[str] = []
        self._path = pathlib.Path(folder) / "record.txt"

    def now(self) -> float:
        """Returns seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Adds a line."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def save(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclasses.dataclass
class Request:
    """A request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a start line and headers, whose names are in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
    parts: list[bytes] | None = None,
) -> bytes:
    """Reads a body with a length or in chunks, which are added to `parts`."""
    parts = [] if parts is None else parts
    if headers.get("transfer-encoding", "").lower() != "chunked":
        length = int(headers.get("content-length", 0))
        parts.append(await reader.readexactly(length))
        return parts[0]
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


Writer = asyncio.StreamWriter
Handler = Callable[[Request, Writer], Awaitable[None]]


def answer(
    writer: Writer, status: int, body: bytes = b"", **headers: str
) -> None:
    """Writes a whole answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    lines += [f"content-length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


def start_chunks(writer: Writer, **headers: str) -> None:
    """Writes the head of an answer whose body follows in chunks."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    lines += ["transfer-encoding: chunked", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1"))


def write_chunk(writer: Writer, data: bytes) -> None:
    """Writes a chunk; an empty one ends the body."""
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Server:
    """Serves one request at a time on each channel."""

    def __init__(self, address: str, handler: Handler):
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                await self._handle(request, reader, writer)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        """Handles a request, and drops it when its channel closes."""
        work = asyncio.ensure_future(self._handler(request, writer))
        closed = asyncio.ensure_future(_wait_for_end(reader))
        try:
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise EOFError
            work.result()
            await writer.drain()
        finally:
            work.cancel()
            closed.cancel()

    async def close(self) -> None:
        """Stops listening and resets all channels, as an ended process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.02)


@dataclasses.dataclass
class Item:
    """A key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's store: keys, watches, transactions and leases."""

    def __init__(self, address: str, record: Record):
        self._record = record
        self._server = Server(address, self._handle)
        self.address = address
        self.era = 0
        self.away = False
        self._items: dict[str, Item] = {}
        self._history: list[tuple[int, str, Item | None]] = []
        # The oldest revision from which a watch can go on.
        self._history_from = 100
        self._revision = 100
        # End of each lease, monotonic, and its term.
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 7000
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts serving."""
        await self._server.start()
        self._task = asyncio.ensure_future(self._expire())

    async def close(self) -> None:
        """Stops."""
        self._task.cancel()
        await self._server.close()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ends_at, _) in list(self._leases.items()):
                if ends_at < now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        known = self._leases.pop(lease, None) is not None
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.remove(key)
        return known

    def _note(self, key: str, item: Item | None) -> None:
        self._history.append((self._revision, key, item))
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self._revision += 1
        known = self._items.get(key)
        created = self._revision if known is None else known.created
        item = Item(value, self._revision, created, lease)
        self._items[key] = item
        self._note(key, item)

    def write(self, key: str, value: Any) -> None:
        """Writes a key as operators and replicas do; the return is the ack."""
        self.put(key, json.dumps(value).encode())
        self._record.add(f"store: {key} = {json.dumps(value)}"[:400])

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note(key, None)
            self._record.add(f"store: {key} removed")

    def has(self, key: str) -> bool:
        """Whether a key exists."""
        return key in self._items

    def copy(self) -> tuple[dict[str, Item], dict[int, float], int]:
        """Returns a copy of the present state."""
        now = time.monotonic()
        terms = {lease: ends - now for lease, (ends, _) in self._leases.items()}
        self._record.add("store: a copy is taken")
        return dict(self._items), terms, self._revision

    async def restore(self, copy, away_s: float) -> None:
        """Is away for a moment and comes back from a copy."""
        self._record.add("store: away")
        self.away = True
        await asyncio.sleep(away_s)
        items, terms, revision = copy
        now = time.monotonic()
        self._items = dict(items)
        self._leases = {
            lease: (now + left, left) for lease, left in terms.items()
        }
        self._revision = revision
        self._history.clear()
        self._history_from = revision
        self.era += 1
        self.away = False
        self._changed.set()
        self._changed = asyncio.Event()
        self._record.add(f"store: back from the copy, era {self.era}")

    def _say(self, writer: Writer, status: int, value: Any) -> None:
        answer(
            writer,
            status,
            json.dumps(value).encode(),
            Content_Type="application/json",
            Store_Era=str(self.era),
        )

    async def _handle(self, request: Request, writer: Writer) -> None:
        if self.away:
            writer.transport.abort()
            return
        name = request.path.removeprefix("/bergamotmill/")
        query = request.query
        if name == "kv-key":
            item = self._items.get(query["key"])
            if item is None:
                self._say(writer, 404, {"storeRevision": self._revision})
                return
            shown = _shown(query["key"], item)
            self._say(writer, 200, {**shown, "storeRevision": self._revision})
        elif name == "kv-range":
            self._range(query, writer)
        elif name == "kv-watch":
            await self._watch(query, writer)
        elif name == "kv-txn":
            self._transact(json.loads(request.body), writer)
        elif name == "kv-lease":
            term_s = json.loads(request.body)["ttlMs"] / 1000
            self._next_lease += 1
            lease = self._next_lease
            self._leases[lease] = (time.monotonic() + term_s, term_s)
            self._say(writer, 200, {"lease": lease, "ttlMs": term_s * 1000})
        elif name.startswith("kv-keep/"):
            lease = int(name.partition("/")[2])
            if lease not in self._leases:
                self._say(writer, 404, {})
                return
            term_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + term_s, term_s)
            self._say(writer, 200, {"ttlMs": term_s * 1000})
        elif name.startswith("kv-lease-end/"):
            known = self._end_lease(int(name.partition("/")[2]))
            self._say(writer, 200 if known else 404, {})
        else:
            self._say(writer, 404, {})

    def _range(self, query: dict[str, str], writer: Writer) -> None:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [k for k in sorted(self._items) if k.startswith(prefix)]
        keys = [k for k in keys if k > after]
        self._say(
            writer,
            200,
            {
                "items": [_shown(k, self._items[k]) for k in keys[:500]],
                "hasMore": len(keys) > 500,
                "storeRevision": self._revision,
            },
        )

    async def _watch(self, query: dict[str, str], writer: Writer) -> None:
        after, era = int(query["after"]), self.era
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if era != self.era or not (
                self._history_from <= after <= self._revision
            ):
                self._say(writer, 410, {})
                return
            events = [
                {"key": key, "revision": revision, "deleted": True}
                if item is None
                else _shown(key, item)
                for revision, key, item in self._history
                if revision > after and key.startswith(query.get("prefix", ""))
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                self._say(
                    writer,
                    200,
                    {"events": events, "storeRevision": self._revision},
                )
                return
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any], writer: Writer) -> None:
        for row in body["precondition"]:
            item = self._items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                known = [] if item is None else [_shown(row["key"], item)]
                self._say(writer, 412, {"items": known})
                return
        for row in body["puts"]:
            if row.get("lease") and row["lease"] not in self._leases:
                self._say(writer, 404, {})
                return
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        self._say(writer, 200, {"revision": self._revision})


def _shown(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


@dataclasses.dataclass
class Run:
    """A request that a replica began to work on."""

    replica: str
    request_id: str
    tenant: str
    at: float
    done: bool = False
    note: str = ""


class Replica:
    """A replica of a plain service, or of a model if it has a version."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        store: Store,
        record: Record,
        work_s: float = 0.05,
        version: int = 0,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.work_s = work_s
        self.version = version
        self.runs: list[Run] = []
        self.leaving = False
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.orders = 0
        # Tenants whose requests made the parts kept, by salt and part.
        self.kept: dict[tuple[str, str], set[str]] = {}
        self._sequence = 0
        self._store = store
        self._record = record
        self._server = Server(address, self.handle)

    async def start(self) -> None:
        """Starts listening and registers."""
        await self._server.start()
        self.register()

    def register(self) -> None:
        """Writes the entry in the store."""
        self._sequence += 1
        models = []
        if self.version:
            models = [{"name": MODEL, "version": self.version, "adapters": []}]
        self._store.write(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 64,
                "state": self.state,
                "coldLeftMs": 0,
                "stage": "unified",
                "models": models,
                "sequence": self._sequence,
                "born": self.born,
            },
        )

    def deregister(self) -> None:
        """Removes the entry from the store."""
        self._store.remove(f"servers/{self.name}")

    async def close(self) -> None:
        """Ends: all channels are reset."""
        self._record.add(f"{self.name} ends")
        await self._server.close()

    def headers(self, request: Request) -> dict[str, str]:
        """Returns the headers of each answer."""
        found = {
            "Attempt_Id": request.headers.get("attempt-id", ""),
            "Instance_Id": self.name,
        }
        if self.leaving:
            found["Server_Leaving"] = "1"
        return {name: value for name, value in found.items() if value}

    async def handle(self, request: Request, writer: Writer) -> None:
        """Answers a request."""
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            answer(writer, 421, **self.headers(request))
        elif request.path == "/bergamotmill/report":
            self._report(request, writer)
        elif request.path == "/bergamotmill/order":
            await self.order(request, writer)
        elif request.path == "/health":
            answer(writer, 200, **self.headers(request))
        else:
            await self._serve(request, writer)

    def _report(self, request: Request, writer: Writer) -> None:
        models = []
        if self.version:
            models = [{"name": MODEL, "version": self.version, "adapters": []}]
        value = {
            "stage": "unified",
            "models": models,
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 250000,
            "handles": 0,
            "born": self.born,
        }
        answer(writer, 200, json.dumps(value).encode(), **self.headers(request))

    async def order(self, request: Request, writer: Writer) -> None:
        """Carries out an order at once."""
        body = json.loads(request.body)
        self._record.add(f"{self.name} gets order {json.dumps(body)}")
        if body.get("precondition", self.orders) != self.orders:
            answer(writer, 409, **self.headers(request))
            return
        self.orders += 1
        self.version = body["version"]
        self.kept.clear()
        answer(writer, 202, **self.headers(request))
        self.register()

    async def _serve(self, request: Request, writer: Writer) -> None:
        wanted = request.headers.get("expect-version")
        if self.version and wanted and int(wanted) != self.version:
            answer(writer, 421, **self.headers(request))
            return
        headers = request.headers
        tenant = headers.get("tenant", "")
        run = Run(self.name, headers["attempt-id"], tenant, self._record.now())
        self.runs.append(run)
        self._record.add(
            f"{self.name} runs {run.request_id} {request.path}"
            f" of tenant {tenant}"
        )
        if self.version:
            self._use_kept_parts(request, run)
        await self.run(request, run, writer)

    async def run(self, request: Request, run: Run, writer: Writer) -> None:
        """Works on a request and answers it."""
        await asyncio.sleep(self.work_s)
        run.done = True
        self._record.add(f"{self.name} has run {run.request_id}")
        seal = {"Response_Seal": f"seal.{self.name}", **self.headers(request)}
        if not self.version:
            body = f"done {run.request_id}".encode()
            answer(writer, 200, body, **seal)
            return
        seal["Weight_Versions"] = str(self.version)
        events = b"".join(b"id: %d\ndata: t\n\n" % i for i in range(1, 4))
        answer(writer, 200, events, Content_Type="text/event-stream", **seal)

    def _use_kept_parts(self, request: Request, run: Run) -> None:
        """Uses the parts that are kept, and keeps those of this request."""
        salt = request.headers.get("cache-salt", "")
        path = ""
        used = True
        for part in request.headers.get("prompt-prefix", "").split(","):
            path += "," + part.strip()
            makers = self.kept.get((salt, path))
            used = used and makers is not None
            if used:
                run.note += f"{path}<-{'/'.join(sorted(makers))} "
                others = sorted(makers - {run.tenant})
                if others:
                    self._record.add(
                        f"{self.name} {run.request_id} of {run.tenant} uses"
                        f" part {path[1:]} under salt {salt!r} made by {others}"
                    )
            else:
                self.kept[(salt, path)] = {run.tenant}


@dataclasses.dataclass
class Answer:
    """What a requester received; status 0 if no head arrived."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float
    whole: bool


_ids = itertools.count(1)
_id_prefix = f"{random.getrandbits(32):08x}"


def new_id() -> str:
    """Returns an id for a requester's attempt."""
    return f"{_id_prefix}{next(_ids):08x}"


async def call(
    record: Record,
    address: str,
    path: str,
    method: str = "POST",
    body: bytes = b"",
    timeout_s: float = 20.0,
    **fields: str,
) -> Answer:
    """Sends one request on a new channel and reads the answer."""
    request_id = new_id()
    headers = {"Host": HOST, "Attempt-Id": request_id, **fields}
    headers = {name.replace("_", "-"): text for name, text in headers.items()}
    if body or method != "GET":
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    data = "\r\n".join([*lines, "", ""]).encode() + body
    sent_at = record.now()
    status, received_headers, whole = 0, {}, False
    parts: list[bytes] = []
    record.add(f"requester sends {request_id} {path} to {address}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            first, received_headers = await read_head(reader)
            status = int(first.split(" ")[1])
            await read_body(reader, received_headers, parts)
            whole = True
    except (OSError, EOFError, ValueError, TimeoutError) as err:
        record.add(f"requester {request_id}: {err!r}")
    finally:
        if writer is not None:
            writer.close()
    received = b"".join(parts)
    record.add(f"requester gets {request_id} {status} {received[:40]!r}")
    return Answer(
        request_id,
        status,
        received_headers,
        received,
        sent_at,
        record.now(),
        whole,
    )


def _lookup(scopes: list[Any], path: str) -> Any:
    if path == ".":
        return scopes[-1]
    first, *rest = path.split(".")
    for scope in reversed(scopes):
        if isinstance(scope, dict) and first in scope:
            value = scope[first]
            break
    else:
        return None
    for name in rest:
        if isinstance(value, list) and name.isdigit():
            value = value[int(name)] if int(name) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(name)
        else:
            return None
    return value


def render(text: str, fields: dict[str, Any]) -> str:
    """Fills in a settings template as the deploy page says."""

    def expand(text: str, scopes: list[Any], is_last: bool) -> str:
        pattern = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def section(match: re.Match[str]) -> str:
            value = _lookup(scopes, match[2])
            if match[1] == "^":
                has_none = value is None or value is False
                return expand(match[3], scopes, is_last) if has_none else ""
            if isinstance(value, list):
                return "".join(
                    expand(match[3], [*scopes, item], index == len(value) - 1)
                    for index, item in enumerate(value)
                )
            if value is None or value is False:
                return ""
            return expand(match[3], [*scopes, value], True)

        text = pattern.sub(section, text)
        text = text.replace("{{,}}", "" if is_last else ",")

        def placeholder(match: re.Match[str]) -> str:
            value = _lookup(scopes, match[1])
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)

    return expand(text, [fields], True)


class Router:
    """One router process, as the deploy file starts it."""

    def __init__(self, index: int, fields: dict[str, Any], folder: str):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.name = fields["node"]
        self.front = fields["listen"]["front"]
        self.ready = fields["listen"]["ready"]
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        self.fields = fields
        self._settings = pathlib.Path(folder) / f"router-{index}.json"
        self.log = pathlib.Path(folder) / f"router-{index}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        self._settings.write_text(render(self._template, self.fields))
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env[SETTINGS_VARIABLE] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self) -> None:
        """Ends the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _free_network(count: int) -> str:
    """Returns the first two octets of a loopback network with free ports."""
    for _ in range(200):
        network = f"127.{random.randrange(60, 250)}.{random.randrange(250)}"
        try:
            for index in range(count):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{index + 1}", METRICS_PORT))
        except OSError:
            continue
        return network
    raise OSError("no free loopback network")


class Deployment:
    """The store, the replicas and the router processes of a case."""

    def __init__(
        self, folder: str, trouble: bool, routers: int = 3, zones: int = 3
    ):
        """Makes a deployment that is not started.

        Args:
            folder: where the record is written.
            trouble: whether the case is disturbed.
            routers: number of router processes.
            zones: number of zones.
        """
        self.record = Record(folder)
        self.trouble = trouble
        self._folder = tempfile.TemporaryDirectory()
        self.network = _free_network(250)
        self.zones = [f"zone-{index}" for index in range(zones)]
        self.store = Store(f"{self.network}.200:8784", self.record)
        self.replicas: dict[str, Replica] = {}
        self._hosts = itertools.count(100)
        self.version = 0
        seeds = [f"{self.network}.{i + 1}:8783" for i in range(min(3, routers))]
        self.routers = [
            Router(index, self._fields(index, seeds), self._folder.name)
            for index in range(routers)
        ]

    def _fields(self, index: int, seeds: list[str]) -> dict[str, Any]:
        ip = f"{self.network}.{index + 1}"
        return {
            "node": f"front-{index}",
            "ip": ip,
            "zone": self.zones[index % len(self.zones)],
            "region": "region",
            "internalPorts": [7340, 7355],
            "seeds": seeds,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "listen": {
                "front": f"{ip}:8782",
                "ready": f"{ip}:8789",
                "control": f"{ip}:8783",
                "directory": f"{ip}:8780",
            },
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300},
            "bounds": dict(BOUNDS),
            "platform": {"address": self.store.address},
        }

    def add_replica(
        self,
        name: str,
        service: str,
        make: Callable[..., Replica] = Replica,
        **options: Any,
    ) -> Replica:
        """Returns a new replica that is not started."""
        host = next(self._hosts)
        replica = make(
            name,
            service,
            f"{self.network}.{host}:8080",
            self.zones[host % len(self.zones)],
            self.store,
            self.record,
            **options,
        )
        self.replicas[name] = replica
        return replica

    def configure(self, **changes: Any) -> None:
        """Writes the next version of the configuration."""
        self.version += 3
        self.store.write("op/config", {"version": self.version, **changes})

    async def start(self, **configuration: Any) -> None:
        """Starts everything, and waits until the routers are ready."""
        await self.store.start()
        self.configure(**configuration)
        for replica in self.replicas.values():
            await replica.start()
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await self.wait_ready(router)
        await asyncio.sleep(3.5)

    async def wait_ready(self, router: Router, timeout_s: float = 20.0) -> None:
        """Waits until a router says that it is ready."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready(router):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{router.name} is not ready")

    async def is_ready(self, router: Router) -> bool:
        """Whether a router says that it is ready."""
        host, _, port = router.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /bergamotmill/readiness HTTP/1.1\r\n"
                    b"Host: x\r\nConnection: close\r\n\r\n"
                )
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return " 200" in first

    async def close(self) -> None:
        """Ends all that was started."""
        for router in self.routers:
            await router.close()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()
        self._keep_logs()
        self._folder.cleanup()

    def _keep_logs(self) -> None:
        kept = os.environ.get("KEEP_LOGS")
        for router in self.routers if kept else ():
            if router.log.exists():
                target = pathlib.Path(kept) / router.log.name
                target.write_bytes(router.log.read_bytes())


Scenario = Callable[[Deployment], Awaitable[bool]]


def main(scenario: Scenario, prepare: Callable[[], Deployment]) -> int:
    """Runs a case; returns its exit status."""

    async def run() -> int:
        deployment = prepare()
        try:
            async with asyncio.timeout(110.0):
                held = await scenario(deployment)
            verdict = HELD if held else BROKEN
        except Exception as err:  # pylint: disable=broad-except
            deployment.record.add(f"the case could not run: {err!r}")
            verdict = NOT_RUN
        finally:
            await deployment.close()
        names = ("held", "broken", "could not run")
        deployment.record.add(f"result: {names[verdict]}")
        deployment.record.save()
        print(names[verdict])
        return verdict

    return asyncio.run(run())


if __name__ == "__main__":
    sys.exit(NOT_RUN)
