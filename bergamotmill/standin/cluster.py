"""An in-memory cluster: real routers in front of stand-ins."""

import asyncio
import contextvars
import dataclasses
import random
from typing import Any

from bergamotmill import core
from bergamotmill import router as bergamotmill_router
from bergamotmill.settings import config
from bergamotmill.standin import engine
from bergamotmill.standin import engine_model
from bergamotmill.standin import key_value
from bergamotmill.standin import peer_bus
from bergamotmill.standin import service
from bergamotmill.standin import vm_list
from bergamotmill.storage.gateway import coordinator as gateway
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.storage.vm_list import const as vm_const
from bergamotmill.storage.vm_list import coordinator as vm_coordinator
from bergamotmill.util import clock as clocks
from bergamotmill.util import memory_network
from bergamotmill.util import tasks as background

# Time after which an engine or a service that a request crashed is back.
ENGINE_RESTART_S = 3.0
KEY_VALUE_HOST = "10.0.3.1"
VM_LIST_HOST = "10.0.3.2"
CUSTOMER_KEY = "key-of-{}"
OPERATOR_KEY = "operator"
CUSTOMERS = ("one", "two")


@dataclasses.dataclass(frozen=True)
class Sizes:
    """The number of instances of each part of the cluster."""

    routers: int = 3
    engines: int = 3
    services: int = 2
    data_centres: int = 2


def router_host(index: int) -> str:
    """Returns the host of a router."""
    return f"10.0.0.{index + 1}"


def engine_host(index: int) -> str:
    """Returns the host of an engine."""
    return f"10.0.1.{index + 1}"


def service_host(index: int) -> str:
    """Returns the host of a service."""
    return f"10.0.2.{index + 1}"


def first_release_note(sizes: Sizes) -> dict[str, Any]:
    """Returns the release note of the first release."""
    upstreams = [
        {
            "name": f"registry-{index}",
            "address": f"{service_host(index)}:80",
            "data_centre": f"dc-{index % sizes.data_centres}",
        }
        for index in range(sizes.services)
    ]
    customers = {
        name: {
            "key_digests": [core.key_digest(CUSTOMER_KEY.format(name))],
            "default_class": "review",
        }
        for name in CUSTOMERS
    }
    return {
        "title": "first",
        "added": {
            "classes": {
                "review": {"priority": 1, "worth": 3.0, "deadline_s": 60.0},
                "check": {"priority": 5, "worth": 1.0, "deadline_s": 30.0},
                "filing": {"idempotent": False, "deadline_s": 8.0},
            },
            "models": {"drafter": {"version": "v1", "min_ready": 1}},
            "replicas": {
                f"engine-{index}": {
                    "address": f"{engine_host(index)}:80",
                    "data_centre": f"dc-{index % sizes.data_centres}",
                    "models": ["drafter"],
                }
                for index in range(sizes.engines)
            },
            "services": {"registry": {"upstreams": upstreams, "timeout_s": 5}},
            "customers": customers,
        },
    }


