"""Routers while the store comes back from a copy some seconds old."""

import asyncio
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from tests import platform_case

WEIGHTS_KEY = f"{const.PREFIX_WEIGHTS}{fleet.MODEL}"
# The stand-in's replicas write their entries again within this time, as those
# of the platform do.
REWRITE_S = 1.5


class RestoreTest(platform_case.PlatformCase):
    def copy(self):
        return self.fleet.store.memory.copy_state()

    async def restore(self, copy, away_s=0.3):
        await self.fleet.store.restore(copy, away_s)
        await asyncio.sleep(REWRITE_S)
        for replica in self.fleet.replicas.values():
            await replica.register()

    async def write_configuration(self, version, **changes):
        await self.fleet.store.write(
            const.KEY_CONFIGURATION, fleet.configuration(version, **changes)
        )

    async def name_weights(self, version):
        await self.fleet.store.write(
            WEIGHTS_KEY, {"model": fleet.MODEL, "version": version}
        )

    def versions(self):
        return {r.fleet.catalog.version for r in self.fleet.routers.values()}

    def test_older_copy_takes_no_router_back(self):
        async def scenario():
            copy = self.copy()
            await self.write_configuration(7)
            await asyncio.sleep(0.5)
            await self.restore(copy)
            self.assertEqual(self.versions(), {7})
            await self.write_configuration(9)
            await asyncio.sleep(1.0)
            self.assertEqual(self.versions(), {9})

        self.run_fleet(scenario)

    def test_started_router_gets_the_newer_version_from_peers(self):
        async def scenario():
            copy = self.copy()
            await self.write_configuration(7)
            await asyncio.sleep(0.5)
            await self.restore(copy)
            await self.fleet.crash_router(1)
            await self.fleet.start_router(1)
            await asyncio.sleep(2.0)
            self.assertEqual(self.versions(), {7})

        self.run_fleet(scenario)

    def test_router_that_was_cut_off_gets_the_newer_version_from_peers(self):
        async def scenario():
            copy = self.copy()
            host = fleet.router_host(1)
            for index in (0, 2):
                self.network.partition(host, fleet.router_host(index))
            self.network.partition(host, fleet.STORE_HOST)
            await self.write_configuration(7)
            await asyncio.sleep(0.5)
            await self.fleet.store.restore(copy, 0.3)
            self.network.heal()
            await asyncio.sleep(REWRITE_S)
            for replica in self.fleet.replicas.values():
                await replica.register()
            await asyncio.sleep(2.0)
            self.assertEqual(self.versions(), {7})

        self.run_fleet(scenario)

    def test_no_upstream_is_lost(self):
        async def scenario():
            copy = self.copy()
            await self.fleet.start_replica("s7", "10.0.2.8", False)
            await asyncio.sleep(0.5)
            await self.restore(copy)
            for router in self.fleet.routers.values():
                self.assertIn("s7", router.fleet.upstreams.by_name)
            answers = await self.call_concurrently(12, "lookup")
            self.assertEqual({a.status for a in answers}, {200})

        self.run_fleet(scenario)

    def test_replica_that_left_does_not_come_back(self):
        async def scenario():
            copy = self.copy()
            leaving = self.fleet.replicas["s0"]
            await leaving.leave()
            await asyncio.sleep(0.2)
            await leaving.deregister()
            await asyncio.sleep(0.2)
            await self.fleet.store.restore(copy, 0.3)
            await asyncio.sleep(1.0)
            runs = len(leaving.runs)
            await self.call_concurrently(12, "lookup")
            self.assertEqual(len(leaving.runs), runs)

        self.run_fleet(scenario)

    # DRAIN, review/7: a replica that had left without a word got requests
    # again, as the copy had its entry.
    def test_removed_entry_in_the_copy_is_not_used(self):
        async def scenario():
            copy = self.copy()
            leaving = self.fleet.replicas["s0"]
            await asyncio.sleep(0.5)
            await leaving.deregister()
            await asyncio.sleep(0.5)
            await self.fleet.store.restore(copy, 0.3)
            await asyncio.sleep(1.0)
            runs = len(leaving.runs)
            await self.call_concurrently(12, "lookup")
            self.assertEqual(len(leaving.runs), runs)
            # One that lives writes a later entry.
            await leaving.register()
            await asyncio.sleep(0.5)
            await self.call_concurrently(12, "lookup")
            self.assertGreater(len(leaving.runs), runs)

        self.run_fleet(scenario)

    # DRAIN: as above, at a router that did not see the removal.
    def test_started_router_hears_of_removed_entries(self):
        async def scenario():
            copy = self.copy()
            leaving = self.fleet.replicas["s0"]
            await self.fleet.crash_router(1)
            await leaving.deregister()
            await asyncio.sleep(0.5)
            await self.fleet.store.restore(copy, 0.3)
            await self.fleet.start_router(1)
            await asyncio.sleep(3.0)
            runs = len(leaving.runs)
            for _ in range(12):
                await self.fleet.call("lookup", router=1)
            self.assertEqual(len(leaving.runs), runs)

        self.run_fleet(scenario)

    def test_registrations_are_written_again(self):
        async def scenario():
            await self.fleet.crash_router(2)
            await asyncio.sleep(6.0)
            copy = self.copy()
            await self.fleet.start_router(2)
            await asyncio.sleep(3.0)
            await self.restore(copy)
            await asyncio.sleep(4.0)
            entries = (
                await self.fleet.store.memory.scan(const.PREFIX_ROUTERS)
            ).unwrap()
            names = {e.key[len(const.PREFIX_ROUTERS) :] for e in entries}
            self.assertEqual(names, {"vm-0", "vm-1", "vm-2"})

        self.run_fleet(scenario)

    def test_fencing_tokens_rise_across_restores(self):
        async def scenario():
            first = self.copy()
            await asyncio.sleep(2.0)
            for version in range(2, 5):
                await self.name_weights(version)
                await asyncio.sleep(12.0)
                await self.restore(first)
                await self.name_weights(version)
                await asyncio.sleep(12.0)
            for replica in self.fleet.replicas.values():
                if replica.model:
                    self.assertEqual(replica.weights, 4, replica.orders)
                    held = [order[1] for order in replica.orders]
                    self.assertEqual(held, sorted(held))

        self.run_fleet(scenario)

    def test_holder_that_missed_the_restore_and_its_successor_keep_apart(self):
        async def scenario():
            await asyncio.sleep(4.0)
            holder = next(
                index
                for index, router in self.fleet.routers.items()
                if router.rollout.holds_lease
            )
            copy = self.copy()
            await self.name_weights(2)
            host = fleet.router_host(holder)
            self.network.partition(host, fleet.STORE_HOST)
            await self.fleet.store.restore(copy, 0.2)
            await self.name_weights(2)
            await asyncio.sleep(15.0)
            by_replica = {
                name: replica.orders
                for name, replica in self.fleet.replicas.items()
                if replica.model
            }
            for name, orders in by_replica.items():
                self.assertEqual(self.fleet.replicas[name].weights, 2, name)
                tokens = [order[1] for order in orders]
                self.assertEqual(tokens, sorted(tokens))
            self.assertTrue(
                self.order_gaps_are_kept(const_gap_s=3.0), by_replica
            )

        self.run_fleet(scenario)

    def order_gaps_are_kept(self, const_gap_s):
        """Whether orders of two holders to one engine are far enough apart."""
        for replica in self.fleet.replicas.values():
            sent = list(zip(replica.orders, replica.ordered_at, strict=True))
            for (first, first_at), (second, second_at) in zip(
                sent, sent[1:], strict=False
            ):
                if first[0] != second[0] and second_at - first_at < const_gap_s:
                    return False
        return True

    def test_two_restores_in_a_row(self):
        async def scenario():
            copy = self.copy()
            await self.write_configuration(7)
            await asyncio.sleep(0.3)
            await self.fleet.store.restore(copy, 0.2)
            await asyncio.sleep(0.3)
            await self.fleet.store.restore(copy, 0.2)
            await asyncio.sleep(REWRITE_S)
            for replica in self.fleet.replicas.values():
                await replica.register()
            self.assertEqual(self.versions(), {7})
            answers = await self.call_concurrently(12, "check")
            self.assertEqual({a.status for a in answers}, {200})

        self.run_fleet(scenario)

    def test_restore_while_all_routers_start(self):
        async def scenario():
            copy = self.copy()
            await self.write_configuration(7)
            await asyncio.sleep(0.5)
            for index in (0, 1):
                await self.fleet.crash_router(index)
            task = asyncio.create_task(self.fleet.store.restore(copy, 0.5))
            for index in (0, 1):
                await self.fleet.start_router(index)
            await task
            await asyncio.sleep(REWRITE_S)
            for replica in self.fleet.replicas.values():
                await replica.register()
            await asyncio.sleep(2.0)
            self.assertEqual(self.versions(), {7})

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
