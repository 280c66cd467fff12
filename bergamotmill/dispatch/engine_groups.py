"""Assigns engines to groups, and groups to the routers that keep track of them.

All routers compute the same assignment by rendezvous hashing. They may briefly
disagree on which routers are alive or how many engines there are; then two
routers keep track of a group, each of a part of its load.
"""

from collections.abc import Callable, Sequence

from bergamotmill.control import members as fleet_members
from bergamotmill.control import owners
from bergamotmill.dispatch import const
from bergamotmill.util import rendezvous


def group_count(engine_count: int) -> int:
    """Returns the number of groups for a number of engines."""
    return max(1, -(-engine_count // const.MAX_GROUP_ENGINES))


def group_order(key: str, count: int) -> list[int]:
    """Returns all groups, in the order in which a prompt prefers them."""
    if count == 1:
        return [0]
    names = [str(group) for group in range(count)]
    return [int(name) for name in rendezvous.rank(key, names)]


def in_group(engine: str, group: int, count: int) -> bool:
    """Whether an engine belongs to a group."""
    return count == 1 or group_order(engine, count)[0] == group


class GroupOwners:
    """The routers that keep track of each group, owners first.

    An owner of a service whose load is measured decides on all of its requests.
    If there are routers with enough processor time, these are the owners: one
    without it would not reply in time at the highest load.
    """

    def __init__(
        self,
        own_name: str,
        alive: Callable[[], Sequence[fleet_members.Member]],
        processors_of: Callable[[str], float],
        is_measured: Callable[[str], bool],
    ):
        """Makes the assignment.

        Args:
            own_name: name of this router.
            alive: returns the routers that are alive; the same object until
                they change.
            processors_of: returns the cores that a router may use; 0 if they
                are not known.
            is_measured: returns whether the load of a service is measured.
        """
        self._alive = alive
        self._processors_of = processors_of
        self._is_measured = is_measured
        count = const.GROUP_KEEPERS + 1
        self._owners = owners.KeyOwners(own_name, alive, count)
        self._strong_owners = owners.KeyOwners("", self._strong, count)
        self._strong_members: list[fleet_members.Member] = []
        self._strong_of: Sequence[fleet_members.Member] = ()

    def on_routers(self) -> None:
        """Applies a change of the routers' registrations."""
        self._strong_of = ()

    def _strong(self) -> list[fleet_members.Member]:
        """Returns the routers that are alive and have enough processor time."""
        alive = self._alive()
        if alive is not self._strong_of:
            self._strong_of = alive
            self._strong_members = [
                member
                for member in alive
                if self._processors_of(member.name) >= const.OWNER_PROCESSORS
            ]
        return self._strong_members

    def order(self, service: str, group: int) -> list[str]:
        """Returns the first routers in the order in which they are asked."""
        key = f"placement {service} {group}"
        if self._is_measured(service):
            order = self._strong_owners.order(key)
            if len(order) >= const.GROUP_KEEPERS:
                return order
        return self._owners.order(key)

    def keepers(self, service: str, group: int) -> list[str]:
        """Returns the owner of a group and its successor."""
        return self.order(service, group)[: const.GROUP_KEEPERS]
