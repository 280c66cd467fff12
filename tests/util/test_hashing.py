import unittest

from bergamotmill.util import hash_ring
from bergamotmill.util import rendezvous


class HashingTest(unittest.TestCase):
    def test_removing_a_node_moves_only_its_keys(self):
        nodes = [f"n{index}" for index in range(9)]
        before = hash_ring.HashRing(nodes)
        after = hash_ring.HashRing(nodes[:-1])
        for key in range(0, 2**64, 2**64 // 500):
            old = before.find(key, 1)[0]
            if old != nodes[-1]:
                self.assertEqual(after.find(key, 1)[0], old)

    def test_ring_gives_distinct_nodes(self):
        ring = hash_ring.HashRing(["a", "b", "c"])
        self.assertEqual(sorted(ring.find(12345, 10)), ["a", "b", "c"])

    def test_rendezvous_keeps_order_without_a_node(self):
        full = rendezvous.rank("key", ["a", "b", "c", "d"])
        less = rendezvous.rank("key", set(full) - {full[1]})
        self.assertEqual(less, [full[0], *full[2:]])


if __name__ == "__main__":
    unittest.main()
