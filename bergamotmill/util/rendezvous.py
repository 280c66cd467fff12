"""Rendezvous (highest random weight) hashing.

Every process computes the same ranking of nodes for a key.
"""

from collections.abc import Iterable

import xxhash


def weight(key: str, node: str) -> int:
    """Returns the 64-bit weight of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes by descending weight for the key."""
    return sorted(nodes, key=lambda node: (-weight(key, node), node))


def top(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Returns the `count` nodes with the highest weight for the key."""
    return rank(key, nodes)[:count]
