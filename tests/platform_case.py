"""Test case that runs routers against a stand-in of the platform."""

import asyncio
import random

from bergamotmill.standin.platform import fleet
from tests import virtual


class PlatformCase(virtual.VirtualCase):
    """Runs a coroutine against a small fleet on a virtual clock."""

    def run_fleet(self, scenario, seed=3, **sizes):
        async def main():
            self.fleet = fleet.PlatformFleet(
                self.network, random.Random(seed), fleet.Sizes(**sizes)
            )
            await self.fleet.start()
            try:
                await scenario()
            finally:
                await self.fleet.close()

        self.run_virtual(main())

    async def call_concurrently(self, count, route, **fields):
        """Sends requests concurrently, to the routers in turn."""
        routers = sorted(self.fleet.routers)
        return await asyncio.gather(
            *(
                self.fleet.call(
                    route, router=routers[index % len(routers)], **fields
                )
                for index in range(count)
            )
        )

    def now(self):
        return asyncio.get_running_loop().time()

    def assert_complete_stream(self, answer, output=20):
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.events(), list(range(1, output + 1)))

    def assert_at_most_once(self):
        """Asserts that no request ran more than once."""
        seen_ids = set()
        for run in self.fleet.runs():
            self.assertNotIn(run.request_id, seen_ids)
            seen_ids.add(run.request_id)
