"""Messages and memory of the quarantine in a large fleet."""

import asyncio
import collections
import random
import tracemalloc

from bergamotmill.control import quarantine
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import request_fingerprint
from bergamotmill.storage.memory import coordinator as memory_store
from bergamotmill.util import clock as clocks
from bergamotmill.util import memory_network
from bergamotmill.util import tasks as background

KEY_PREFIX = "quarantine/"
# Names of models, customers and replicas as long as those of a deployment.
MODEL = "daka510000"
CUSTOMER = "sese880"
# Time in which evidence and entries reach all routers.
SETTLE_S = 2.0
MAINTENANCE_S = 10.0
CRASHES_PER_CAUSE = 2


class FleetBench:
    """The quarantines of many routers, without anything else of them."""

    def __init__(self, routers: int, causes: int, seed: int = 1):
        """Makes a fleet.

        Args:
            routers: number of routers.
            causes: number of parts, and of requests, that crash replicas.
            seed: seed of what is drawn.
        """
        self._rng = random.Random(seed)
        self._names = [f"front-{index}" for index in range(routers)]
        self._causes = causes
        self._received: collections.Counter[str] = collections.Counter()
        self._bytes_sent = 0
        self._crash_count = 0
        self._tasks = background.Tasks()
        self._store = memory_store.MemoryStore()
        self._quarantines: dict[str, quarantine.Quarantine] = {}

    def run(self) -> dict[str, float]:
        """Returns the figures, by name."""
        network = memory_network.MemoryNetwork(self._rng)
        return memory_network.run(network, self._measure())

    async def _measure(self) -> dict[str, float]:
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for name in self._names:
            self._quarantines[name] = self._make_quarantine(name)
        for number in range(self._causes):
            await self._crash(self._part(number))
            await self._crash(self._request(number))
        await asyncio.sleep(SETTLE_S)
        evidence_bytes = self._bytes_sent
        most_received = max(self._received.values())
        entries = [len(item.entries) for item in self._quarantines.values()]
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self._bytes_sent = 0
        runs = [
            self._tasks.spawn(item.run()) for item in self._quarantines.values()
        ]
        await asyncio.sleep(MAINTENANCE_S)
        for run in runs:
            run.cancel()
        for item in self._quarantines.values():
            await item.close()
        await self._tasks.close()
        count = len(self._names)
        return {
            "fleet_entries_fewest": min(entries),
            "fleet_kb_per_crash": evidence_bytes / self._crash_count / 1e3,
            "fleet_received_per_crash": most_received / self._crash_count,
            "fleet_gossip_kb_per_s": self._bytes_sent
            / count
            / MAINTENANCE_S
            / 1e3,
            "fleet_mb_per_router": (after - before) / count / 1e6,
            "fleet_store_writes": self._store.writes,
        }

    def _make_quarantine(self, name: str) -> quarantine.Quarantine:
        links = quarantine.QuarantineLinks(
            name,
            self._send,
            lambda: [other for other in self._names if other != name],
            self._store,
            KEY_PREFIX,
            lambda key: 0,
            lambda: False,
        )
        return quarantine.Quarantine(
            links, clocks.LoopClock(), random.Random(self._rng.random())
        )

    def _send(self, name: str, request: peer_pb2.NotifyRequest) -> None:
        self._bytes_sent += request.ByteSize()
        self._received[name] += 1
        receiver = self._quarantines[name]
        for report in request.crashes:
            receiver.on_crash_report(report)
        for report in request.answers:
            receiver.on_answers_report(report)
        for notice in request.quarantine:
            receiver.on_notice(notice)

    def _part(self, number: int) -> prompt_quarantine.Prompt:
        return prompt_quarantine.make_prompt(
            MODEL, (f"{number:08x}",), f"{CUSTOMER}-{number}"
        )

    def _request(self, number: int) -> prompt_quarantine.Prompt:
        name = request_fingerprint.fingerprint((str(number),))
        return prompt_quarantine.make_prompt(
            "", (), f"{CUSTOMER}-{number}", (name,)
        )

    async def _crash(self, prompt: prompt_quarantine.Prompt) -> None:
        """Has replicas end under a prompt, each at a random router."""
        for _ in range(CRASHES_PER_CAUSE):
            self._crash_count += 1
            crash = prompt_quarantine.Crash(
                f"i-{self._crash_count:010x}", self._crash_count
            )
            router = self._rng.choice(self._names)
            await self._quarantines[router].note_loss(
                prompt, quarantine.LostAttempt(crash, None, _has_ended)
            )


async def _has_ended() -> bool:
    return True
