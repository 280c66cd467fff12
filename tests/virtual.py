"""Test cases with a virtual clock and an in-memory network."""

import asyncio
import random
import unittest

from bergamotmill.standin import caller
from bergamotmill.standin import cluster
from bergamotmill.util import memory_network


class VirtualCase(unittest.TestCase):
    """Runs each coroutine on a virtual event loop of its own."""

    def setUp(self):
        self.network = memory_network.MemoryNetwork(random.Random(1))

    def run_virtual(self, coroutine):
        return memory_network.run(self.network, coroutine)


class ClusterCase(VirtualCase):
    """Runs a coroutine against a small cluster."""

    def run_cluster(self, scenario, sizes=None):
        async def main():
            self.cluster = cluster.Cluster(
                self.network, random.Random(2), sizes or cluster.Sizes()
            )
            await self.cluster.start()
            addresses = [
                f"{cluster.router_host(index)}:80"
                for index in range(self.cluster.sizes.routers)
            ]
            self.caller = caller.Caller("key-of-one", addresses)
            self.other = caller.Caller("key-of-two", addresses)
            try:
                await scenario()
            finally:
                self.caller.close()
                self.other.close()
                await self.cluster.close()

        self.run_virtual(main())

    def chat(self, tokens=24, prompt="x" * 18_000, **more):
        return {
            "model": "drafter",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
            **more,
        }

    def assert_complete(self, response, tokens=24):
        expected_text = " ".join(f"t{index}" for index in range(tokens))
        self.assertTrue(response.whole, response.error)
        self.assertEqual(response.text.strip(), expected_text)

    def runs(self):
        runs = []
        for standin in self.cluster.services.values():
            runs += standin.runs
        return runs

    def count(self, name):
        return sum(
            router.metrics.counts.get(name, 0)
            for router in self.cluster.routers.values()
        )

    def now(self):
        return asyncio.get_running_loop().time()
