import asyncio
import random
import unittest

from bergamotmill.dispatch import registration
from bergamotmill.storage.memory import coordinator
from bergamotmill.util import virtual_loop

KEY = "routers/vm-1"


class RouterRegistrationTest(unittest.TestCase):
    def run_registration(self, scenario):
        async def main():
            self.store = coordinator.MemoryStore()
            self.is_large_fleet = False
            self.registration = registration.RouterRegistration(
                self.store,
                KEY,
                b"entry",
                lambda: True,
                lambda: self.is_large_fleet,
                random.Random(1),
            )
            task = asyncio.create_task(self.registration.run())
            await scenario()
            task.cancel()

        virtual_loop.run(main())

    async def assert_entry_present_for(self, duration_s):
        for _ in range(int(duration_s * 10)):
            await asyncio.sleep(0.1)
            entry = (await self.store.get(KEY)).unwrap()
            self.assertIsNotNone(entry)

    def test_entry_stays_while_the_fleet_grows_large(self):
        async def scenario():
            await self.assert_entry_present_for(5.0)
            self.is_large_fleet = True
            await self.assert_entry_present_for(40.0)

        self.run_registration(scenario)

    def test_large_fleet_renews_less_often(self):
        async def scenario():
            self.is_large_fleet = True
            await self.assert_entry_present_for(40.0)
            self.assertLess(self.store.writes, 16)

        self.run_registration(scenario)

    def test_deregistering_removes_the_entry_at_once(self):
        async def scenario():
            await asyncio.sleep(1.0)
            await self.registration.deregister()
            self.assertIsNone((await self.store.get(KEY)).unwrap())

        self.run_registration(scenario)


if __name__ == "__main__":
    unittest.main()
