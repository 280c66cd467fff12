import unittest

from bergamotmill.util import hash_ring
from bergamotmill.util import rendezvous


class HashingTest(unittest.TestCase):
    def test_removing_a_node_remaps_only_its_keys(self):
        nodes = [f"n{index}" for index in range(9)]
        before = hash_ring.HashRing(nodes)
        after = hash_ring.HashRing(nodes[:-1])
        for key in range(0, 2**64, 2**64 // 500):
            node = before.find(key, 1)[0]
            if node != nodes[-1]:
                self.assertEqual(after.find(key, 1)[0], node)

    def test_ring_returns_distinct_nodes(self):
        ring = hash_ring.HashRing(["a", "b", "c"])
        self.assertEqual(sorted(ring.find(12345, 10)), ["a", "b", "c"])

    def test_rendezvous_order_is_stable_when_a_node_is_removed(self):
        ranked = rendezvous.rank("key", ["a", "b", "c", "d"])
        ranked_without_node = rendezvous.rank("key", set(ranked) - {ranked[1]})
        self.assertEqual(ranked_without_node, [ranked[0], *ranked[2:]])


if __name__ == "__main__":
    unittest.main()
