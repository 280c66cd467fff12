"""The routers that are responsible for a key.

All routers compute the same order by rendezvous hashing. They may briefly
disagree on which routers are alive; two of them then feel responsible.
"""

from collections.abc import Callable, Sequence

from bergamotmill.control import members as fleet_members
from bergamotmill.util import rendezvous

# Keys whose order is kept; more than there are engine groups and limits.
MAX_KEYS = 4096


class KeyOwners:
    """The first routers in the order of each key."""

    def __init__(
        self,
        own_name: str,
        alive: Callable[[], Sequence[fleet_members.Member]],
        count: int,
    ):
        """Makes the assignment.

        Args:
            own_name: name of this router, which counts as alive; empty if it
                only does if it is named.
            alive: returns the routers that are alive; the same object until
                they change.
            count: number of routers in each order.
        """
        self._own_name = own_name
        self._alive = alive
        self._count = count
        self._computed_for: Sequence[fleet_members.Member] = ()
        self._order: dict[str, list[str]] = {}

    def order(self, key: str) -> list[str]:
        """Returns the first routers of a key, its owner first."""
        alive = self._alive()
        if alive is not self._computed_for or len(self._order) > MAX_KEYS:
            self._computed_for = alive
            self._order.clear()
        order = self._order.get(key)
        if order is None:
            names = {member.name for member in alive}
            if self._own_name:
                names.add(self._own_name)
            order = rendezvous.top(key, names, self._count)
            self._order[key] = order
        return order
