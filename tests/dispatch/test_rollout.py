import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.dispatch import rollout
from bergamotmill.dispatch import upstreams


def engine(name, weights, leaving=False):
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


class NextEnginesTest(unittest.TestCase):
    def due(self, engines, named, under_way=(), busy=None):
        known = {item.entry.name: item for item in engines}
        busy = busy or {}
        found = rollout.select_engines_to_update(
            known,
            {"m": named},
            set(under_way),
            lambda item: busy.get(item.entry.name, 0.0),
        )
        return [item.entry.name for item, _, _ in found]

    def test_a_few_at_a_time(self):
        engines = [engine(f"e{index}", 1) for index in range(6)]
        self.assertEqual(len(self.due(engines, 2)), 2)
        self.assertEqual(self.due(engines, 2, ["e4", "e5"]), [])

    def test_the_oldest_weights_come_first_then_the_idlest(self):
        engines = [engine("e0", 2), engine("e1", 1), engine("e2", 1)]
        busy = {"e1": 1.0}
        self.assertEqual(self.due(engines, 3, busy=busy), ["e2"])

    def test_leaving_engines_get_no_orders(self):
        engines = [engine("e0", 1, leaving=True), engine("e1", 2)]
        self.assertEqual(self.due(engines, 2), [])

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 4), min_size=1, max_size=40),
        strategies.integers(1, 4),
        strategies.sets(strategies.integers(0, 39)),
    )
    def test_never_more_than_the_limit_and_never_backwards(
        self, held, named, under_way
    ):
        engines = [engine(f"e{i:02}", w) for i, w in enumerate(held)]
        known = {item.entry.name: item for item in engines}
        busy = {f"e{i:02}" for i in under_way} & set(known)
        found = self.due(engines, named, busy)
        limit = rollout.max_concurrent_loads(len(engines))
        self.assertLessEqual(len(found), max(0, limit - len(busy)))
        for name in found:
            self.assertLess(known[name].weights["m"], named)
            self.assertNotIn(name, busy)


class HandoverTest(unittest.TestCase):
    def test_it_is_read_as_it_was_written(self):
        left = rollout.Handover(7, {"e1": 1.5})
        self.assertEqual(rollout.parse_handover(left.encode()), left)

    @hypothesis.given(strategies.binary())
    def test_no_bytes_raise(self, value):
        rollout.parse_handover(value)


if __name__ == "__main__":
    unittest.main()
