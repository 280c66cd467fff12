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


def report(**models):
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
    def test_empty_replicas_come_first_within_the_bound(self):
        reports = {
            "r0": report(m=("v1", READY)),
            "r1": report(),
            "r2": report(m=("v1", READY)),
            "r3": report(),
            "r4": report(),
        }
        planned = orders.plan_orders(configuration(5), reports, 2, 7)
        self.assertEqual([item.replica for item in planned], ["r1", "r3"])
        self.assertEqual({item.order.fencing for item in planned}, {7})

    def test_withdrawn_model_is_unloaded(self):
        reports = {"r0": report(m=("v2", READY), old=("v1", READY))}
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
            f"r{index}": report() if state is None else report(m=state)
            for index, state in enumerate(states)
        }
        wanted = configuration(len(states), min_ready=min_ready)
        planned = orders.plan_orders(wanted, reports, max_loading, 1)
        loading = states.count(("v2", LOADING))
        self.assertLessEqual(len(planned), max(0, max_loading - loading))
        taken = {item.replica for item in planned}
        before = states.count(("v1", READY))
        after = sum(
            state == ("v1", READY) and f"r{index}" not in taken
            for index, state in enumerate(states)
        )
        if before > 0 and len(states) > 1 and after < before:
            self.assertGreaterEqual(after, 1)

    def test_rollout_ends_and_switches_when_enough_are_ready(self):
        wanted = configuration(6)
        states = [("v1", READY)] * 6
        switched_at = None
        for step in range(20):
            reports = {
                f"r{i}": report(m=state) for i, state in enumerate(states)
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

    def test_switch_goes_only_forward(self):
        reports = {"r0": report(m=("v1", READY))}
        self.assertEqual(
            orders.versions_to_serve(configuration(1, serving="v2"), reports),
            {},
        )


class HolderTest(virtual.VirtualCase):
    def holder(self, store, name):
        return order_lease.OrderLease(
            store, "/h", name.encode(), clock.LoopClock()
        )

    def test_one_holds_and_fencing_grows(self):
        async def main():
            store = memory.MemoryStore()
            first, second = self.holder(store, "a"), self.holder(store, "b")
            self.assertTrue(await first.acquire_or_renew())
            self.assertFalse(await second.acquire_or_renew())
            before = first.fencing
            await asyncio.sleep(const.LEASE_DURATION_S + 0.1)
            self.assertTrue(await second.acquire_or_renew())
            self.assertGreater(second.fencing, before)
            self.assertEqual(first.time_left() > 0, False)

        self.run_virtual(main())

    def test_paused_holder_may_not_order_even_before_its_lease_lapses(self):
        async def main():
            store = memory.MemoryStore()
            first = self.holder(store, "a")
            await first.acquire_or_renew()
            await asyncio.sleep(const.LEASE_DURATION_S - const.LEASE_MARGIN_S)
            self.assertLessEqual(first.time_left(), 0.0)
            second = self.holder(store, "b")
            self.assertFalse(await second.acquire_or_renew())

        self.run_virtual(main())

    def test_new_holder_waits_out_the_old_ones_reach(self):
        async def main():
            store = memory.MemoryStore()
            holder = self.holder(store, "a")
            await holder.acquire_or_renew()
            self.assertFalse(holder.takeover_wait_over())
            await asyncio.sleep(3.0)
            self.assertTrue(holder.takeover_wait_over())

        self.run_virtual(main())


if __name__ == "__main__":
    unittest.main()
