"""Configuration, weights, membership and shutdown on the platform."""

import asyncio
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store as store_standin
from tests import platform_case

Mode = store_standin.Mode
WEIGHTS_KEY = const.PREFIX_WEIGHTS + fleet.MODEL


class ConfigurationTest(platform_case.PlatformCase):
    async def configure(self, version, **changes):
        await self.fleet.store.write(
            const.KEY_CONFIGURATION, fleet.configuration(version, **changes)
        )

    def versions(self):
        return [r.fleet.catalog.version for r in self.fleet.routers.values()]

    def test_a_change_is_in_force_everywhere_at_once(self):
        async def scenario():
            await self.configure(2, tenants=[])
            await asyncio.sleep(0.2)
            for answer in await self.call_concurrently(3, "filing"):
                self.assertEqual(answer.status, 401)

        self.run_fleet(scenario)

    def test_an_older_version_never_comes_back(self):
        async def scenario():
            await self.configure(5)
            await asyncio.sleep(0.2)
            await self.configure(4, tenants=[])
            await asyncio.sleep(0.5)
            self.assertEqual(self.versions(), [5, 5, 5])

        self.run_fleet(scenario)

    def test_a_router_cut_from_the_store_follows_its_peers(self):
        async def scenario():
            self.network.cut(fleet.router_host(0), fleet.STORE_HOST)
            await asyncio.sleep(5.0)
            await self.configure(2, tenants=[])
            await asyncio.sleep(2.0)
            answer = await self.fleet.call("filing", router=0)
            # It may be out of date, so that it asks the caller back.
            self.assertIn(answer.status, (401, 503))
            self.assertEqual(self.versions(), [2, 2, 2])

        self.run_fleet(scenario)

    def test_a_lost_history_is_read_anew(self):
        async def scenario():
            store = self.fleet.store
            store.mode = Mode.RESET
            await asyncio.sleep(0.5)
            await self.configure(2)
            store.memory.compact()
            store.mode = Mode.SERVING
            await asyncio.sleep(1.5)
            self.assertEqual(self.versions(), [2, 2, 2])

        self.run_fleet(scenario)

    def test_what_left_the_history_while_nobody_waited_is_read(self):
        async def scenario():
            store = self.fleet.store
            store.hides_lost_history = True
            store.mode = Mode.RESET
            await asyncio.sleep(15.0)
            await self.configure(2)
            store.memory.compact()
            store.mode = Mode.SERVING
            await asyncio.sleep(2.0)
            self.assertEqual(self.versions(), [2, 2, 2])

        self.run_fleet(scenario)

    def test_a_process_without_a_configuration_says_come_back(self):
        async def scenario():
            for index in range(3):
                await self.fleet.crash_router(index)
            self.fleet.store.mode = Mode.RESET
            await self.fleet.start_router(0)
            await asyncio.sleep(0.5)
            answer = await self.fleet.call("filing", router=0)
            self.assertEqual(answer.status, 503)
            self.assertIn(const.HEADER_RETRY_AFTER.encode(), answer.headers)
            self.fleet.store.mode = Mode.SERVING
            await asyncio.sleep(1.5)
            answer = await self.fleet.call("filing", router=0)
            self.assertEqual(answer.status, 200)

        self.run_fleet(scenario)

    def test_a_restart_while_the_store_is_away_learns_from_peers(self):
        async def scenario():
            self.fleet.store.mode = Mode.SILENT
            await self.fleet.crash_router(0)
            await self.fleet.start_router(0)
            await asyncio.sleep(1.5)
            answer = await self.fleet.call("filing", router=0)
            self.assertEqual(answer.status, 200)

        self.run_fleet(scenario)


