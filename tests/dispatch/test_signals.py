"""What upstreams say of themselves in responses, and what routers do then."""

import asyncio
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import store
from tests import platform_case

DRAIN_S = 2.0


class LeavingTest(platform_case.PlatformCase):
    """A replica says in its answers that it leaves, not yet in the store."""

    def say_leaving(self, name):
        replica = self.fleet.replicas[name]
        replica.faults.says_leaving = True
        return replica

    async def hear(self, name, route, router=0):
        """Calls one router until the replica's answer has passed it."""
        replica = self.fleet.replicas[name]
        for _ in range(40):
            before = len(replica.runs)
            await self.fleet.call(route, router=router)
            if len(replica.runs) > before:
                return
        self.fail(f"{name} served none of the calls")

    def test_replica_gets_nothing_after_it_says_that_it_leaves(self):
        async def scenario():
            replica = self.say_leaving("s0")
            await self.hear("s0", "lookup")
            heard_at = self.now()
            for _ in range(12):
                await self.fleet.call("lookup")
                await asyncio.sleep(0.3)
            late = [t for t in replica.received_at if t > heard_at]
            self.assertEqual(late, [])

        self.run_fleet(scenario)

    def test_peers_are_told(self):
        async def scenario():
            replica = self.say_leaving("s0")
            await self.hear("s0", "lookup")
            await asyncio.sleep(0.2)
            runs = len(replica.runs)
            await self.call_concurrently(21, "lookup")
            self.assertEqual(len(replica.runs), runs)

        self.run_fleet(scenario, routers=7)

    # DRAIN, issue 38: one router in fifty was not told without the store.
    def test_all_routers_of_a_larger_fleet_learn_it_without_the_store(self):
        async def scenario():
            self.fleet.store.mode = store.Mode.SILENT
            self.fleet.bus.loss_rate = 0.05
            self.fleet.routers[0].fleet.note_leaving("s0", 1, "s0")
            await asyncio.sleep(DRAIN_S)
            for index, router in self.fleet.routers.items():
                known = router.fleet.upstreams.is_leaving("s0", 1)
                self.assertTrue(known, index)

        for seed in range(8):
            with self.subTest(seed):
                self.run_fleet(
                    scenario, seed=seed, routers=24, engines=1, data_centres=4
                )

    def test_stream_goes_on_at_a_leaving_engine(self):
        async def scenario():
            for name in ("e0", "e1", "e2"):
                self.say_leaving(name)
            answer = await self.fleet.call("review", output=200)
            self.assert_complete_stream(answer, 200)

        self.run_fleet(scenario)

    def test_leaving_is_remembered_while_the_entry_is_missing(self):
        async def scenario():
            replica = self.say_leaving("s0")
            await self.hear("s0", "lookup")
            await replica.deregister()
            await asyncio.sleep(0.5)
            await replica.register()
            await asyncio.sleep(0.5)
            runs = len(replica.runs)
            await self.call_concurrently(12, "lookup")
            self.assertEqual(len(replica.runs), runs)

        self.run_fleet(scenario)

    def test_a_new_incarnation_is_used_again(self):
        async def scenario():
            replica = self.say_leaving("s0")
            await self.hear("s0", "lookup")
            replica.faults.says_leaving = False
            replica.born += 1
            await replica.register()
            await asyncio.sleep(0.5)
            await self.hear("s0", "lookup")

        self.run_fleet(scenario)

    def test_engine_that_leaves_gets_no_orders(self):
        async def scenario():
            for name in ("e0", "e1", "e2"):
                self.say_leaving(name)
            await self.call_concurrently(9, "check")
            await asyncio.sleep(0.5)
            key = f"{const.PREFIX_WEIGHTS}drafter"
            await self.fleet.store.write(
                key, {"model": "drafter", "version": 2}
            )
            heard = {
                name
                for name in ("e0", "e1", "e2")
                if self.fleet.replicas[name].runs
            }
            self.assertTrue(heard)
            await asyncio.sleep(6.0)
            for name in heard:
                self.assertEqual(self.fleet.replicas[name].orders, [])

        self.run_fleet(scenario)


class RetryAfterTest(platform_case.PlatformCase):
    """A replica turns requests away and says for how long."""

    def refuse(self, seconds, *names):
        for name in names:
            faults = self.fleet.replicas[name].faults
            faults.refuse = True
            faults.retry_after_s = seconds

    def test_replica_gets_nothing_for_the_time_it_asked_for(self):
        async def scenario():
            self.refuse(3.0, "s0")
            replica = self.fleet.replicas["s0"]
            while not replica.refused:
                await self.fleet.call("lookup")
            asked_at = replica.refused[0][0]
            while self.now() < asked_at + 2.9:
                answer = await self.fleet.call("lookup")
                self.assertEqual(answer.status, 200)
                await asyncio.sleep(0.05)
            received = [
                t
                for t in replica.received_at
                if asked_at + 0.5 < t < asked_at + 3.0
            ]
            self.assertEqual(received, [])
            replica.faults.refuse = False
            await asyncio.sleep(0.3)
            await self.call_concurrently(24, "lookup")
            self.assertTrue(replica.runs)

        self.run_fleet(scenario, routers=1)

    def test_engine_under_an_order_is_not_polled_meanwhile(self):
        async def scenario():
            self.refuse(2.0, "e0", "e1", "e2")
            key = f"{const.PREFIX_WEIGHTS}drafter"
            await self.fleet.store.write(
                key, {"model": "drafter", "version": 2}
            )
            await asyncio.sleep(6.0)
            for name in ("e0", "e1", "e2"):
                replica = self.fleet.replicas[name]
                self.assertTrue(replica.refused)
                for asked_at, *_ in replica.refused:
                    received = [
                        t
                        for t in replica.received_at
                        if asked_at + 0.5 < t < asked_at + 2.0
                    ]
                    self.assertEqual(received, [])

        self.run_fleet(scenario, routers=1)

    def test_caller_is_told_at_once_when_all_ask_for_longer_than_it_has(self):
        async def scenario():
            self.refuse(20.0, "e0", "e1", "e2")
            await self.call_concurrently(6, "check")
            refused = sum(len(r.refused) for r in self.fleet.replicas.values())
            answer = await self.fleet.call("check")
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.seconds, 0.1)
            retry_after_s = float(answer.headers[b"retry-after"])
            self.assertGreater(retry_after_s, 15.0)
            again = sum(len(r.refused) for r in self.fleet.replicas.values())
            self.assertEqual(again, refused)

        self.run_fleet(scenario, routers=1)

    def test_short_pause_is_waited_out_here_in_order_of_arrival(self):
        async def scenario():
            self.refuse(0.3, "e0", "e1", "e2")
            await self.call_concurrently(3, "review")
            for name in ("e0", "e1", "e2"):
                self.fleet.replicas[name].faults.refuse = False
            answers = await self.call_concurrently(6, "review")
            for answer in answers:
                self.assert_complete_stream(answer)
            self.assert_at_most_once()

        self.run_fleet(scenario, routers=1)


if __name__ == "__main__":
    unittest.main()
