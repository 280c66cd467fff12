"""Consistent-hash ring with logarithmic look-up cost."""

import bisect
from collections.abc import Iterable

import xxhash

POINTS_PER_NODE = 64


class HashRing:
    """Maps 64-bit keys to nodes, in clockwise order from the key."""

    def __init__(self, nodes: Iterable[str]):
        points = []
        for node in nodes:
            for index in range(POINTS_PER_NODE):
                point = xxhash.xxh3_64_intdigest(f"{node}\0{index}".encode())
                points.append((point, node))
        points.sort()
        self._point_hashes = [point for point, _ in points]
        self._point_nodes = [node for _, node in points]
        self._node_count = len(set(self._point_nodes))

    def find(self, key: int, count: int) -> list[str]:
        """Returns up to `count` distinct nodes clockwise from the key."""
        count = min(count, self._node_count)
        selected: list[str] = []
        index = bisect.bisect_left(self._point_hashes, key)
        size = len(self._point_hashes)
        while len(selected) < count:
            node = self._point_nodes[index % size]
            if node not in selected:
                selected.append(node)
            index += 1
        return selected
