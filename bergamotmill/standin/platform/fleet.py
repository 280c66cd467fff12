"""Routers on the stand-in platform, in memory on a virtual clock."""

import asyncio
from collections.abc import Callable, Mapping
import contextvars
import dataclasses
import json
import random
from typing import Any

from bergamotmill.dispatch import daemon
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.platform import const
from bergamotmill.platform import dialect
from bergamotmill.platform import store as platform_store
from bergamotmill.standin import peer_bus
from bergamotmill.standin.platform import replica
from bergamotmill.standin.platform import replica_set
from bergamotmill.standin.platform import store
from bergamotmill.util import clock as clocks
from bergamotmill.util import memory_network
from bergamotmill.util import tasks as background

STORE_HOST = "10.0.3.1"
CALLER_HOST = "10.0.9.9"
MODEL = "drafter"
HOST = "calls.example"
CUSTOMER_BY_KEY = {"key-one": "one", "key-two": "two", "key-alone": "alone"}
STARTUP_SETTLE_S = 3.0
# Time after which a crashed replica is back, under another name at the same
# address, and after which the entry of the crashed one is removed.
REPLICA_RESTART_S = 3.0
ENTRY_EXPIRY_S = 3.2


@dataclasses.dataclass(frozen=True)
class Sizes:
    """The number of instances of each part of the fleet.

    Attributes:
        keep_copies: whether a second engine keeps a copy of the KV cache of
            long streams.
        customer_limits: how the limits of customers are enforced.
        engine_slots: requests that an engine takes at a time.
        service_work_s: time that a plain request takes, in seconds.
    """

    routers: int = 3
    engines: int = 3
    services: int = 2
    data_centres: int = 2
    keep_copies: bool = False
    customer_limits: router_settings.CustomerLimitSettings | None = None
    engine_slots: int = 64
    service_work_s: float = 0.05


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller received.

    Attributes:
        status: HTTP status; 0 when the connection broke before the head.
        seconds: time until the end of the answer or of the connection.
        whole: whether the answer is complete.
        first_byte_s: time until the first byte of the body.
    """

    status: int
    body: bytes = b""
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    seconds: float = 0.0
    whole: bool = True
    first_byte_s: float = 0.0

    def events(self) -> list[int]:
        """Returns the ids of a stream's events."""
        return [
            int(line[4:])
            for line in self.body.split(b"\n")
            if line.startswith(b"id: ")
        ]


def router_host(index: int) -> str:
    """Returns the host of a router."""
    return f"10.0.0.{index + 1}"


def _data_centre(index: int, sizes: Sizes) -> str:
    return f"dc-{index % sizes.data_centres}"


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration in the format that operators write."""
    tenants = {
        name: {"name": name, "apiKeys": [key], "isolated": name == "alone"}
        for key, name in CUSTOMER_BY_KEY.items()
    }
    routes = [
        route("review", "stream", 15000, 800, "engines", maxAttempts=1),
        route(
            "check",
            "stream",
            3000,
            500,
            "engines",
            maxAttempts=2,
            resumable=True,
        ),
        route("filing", "non_idempotent", 1500, 400, "registry"),
        route("lookup", "idempotent", 1500, 400, "registry", maxAttempts=2),
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engines",
                "healthPath": "/health",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 259523,
                    "backups": True,
                },
            },
            {"name": "registry", "healthPath": "/health"},
        ],
        "limits": {"headerBytes": 16384, "bodyBytes": 65536},
        "tenants": list(tenants.values()),
        **changes,
    }


def route(name, kind, timeout_ms, target_ms, service, **options):
    """Returns a route in the format that operators write."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 0 if name == "check" else 1,
        "service": service,
        "targetGapMs": 400,
        **options,
    }


