"""A fleet in which only a few routers of a data centre read the store."""

import asyncio
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store as store_standin
from tests import platform_case

ROUTERS = 16


class ReadersTest(platform_case.PlatformCase):
    def run_large(self, scenario):
        async def settled():
            await asyncio.sleep(4.0)
            await scenario()

        self.run_fleet(settled, routers=ROUTERS)

    def readers(self):
        return [
            index
            for index, router in self.fleet.routers.items()
            if router.feed._store_readers.is_reader()
        ]

    def versions(self):
        return {r.fleet.catalog.version for r in self.fleet.routers.values()}

    async def configure(self, version):
        await self.fleet.store.write(
            const.KEY_CONFIGURATION, fleet.configuration(version)
        )

    def test_two_of_each_data_centre_read(self):
        async def scenario():
            self.assertEqual(len(self.readers()), 4)

        self.run_large(scenario)

    def test_a_change_reaches_those_that_do_not_read(self):
        async def scenario():
            await self.configure(2)
            await asyncio.sleep(0.2)
            self.assertEqual(self.versions(), {2})

        self.run_large(scenario)

    def test_waiting_calls_are_made_by_readers_only(self):
        async def scenario():
            await asyncio.sleep(16.0)
            before = self.fleet.store.calls[const.PATH_WATCH]
            for version in range(2, 12):
                await self.configure(version)
                await asyncio.sleep(0.1)
            made = self.fleet.store.calls[const.PATH_WATCH] - before
            self.assertLessEqual(made, 11 * 4)

        self.run_large(scenario)

    def test_in_a_small_data_centre_all_read(self):
        async def scenario():
            await asyncio.sleep(4.0)
            self.assertEqual(len(self.readers()), 7)

        self.run_fleet(scenario, routers=7)

    def test_a_change_is_in_force_in_time_though_all_readers_died(self):
        async def scenario():
            for index in self.readers():
                await self.fleet.crash_router(index)
            await self.configure(2)
            await asyncio.sleep(2.0)
            self.assertEqual(self.versions(), {2})

        self.run_large(scenario)

    def test_the_next_ones_read_when_readers_die(self):
        async def scenario():
            for index in self.readers()[:3]:
                await self.fleet.crash_router(index)
            await self.configure(2)
            await asyncio.sleep(4.0)
            self.assertEqual(self.versions(), {2})
            await asyncio.sleep(4.0)
            await self.configure(3)
            await asyncio.sleep(0.3)
            self.assertEqual(self.versions(), {3})

        self.run_large(scenario)

    def test_a_lost_word_of_a_reader_is_made_good(self):
        async def scenario():
            for reader in self.readers():
                self.network.cut(
                    fleet.router_host(reader), fleet.router_host(9)
                )
            await self.configure(2)
            await asyncio.sleep(2.0)
            self.assertEqual(self.fleet.routers[9].fleet.catalog.version, 2)

        self.run_large(scenario)

    def test_an_outage_is_known_to_those_that_do_not_read(self):
        async def scenario():
            others = set(self.fleet.routers) - set(self.readers())
            self.fleet.store.mode = store_standin.Mode.RESET
            await asyncio.sleep(6.0)
            for index in others:
                self.assertTrue(
                    self.fleet.routers[index].feed.recently_unavailable()
                )

        self.run_large(scenario)


if __name__ == "__main__":
    unittest.main()
