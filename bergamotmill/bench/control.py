"""`bench control`: per-router cost of membership and release distribution.

Runs the real membership and distribution code over an in-memory network on a
virtual clock. The cost of a gRPC call is measured separately, on loopback.
"""

import argparse
import asyncio
import gc
import json
import random
import time
import tracemalloc
from typing import Any

import grpc

from bergamotmill import core
from bergamotmill.bench import figures
from bergamotmill.control import distribution as release_distribution
from bergamotmill.control import members as fleet_members
from bergamotmill.control import membership as fleet_membership
from bergamotmill.control import notes
from bergamotmill.control import peers as peer_links
from bergamotmill.control import release_store
from bergamotmill.proto import peer_pb2
from bergamotmill.standin import peer_bus
from bergamotmill.storage.memory import coordinator as memory_store
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.storage.vm_list import const as vm_const
from bergamotmill.util import ids as id_source
from bergamotmill.util import memory_network

FULL_FLEET_ROUTERS = 3400
FULL_FLEET_DATA_CENTRES = 19
CHANGES_PER_DAY = 9100
CUSTOMERS = 41_000
# Upper bounds; all but in_force_s apply to each router.
TARGETS = {
    "in_force_s": 4.0,
    "core_share": 0.024,
    "memory_mb": 32.0,
    "bytes_per_s": 3000.0,
}
ALIVE = fleet_members.MemberState.ALIVE


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--routers", default="20,60,180,360")
    parser.add_argument("--releases", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--kill-reader", action="store_true")
    parser.add_argument("--customers", type=int, default=CUSTOMERS)


class _Node:
    """Membership and release distribution of one router."""

    def __init__(self, index: int, fleet: "_Fleet"):
        self.name = f"vm-{index}"
        self.host = f"10.1.{index // 250}.{index % 250}"
        self.data_centre = f"dc-{index % fleet.data_centres}"
        rng = random.Random(f"{fleet.seed}/{index}")
        own = fleet_members.Member(
            self.name,
            1,
            ALIVE,
            0,
            f"{self.host}:90",
            f"{self.host}:80",
            self.data_centre,
        )
        peers = fleet.bus.make_peers("", self._peer_address)
        now = asyncio.get_running_loop().time
        self.membership = fleet_membership.Membership(
            own, peers, rng, now, self._release_number
        )
        self.releases = release_store.ReleaseStore(
            fleet.store, "/bench", now, id_source.IdSource(rng)
        )
        self.distribution = release_distribution.Distribution(
            self.releases, fleet.store, self.membership, peers, rng, now, now
        )
        self.server = fleet.bus.make_server(
            f"{self.host}:90",
            "",
            {
                "Ping": self.membership.on_ping,
                "Push": self.distribution.on_push,
                "Pull": self.distribution.on_pull,
            },
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _peer_address(self, name: str) -> str:
        return self.membership.peer_address(name)

    def _release_number(self) -> int:
        return self.distribution.number

    async def start(self) -> None:
        await self.server.start()
        for run_loop in (
            self.membership.run,
            self.distribution.run_bootstrap,
            self.distribution.run_reader,
            self.distribution.run_puller,
        ):
            self._tasks.append(asyncio.create_task(run_loop()))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self.server.close()
        await self.distribution.close()


class _Fleet:
    """All routers of one run and the network that connects them."""

    def __init__(self, routers: int, arguments: argparse.Namespace, network):
        self.seed = arguments.seed
        # As many routers per data centre as in the full fleet.
        self.data_centres = max(
            1, round(routers * FULL_FLEET_DATA_CENTRES / FULL_FLEET_ROUTERS)
        )
        self.bus = peer_bus.PeerBus(network, random.Random(arguments.seed))
        self.store = memory_store.MemoryStore()
        self.nodes = [_Node(index, self) for index in range(routers)]
        self._network = network

    async def start(self) -> None:
        vms = [
            vm_config.Vm(
                node.name,
                vm_const.ROLE_ROUTER,
                vm_const.STATE_LIVE,
                node.data_centre,
                front=f"{node.host}:80",
                peer=f"{node.host}:90",
            )
            for node in self.nodes
        ]
        for node in self.nodes:
            token = memory_network.CURRENT_HOST.set(node.host)
            node.membership.apply_vm_list(vms)
            await node.start()
            memory_network.CURRENT_HOST.reset(token)

    async def publish(self, node: _Node, number: int) -> float:
        """Publishes a change and returns the time at which it was accepted."""
        draft = notes.Draft(
            f"change {number}",
            {core.KIND_CUSTOMERS: {f"new-{number}": {"share": 1.0}}},
            {},
            {},
        )
        published = await node.releases.publish(
            node.distribution.configuration, draft, "bench", "note"
        )
        node.distribution.apply_published(published.unwrap())
        return asyncio.get_running_loop().time()

    def kill(self, node: _Node) -> None:
        """Stops a node without a graceful shutdown."""
        self._network.kill(node.host)
        self.bus.stop_listening(f"{node.host}:90")


async def _measure_fleet(
    routers: int, arguments: argparse.Namespace, network
) -> dict[str, Any]:
    fleet = _Fleet(routers, arguments, network)
    await fleet.start()
    await asyncio.sleep(30.0 + routers / 4)
    await _measure_propagation_s(fleet, 1, False)
    await asyncio.sleep(20.0)
    fleet.bus.loss_rate = arguments.loss
    idle_figures = await _measure_idle(fleet, routers)
    propagation_s = []
    for number in range(2, arguments.releases + 2):
        propagation_s.append(
            await _measure_propagation_s(fleet, number, arguments.kill_reader)
        )
    await asyncio.gather(*(node.close() for node in fleet.nodes))
    return {
        "routers": routers,
        "in_force_median_s": figures.percentile(propagation_s, 50),
        "in_force_worst_s": max(propagation_s),
        **idle_figures,
    }


async def _measure_idle(fleet: _Fleet, routers: int) -> dict[str, float]:
    """Measures traffic and processor time for 30 s without any change."""
    duration_s = 30.0
    before = (
        sum(fleet.bus.bytes_by_host.values()),
        sum(fleet.bus.calls_by_method.values()),
    )
    reads, cpu_before_s = fleet.store.reads, time.process_time()
    await asyncio.sleep(duration_s)
    cpu_s = time.process_time() - cpu_before_s
    router_seconds = routers * duration_s
    calls = sum(fleet.bus.calls_by_method.values()) - before[1]
    return {
        "bytes_per_s": (sum(fleet.bus.bytes_by_host.values()) - before[0])
        / router_seconds,
        "calls_per_s": calls / router_seconds,
        "cpu_us_per_call": cpu_s / max(1, calls) * 1e6,
        "key_value_reads_per_s": (fleet.store.reads - reads) / duration_s,
    }


async def _measure_propagation_s(
    fleet: _Fleet, number: int, kill: bool
) -> float:
    """Publishes a release; returns seconds until every router applies it.

    Gives up after 60 s. With `kill`, first kills one router that reads the
    store for its data centre, if the fleet has more than four routers.
    """
    alive = list(fleet.nodes)
    if kill:
        readers = [node for node in alive if node.distribution.is_reader]
        if len(alive) > 4 and readers:
            fleet.kill(readers[0])
            alive.remove(readers[0])
            fleet.nodes.remove(readers[0])
    accepted_at = await fleet.publish(alive[number % len(alive)], number)
    while any(node.distribution.number < number for node in alive):
        await asyncio.sleep(0.02)
        if asyncio.get_running_loop().time() - accepted_at > 60.0:
            break
    propagation_s = asyncio.get_running_loop().time() - accepted_at
    await asyncio.sleep(3.0)
    return propagation_s


def _measure_grpc_call_us(calls: int = 600) -> float:
    """Returns processor microseconds per call, client and server together."""

    async def measure() -> float:
        async def answer_ping(request):
            return peer_pb2.PingReply(release_number=request.release_number)

        handlers = dict.fromkeys(peer_links.METHODS, answer_ping)
        server = peer_links.GrpcPeerServer("127.0.0.1:18777", "key", handlers)
        await server.start()
        peers = peer_links.GrpcPeerClient("key", lambda name: "127.0.0.1:18777")
        request = peer_pb2.PingRequest(release_number=7)
        for _ in range(50):
            await peers.call("x", "Ping", request, 1.0)
        cpu_before_s = time.process_time()
        for _ in range(calls):
            await peers.call("x", "Ping", request, 1.0)
        cpu_s = time.process_time() - cpu_before_s
        await peers.close()
        await server.close()
        return cpu_s / calls * 1e6

    return asyncio.run(measure())


def _measure_configuration(customers: int) -> dict[str, float]:
    """Measures the memory of a large configuration and the cost of a change."""
    gc.collect()
    tracemalloc.start()
    raw = {
        core.KIND_CUSTOMERS: {
            f"customer-{index}": core.canonical_json(
                {
                    "key_digests": [core.key_digest(str(index))],
                    "default_class": "review",
                    "limits": {"review": 10, "check": 50},
                }
            )
            for index in range(customers)
        }
    }
    configuration = core.Configuration(1, "x", raw)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    note = notes.Note(
        2,
        "x",
        "bench",
        0.0,
        "operation",
        notes.Draft(
            "t",
            {},
            {core.KIND_CUSTOMERS: {"customer-1": {"share": 2.0}}},
            {},
        ),
    )
    started = time.perf_counter()
    for _ in range(10):
        notes.apply(configuration, note).unwrap()
    change_s = (time.perf_counter() - started) / 10
    return {
        "customers": customers,
        "memory_mb": traced_bytes / 1e6,
        "change_ms": change_s * 1000,
        "changes_core_share": change_s * CHANGES_PER_DAY / 86400,
    }


def _measure_membership_mb(routers: int) -> float:
    """Returns the megabytes of one membership that lists the whole fleet."""
    gc.collect()
    tracemalloc.start()
    own = fleet_members.Member("vm-0", 1, ALIVE, 0, "a:1", "a:2", "dc")
    membership = fleet_membership.Membership(
        own, None, random.Random(1), time.monotonic, lambda: 0
    )
    membership.apply_vm_list(
        vm_config.Vm(
            f"vm-{index}",
            vm_const.ROLE_ROUTER,
            vm_const.STATE_LIVE,
            f"dc-{index % FULL_FLEET_DATA_CENTRES}",
            front=f"10.0.{index // 250}.{index % 250}:80",
            peer=f"10.0.{index // 250}.{index % 250}:90",
        )
        for index in range(routers)
    )
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes / 1e6


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures each fleet size and the costs that do not depend on it."""
    grpc.aio.init_grpc_aio()
    rows = []
    for routers in map(int, arguments.routers.split(",")):
        network = memory_network.MemoryNetwork(random.Random(arguments.seed))
        rows.append(
            memory_network.run(
                network, _measure_fleet(routers, arguments, network)
            )
        )
    call_us = _measure_grpc_call_us()
    configuration = _measure_configuration(arguments.customers)
    largest = rows[-1]
    return {
        "rows": rows,
        "grpc_call_us": call_us,
        "configuration": configuration,
        "membership_mb": {
            str(size): _measure_membership_mb(size) for size in (340, 3400)
        },
        "at_largest": {
            # call_us is the time of client and server together. A router
            # answers about as many calls as it makes, so each call that it
            # makes stands for one client side and one server side.
            "core_share": largest["calls_per_s"] * call_us / 1e6
            + configuration["changes_core_share"],
            "bytes_per_s": largest["bytes_per_s"],
        },
        "targets": TARGETS,
    }


def show(result: dict[str, Any]) -> None:
    """Prints the figures."""
    for row in result["rows"]:
        cells = (
            f"{key} {value:.3f}" if isinstance(value, float) else f"{value:5d}"
            for key, value in row.items()
        )
        print("  ".join(cells))
    for key in (
        "grpc_call_us",
        "configuration",
        "membership_mb",
        "at_largest",
        "targets",
    ):
        print(f"{key}: {json.dumps(result[key])}")