class PlatformFleet:
    """Starts and stops the parts of the platform and its routers.

    Attributes:
        crashes: time and name of each replica that ended for a time.
        crashed: these replicas.
    """

    def __init__(
        self,
        network: memory_network.MemoryNetwork,
        rng: random.Random,
        sizes: Sizes | None = None,
        make_placement: Callable[..., placement.Placement] = (
            placement.Placement
        ),
        make_router: Callable[..., daemon.Daemon] = daemon.Daemon,
        adjust_settings: Callable[
            [router_settings.Settings], router_settings.Settings
        ] = lambda settings: settings,
        configuration_changes: Mapping[str, Any] | None = None,
    ):
        """Makes a fleet that is not started.

        Args:
            network: the network that connects all parts.
            rng: draws delays and seeds.
            sizes: number of instances of each part.
            make_placement: makes the placement of a router.
            make_router: makes a router; takes the arguments of `Daemon`.
            adjust_settings: changes the settings of each router.
            configuration_changes: replaces parts of the first configuration.
        """
        self.network = network
        self.rng = rng
        self.sizes = sizes or Sizes()
        self._make_placement = make_placement
        self._make_router = make_router
        self._adjust_settings = adjust_settings
        self._configuration_changes = configuration_changes or {}
        self.bus = peer_bus.PeerBus(network, rng)
        self.store = store.StoreStandIn(f"{STORE_HOST}:80", rng)
        self.replica_set = replica_set.ReplicaSet(self.store)
        self.replicas = self.replica_set.replicas
        self.routers: dict[int, daemon.Daemon] = {}
        self.crashes: list[tuple[float, str]] = []
        self.crashed: list[replica.ReplicaStandIn] = []
        self._crash_tasks = background.Tasks()
        self._incarnation = 0
        self._next_id = 0
        self._pool: http_client.Pool | None = None

    async def run_as_host(self, host: str, coroutine) -> Any:
        """Runs a coroutine with `host` as the source of its connections."""
        context = contextvars.copy_context()
        context.run(memory_network.CURRENT_HOST.set, host)
        return await asyncio.create_task(coroutine, context=context)

    async def start(self) -> None:
        """Starts all parts and writes the first configuration."""
        self._pool = http_client.Pool()
        await self.run_as_host(STORE_HOST, self.store.start())
        for index in range(self.sizes.engines):
            await self.start_replica(f"e{index}", f"10.0.1.{index + 1}", True)
        for index in range(self.sizes.services):
            await self.start_replica(f"s{index}", f"10.0.2.{index + 1}", False)
        for index in range(self.sizes.routers):
            await self.start_router(index)
        await self.store.write(
            const.KEY_CONFIGURATION,
            configuration(**self._configuration_changes),
        )
        await asyncio.sleep(STARTUP_SETTLE_S)

    async def start_replica(
        self, name: str, host: str, engine: bool, **options: Any
    ) -> replica.ReplicaStandIn:
        """Starts a replica and registers it."""
        self.network.revive(host)
        number = int(host.rpartition(".")[2]) - 1
        standin = replica.ReplicaStandIn(
            name,
            "engines" if engine else "registry",
            f"{host}:80",
            _data_centre(number, self.sizes),
            self.replica_set.publish,
            self.replica_set.replica_at,
            model=MODEL if engine else "",
            slots=self.sizes.engine_slots if engine else 6,
            work_s=self.sizes.service_work_s,
            **options,
        )
        standin.on_crash = self.crash_for_a_time
        self.replica_set.add(standin)
        await self.run_as_host(host, standin.start())
        return standin

    def crash_for_a_time(self, standin: replica.ReplicaStandIn) -> None:
        """Ends a replica, which is back under another name after some time."""
        if self.replicas.pop(standin.name, None) is None:
            return
        now = asyncio.get_running_loop().time()
        self.crashes.append((now, standin.name))
        self.crashed.append(standin)
        self.network.kill(standin.address.partition(":")[0])
        self._crash_tasks.spawn(standin.close())
        self._crash_tasks.spawn(self._restart(standin))
        self._crash_tasks.spawn(self._expire_entry(standin))

    async def _restart(self, standin: replica.ReplicaStandIn) -> None:
        await asyncio.sleep(REPLICA_RESTART_S)
        host = standin.address.partition(":")[0]
        restarted = await self.start_replica(
            f"{standin.name.partition('.')[0]}.{len(self.crashes)}",
            host,
            bool(standin.model),
            weights=standin.weights,
            born=standin.born + len(self.crashes),
        )
        restarted.faults = standin.faults
        restarted.engine.copy_options(standin.engine)
        restarted.tokens_per_event = standin.tokens_per_event

    async def _expire_entry(self, standin: replica.ReplicaStandIn) -> None:
        await asyncio.sleep(ENTRY_EXPIRY_S)
        await standin.deregister()

    async def crash_replica(self, name: str) -> None:
        """Kills a replica; its entry stays in the store."""
        standin = self.replicas.pop(name)
        self.network.kill(standin.address.partition(":")[0])
        await standin.close()

    def settings(self, index: int) -> router_settings.Settings:
        """Returns the settings of a router."""
        host = router_host(index)
        others = [
            f"{router_host(other)}:90"
            for other in range(self.sizes.routers)
            if other != index
        ]
        return router_settings.Settings(
            router=router_settings.RouterSettings(
                f"vm-{index}",
                _data_centre(index, self.sizes),
                "region",
                f"{host}:80",
                f"{host}:81",
                f"{host}:82",
                f"{host}:90",
                f"{host}:83",
            ),
            store=router_settings.StoreSettings(f"{STORE_HOST}:80"),
            retries=router_settings.RetrySettings(0.2, 54.0, 10.0),
            shutdown=router_settings.ShutdownSettings(8.0),
            fleet_key="0123456789abcdef",
            streams=router_settings.StreamSettings(self.sizes.keep_copies),
            seeds=tuple(others[:3]),
            customer_limits=self.sizes.customer_limits,
        )

    async def start_router(self, index: int) -> daemon.Daemon:
        """Starts a router as a new incarnation."""
        self._incarnation += 1
        self.network.revive(router_host(index))
        settings = self._adjust_settings(self.settings(index))
        router = self._make_router(
            settings,
            platform_store.PlatformStore(settings.store.address),
            dialect.make_dialect(settings),
            clocks.LoopClock(),
            random.Random(self.rng.random()),
            self._incarnation,
            daemon.Factories(
                self.bus.make_peers,
                self.bus.make_server,
                self._make_placement,
            ),
        )
        self.routers[index] = router
        await self.run_as_host(router_host(index), router.start())
        return router

    async def crash_router(self, index: int) -> None:
        """Kills a router; nothing that it still sends is delivered."""
        self.network.kill(router_host(index))
        self.bus.stop_listening(f"{router_host(index)}:90")
        router = self.routers.pop(index)
        await self.run_as_host(router_host(index), router.close())

    async def stop_router(self, index: int) -> None:
        """Shuts a router down in the same way as SIGTERM."""
        router = self.routers[index]
        await self.run_as_host(router_host(index), router.shut_down())
        await self.crash_router(index)

    async def close(self) -> None:
        """Stops all parts."""
        await self._crash_tasks.close()
        for index in list(self.routers):
            await self.crash_router(index)
        for standin in self.replicas.values():
            await standin.close()
        await self.store.close()
        self._pool.close()

    def new_id(self) -> str:
        """Returns a request id that has not been used."""
        self._next_id += 1
        return f"{self._next_id:016x}"

    async def call(
        self,
        route: str,
        router: int = 0,
        key: str = "key-one",
        request_id: str = "",
        parts: str = "sys:512,file:4870,own:1000",
        output: int = 20,
        body: bytes = b"",
        method: str = "POST",
        **headers: str,
    ) -> Answer:
        """Sends one request on a new connection."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        request_headers = {
            const.HEADER_REQUEST_ID: request_id or self.new_id(),
            const.HEADER_KEY: key,
        }
        if route in ("review", "check"):
            total = sum(int(p.split(":")[1]) for p in parts.split(","))
            request_headers[const.HEADER_MODEL] = MODEL
            request_headers[const.HEADER_TOKEN_COUNTS] = f"{total},{output}"
            request_headers[const.HEADER_PROMPT_PREFIX] = parts
        request_headers.update(
            {k.replace("_", "-"): v for k, v in headers.items()}
        )
        raw_headers = [
            (k.encode(), v.encode()) for k, v in request_headers.items() if v
        ]
        received = b""
        status = 0
        response_headers: dict[bytes, bytes] = {}
        whole = False
        first_byte_s = 0.0
        try:
            conn = await self._pool.acquire(f"{router_host(router)}:80", True)
            head = await conn.request(
                method, f"/{route}/x?a=1", raw_headers, body, host=HOST
            )
            status, response_headers = head.status, head.headers
            while data := await conn.read():
                first_byte_s = first_byte_s or loop.time() - began
                received += data
            whole = True
            conn.close()
        except http_errors.HttpError:
            whole = False
        return Answer(
            status,
            received,
            response_headers,
            loop.time() - began,
            whole,
            first_byte_s,
        )

    async def resolve(self, router: int) -> list[str]:
        """Returns the router addresses that a router's directory names."""
        pool = http_client.Pool()
        try:
            conn = await pool.acquire(f"{router_host(router)}:82", True)
            await conn.request(
                "GET", f"{const.PATH_RESOLVE}?name=x&zone=dc-0", [], b""
            )
            received = b""
            while data := await conn.read():
                received += data
        finally:
            pool.close()
        return json.loads(received)["addresses"]

    def runs(self, request_id: str = "") -> list[replica.Run]:
        """Returns the runs of one request, or of all requests."""
        return [
            run
            for standin in [*self.replicas.values(), *self.crashed]
            for run in standin.runs
            if request_id in ("", run.request_id)
        ]
