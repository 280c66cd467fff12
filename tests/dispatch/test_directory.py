"""Whom the directories name while routers end, restart and are cut off."""

import asyncio
import contextlib
import random
import unittest

from bergamotmill.helpers import http_errors
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store as store_standin
from tests import platform_case

# A router counts as undisturbed after a platform that has been at rest for
# three seconds; callers and probes take up to a second more.
BOUND_S = 4.0
PERIOD_S = 0.3
MAX_ADDRESSES = 64
# The only router of the fourth data centre, if there are seven.
ALONE = 3
DRAWS = range(3)


class DirectoryCase(platform_case.PlatformCase):
    """Asks all directories while a scenario disturbs the fleet.

    Attributes:
        off_since: time since which a router has been off, by index.
        disturbed_until: end of the last disturbance of a router, by index.
        faults: answers of undisturbed routers that name a router that has been
            off for too long, or lack one that has been on for as long.
    """

    def play(self, disturb, seconds=12.0, seed=3, **sizes):
        self.faults = []
        self.off_since = {}
        self.disturbed_until = {}

        async def scenario():
            asking = asyncio.create_task(self.ask_all())
            try:
                await asyncio.sleep(self.fleet.rng.random())
                began = self.now()
                await disturb()
                await asyncio.sleep(max(0.0, began + seconds - self.now()))
            finally:
                asking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asking

        sizes = {
            "routers": 7,
            "data_centres": 4,
            "engines": 1,
            "services": 1,
            **sizes,
        }
        self.run_fleet(scenario, seed=seed, **sizes)

    def play_draws(self, disturb, **options):
        for draw in DRAWS:
            with self.subTest(draw=draw):
                self.network = type(self.network)(random.Random(draw))
                self.play(disturb, seed=100 + draw, **options)
                self.assertEqual(self.faults[:4], [])

    async def ask_all(self):
        while True:
            await asyncio.sleep(PERIOD_S)
            for index in sorted(self.fleet.routers):
                if self.is_undisturbed(index) and index in self.fleet.routers:
                    await self.ask(index)

    async def ask(self, index):
        try:
            addresses = await self.fleet.resolve(index)
        except http_errors.HttpError as err:
            if index in self.fleet.routers:
                self.faults.append((index, "fails", repr(err), self.now()))
            return
        self.check(index, addresses)

    def is_undisturbed(self, index):
        # All routers start at time 0.
        disturbed = self.disturbed_until.get(index, 0.0)
        return self.now() - disturbed >= BOUND_S

    def check(self, asked, addresses):
        now = self.now()
        named = {int(a.split(":")[0].split(".")[3]) - 1 for a in addresses}
        for index in named:
            off_s = now - self.off_since.get(index, now)
            if off_s > BOUND_S:
                self.faults.append((asked, "names", index, round(off_s, 2)))
        sound = {
            index
            for index in self.fleet.routers
            if index not in self.off_since and self.is_undisturbed(index)
        }
        if len(sound) <= MAX_ADDRESSES and sound - named:
            self.faults.append((asked, "lacks", sorted(sound - named), now))

    async def end(self, *indices):
        for index in indices:
            self.off_since[index] = self.now()
            await self.fleet.crash_router(index)

    async def start(self, index):
        await self.fleet.start_router(index)
        self.off_since.pop(index, None)
        self.disturbed_until[index] = self.now()

    async def cut(self, index, seconds):
        """Cuts a router off from all others and from the store."""
        self.disturbed_until[index] = float("inf")
        host = fleet.router_host(index)
        others = range(self.fleet.sizes.routers)
        for other in [fleet.router_host(o) for o in others if o != index]:
            self.network.partition(host, other)
        self.network.partition(host, fleet.STORE_HOST)
        await asyncio.sleep(seconds)
        self.network.heal()
        self.disturbed_until[index] = self.now()


class EndedRouterTest(DirectoryCase):
    # DRAIN, issue 38: nobody probed a router alone in its data centre.
    def test_router_alone_in_its_data_centre_is_not_named_for_long(self):
        async def disturb():
            await self.end(ALONE)

        self.play_draws(disturb)

    def test_whole_data_centre_is_not_named_for_long(self):
        async def disturb():
            await self.end(0, 4)
            await asyncio.sleep(0.2)
            await self.end(ALONE)

        self.play_draws(disturb)

    def test_ended_router_is_not_named_for_long_without_the_store(self):
        async def disturb():
            self.fleet.store.mode = store_standin.Mode.SILENT
            await self.end(ALONE)

        self.play_draws(disturb)

    def test_router_that_ends_twice_is_not_named_for_long(self):
        async def disturb():
            await self.end(ALONE)
            await asyncio.sleep(2.0)
            await self.start(ALONE)
            await asyncio.sleep(1.0)
            await self.end(ALONE)

        self.play_draws(disturb)

    def test_replaced_router_is_not_named_for_long(self):
        async def disturb():
            await self.end(ALONE)
            await asyncio.sleep(4.0)
            await self.start(7)
            await self.end(2)

        self.play_draws(disturb)

    def test_ended_router_is_not_named_for_long_if_two_are_cut_apart(self):
        async def disturb():
            self.network.partition(fleet.router_host(1), fleet.router_host(5))
            await self.end(ALONE)

        self.play_draws(disturb)

    def test_ended_router_is_not_named_for_long_in_a_larger_fleet(self):
        async def disturb():
            await self.end(ALONE, 7, 8)

        self.play_draws(disturb, routers=24, seconds=8.0)

    def test_half_of_the_routers_end_at_once(self):
        async def disturb():
            await self.end(*range(0, 24, 2))

        self.play_draws(disturb, routers=24, seconds=8.0)


class SoundRouterTest(DirectoryCase):
    def test_routers_that_were_cut_off_are_named_again(self):
        async def disturb():
            for index in (ALONE, 1, 2):
                await self.cut(index, 3.0)
            await asyncio.sleep(6.0)

        self.play_draws(disturb, seconds=16.0)

    def test_all_are_named_while_the_store_is_busy(self):
        async def disturb():
            self.fleet.store.mode = store_standin.Mode.BUSY
            await asyncio.sleep(8.0)
            self.fleet.store.mode = store_standin.Mode.SERVING

        self.play_draws(disturb)

    def test_all_are_named_while_a_tenth_of_messages_is_lost(self):
        async def disturb():
            self.fleet.bus.loss_rate = 0.1

        self.play_draws(disturb)

    def test_router_that_starts_names_all_and_is_named(self):
        async def disturb():
            await self.end(ALONE, 1)
            await self.start(1)
            await asyncio.sleep(2.0)
            await self.start(ALONE)

        self.play_draws(disturb)

    def test_two_that_cannot_reach_each_other_are_named(self):
        async def disturb():
            self.network.partition(
                fleet.router_host(1), fleet.router_host(ALONE)
            )

        self.play_draws(disturb)


if __name__ == "__main__":
    unittest.main()
