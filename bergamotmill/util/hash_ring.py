"""A consistent-hash ring with a look-up cost that is logarithmic."""

import bisect
from collections.abc import Iterable

import xxhash

POINTS_PER_NODE = 64


class HashRing:
    """Maps 64-bit keys to an order of nodes."""

    def __init__(self, nodes: Iterable[str]):
        points = []
        for node in nodes:
            for index in range(POINTS_PER_NODE):
                point = xxhash.xxh3_64_intdigest(f"{node}\0{index}".encode())
                points.append((point, node))
        points.sort()
        self._points = [point for point, _ in points]
        self._nodes = [node for _, node in points]
        self._distinct = len(set(self._nodes))

    def find(self, key: int, count: int) -> list[str]:
        """Returns up to `count` distinct nodes clockwise from the key."""
        count = min(count, self._distinct)
        found: list[str] = []
        index = bisect.bisect_left(self._points, key)
        size = len(self._points)
        while len(found) < count:
            node = self._nodes[index % size]
            if node not in found:
                found.append(node)
            index += 1
        return found
