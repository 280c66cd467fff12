"""Stand-ins of the platform and a launcher of real routers, on loopback."""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
CONTACT_S = 3.0
DRAIN_S = 2.0
# Time after which a case is given up.
CASE_LIMIT_S = 110
HOST = "calls.example"


def free_port(host="127.0.0.1", kind=socket.SOCK_STREAM):
    """Returns a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


async def read_head(reader):
    """Returns start line and headers; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a request."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, headers, body=b""):
    """Encodes a response; without a length if it is chunked."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    if "transfer-encoding" not in {k.lower() for k in headers}:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store; each router has an address of its own."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.revision = 100
        self.next_lease = 1000
        self.history = []
        self.era = 0
        self.changed = asyncio.Condition()
        self.servers = []
        # Channels that were opened before this time are silent.
        self.silent_before = -1.0

    async def listen(self):
        """Opens an address for one router and returns it."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 23
        )
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(dict(item))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    async def write(self, key, value):
        """Writes a value, as operators and replicas do."""
        self._put(key, json.dumps(value).encode())
        await self._notify()

    async def remove(self, key):
        """Removes a key."""
        self._remove(key)
        await self._notify()

    async def expire(self):
        """Ends leases that have run out, forever."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            ended = [n for n, (_, end) in self.leases.items() if end <= now]
            if ended:
                for number in ended:
                    self._end_lease(number)
                await self._notify()

    def _end_lease(self, number):
        self.leases.pop(number, None)
        for key in [k for k, v in self.items.items() if v["lease"] == number]:
            self._remove(key)

    async def _serve(self, reader, writer):
        opened_at = time.monotonic()
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                _, target, _ = line.split(" ")
                if opened_at < self.silent_before:
                    await asyncio.sleep(60)
                    return
                status, value = await self._call(target, body)
                if opened_at < self.silent_before:
                    await asyncio.sleep(60)
                    return
                fields = {
                    "content-type": "application/json",
                    "Store-Era": self.era,
                }
                writer.write(
                    response(status, fields, json.dumps(value).encode())
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _call(self, target, body):
        path, _, query = target.partition("?")
        q = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.rsplit("/bergamotmill/", 1)[-1]
        if name == "kv-key":
            item = self.items.get(q["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item, "storeRevision": self.revision}
        if name == "kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(q.get("prefix", "")) and k > q.get("after", "")
            )
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "hasMore": len(keys) > 500,
                "storeRevision": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(q)
        value = json.loads(body) if body else {}
        if name == "kv-txn":
            return await self._transact(value)
        if name == "kv-lease":
            self.next_lease += 1
            ttl = value["ttlMs"] / 1000
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": self.next_lease, "ttlMs": value["ttlMs"]}
        if name.startswith("kv-keep/"):
            number = int(name.split("/")[1])
            if number not in self.leases:
                return 404, {}
            ttl, _ = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlMs": int(ttl * 1000)}
        if name.startswith("kv-lease-end/"):
            self._end_lease(int(name.split("/")[1]))
            await self._notify()
            return 200, {}
        return 404, {}

    async def _watch(self, q):
        after = int(q["after"])
        end = time.monotonic() + int(q["waitMs"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = [
                e
                for e in self.history
                if e["revision"] > after
                and e["key"].startswith(q.get("prefix", ""))
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, value):
        rows = value.get("precondition", [])
        current = [
            self.items.get(r["key"], {"key": r["key"], "revision": 0})
            for r in rows
        ]
        if any(
            item["revision"] != r["revision"]
            for r, item in zip(rows, current, strict=True)
        ):
            return 412, {"items": current}
        for put in value.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in value.get("puts", []):
            data = base64.b64decode(put["value"])
            self._put(put["key"], data, put.get("lease", 0))
        for key in value.get("remove", []):
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}


class Replica:
    """A replica of a plain service, or a model replica if it has a model."""

    def __init__(self, store, name, service, model=""):
        self.store, self.name, self.service = store, name, service
        self.model, self.version = model, 1
        self.work_s, self.token_s = 0.05, 0.02
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        # Requests that wait for their first token, and those that have one.
        self.queued, self.active = 0, 0
        self.accepted = 0
        self.loading = False
        self.load = None
        self.end = None
        self.server = None
        self.writers = set()

    def _models(self):
        if not self.model:
            return []
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def start(self):
        """Starts listening and writes the entry."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        await self.register()

    async def register(self):
        """Writes the entry in the store."""
        self.sequence += 1
        port = self.server.sockets[0].getsockname()[1]
        await self.store.write(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{port}",
                "zone": "z-a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                "models": self._models(),
            },
        )

    async def crash(self):
        """Ends: resets all channels and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                _, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                await self._answer(target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, target, headers, body, writer):
        base = {"Instance-Id": self.name}
        if headers.get("attempt-id"):
            base["Attempt-Id"] = headers["attempt-id"]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(response(421, base))
        elif target == "/bergamotmill/report":
            value = {
                "stage": "unified",
                "models": self._models(),
                "busy": self.loading,
                "sequence": self.accepted,
                "queued": self.queued,
                "active": self.active,
                "kvUsed": 0,
                "kvTotal": 1,
                "handles": 0,
            }
            fields = {**base, "content-type": "application/json"}
            writer.write(response(200, fields, json.dumps(value).encode()))
        elif target == "/bergamotmill/order":
            self._order(json.loads(body), base, writer)
        elif target == "/health":
            writer.write(response(200, base))
        elif self.model and headers.get(
            "expect-version", str(self.version)
        ) != str(self.version):
            writer.write(response(421, base))
        elif self.loading:
            writer.write(response(503, {**base, "Not-Executed": "1"}))
        else:
            run = {"id": headers.get("attempt-id"), "at": time.monotonic()}
            self.runs.append(run)
            await self.run(run, headers, writer, base)

    async def run(self, run, headers, writer, base):
        """Runs a request and writes its answer."""
        base = {**base, "Response-Seal": f"seal.{run['id']}"}
        if not self.model:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, base, b"done:" + run["id"].encode()))
            return
        base["Weight-Versions"] = self.version
        base["content-type"] = "text/event-stream"
        base["transfer-encoding"] = "chunked"
        count = int(headers["token-count"].split(",")[1])
        first = int(headers.get("last-event-id", 0)) + 1
        await asyncio.sleep(self.work_s)
        writer.write(response(200, base))
        for number in range(first, count + 1):
            data = b"id: %d\ndata: t%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.token_s)
        writer.write(b"0\r\n\r\n")

    def _order(self, order, base, writer):
        expected = order.get("precondition", self.accepted)
        if self.loading or expected != self.accepted:
            writer.write(response(409, base))
            return
        self.accepted += 1
        self.loading = True
        writer.write(response(202, base))
        self.load = asyncio.create_task(self._load(order["version"]))

    async def _load(self, version):
        await asyncio.sleep(0.4)
        self.version = version
        self.loading = False
        await self.register()


def route(name, kind, timeout_ms, target_ms, service, **more):
    """Returns a route as operators write it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "targetGapMs": 400,
        **more,
    }


