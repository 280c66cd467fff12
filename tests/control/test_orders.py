import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill import core
from bergamotmill.control import const
from bergamotmill.control import order_lease
from bergamotmill.control import orders
from bergamotmill.storage.memory import coordinator as memory
from bergamotmill.upstream.engine import config
from bergamotmill.util import clock
from tests import virtual

READY = config.ModelState.READY
LOADING = config.ModelState.LOADING


def load_report(**models):
    loaded = {
        name: config.LoadedModel(name, version, state)
        for name, (version, state) in models.items()
    }
    return config.LoadReport(1, 0.0, {}, 0, 32, 0.0, 8000.0, loaded)


def configuration(replicas, version="v2", serving="v1", min_ready=2):
    model = {"version": version, "serving": serving, "min_ready": min_ready}
    entry = {"address": "1.1.1.1:1", "data_centre": "d", "models": ["m"]}
    return core.empty_configuration().replace(
        1,
        "x",
        {
            core.KIND_MODELS: {"m": model},
            core.KIND_REPLICAS: {f"r{i}": entry for i in range(replicas)},
        },
        {},
    )


class PlanTest(unittest.TestCase):
    def test_empty_replicas_come_first_within_max_loading(self):
        reports = {
            "r0": load_report(m=("v1", READY)),
            "r1": load_report(),
            "r2": load_report(m=("v1", READY)),
            "r3": load_report(),
            "r4": load_report(),
        }
        planned = orders.plan_orders(configuration(5), reports, 2, 7)
        self.assertEqual([item.replica for item in planned], ["r1", "r3"])
        self.assertEqual({item.order.fencing for item in planned}, {7})

    def test_withdrawn_model_is_unloaded(self):
        reports = {"r0": load_report(m=("v2", READY), old=("v1", READY))}
        planned = orders.plan_orders(configuration(1), reports, 2, 1)
        self.assertEqual(planned[0].order.kind, "unload")

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                [None, ("v1", READY), ("v2", READY), ("v2", LOADING)]
            ),
            min_size=1,
            max_size=9,
        ),
        strategies.integers(1, 3),
        strategies.integers(1, 3),
    )
    def test_bounds_hold_in_any_state(self, states, max_loading, min_ready):
        reports = {
            f"r{index}": load_report()
            if state is None
            else load_report(m=state)
            for index, state in enumerate(states)
        }
        wanted = configuration(len(states), min_ready=min_ready)
        planned = orders.plan_orders(wanted, reports, max_loading, 1)
        loading = states.count(("v2", LOADING))
        self.assertLessEqual(len(planned), max(0, max_loading - loading))
        reloading = {item.replica for item in planned}
        before = states.count(("v1", READY))
        after = sum(
            state == ("v1", READY) and f"r{index}" not in reloading
            for index, state in enumerate(states)
        )
        if before > 0 and len(states) > 1 and after < before:
            self.assertGreaterEqual(after, 1)

    def test_rollout_completes_and_switches_when_enough_are_ready(self):
        wanted = configuration(6)
        states = [("v1", READY)] * 6
        switched_at = None
        for step in range(20):
            reports = {
                f"r{i}": load_report(m=state) for i, state in enumerate(states)
            }
            if switched_at is None and orders.versions_to_serve(
                wanted, reports
            ):
                switched_at = states.count(("v2", READY))
                wanted = configuration(6, serving="v2")
            planned = orders.plan_orders(wanted, reports, 2, step)
            states = [
                ("v2", READY) if state == ("v2", LOADING) else state
                for state in states
            ]
            for item in planned:
                states[int(item.replica[1:])] = ("v2", LOADING)
        self.assertEqual(states, [("v2", READY)] * 6)
        self.assertEqual(switched_at, 2)

    def test_switch_is_never_reverted(self):
        reports = {"r0": load_report(m=("v1", READY))}
        self.assertEqual(
            orders.versions_to_serve(configuration(1, serving="v2"), reports),
            {},
        )


class OrderLeaseTest(virtual.VirtualCase):
    def lease(self, store, name):
        return order_lease.OrderLease(
            store, "/h", name.encode(), clock.LoopClock()
        )

    def test_one_router_holds_the_lease_and_fencing_increases(self):
        async def main():
            store = memory.MemoryStore()
            first, second = self.lease(store, "a"), self.lease(store, "b")
            self.assertTrue(await first.acquire_or_renew())
            self.assertFalse(await second.acquire_or_renew())
            before = first.fencing
            await asyncio.sleep(const.LEASE_DURATION_S + 0.1)
            self.assertTrue(await second.acquire_or_renew())
            self.assertGreater(second.fencing, before)
            self.assertEqual(first.time_left() > 0, False)

        self.run_virtual(main())

    def test_holder_may_not_send_orders_shortly_before_expiry(self):
        async def main():
            store = memory.MemoryStore()
            first = self.lease(store, "a")
            await first.acquire_or_renew()
            await asyncio.sleep(const.LEASE_DURATION_S - const.LEASE_MARGIN_S)
            self.assertLessEqual(first.time_left(), 0.0)
            second = self.lease(store, "b")
            self.assertFalse(await second.acquire_or_renew())

        self.run_virtual(main())

    def test_new_holder_waits_for_orders_of_the_previous_one(self):
        async def main():
            store = memory.MemoryStore()
            lease = self.lease(store, "a")
            await lease.acquire_or_renew()
            self.assertFalse(lease.takeover_wait_over())
            await asyncio.sleep(3.0)
            self.assertTrue(lease.takeover_wait_over())

        self.run_virtual(main())


if __name__ == "__main__":
    unittest.main()
