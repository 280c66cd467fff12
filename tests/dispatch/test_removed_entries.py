"""Replicas that leave without a word: only their entries are removed."""

import asyncio
import unittest

from bergamotmill.dispatch import readers
from bergamotmill.helpers import http_errors
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store as store_standin
from bergamotmill.util import rendezvous
from tests import platform_case

DRAIN_S = 2.0
# Time in which routers learn of a change, with room for what tests add.
LEARN_S = 1.9
OUTAGE_S = 6.0


class RemovedEntriesTest(platform_case.PlatformCase):
    """DRAIN, issue 44: routers went on using a replica for 2.3 s more.

    They took their own start, a lost call or a report of their reader for an
    outage of the store, in which entries lapse.
    """

    async def assert_dropped_in_time(self, indices, name="s1"):
        """Removes an entry, and asserts when routers stop using its replica."""
        await self.fleet.replicas[name].deregister()
        await asyncio.sleep(LEARN_S)
        self.assert_knows(indices, name, False)
        await self.fleet.replicas[name].register()
        await asyncio.sleep(LEARN_S)
        self.assert_knows(indices, name, True)

    def assert_knows(self, indices, name, expected):
        for index in indices:
            known = name in self.fleet.routers[index].fleet.upstreams.by_name
            self.assertEqual(known, expected, f"vm-{index} {name}")

    def test_after_a_start_of_routers(self):
        async def scenario():
            for restarted in ((0, 1, 2, 3), range(7)):
                for index in restarted:
                    await self.fleet.crash_router(index)
                for index in restarted:
                    await self.fleet.start_router(index)
                for delay_s in (1.1, 0.0):
                    await asyncio.sleep(delay_s)
                    await self.assert_dropped_in_time(range(7))

        self.run_fleet(scenario, routers=7, data_centres=4)

    def test_after_the_reader_has_lost_the_store(self):
        async def scenario():
            self.network.heal()
            await asyncio.sleep(5.0)
            names = {f"vm-{index}" for index in self.fleet.routers}
            (first,) = rendezvous.top(readers.RENDEZVOUS_KEY, names, 1)
            lost = int(first[3:])
            if self.way == "silence":
                self.network.partition(
                    fleet.STORE_HOST, fleet.router_host(lost)
                )
            else:
                self.fleet.routers[lost]._store._send = refuse
            await asyncio.sleep(self.delay_s)
            others = [index for index in self.fleet.routers if index != lost]
            await self.assert_dropped_in_time(others)

        for self.way in ("silence", "refusal"):
            for routers, self.delay_s in ((8, 1.0), (12, 1.6), (16, 2.0)):
                with self.subTest(self.way, n=routers, after=self.delay_s):
                    self.run_fleet(
                        scenario, routers=routers, data_centres=1, engines=1
                    )

    def test_after_a_call_of_ones_own_was_lost(self):
        async def scenario():
            store = self.fleet.routers[0]._store
            send = store._send
            store._send = refuse
            await asyncio.sleep(2.0)
            store._send = send
            await asyncio.sleep(0.5)
            await self.assert_dropped_in_time([0])

        self.run_fleet(scenario)

    # A router that was cut off from the store learns from others that the store
    # was there all the time.
    def test_after_a_router_was_cut_off(self):
        async def scenario():
            self.fleet.routers[0]._store._send, send = (
                refuse,
                self.fleet.routers[0]._store._send,
            )
            await asyncio.sleep(OUTAGE_S)
            self.fleet.routers[0]._store._send = send
            await asyncio.sleep(1.5)
            await self.assert_dropped_in_time([0])

        self.run_fleet(scenario)


class StoreOutageTest(platform_case.PlatformCase):
    """Entries lapse while the store is away, and are written again later."""

    async def lapse(self, names=("s0", "s1")):
        """Has the store away for a time in which entries lapse."""
        self.fleet.store.mode = store_standin.Mode.RESET
        await asyncio.sleep(OUTAGE_S)
        for name in names:
            await self.fleet.replicas[name].deregister()
        self.fleet.store.mode = store_standin.Mode.SERVING

    async def assert_served(self, indices):
        answers = await asyncio.gather(
            *(self.fleet.call("lookup", router=index) for index in indices)
        )
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_replicas_stay_in_use_until_their_entries_are_back(self):
        async def scenario():
            await asyncio.sleep(4.0)
            await self.lapse()
            back_at = self.now()
            while self.now() < back_at + 1.8:
                await self.assert_served(list(self.fleet.routers)[:6])
                await asyncio.sleep(0.2)
            await self.fleet.replicas["s0"].register()
            await asyncio.sleep(3.0)
            for router in self.fleet.routers.values():
                names = router.fleet.upstreams.by_name
                self.assertIn("s0", names)
                self.assertNotIn("s1", names)

        for sizes in (
            {"routers": 3},
            {"routers": 16, "data_centres": 1, "engines": 1},
        ):
            with self.subTest(**sizes):
                self.run_fleet(scenario, **sizes)

    def test_router_that_started_while_the_store_was_away(self):
        async def scenario():
            self.fleet.store.mode = store_standin.Mode.RESET
            await asyncio.sleep(OUTAGE_S)
            await self.fleet.crash_router(0)
            await self.fleet.start_router(0)
            await asyncio.sleep(1.0)
            known = self.fleet.routers[0].fleet.upstreams.by_name
            self.assertIn("s0", known)
            for name in ("s0", "s1"):
                await self.fleet.replicas[name].deregister()
            self.fleet.store.mode = store_standin.Mode.SERVING
            await asyncio.sleep(1.5)
            await self.assert_served([0])

        self.run_fleet(scenario)


async def refuse(*arguments):
    """Fails a call to the store as a connection does that is reset."""
    del arguments
    await asyncio.sleep(0.002)
    raise http_errors.HttpError("reset")


if __name__ == "__main__":
    unittest.main()