def configuration(version=1, **more):
    """Returns a configuration as operators write it."""
    return {
        "version": version,
        "routes": [
            route(
                "review",
                "stream",
                15000,
                800,
                "engines",
                maxAttempts=1,
                sessionAffinity=True,
            ),
            route(
                "check",
                "stream",
                3000,
                500,
                "engines",
                maxAttempts=2,
                resumable=True,
                sessionAffinity=True,
            ),
            route(
                "filing", "non_idempotent", 3000, 400, "registry", maxAttempts=1
            ),
            route("lookup", "idempotent", 3000, 400, "registry", maxAttempts=2),
        ],
        "services": [
            {
                "name": "engines",
                "healthPath": "/health",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 259523,
                    "kvTokenBytes": 163840,
                },
            },
            {
                "name": "registry",
                "healthPath": "/health",
                "maxConnections": 100,
            },
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": ["key-one"], "isolated": False}],
        **more,
    }


class Router:
    """One router process, at a loopback address of its own."""

    def __init__(
        self,
        index,
        folder,
        store_address,
        ports,
        seeds,
        memory_mb=300,
    ):
        self.name = f"front-z-a-{index}"
        self.host = f"127.0.1.{index}"
        self.folder = folder
        self.ports = ports
        self.log_path = folder / f"{self.name}.log"
        self.settings = {
            "router": {
                "name": self.name,
                "data_centre": "z-a",
                "region": "r",
                "front": f"{self.host}:{ports[0]}",
                "ready": f"{self.host}:{ports[1]}",
                "directory": f"{self.host}:{ports[2]}",
                "peer": f"{self.host}:{ports[3]}",
                "datagrams": f"{self.host}:{ports[4]}",
                "metrics": f"{self.host}:{ports[5]}",
                "cpu_share": 0.537,
                "cores": 2,
            },
            "store": {"address": store_address},
            "seeds": seeds,
            "retries": {"ratio": 0.2, "slack": 54, "window_s": 10},
            "weights": {"deadline_ms": 8000, "turn_ms": 3000},
            "memory": {"limit_mb": memory_mb},
            "placement": {"load_model": "auto"},
            "shutdown": {"grace_s": 8},
            "fleet_key": "bergamotmill-fleet",
        }
        self.process = None

    def start(self):
        """Starts the process as the deploy file says."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        env = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env["BERGAMOTMILL_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bergamotmill.platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def private_mb(self):
        """Returns the private memory of the process, without mapped files."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        for line in status.read_text().splitlines():
            if line.startswith("RssAnon"):
                return int(line.split()[1]) / 1024
        return 0.0

    def stop(self):
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self):
        """Returns whether the router says that it is ready."""
        try:
            status, _, _, _ = await fetch(
                self.host, self.ports[1], "GET", "/bergamotmill/readiness"
            )
            return status == 200
        except OSError:
            return False


