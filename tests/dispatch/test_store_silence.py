"""Routers whose calls to the store get no answer, with open connections."""

import asyncio
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store as store_standin
from tests import platform_case

Mode = store_standin.Mode
WEIGHTS_KEY = const.PREFIX_WEIGHTS + fleet.MODEL
# Time after an outage from which the platform's promises hold again, and the
# time in which changes have to be in force from then on.
CONTACT_S = 3.0
APPLY_S = 2.0
WEIGHTS_S = 8.0


class StoreSilenceTest(platform_case.PlatformCase):
    async def configure(self, version, **changes):
        await self.fleet.store.write(
            const.KEY_CONFIGURATION, fleet.configuration(version, **changes)
        )

    def configuration_versions(self):
        return [r.fleet.catalog.version for r in self.fleet.routers.values()]

    async def silence(self, seconds):
        self.fleet.store.mode = Mode.SILENT
        await asyncio.sleep(seconds)
        self.fleet.store.mode = Mode.SERVING

    def lease_holders(self):
        return [
            index
            for index, router in self.fleet.routers.items()
            if router.rollout.holds_lease
        ]

    def test_change_after_a_silent_store_is_in_force_in_time(self):
        async def scenario():
            version = 1
            for silent_s in (0.4, 1.0, 2.2, 3.1, 5.3, 9.0):
                await self.silence(silent_s)
                version += 1
                await self.configure(version)
                await asyncio.sleep(CONTACT_S)
                self.assertEqual(
                    self.configuration_versions(), [version] * 3, silent_s
                )
                version += 1
                await self.configure(version)
                await asyncio.sleep(APPLY_S)
                self.assertEqual(
                    self.configuration_versions(), [version] * 3, silent_s
                )

        self.run_fleet(scenario)

    def test_leaving_replica_gets_nothing_after_a_silent_store(self):
        async def scenario():
            await self.silence(6.0)
            await asyncio.sleep(CONTACT_S)
            leaving = self.fleet.replicas["s0"]
            # Only its entry says so, as with replicas that send no header.
            leaving.state = "draining"
            await leaving.register()
            await asyncio.sleep(APPLY_S)
            before = len(leaving.runs)
            answers = await self.call_concurrently(6, "filing")
            self.assertEqual({a.status for a in answers}, {200})
            self.assertEqual(len(leaving.runs), before)

        self.run_fleet(scenario)

    def test_change_whose_watch_answers_are_lost_is_in_force_in_time(self):
        async def scenario():
            self.fleet.store.lose_watch_answers = True
            await self.configure(2)
            await asyncio.sleep(0.1)
            self.fleet.store.lose_watch_answers = False
            await asyncio.sleep(CONTACT_S)
            self.assertEqual(self.configuration_versions(), [2, 2, 2])

        self.run_fleet(scenario)

    def test_unknown_key_is_not_refused_for_good_while_the_store_is_silent(
        self,
    ):
        async def scenario():
            self.fleet.store.mode = Mode.SILENT
            await asyncio.sleep(CONTACT_S)
            answer = await self.fleet.call("filing", key="key-new")
            self.assertEqual(answer.status, 503)
            self.assertIn(const.HEADER_RETRY_AFTER.encode(), answer.headers)
            # What is known is served meanwhile.
            answer = await self.fleet.call("filing")
            self.assertEqual(answer.status, 200)

        self.run_fleet(scenario)

    def test_weights_named_after_a_silent_store_are_loaded_in_time(self):
        async def scenario():
            await self.silence(6.0)
            await asyncio.sleep(CONTACT_S)
            self.assertEqual(len(self.lease_holders()), 1)
            await self.fleet.store.write(
                WEIGHTS_KEY, {"model": fleet.MODEL, "version": 2}
            )
            await asyncio.sleep(WEIGHTS_S)
            loaded = [
                e.weights for e in self.fleet.replicas.values() if e.model
            ]
            self.assertEqual(loaded, [2, 2, 2])

        self.run_fleet(scenario)

    def test_registration_outlives_one_silent_second(self):
        async def scenario():
            missing = []
            for _ in range(8):
                await self.silence(1.0)
                for _ in range(50):
                    await asyncio.sleep(0.1)
                    missing += [
                        index
                        for index in self.fleet.routers
                        if await self.entry_is_missing(index)
                    ]
            self.assertEqual(missing, [])

        self.run_fleet(scenario)

    async def entry_is_missing(self, index):
        key = f"{const.PREFIX_ROUTERS}vm-{index}"
        return (await self.fleet.store.memory.get(key)).unwrap() is None

    def test_lease_holder_outlives_one_silent_second(self):
        async def scenario():
            holders = self.lease_holders()
            self.assertEqual(len(holders), 1)
            for _ in range(8):
                await self.silence(1.0)
                for _ in range(40):
                    await asyncio.sleep(0.1)
                    self.assertEqual(self.lease_holders(), holders)

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
