import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.routing import locations


class LocationsTest(unittest.TestCase):
    def setUp(self):
        self.index = locations.PrefixLocations(max_entries=100)
        for name in ("a", "b"):
            self.index.invalidate(name)

    def holders(self, digest, customer="one"):
        return sorted(name for name, _ in self.index.holders(customer, digest))

    def test_invalidate_affects_only_that_replica(self):
        self.index.add_holder("one", 7, "a", 1.0)
        self.index.add_holder("one", 7, "b", 1.0)
        self.index.invalidate("a")
        self.assertEqual(self.holders(7), ["b"])
        self.assertIsNone(self.index.confirmed_at(7, "a"))

    def test_entry_of_another_customer_is_never_returned(self):
        self.index.add_holder("one", 7, "a", 1.0)
        self.assertEqual(self.holders(7, "two"), [])
        self.index.add_holder("two", 7, "b", 2.0)
        self.assertEqual(self.holders(7, "two"), ["b"])
        self.assertEqual(self.holders(7, "one"), [])

    def test_unknown_replica_is_not_added(self):
        self.index.add_holder("one", 7, "gone", 1.0)
        self.assertEqual(self.holders(7), [])

    def test_index_is_bounded_and_evicts_the_oldest(self):
        for digest in range(150):
            self.index.add_holder("one", digest, "a", float(digest))
        self.assertEqual(len(self.index), 100)
        self.assertEqual(self.holders(0), [])
        self.assertEqual(self.holders(149), ["a"])

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["learn", "forget", "invalidate"]),
                strategies.integers(0, 3),
                strategies.sampled_from(["a", "b"]),
            )
        )
    )
    def test_matches_a_set_based_model(self, steps):
        index = locations.PrefixLocations()
        model = set()
        for name in ("a", "b"):
            index.invalidate(name)
        for action, digest, name in steps:
            if action == "learn":
                index.add_holder("one", digest, name, 0.0)
                model.add((digest, name))
            elif action == "forget":
                index.remove_holder(digest, name)
                model.discard((digest, name))
            else:
                index.invalidate(name)
                model = {entry for entry in model if entry[1] != name}
        for digest in range(4):
            holders = {name for name, _ in index.holders("one", digest)}
            self.assertEqual(
                holders, {name for known, name in model if known == digest}
            )


class RetentionEstimateTest(unittest.TestCase):
    def test_evictions_shorten_and_hits_lengthen_the_estimate(self):
        retention = locations.RetentionEstimate()
        first = retention.seconds
        retention.record_eviction(5.0)
        self.assertLess(retention.seconds, first)
        shorter = retention.seconds
        retention.record_hit(60.0)
        self.assertGreater(retention.seconds, shorter)


if __name__ == "__main__":
    unittest.main()
