"""How long routers that are off stay named, and what finding them costs.

Runs the real membership and liveness code of many routers over an in-memory
network on a virtual clock, without anything else of them.
"""

import argparse
import asyncio
import json
import random
import time
from typing import Any

from bergamotmill.bench import figures
from bergamotmill.control import liveness
from bergamotmill.control import members as fleet_members
from bergamotmill.control import membership as fleet_membership
from bergamotmill.proto import peer_pb2
from bergamotmill.standin import peer_bus
from bergamotmill.util import memory_network
from bergamotmill.util import tasks as background

# Headers of IP and UDP, and the authentication code.
DATAGRAM_OVERHEAD_BYTES = 44
SETTLE_S = 8.0
IDLE_S = 5.0
PLAY_S = 8.0
PERIOD_S = 0.1
# In a larger fleet only this many routers are asked whom they name.
MAX_ASKED = 200
FAULTS = ("one", "data_centre", "fifth", "half")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--routers", type=int, default=24)
    parser.add_argument("--data-centres", type=int, default=4)
    parser.add_argument("--fault", choices=FAULTS, default="one")
    parser.add_argument("--draws", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.0)


class _Node:
    """Membership and liveness of one router."""

    def __init__(self, index: int, fleet: "_Fleet"):
        self.name = f"front-dc-{index}"
        self.host = f"10.1.{index // 250}.{index % 250}"
        rng = random.Random(f"{fleet.seed}/{index}")
        self.member = fleet_members.Member(
            self.name,
            1,
            fleet_members.MemberState.ALIVE,
            0,
            f"{self.host}:90",
            f"{self.host}:80",
            f"dc-{index % fleet.data_centres}",
        )
        now = asyncio.get_running_loop().time
        self.membership = fleet_membership.Membership(
            self.member,
            fleet.bus.make_peers("", self._address),
            rng,
            now,
            lambda: 0,
        )
        self.liveness = liveness.LivenessMonitor(
            self.membership, liveness.Links(self._send), rng, now
        )
        self._fleet = fleet
        self._server = fleet.bus.make_server(
            f"{self.host}:90", "", {"Ping": self.membership.on_ping}
        )
        self._tasks = background.Tasks()

    def _address(self, name: str) -> str:
        return self.membership.peer_address(name)

    def _send(self, name: str, message: peer_pb2.NotifyRequest) -> None:
        self._fleet.send(self, name, message)

    def receive(self, data: bytes) -> None:
        message = peer_pb2.NotifyRequest.FromString(data)
        for check in message.checks:
            self.liveness.on_check(check)
        for notice in message.members:
            self.liveness.on_members(notice)

    async def start(self) -> None:
        await self._server.start()
        self._tasks.spawn(self.membership.run())
        self._tasks.spawn(self.liveness.run())

    async def close(self) -> None:
        await self._tasks.close()
        await self.liveness.close()
        await self._server.close()

    def names(self) -> set[str]:
        return {member.name for member in self.liveness.named()}


class _Fleet:
    """All routers of one draw."""

    def __init__(self, arguments: argparse.Namespace, seed: int, network):
        self.seed = seed
        self.rng = random.Random(seed)
        self.data_centres = arguments.data_centres
        self.bus = peer_bus.PeerBus(network, random.Random(seed))
        self.network = network
        self.loss = arguments.loss
        self.bus.loss_rate = arguments.loss
        self.datagrams = 0
        self.datagram_bytes = 0
        self.nodes = {
            node.name: node
            for node in (
                _Node(index, self) for index in range(arguments.routers)
            )
        }
        self.off: set[str] = set()

    async def start(self) -> None:
        """Starts all routers, which know each other."""
        for node in self.nodes.values():
            for other in self.nodes.values():
                if other is not node:
                    node.membership.merge(other.member, "", spread=False)
            token = memory_network.CURRENT_HOST.set(node.host)
            await node.start()
            memory_network.CURRENT_HOST.reset(token)

    def send(
        self, sender: _Node, name: str, message: peer_pb2.NotifyRequest
    ) -> None:
        data = message.SerializeToString()
        self.datagrams += 1
        self.datagram_bytes += len(data) + DATAGRAM_OVERHEAD_BYTES
        receiver = self.nodes.get(name)
        if receiver is None or self.rng.random() < self.loss:
            return
        if self.network.connected(sender.host, receiver.host):
            asyncio.get_running_loop().call_later(
                self.network.delay(sender.host, receiver.host),
                self._deliver,
                receiver,
                data,
            )

    def _deliver(self, receiver: _Node, data: bytes) -> None:
        if receiver.name in self.off:
            return
        token = memory_network.CURRENT_HOST.set(receiver.host)
        receiver.receive(data)
        memory_network.CURRENT_HOST.reset(token)

    async def end(self, names: list[str]) -> None:
        """Ends routers at once."""
        self.off.update(names)
        for name in names:
            node = self.nodes[name]
            self.network.kill(node.host)
            self.bus.stop_listening(f"{node.host}:90")
            await node.close()


