"""Highest-random-weight hashing: every node ranks names alike."""

from collections.abc import Iterable

import xxhash


def weight(key: str, node: str) -> int:
    """Returns the 64-bit weight of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes, the heaviest for the key first."""
    return sorted(nodes, key=lambda node: (-weight(key, node), node))


def top(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Returns the `count` heaviest nodes for the key."""
    return rank(key, nodes)[:count]
