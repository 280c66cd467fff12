"""Answers which routers a caller is to connect to."""

from collections.abc import Callable, Sequence
import random

from bergamotmill.control import members as fleet_members

# Callers take so many addresses at most.
MAX_ADDRESSES = 64
ADDRESS_LIFETIME_S = 2.0


class Directory:
    """Ranks the living routers for a caller."""

    def __init__(
        self,
        alive: Callable[[], Sequence[fleet_members.Member]],
        rng: random.Random,
    ):
        self._alive = alive
        self._rng = rng

    def addresses(self, data_centre: str) -> list[str]:
        """Returns addresses for a caller, the nearest first."""
        members = list(self._alive())
        self._rng.shuffle(members)
        members.sort(key=lambda member: member.data_centre != data_centre)
        return [m.front_address for m in members[:MAX_ADDRESSES]]
