import asyncio
import unittest

from bergamotmill.standin import cluster
from tests import virtual

SEVEN_ROUTERS = cluster.Sizes(routers=7, engines=3, services=1, data_centres=3)


def share_note(version):
    return {
        "title": f"to {version}",
        "changed": {"customers": {"one": {"share": float(version)}}},
    }


class FleetTest(virtual.ClusterCase):
    def release_numbers(self):
        return {
            index: router.distribution.number
            for index, router in self.cluster.routers.items()
        }

    async def wait_until_in_force(self, number, limit_s=4.0):
        started = self.now()
        while set(self.release_numbers().values()) != {number}:
            await asyncio.sleep(0.05)
            self.assertLess(
                self.now() - started, limit_s, self.release_numbers()
            )
        return self.now() - started

    def test_release_is_in_force_everywhere_in_seconds(self):
        async def scenario():
            for number in (2, 3, 4):
                await self.cluster.publish(share_note(number), number)
                await self.wait_until_in_force(number)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_release_spreads_with_a_fifth_of_messages_lost(self):
        async def scenario():
            self.cluster.bus.loss_rate = 0.2
            for number in range(2, 8):
                await self.cluster.publish(share_note(number), number % 7)
                await self.wait_until_in_force(number)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_release_spreads_when_readers_crash_on_publishing(self):
        async def scenario():
            readers = [
                index
                for index, router in self.cluster.routers.items()
                if router.distribution.is_reader
            ]
            publisher = next(
                index
                for index in self.cluster.routers
                if index not in readers[:2]
            )
            await self.cluster.publish(share_note(2), publisher)
            for index in readers[:2]:
                await self.cluster.crash_router(index)
            await self.wait_until_in_force(2)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_partitioned_router_keeps_its_release_and_then_catches_up(self):
        async def scenario():
            own_host = cluster.router_host(0)
            other_hosts = [cluster.router_host(index) for index in range(1, 7)]
            for host in [*other_hosts, cluster.KEY_VALUE_HOST]:
                self.network.partition(own_host, host)
            await self.cluster.publish(share_note(2), 1)
            await asyncio.sleep(20.0)
            self.assertEqual(self.release_numbers()[0], 1)
            self.assert_complete(await self.caller.stream(self.chat(), 0))
            self.network.heal()
            await self.wait_until_in_force(2, 12.0)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_restart_with_the_key_value_service_down(self):
        async def scenario():
            self.cluster.key_value.set_down(True)
            await self.cluster.crash_router(1)
            await self.cluster.start_router(1)
            started = self.now()
            await self.wait_until_in_force(1, 2.0)
            self.assertLess(self.now() - started, 2.0)
            await asyncio.sleep(1.0)
            self.assert_complete(await self.caller.stream(self.chat(), 1))

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_all_routers_restart_with_the_key_value_service_down(self):
        async def scenario():
            self.cluster.key_value.set_down(True)
            for index in range(7):
                await self.cluster.crash_router(index)
            for index in range(7):
                await self.cluster.start_router(index)
            await asyncio.sleep(5.0)
            self.assertEqual(set(self.release_numbers().values()), {0})
            answer = await self.caller.get_json("/v1/models", 0)
            self.assertEqual(answer["error"]["run"], "not_run")
            self.assertFalse((await self.caller.get_json("/ready"))["ready"])
            self.assertTrue((await self.caller.get_json("/live"))["live"])
            self.cluster.key_value.set_down(False)
            await self.wait_until_in_force(1, 5.0)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_simultaneous_restart_spares_the_key_value_service(self):
        async def scenario():
            before = self.cluster.key_value.store.reads
            for index in range(7):
                await self.cluster.crash_router(index)
            for index in range(7):
                await self.cluster.start_router(index)
            await self.wait_until_in_force(1, 4.0)
            reads = self.cluster.key_value.store.reads - before
            self.assertLess(reads, 7 * 30)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_dead_router_is_removed_from_address_answers(self):
        async def scenario():
            await self.cluster.crash_router(2)
            await asyncio.sleep(10.0)
            dead_address = f"{cluster.router_host(2)}:80"
            for index in (0, 1, 3, 4, 5, 6):
                answer = await self.caller.get_json("/v1/addresses", index)
                self.assertNotIn(dead_address, answer["addresses"])
                self.assertEqual(len(answer["addresses"]), 6)
            await self.cluster.start_router(2)
            await asyncio.sleep(6.0)
            answer = await self.caller.get_json("/v1/addresses", 0)
            self.assertIn(dead_address, answer["addresses"])

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_false_suspicion_is_refuted(self):
        async def scenario():
            for host in range(1, 7):
                self.network.partition(
                    cluster.router_host(0), cluster.router_host(host)
                )
            await asyncio.sleep(10.0)
            alive = self.cluster.routers[3].membership.alive()
            self.assertEqual(len(alive), 6)
            self.network.heal()
            await asyncio.sleep(12.0)
            for router in self.cluster.routers.values():
                self.assertEqual(len(router.membership.alive()), 7)
            incarnations = {
                router.membership.known["vm-0"].incarnation
                for router in self.cluster.routers.values()
            }
            self.assertEqual(len(incarnations), 1)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_data_centre_fails_and_recovers(self):
        async def scenario():
            lost = [index for index in range(7) if index % 3 == 1]
            for index in lost:
                await self.cluster.crash_router(index)
            await asyncio.sleep(12.0)
            for index in self.cluster.routers:
                alive = self.cluster.routers[index].membership.alive()
                self.assertEqual(len(alive), 7 - len(lost))
            await self.cluster.publish(share_note(2), 0)
            await self.wait_until_in_force(2)
            for index in lost:
                await self.cluster.start_router(index)
            await self.wait_until_in_force(2)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_version_switch_serves_throughout_and_is_never_reverted(self):
        async def scenario():
            note = {
                "title": "v2",
                "changed": {"models": {"drafter": {"version": "v2"}}},
            }
            await self.cluster.publish(note, 0)
            served = []
            for _ in range(30):
                streamed = await self.caller.stream(self.chat(4, "short"), 1)
                self.assert_complete(streamed, 4)
                model = self.cluster.routers[1].status.configuration().models
                served.append(model["drafter"].served_version)
            self.assertEqual(served, sorted(served))
            self.assertEqual(served[-1], "v2")
            for engine in self.cluster.engines.values():
                self.assertEqual(engine.models["drafter"]["version"], "v2")

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_engine_restarted_without_weights_is_loaded_again(self):
        async def scenario():
            await self.cluster.crash_engine(0)
            await asyncio.sleep(2.0)
            await self.cluster.start_engine(0, {})
            await asyncio.sleep(10.0)
            model = self.cluster.engines[0].models["drafter"]
            self.assertEqual(
                (model["version"], model["state"]), ("v1", "ready")
            )

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_few_routers_compete_for_the_lease_and_one_takes_over(self):
        async def scenario():
            routers = self.cluster.routers
            candidates = [i for i in routers if routers[i].is_lease_candidate()]
            self.assertEqual(len(candidates), 3)
            holders = [i for i in routers if routers[i].orders.holds_lease]
            self.assertEqual(len(holders), 1)
            await self.cluster.crash_router(holders[0])
            await asyncio.sleep(25.0)
            new_holders = [i for i in routers if routers[i].orders.holds_lease]
            self.assertEqual(len(new_holders), 1)
            candidates = [i for i in routers if routers[i].is_lease_candidate()]
            self.assertEqual(len(candidates), 3)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    # CONFIG, issue 26: the readers polled every 10 s, at any phase.
    def test_release_is_in_force_in_time_while_all_watches_are_silent(self):
        async def scenario():
            self.cluster.key_value.mute_watches = True
            for number in range(2, 8):
                await asyncio.sleep(3.3)
                # Its publisher ends before it can push the release.
                await self.cluster.publish(share_note(number), number - 2)
                await self.cluster.crash_router(number - 2)
                await self.wait_until_in_force(number)
                await self.cluster.start_router(number - 2)
                await asyncio.sleep(4.0)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_idle_fleet_spares_the_key_value_service(self):
        async def scenario():
            store = self.cluster.key_value.store
            before = (store.reads, store.writes)
            await asyncio.sleep(60.0)
            reads = (store.reads - before[0]) / 60.0
            writes = (store.writes - before[1]) / 60.0
            # Two readers in each of three data centres poll every 10 s, two
            # lease candidates every 2 s, and the holder renews every second.
            self.assertLess(reads, 3 * 2 * 0.13 + 2 * 0.63 + 0.1)
            self.assertLess(writes, 1.3)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    def test_rate_limit_is_shared_and_borrowed(self):
        async def scenario():
            limits = {"customers": {"one": {"limits": {"review": 14.0}}}}
            await self.cluster.publish({"title": "l", "changed": limits}, 0)
            await self.wait_until_in_force(2)
            await asyncio.sleep(1.0)
            served = 0
            for _ in range(100):
                status = await self.request_status(0)
                served += status == 200
                await asyncio.sleep(0.1)
            # The router's own fraction is 2 requests per second; the others
            # lend up to half of theirs.
            self.assertGreater(served, 10 * 2.5)
            self.assertLess(served, 14 * 10 + 14)

        self.run_cluster(scenario, SEVEN_ROUTERS)

    async def request_status(self, index):
        streamed = await self.caller.stream(self.chat(1, "short"), index)
        return 200 if streamed.whole and streamed.reruns == 0 else 429


if __name__ == "__main__":
    unittest.main()
