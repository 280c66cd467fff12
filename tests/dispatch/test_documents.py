import asyncio
import random
import unittest

from bergamotmill.dispatch import documents
from bergamotmill.dispatch import fleet
from bergamotmill.platform import const as platform_const
from bergamotmill.platform import documents as platform_documents
from bergamotmill.storage.memory import coordinator
from bergamotmill.util import clock as clocks
from bergamotmill.util import virtual_loop

WEIGHTS_KEY = platform_const.PREFIX_WEIGHTS + "m"


class SuspendedClock(clocks.LoopClock):
    """A clock whose `boottime` alone includes suspensions of the process."""

    def __init__(self):
        super().__init__()
        self.suspended_s = 0.0

    def boottime(self):
        return self.monotonic() + self.suspended_s


class AllRoutersRead:
    """A selection in which every router reads the store."""

    def is_reader(self):
        return True

    def publication_timeout_s(self):
        return 0.0

    def watch_wait_s(self):
        return 1.0

    def poll_interval_s(self):
        return 0.0

    def publish_targets(self):
        return ()


class FeedCase(unittest.TestCase):
    def run_feed(self, scenario):
        async def main():
            self.clock = SuspendedClock()
            self.store = coordinator.MemoryStore()
            self.feed = documents.DocumentFeed(
                self.store,
                "",
                None,
                AllRoutersRead(),
                "vm-1",
                self.clock,
                random.Random(1),
            )
            self.fleet = fleet.Fleet(
                self.feed, platform_documents.Decoder(), self.clock
            )
            tasks = [
                asyncio.create_task(self.feed.run()),
                asyncio.create_task(self.feed.run_suspension_detector()),
            ]
            await asyncio.sleep(1.0)
            await scenario()
            for task in tasks:
                task.cancel()

        virtual_loop.run(main())

    async def name_weights(self, version):
        text = f'{{"model": "m", "version": {version}}}'
        await self.store.put(WEIGHTS_KEY, text.encode(), None)


class SupersededAgeTest(FeedCase):
    def test_version_read_at_once_has_no_age(self):
        async def scenario():
            await self.name_weights(2)
            await asyncio.sleep(0.1)
            self.assertLess(self.fleet.superseded_for_s("m", 1), 0.2)

        self.run_feed(scenario)

    def test_version_named_during_suspension_is_as_old_as_the_suspension(self):
        async def scenario():
            await self.name_weights(2)
            self.clock.suspended_s += 3.0
            await asyncio.sleep(0.1)
            self.assertGreater(self.fleet.superseded_for_s("m", 1), 3.0)

        self.run_feed(scenario)

    def test_version_read_soon_after_suspension_counts_from_its_start(self):
        async def scenario():
            self.clock.suspended_s += 3.0
            await asyncio.sleep(1.0)
            await self.name_weights(2)
            await asyncio.sleep(0.1)
            self.assertGreater(self.fleet.superseded_for_s("m", 1), 4.0)

        self.run_feed(scenario)

    def test_later_suspension_adds_to_the_age(self):
        async def scenario():
            await self.name_weights(2)
            await asyncio.sleep(2.0)
            self.clock.suspended_s += 5.0
            self.assertGreater(self.fleet.superseded_for_s("m", 1), 6.9)

        self.run_feed(scenario)

    def test_age_counts_from_the_first_newer_version(self):
        async def scenario():
            await self.name_weights(2)
            await asyncio.sleep(3.0)
            await self.name_weights(3)
            await asyncio.sleep(0.5)
            self.assertGreater(self.fleet.superseded_for_s("m", 1), 3.0)
            self.assertLess(self.fleet.superseded_for_s("m", 2), 1.0)
            self.assertEqual(self.fleet.superseded_for_s("m", 3), 0.0)

        self.run_feed(scenario)


if __name__ == "__main__":
    unittest.main()