async def fetch(host, port, method, target, headers=None, body=b"", timeout=20):
    """Sends one request on a new channel."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader):
    """Returns status, headers, body and whether the response is complete."""
    head = await read_head(reader)
    if head is None:
        return 0, {}, b"", False
    line, headers = head
    status = int(line.split(" ")[1])
    body, whole = b"", True
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size_line = await reader.readline()
                if not size_line.endswith(b"\n"):
                    return status, headers, body, False
                size = int(size_line, 16)
                if not size:
                    await reader.readline()
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        else:
            body = await reader.readexactly(
                int(headers.get("content-length", 0))
            )
    except (asyncio.IncompleteReadError, ConnectionError):
        whole = False
    return status, headers, body, whole


class Rig:
    """A small deployment: store, replicas and routers."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.routers = []
        self.replicas = {}
        self.next_id = random.getrandbits(32)
        self.lines = []
        self.began = time.monotonic()

    def note(self, *words):
        """Adds a line to the record."""
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(
            str(w) for w in words
        )
        self.lines.append(line)

    async def start(
        self, routers=2, config=None, engines=2, services=2, **router_options
    ):
        """Starts all parts and waits until the routers are ready."""
        self.store = Store()
        self.expiry = asyncio.create_task(self.store.expire())
        await self.store.write("op/config", config or configuration())
        await self.store.write("op/version/m", {"model": "m", "version": 1})
        for index in range(engines):
            await self.add(
                Replica(self.store, f"e{index}", "engines", model="m")
            )
        for index in range(services):
            await self.add(Replica(self.store, f"s{index}", "registry"))
        ports = [free_port() for _ in range(4)] + [
            free_port(kind=socket.SOCK_DGRAM),
            free_port(),
        ]
        hosts = [f"127.0.1.{i + 1}" for i in range(routers)]
        seeds = [f"{h}:{ports[3]}" for h in hosts[:3]]
        for index in range(routers):
            address = await self.store.listen()
            router = Router(
                index + 1, self.folder, address, ports, seeds, **router_options
            )
            self.routers.append(router)
            router.start()
        await self.until(self._all_ready, 40)
        await asyncio.sleep(3)

    async def _all_ready(self):
        return all([await r.ready() for r in self.routers])

    async def until(self, condition, limit_s):
        """Waits for a condition."""
        end = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > end:
                raise TimeoutError("the deployment is not ready")
            await asyncio.sleep(0.1)

    async def add(self, replica):
        """Starts a replica."""
        self.replicas[replica.name] = replica
        await replica.start()

    def headers(
        self,
        route_name,
        output=20,
        parts="5c1e07a2:512,91bd3f06:4870,e4402b7d:1000",
        deadline_ms=15000,
    ):
        """Returns the headers of a request."""
        self.next_id += 1
        headers = {
            "Attempt-Id": f"{self.next_id:016x}",
            "Key": "key-one",
            "Deadline-Ms": deadline_ms,
        }
        if route_name in ("review", "check"):
            total = sum(int(p.split(":")[1]) for p in parts.split(","))
            headers.update(
                {
                    "Model": "m",
                    "Token-Count": f"{total},{output}",
                    "Prompt-Prefix": parts,
                }
            )
        return headers

    async def call(self, route_name, router=0, body=b"x", **options):
        """Sends one request; returns its id, its answer and the seconds."""
        headers = self.headers(route_name, **options)
        r = self.routers[router]
        began = time.monotonic()
        try:
            answer = await fetch(
                r.host,
                r.ports[0],
                "GET" if route_name == "lookup" else "POST",
                f"/{route_name}/x",
                headers,
                b"" if route_name == "lookup" else body,
            )
        except (OSError, TimeoutError) as err:
            answer = (0, {}, repr(err).encode(), False)
        return headers["Attempt-Id"], answer, time.monotonic() - began

    def runs(self):
        """Returns the runs of all requests."""
        return [run for r in self.replicas.values() for run in r.runs]

    def close(self):
        """Ends all processes that were started."""
        for router in self.routers:
            router.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(scenario, folder):
    """Runs a case, writes its record and exits with its status.

    Args:
        scenario: coroutine function that takes the rig and whether there is a
            disruption, and returns whether the rule was broken.
        folder: folder of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rig = Rig()

    async def main():
        loop = asyncio.get_running_loop()
        # Channels that end with the case are of no interest.
        loop.set_exception_handler(lambda loop, context: None)
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                return await scenario(rig, trouble)
        finally:
            # Before the loop ends its tasks: they wait for the routers.
            rig.close()

    status = 2
    signal.alarm(CASE_LIMIT_S + 8)
    try:
        status = 1 if asyncio.run(main()) else 0
    except Exception as err:
        rig.note("the case could not run:", repr(err))
    finally:
        rig.close()
    rig.note("disruption:", trouble, "exit status:", status)
    (folder / "record.txt").write_text("\n".join(rig.lines) + "\n")
    print("\n".join(rig.lines[-12:]))
    sys.exit(status)
