"""Routers as real processes before stand-ins of the platform.

The stand-ins run in this process. Every connection to the store and to a
replica passes a proxy. Only processes that were started here are ended.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time
from typing import Any

from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import observations
from bergamotmill.bench.process_soak import proxy
from bergamotmill.platform import const as platform_const
from bergamotmill.standin.platform import fleet as platform_fleet
from bergamotmill.standin.platform import replica
from bergamotmill.standin.platform import replica_set
from bergamotmill.standin.platform import store

DATA_CENTRES = 2
MODEL = platform_fleet.MODEL
# The third numbers of addresses by what lives there; each kind has eight.
_ROUTERS, _STORE, _STORE_PROXIES, _REPLICAS, _REPLICA_PROXIES = range(0, 40, 8)


class Subnet:
    """Loopback addresses that no other soak on this machine uses."""

    def __init__(self):
        for number in range(20, 250):
            lock = socket.socket()
            try:
                lock.bind((f"127.{number}.250.1", const.PORT_LOCK))
            except OSError:
                lock.close()
                continue
            self._lock = lock
            self._number = number
            return
        raise OSError("no loopback addresses are free")

    def host(self, kind: int, index: int) -> str:
        """Returns the address of one item of a kind."""
        block, last = divmod(index, 200)
        return f"127.{self._number}.{kind + block}.{last + 1}"

    def close(self) -> None:
        """Gives the addresses back."""
        self._lock.close()


class Router:
    """One router process over its lives."""

    def __init__(self, index: int, settings: dict[str, Any], folder):
        self.index = index
        self.name = settings["router"]["name"]
        self.settings = settings
        self.path = pathlib.Path(folder) / f"{self.name}.json"
        self.log = pathlib.Path(folder) / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.lives = 0
        self.started_at = 0.0
        self.expected_end = False
        # Several faults may start it again at the same moment.
        self._starting = asyncio.Lock()

    @property
    def running(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and self.process.returncode is None

    def address(self, name: str) -> str:
        """Returns one of its addresses."""
        return self.settings["router"][name]

    def write_settings(self) -> None:
        """Writes the settings file in one step."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.settings))
        fresh.rename(self.path)

    async def start(self) -> None:
        """Starts a process unless there is one, on settings as they are."""
        async with self._starting:
            if not self.running:
                await self._start()

    async def _start(self) -> None:
        self.write_settings()
        with self.log.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bergamotmill.platform",
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    platform_const.SETTINGS_PATH_VARIABLE: str(self.path),
                },
            )
        self.process = process
        self.lives += 1
        self.started_at = time.monotonic()
        self.expected_end = False

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if there is one."""
        if not self.running:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected_end = True
        self.process.send_signal(number)


class Fleet:
    """Everything that a soak runs."""

    def __init__(self, routers: int, engines: int, services: int, folder):
        self.seen = observations.Observations()
        self.subnet = Subnet()
        self.store = store.StoreStandIn(
            f"{self.subnet.host(_STORE, 0)}:{const.PORT_SERVICE}",
            random.Random(0),
        )
        self.engines = engines
        self.services = services
        self._park = replica_set.ReplicaSet(self.store)
        self.replicas = self._park.replicas
        self.proxies: dict[str, proxy.Proxy] = {}
        self.version = 0
        self.configuration: dict[str, Any] = {}
        self._started = 0
        self._counted: dict[str, tuple[int, int, int]] = {}
        self._gone: list[replica.ReplicaStandIn] = []
        self.routers = [
            Router(index, self._settings_of(index, routers), folder)
            for index in range(routers)
        ]

    def _settings_of(self, index: int, routers: int) -> dict[str, Any]:
        host = self.subnet.host(_ROUTERS, index)
        ports = {
            "front": const.PORT_FRONT,
            "ready": const.PORT_READY,
            "directory": const.PORT_DIRECTORY,
            "peer": const.PORT_PEER,
            "metrics": const.PORT_METRICS,
            "datagrams": const.PORT_DATAGRAMS,
        }
        seeds = [
            f"{self.subnet.host(_ROUTERS, other)}:{const.PORT_PEER}"
            for other in range(min(3, routers))
        ]
        near = f"{self.subnet.host(_STORE_PROXIES, index)}"
        return {
            "router": {
                "name": f"vm-{index}",
                "data_centre": f"dc-{index % DATA_CENTRES}",
                "region": "region",
                **{name: f"{host}:{port}" for name, port in ports.items()},
            },
            "store": {"address": f"{near}:{const.PORT_SERVICE}"},
            "seeds": seeds,
            "retries": {
                "ratio": const.RETRY_RATIO,
                "slack": const.RETRY_SLACK,
                "window_s": const.RETRY_WINDOW_S,
            },
            "shutdown": {"grace_s": const.GRACE_S},
            "fleet_key": "soak-on-loopback-0",
        }

    async def start(self) -> None:
        """Starts the stand-ins, then the routers; waits until all serve."""
        await self.store.start()
        for router in self.routers:
            near = proxy.Proxy(
                router.settings["store"]["address"],
                f"{self.subnet.host(_STORE, 0)}:{const.PORT_SERVICE}",
            )
            self.proxies[f"store:{router.name}"] = near
            await near.start()
        for _ in range(self.engines):
            await self.start_replica(True)
        for _ in range(self.services):
            await self.start_replica(False)
        await self.configure({})
        await self.name_weights(1)
        for router in self.routers:
            await router.start()

    async def start_replica(self, engine: bool) -> replica.ReplicaStandIn:
        """Starts a replica of a new name, at an address of its own."""
        number = self._started
        self._started += 1
        real = f"{self.subnet.host(_REPLICAS, number)}:{const.PORT_SERVICE}"
        near = proxy.Proxy(
            f"{self.subnet.host(_REPLICA_PROXIES, number)}:"
            f"{const.PORT_SERVICE}",
            real,
        )
        name = f"{'e' if engine else 's'}{number}"
        standin = replica.ReplicaStandIn(
            name,
            "engines" if engine else "registry",
            near.address,
            f"dc-{number % DATA_CENTRES}",
            self._park.publish,
            self._park.replica_at,
            model=MODEL if engine else "",
            weights=max(1, self.weights),
            slots=64 if engine else 6,
            born=time.time_ns() // 1_000_000,
            listen=real,
        )
        self.proxies[name] = near
        self._park.add(standin)
        await near.start()
        await standin.start()
        return standin

    @property
    def weights(self) -> int:
        """The version of the weights that was named last."""
        return self.configuration.get("weights", 0)

    async def name_weights(self, version: int) -> None:
        """Names a version of the weights."""
        self.configuration["weights"] = version
        await self.store.write(
            platform_const.PREFIX_WEIGHTS + MODEL,
            {"model": MODEL, "version": version},
        )

    async def configure(self, changes: dict[str, Any]) -> None:
        """Writes the next version; a route of its own shows it in force."""
        self.version += 1
        value = platform_fleet.configuration(self.version, **changes)
        value["routes"].append(
            {
                **value["routes"][-1],
                "name": f"v{self.version}",
                "prefix": f"/v{self.version}/",
            }
        )
        await self.store.write(platform_const.KEY_CONFIGURATION, value)
        self.seen.versions.append((self.version, time.monotonic()))

    def now(self) -> float:
        """Returns the time on the clock of all observations."""
        return time.monotonic()

    async def remove_entry(self, name: str) -> None:
        """Takes a replica's entry away, as its end does in time."""
        await self._park.publish(name, None)

    async def end_replica(self, name: str, crash: bool) -> None:
        """Ends a replica; a crash is not announced."""
        if crash:
            self.seen.lost[name] = self.now()
        near = self.proxies.pop(name)
        await near.close()
        standin = self.replicas.pop(name)
        self._gone.append(standin)
        await standin.close()

    def gather(self) -> None:
        """Takes what the replicas saw since the last time."""
        for standin in [*self.replicas.values(), *self._gone]:
            runs, refused, orders = self._counted.get(standin.name, (0, 0, 0))
            for run in standin.runs[runs:]:
                self.seen.arrivals.append(
                    observations.Arrival(
                        run.began,
                        run.request_id,
                        standin.name,
                        run.customer,
                        run.scope,
                        run.weights,
                        run.continued,
                    )
                )
            for at, request_id, customer in standin.refused[refused:]:
                self.seen.arrivals.append(
                    observations.Arrival(
                        at, request_id, standin.name, customer, runs=False
                    )
                )
            for holder, fencing, version in standin.orders[orders:]:
                self.seen.orders.append(
                    observations.Order(
                        time.monotonic(),
                        standin.name,
                        holder,
                        fencing,
                        version,
                    )
                )
            self._counted[standin.name] = (
                len(standin.runs),
                len(standin.refused),
                len(standin.orders),
            )

    async def close(self) -> None:
        """Ends everything that was started here."""
        for router in self.routers:
            if router.running:
                router.send(signal.SIGCONT)
                router.send(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
        for near in self.proxies.values():
            await near.close()
        for standin in self.replicas.values():
            await standin.close()
        await self.store.close()
        self.subnet.close()