class WeightsTest(platform_case.PlatformCase):
    async def name(self, version):
        await self.fleet.store.write(
            WEIGHTS_KEY, {"model": fleet.MODEL, "version": version}
        )

    def held(self):
        return sorted(
            item.weights for item in self.fleet.replicas.values() if item.model
        )

    def test_all_engines_take_named_weights(self):
        async def scenario():
            await asyncio.sleep(3.0)
            await self.name(2)
            await asyncio.sleep(3.0)
            self.assertEqual(self.held(), [2, 2, 2])
            self.assert_one_holder_at_a_time()

        self.run_fleet(scenario)

    def assert_one_holder_at_a_time(self):
        for item in self.fleet.replicas.values():
            fences = [fence for _, fence, _ in item.orders]
            self.assertEqual(fences, sorted(fences))
            holders = {fence: holder for holder, fence, _ in item.orders}
            for holder, fence, _ in item.orders:
                self.assertEqual(holders[fence], holder)

    def test_superseded_versions_are_skipped(self):
        async def scenario():
            await asyncio.sleep(3.0)
            for version in (2, 3, 4):
                await self.name(version)
                await asyncio.sleep(0.05)
            await asyncio.sleep(4.0)
            self.assertEqual(self.held(), [4, 4, 4])
            orders = sum(len(r.orders) for r in self.fleet.replicas.values())
            self.assertLess(orders, 6)

        self.run_fleet(scenario)

    def test_requests_use_new_weights_once_an_engine_has_them(self):
        async def scenario():
            await asyncio.sleep(3.0)
            await self.name(2)
            await asyncio.sleep(2.0)
            await self.call_concurrently(12, "check")
            late = [run for run in self.fleet.runs() if run.weights < 2]
            self.assertEqual(late, [])
            scopes = {run.scope for run in self.fleet.runs()}
            self.assertEqual(len(scopes), 1)

        self.run_fleet(scenario)

    def test_weights_go_out_of_use_before_the_bound(self):
        async def scenario():
            await asyncio.sleep(3.0)
            for item in self.fleet.replicas.values():
                item.faults.order_delay_s = 60.0
            await self.name(2)
            await asyncio.sleep(7.0)
            answer = await self.fleet.call("check")
            self.assertEqual(answer.status, 503)
            self.assertEqual(self.fleet.runs(), [])

        self.run_fleet(scenario)

    def test_a_started_router_learns_from_peers_when_weights_were_named(self):
        async def scenario():
            began = self.now()
            for item in self.fleet.replicas.values():
                item.faults.order_delay_s = 60.0
            await self.name(2)
            await asyncio.sleep(2.0)
            await self.name(3)
            await asyncio.sleep(3.5)
            await self.fleet.crash_router(0)
            router = await self.fleet.start_router(0)
            await asyncio.sleep(1.0)
            # It never saw version 2 named, and version 3 only in the store.
            for version, named_at in ((1, began), (2, began + 2.0)):
                age_s = router.fleet.superseded_for_s(fleet.MODEL, version)
                self.assertAlmostEqual(age_s, self.now() - named_at, delta=0.2)

        self.run_fleet(scenario)

    def test_routers_that_all_started_do_not_trust_older_weights_long(self):
        async def scenario():
            for item in self.fleet.replicas.values():
                item.faults.order_delay_s = 60.0
            await self.name(2)
            await asyncio.sleep(1.0)
            for index in list(self.fleet.routers):
                await self.fleet.crash_router(index)
            for index in range(3):
                await self.fleet.start_router(index)
            await asyncio.sleep(1.9)
            answer = await self.fleet.call("check")
            self.assertEqual(answer.status, 503)
            self.assertIn(b"retry-after", answer.headers)

        self.run_fleet(scenario)

    def test_an_order_carried_out_late_does_no_harm(self):
        async def scenario():
            await asyncio.sleep(3.0)
            slow = self.fleet.replicas["e0"]
            slow.faults.order_delay_s = 1.2
            await self.name(2)
            await asyncio.sleep(0.6)
            slow.faults.order_delay_s = 0.0
            await self.name(3)
            await asyncio.sleep(5.0)
            self.assertEqual(self.held(), [3, 3, 3])
            versions = [version for _, _, version in slow.orders]
            self.assertEqual(versions, sorted(versions))

        self.run_fleet(scenario)

    def test_a_holder_that_ends_hands_over_without_a_pause(self):
        async def scenario():
            await asyncio.sleep(3.0)
            holder = self.holder()
            stopping = asyncio.create_task(self.fleet.stop_router(holder))
            await asyncio.sleep(0.5)
            began = self.now()
            await self.name(2)
            while self.held() != [2, 2, 2]:
                await asyncio.sleep(0.05)
                self.assertLess(self.now() - began, 4.0)
            self.assert_one_holder_at_a_time()
            await stopping

        self.run_fleet(scenario)

    def holder(self):
        (found,) = [
            index
            for index, router in self.fleet.routers.items()
            if router.rollout.holds_lease
        ]
        return found

    def test_a_holder_that_ends_never_takes_the_lease_again(self):
        async def scenario():
            await asyncio.sleep(3.0)
            router = self.fleet.routers[0]
            self.assertTrue(router.rollout.holds_lease)
            stopping = asyncio.create_task(self.fleet.stop_router(0))
            await asyncio.sleep(0.2)
            await self.name(2)
            for _ in range(35):
                await asyncio.sleep(0.1)
                self.assertFalse(router.rollout.holds_lease)
                value = router.feed.document(const.KEY_HOLDER)
                self.assertTrue(value is None or value.value is None)
            await stopping
            self.assertEqual(self.held(), [1, 1, 1])

        self.run_fleet(scenario, routers=1)

    def test_a_holder_that_dies_is_followed_after_its_lease(self):
        async def scenario():
            await asyncio.sleep(3.0)
            await self.fleet.crash_router(self.holder())
            began = self.now()
            await self.name(2)
            while self.held() != [2, 2, 2]:
                await asyncio.sleep(0.05)
                self.assertLess(self.now() - began, 9.0)
            self.assert_one_holder_at_a_time()

        self.run_fleet(scenario)

    def test_a_dead_engine_does_not_hold_up_the_others(self):
        async def scenario():
            await asyncio.sleep(3.0)
            host = self.fleet.replicas["e0"].address.partition(":")[0]
            for index in range(3):
                self.network.cut(fleet.router_host(index), host)
            await self.name(2)
            await asyncio.sleep(4.0)
            self.assertEqual(self.held(), [1, 2, 2])

        self.run_fleet(scenario)