class Cluster:
    """Starts and stops the parts of one cluster.

    Attributes:
        engine_faults: faults of engines that are started from now on.
        crashes: times at which prompts crashed engines.
        service_crashes: times at which calls crashed services.
        service_crash_mark: what in a call crashes services; empty for none.
    """

    def __init__(
        self,
        network: memory_network.MemoryNetwork,
        rng: random.Random,
        sizes: Sizes,
    ):
        self.network = network
        self.rng = rng
        self.sizes = sizes
        self.bus = peer_bus.PeerBus(network, rng)
        self.key_value = key_value.KeyValueStandIn(f"{KEY_VALUE_HOST}:80")
        self.vm_list = vm_list.VmListStandIn(f"{VM_LIST_HOST}:80", self._vms())
        self.engines: dict[int, engine.EngineStandIn] = {}
        self.services: dict[int, service.ServiceStandIn] = {}
        self.routers: dict[int, bergamotmill_router.Router] = {}
        self.engine_faults = engine.Faults()
        self.crashes: list[float] = []
        self.service_crashes: list[float] = []
        self.service_crash_mark = b""
        self._crash_tasks = background.Tasks()
        self._incarnation = 0
        self._engine_incarnation = 0

    def _vms(self) -> list[vm_config.Vm]:
        sizes = self.sizes
        routers = [
            vm_config.Vm(
                f"vm-{index}",
                vm_const.ROLE_ROUTER,
                vm_const.STATE_LIVE,
                f"dc-{index % sizes.data_centres}",
                front=f"{router_host(index)}:80",
                peer=f"{router_host(index)}:90",
            )
            for index in range(sizes.routers)
        ]
        engines = [
            vm_config.Vm(
                f"engine-{index}",
                vm_const.ROLE_UPSTREAM,
                vm_const.STATE_LIVE,
                f"dc-{index % sizes.data_centres}",
            )
            for index in range(sizes.engines)
        ]
        return routers + engines

    async def run_as_host(self, host: str, coroutine) -> Any:
        """Runs a coroutine with `host` as the source of its connections."""
        context = contextvars.copy_context()
        context.run(memory_network.CURRENT_HOST.set, host)
        return await asyncio.create_task(coroutine, context=context)

    async def start(self) -> None:
        """Starts everything and publishes the first release."""
        await self.run_as_host(KEY_VALUE_HOST, self.key_value.start())
        await self.run_as_host(VM_LIST_HOST, self.vm_list.start())
        for index in range(self.sizes.engines):
            await self.start_engine(index, {"drafter": "v1"})
        for index in range(self.sizes.services):
            await self.start_service(index)
        await asyncio.gather(
            *(self.start_router(index) for index in range(self.sizes.routers))
        )
        await asyncio.sleep(1.0)
        await self.publish(first_release_note(self.sizes))
        await asyncio.sleep(3.0)

    async def publish(self, note: dict[str, Any], router: int = 0) -> Any:
        """Publishes a release note through a router."""
        manager = self.routers[router].release_manager
        draft = manager.check(note, "note").unwrap()
        host = router_host(router)
        return await self.run_as_host(host, manager.publish(draft, "tester"))

    def _settings(self, index: int) -> config.Settings:
        host = router_host(index)
        data_centre = f"dc-{index % self.sizes.data_centres}"
        return config.Settings(
            router=config.RouterSettings(
                f"vm-{index}",
                data_centre,
                "region",
                f"{host}:80",
                f"{host}:81",
                f"{host}:90",
            ),
            key_value=config.KeyValueSettings(
                "gateway", (f"{KEY_VALUE_HOST}:80",)
            ),
            vm_list=config.VmListSettings("http", f"{VM_LIST_HOST}:80"),
            fleet_key="0123456789abcdef",
            operator_key_digests={"tester": core.key_digest(OPERATOR_KEY)},
            shutdown=config.ShutdownSettings(30.0, 3.0),
        )

    async def start_router(self, index: int) -> None:
        """Starts a router as a new incarnation."""
        settings = self._settings(index)
        self._incarnation += 1
        self.network.revive(router_host(index))
        router = bergamotmill_router.Router(
            settings,
            gateway.GatewayStore(settings.key_value.addresses),
            vm_coordinator.HttpVmListSource(settings.vm_list.address),
            clocks.LoopClock(),
            random.Random(self.rng.random()),
            self._incarnation,
            self.bus.make_peers,
            self.bus.make_server,
        )
        self.routers[index] = router
        await self.run_as_host(router_host(index), router.start())

    async def crash_router(self, index: int) -> None:
        """Kills a router; nothing that it still sends is delivered."""
        self.network.kill(router_host(index))
        self.bus.stop_listening(f"{router_host(index)}:90")
        router = self.routers.pop(index)
        await self.run_as_host(router_host(index), router.close())

    async def start_engine(self, index: int, models: dict[str, str]) -> None:
        """Starts an engine with the given models."""
        self._engine_incarnation += 1
        self.network.revive(engine_host(index))
        standin = engine.EngineStandIn(
            f"{engine_host(index)}:80",
            models,
            engine_model.Speed(token_s=0.03),
            incarnation=self._engine_incarnation,
        )
        standin.on_crash = lambda _: self._crash_for_a_time(index, models)
        standin.faults = self.engine_faults
        self.engines[index] = standin
        await self.run_as_host(engine_host(index), standin.start())

    def _crash_for_a_time(self, index: int, models: dict[str, str]) -> None:
        """Ends an engine that a prompt crashed; it is back after a time."""
        if index in self.engines:
            self.crashes.append(asyncio.get_running_loop().time())
            self._crash_tasks.spawn(self._restart_engine(index, models))

    async def _restart_engine(self, index: int, models: dict[str, str]) -> None:
        await self.crash_engine(index)
        await asyncio.sleep(ENGINE_RESTART_S)
        await self.start_engine(index, models)

    async def crash_engine(self, index: int) -> None:
        """Kills an engine."""
        self.network.kill(engine_host(index))
        await self.engines.pop(index).close()

    async def start_service(self, index: int) -> None:
        """Starts an instance of the plain HTTP service."""
        self.network.revive(service_host(index))
        standin = service.ServiceStandIn(f"{service_host(index)}:80")
        standin.crash_mark = self.service_crash_mark
        standin.on_crash = lambda _: self._crash_service_for_a_time(index)
        self.services[index] = standin
        await self.run_as_host(service_host(index), standin.start())

    def _crash_service_for_a_time(self, index: int) -> None:
        """Ends a service that a call crashed; it is back after a time."""
        standin = self.services.pop(index, None)
        if standin is None:
            return
        self.service_crashes.append(asyncio.get_running_loop().time())
        self.network.kill(service_host(index))
        self._crash_tasks.spawn(standin.close())
        self._crash_tasks.spawn(self._restart_service(index))

    async def _restart_service(self, index: int) -> None:
        await asyncio.sleep(ENGINE_RESTART_S)
        await self.start_service(index)

    async def close(self) -> None:
        """Stops all parts."""
        await self._crash_tasks.close()
        for index in list(self.routers):
            await self.crash_router(index)
        for index in list(self.engines):
            await self.crash_engine(index)
        for standin in self.services.values():
            await standin.close()
        await self.key_value.close()
        await self.vm_list.close()