def _select(fleet: _Fleet, fault: str) -> list[str]:
    nodes = list(fleet.nodes.values())
    first = fleet.rng.choice(nodes)
    if fault == "one":
        return [first.name]
    if fault == "data_centre":
        data_centre = first.member.data_centre
        return [n.name for n in nodes if n.member.data_centre == data_centre]
    count = len(nodes) // (5 if fault == "fifth" else 2)
    return [node.name for node in fleet.rng.sample(nodes, count)]


async def _play(arguments, seed: int, network) -> dict[str, float]:
    fleet = _Fleet(arguments, seed, network)
    await fleet.start()
    await asyncio.sleep(SETTLE_S + fleet.rng.random())
    before = (
        fleet.datagrams,
        fleet.datagram_bytes,
        sum(fleet.bus.calls_by_method.values()),
        sum(fleet.bus.bytes_by_host.values()),
    )
    cpu_before_s = time.process_time()
    await asyncio.sleep(IDLE_S)
    cpu_s = time.process_time() - cpu_before_s
    calls = sum(fleet.bus.calls_by_method.values()) - before[2]
    # The bus counts the bytes of a call at both ends.
    call_bytes = (sum(fleet.bus.bytes_by_host.values()) - before[3]) / 2
    router_seconds = len(fleet.nodes) * IDLE_S
    idle = {
        "datagrams_per_s": (fleet.datagrams - before[0]) / router_seconds,
        "calls_per_s": calls / router_seconds,
        "bytes_sent_per_s": (fleet.datagram_bytes - before[1] + call_bytes)
        / router_seconds,
        "core_share": cpu_s / router_seconds,
    }
    ended = _select(fleet, arguments.fault)
    ended_at = asyncio.get_running_loop().time()
    await fleet.end(ended)
    sound = [n for name, n in fleet.nodes.items() if name not in fleet.off]
    asked = fleet.rng.sample(sound, min(MAX_ASKED, len(sound)))
    named_until: dict[str, float] = dict.fromkeys(ended, 0.0)
    missing = 0
    while (elapsed_s := asyncio.get_running_loop().time() - ended_at) < PLAY_S:
        await asyncio.sleep(PERIOD_S)
        for node in asked:
            named = node.names()
            for name in named & fleet.off:
                named_until[name] = max(named_until[name], elapsed_s)
            missing += len(sound) - len(named - fleet.off)
    await asyncio.gather(*(node.close() for node in sound))
    return {
        **idle,
        "named_for_s": max(named_until.values()),
        "sound_missing": missing,
    }


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Plays all draws and returns the figures."""
    plays = []
    for draw in range(arguments.draws):
        seed = arguments.seed + draw
        network = memory_network.MemoryNetwork(random.Random(seed))
        plays.append(
            memory_network.run(network, _play(arguments, seed, network))
        )
    named_for_s = [play["named_for_s"] for play in plays]
    return {
        "routers": arguments.routers,
        "data_centres": arguments.data_centres,
        "fault": arguments.fault,
        "named_for_median_s": figures.percentile(named_for_s, 50),
        "named_for_worst_s": max(named_for_s),
        "sound_missing": sum(play["sound_missing"] for play in plays),
        **{
            key: figures.percentile([play[key] for play in plays], 50)
            for key in (
                "datagrams_per_s",
                "calls_per_s",
                "bytes_sent_per_s",
                "core_share",
            )
        },
    }


def show(result: dict[str, Any]) -> None:
    """Prints the figures."""
    print(json.dumps(result))