class MembershipTest(platform_case.PlatformCase):
    def listed(self, index):
        router = self.fleet.routers[index]
        return sorted(m.name for m in router.membership.alive())

    def test_all_know_all(self):
        async def scenario():
            for index in range(3):
                self.assertEqual(self.listed(index), ["vm-0", "vm-1", "vm-2"])

        self.run_fleet(scenario)

    def test_a_dead_router_leaves_the_answers(self):
        async def scenario():
            await self.fleet.crash_router(2)
            await asyncio.sleep(4.0)
            self.assertEqual(self.listed(0), ["vm-0", "vm-1"])

        self.run_fleet(scenario)

    def test_a_store_outage_empties_no_answer(self):
        async def scenario():
            self.fleet.store.mode = Mode.SILENT
            await asyncio.sleep(12.0)
            for index in range(3):
                self.assertEqual(self.listed(index), ["vm-0", "vm-1", "vm-2"])

        self.run_fleet(scenario)

    def test_a_herd_that_starts_again_serves_within_seconds(self):
        async def scenario():
            for index in range(3):
                await self.fleet.crash_router(index)
            for index in range(3):
                await self.fleet.start_router(index)
            await asyncio.sleep(2.0)
            for answer in await self.call_concurrently(6, "filing"):
                self.assertEqual(answer.status, 200)

        self.run_fleet(scenario)


class ShutdownTest(platform_case.PlatformCase):
    def test_no_request_under_way_is_cut(self):
        async def scenario():
            calls = [
                asyncio.create_task(self.fleet.call("review", output=200))
                for _ in range(4)
            ]
            await asyncio.sleep(0.3)
            await self.fleet.stop_router(0)
            for call in calls:
                self.assert_complete_stream(await call, 200)

        self.run_fleet(scenario)

    def test_it_leaves_the_answers_at_once_and_serves_who_still_comes(self):
        async def scenario():
            stopping = asyncio.create_task(self.fleet.stop_router(0))
            await asyncio.sleep(0.3)
            router = self.fleet.routers[1]
            names = [m.name for m in router.membership.alive()]
            self.assertNotIn("vm-0", names)
            answer = await self.fleet.call("filing", router=0)
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers.get(b"connection"), b"close")
            await stopping

        self.run_fleet(scenario)

    def test_what_could_not_end_in_time_is_not_begun(self):
        async def scenario():
            stopping = asyncio.create_task(self.fleet.stop_router(0))
            await asyncio.sleep(3.2)
            answer = await self.fleet.call("review", router=0)
            self.assertEqual(answer.status, 503)
            self.assertEqual(self.fleet.runs(), [])
            await stopping

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
