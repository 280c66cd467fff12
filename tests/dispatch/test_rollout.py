import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from bergamotmill.dispatch import const
from bergamotmill.dispatch import order_gap
from bergamotmill.dispatch import rollout
from bergamotmill.dispatch import upstreams

MIN_ORDER_GAP_S = 3.2


def make_engine(name, weights, leaving=False):
    state = upstreams.UpstreamState.READY
    if leaving:
        state = upstreams.UpstreamState.LEAVING
    entry = upstreams.UpstreamEntry(
        name=name,
        service="s",
        address="10.0.0.1:1",
        data_centre="a",
        state=state,
        slots=64,
        born=1,
        sequence=1,
        weights={"m": weights},
    )
    return upstreams.Upstream(entry, 0.0)


class SelectEnginesToUpdateTest(unittest.TestCase):
    def select(self, engines, target_version, updating=(), wait_s=None):
        by_name = {item.entry.name: item for item in engines}
        wait_s = wait_s or {}
        selected = rollout.select_engines_to_update(
            by_name,
            {"m": target_version},
            set(updating),
            lambda item: wait_s.get(item.entry.name, 0.0),
        )
        return [item.entry.name for item, _, _ in selected]

    def test_concurrent_loads_are_limited(self):
        engines = [make_engine(f"e{index}", 1) for index in range(6)]
        self.assertEqual(len(self.select(engines, 2)), 2)
        self.assertEqual(self.select(engines, 2, ["e4", "e5"]), [])

    def test_orders_by_oldest_weights_then_shortest_wait(self):
        engines = [
            make_engine("e0", 2),
            make_engine("e1", 1),
            make_engine("e2", 1),
        ]
        wait_s = {"e1": 1.0}
        self.assertEqual(self.select(engines, 3, wait_s=wait_s), ["e2"])

    def test_engines_out_of_use_are_updated_beyond_the_limit(self):
        engines = [make_engine(f"e{index}", 1 + index // 4) for index in (0, 1)]
        engines += [make_engine(f"e{index}", 2) for index in (2, 3, 4, 5)]
        selected = rollout.select_engines_to_update(
            {item.entry.name: item for item in engines},
            {"m": 3},
            {"e4", "e5"},
            lambda item: 0.0,
            lambda item, model: item.weights[model] == 1,
        )
        names = [item.entry.name for item, _, _ in selected]
        self.assertEqual(names, ["e0", "e1"])

    def test_leaving_engines_are_skipped(self):
        engines = [make_engine("e0", 1, leaving=True), make_engine("e1", 2)]
        self.assertEqual(self.select(engines, 2), [])

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 4), min_size=1, max_size=40),
        strategies.integers(1, 4),
        strategies.sets(strategies.integers(0, 39)),
    )
    def test_selection_respects_limit_and_never_downgrades(
        self, versions, target_version, updating_indices
    ):
        engines = [make_engine(f"e{i:02}", w) for i, w in enumerate(versions)]
        by_name = {item.entry.name: item for item in engines}
        updating = {f"e{i:02}" for i in updating_indices} & set(by_name)
        selected = self.select(engines, target_version, updating)
        limit = rollout.max_concurrent_loads(len(engines))
        self.assertLessEqual(len(selected), max(0, limit - len(updating)))
        for name in selected:
            self.assertLess(by_name[name].weights["m"], target_version)
            self.assertNotIn(name, updating)


class RestoreTest(unittest.TestCase):
    """A restore of the store ends the lease of a holder unnoticed."""

    def started_updates(self, since_restore_s, taken_over=7):
        started = []
        engine = make_engine("e0", 1)
        lease = mock.Mock()
        lease.fencing = 7
        fleet = mock.Mock()
        fleet.upstreams.by_name = {"e0": engine}
        fleet.target_versions = {"m": 2}
        fleet.superseded_for_s.return_value = 0.0
        context = rollout.RolloutContext(
            lambda: True,
            mock.Mock(),
            mock.Mock(),
            lambda: since_restore_s,
            MIN_ORDER_GAP_S,
        )
        clock = mock.Mock()
        clock.monotonic.return_value = 100.0
        updates = rollout.Rollout(
            lease, fleet, mock.Mock(), context, clock, mock.Mock()
        )
        updates._gap = mock.Mock()
        updates._gap.has_passed.return_value = True
        updates._gap.fencing = taken_over
        updates._update_engine = lambda *update: update
        updates._tasks.spawn = started.append
        updates.start_due_updates()
        return started

    def test_no_order_while_an_unaware_holder_may_send_some(self):
        unaware_s = const.ORDER_LEASE_S - const.ORDER_LEASE_MARGIN_S
        for since_s in (0.0, unaware_s, unaware_s + MIN_ORDER_GAP_S - 0.01):
            self.assertEqual(self.started_updates(since_s), [])

    def test_orders_are_sent_after_that(self):
        for since_s in (6.0, float("inf")):
            self.assertEqual(len(self.started_updates(since_s)), 1)

    # A router that held the lease before has not taken the new one over.
    def test_no_order_under_a_lease_that_was_not_taken_over(self):
        for fencing in (0, 5):
            self.assertEqual(self.started_updates(float("inf"), fencing), [])


class HandoverTest(unittest.TestCase):
    def test_encoded_record_decodes_to_an_equal_record(self):
        handover = order_gap.Handover(7, {"e1": 1.5})
        self.assertEqual(order_gap.parse_handover(handover.encode()), handover)

    @hypothesis.given(strategies.binary())
    def test_arbitrary_bytes_do_not_raise(self, value):
        order_gap.parse_handover(value)


if __name__ == "__main__":
    unittest.main()
