"""Chooses the router addresses that a caller is given."""

from collections.abc import Callable, Sequence
import random

from bergamotmill.control import members as fleet_members

# Callers accept at most this many addresses.
MAX_ADDRESSES = 64
ADDRESS_LIFETIME_S = 2.0


class Directory:
    """Orders the live routers by distance from a caller."""

    def __init__(
        self,
        alive: Callable[[], Sequence[fleet_members.Member]],
        rng: random.Random,
    ):
        self._alive = alive
        self._rng = rng

    def addresses(self, data_centre: str) -> list[str]:
        """Returns router addresses, those in the data centre first."""
        members = list(self._alive())
        self._rng.shuffle(members)
        members.sort(key=lambda member: member.data_centre != data_centre)
        return [m.front_address for m in members[:MAX_ADDRESSES]]
