"""Which routers decide on a customer, and which part of the fleet is alive."""

import collections
from collections.abc import Callable, Mapping, Sequence
import dataclasses

from bergamotmill.control import members as fleet_members
from bergamotmill.control import owners as key_owners
from bergamotmill.customer_limits import const
from bergamotmill.util import rendezvous

# Routers in the order of a customer that are computed: the owner, the
# successor, and another one in case this router is one of them and leaves.
_ORDER_LENGTH = 3
_DECIDERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FleetLinks:
    """What is known of the other routers.

    Attributes:
        own_name: name of this router.
        alive: returns the routers that are alive; the same object until they
            change.
        known: returns all known routers by name.
        router_count: returns the number of routers that may be serving.
        is_alone: whether no other router is configured.
    """

    own_name: str
    alive: Callable[[], Sequence[fleet_members.Member]]
    known: Callable[[], Mapping[str, fleet_members.Member]]
    router_count: Callable[[], int]
    is_alone: bool = False


def _key(customer: str) -> str:
    return f"customer {customer}"


class FleetView:
    """This router's view of the fleet."""

    def __init__(self, links: FleetLinks, now: Callable[[], float]):
        """Makes a view.

        Args:
            links: what is known of the other routers.
            now: the clock that runs during suspensions.
        """
        self._links = links
        self._now = now
        self._owners = key_owners.KeyOwners(
            links.own_name, links.alive, _ORDER_LENGTH
        )
        self._alive: Sequence[fleet_members.Member] = ()
        self._alive_names: set[str] = set()
        self._lost_at: dict[str, float] = {}
        self._started_at = now()
        self._alive_version = 0
        self._count = 0
        self._counted_at = float("-inf")
        # When routers stopped being alive, the latest at the end.
        self._removed: collections.deque[tuple[float, str]] = (
            collections.deque()
        )

    @property
    def own_name(self) -> str:
        """Name of this router."""
        return self._links.own_name

    @property
    def alive_version(self) -> int:
        """Number that changes with the routers that are alive."""
        return self._alive_version

    def deciders(self, customer: str) -> list[str]:
        """Returns the owner of a customer's bucket and its successor."""
        order = self._owners.order(_key(customer))
        if self._is_leaving() and len(order) > 1:
            order = [name for name in order if name != self.own_name]
        return order[:_DECIDERS]

    def is_owner(self, customer: str) -> bool:
        """Whether this router is the first in order."""
        return self.deciders(customer)[0] == self.own_name

    def responsible_s(self, customer: str, since: float) -> float:
        """Returns for how long this router has been the first in order.

        Args:
            customer: name of the customer.
            since: time from which this router can tell.

        Returns:
            The time in seconds, at most MAX_RESPONSIBLE_S; 0 if it is not.
        """
        self.refresh()
        if not self.is_owner(customer):
            return 0.0
        now = self._now()
        since = max(since, now - const.MAX_RESPONSIBLE_S)
        key = _key(customer)
        own_weight = rendezvous.weight(key, self.own_name)
        for at, name in reversed(self._removed):
            if at <= since:
                break
            if rendezvous.weight(key, name) >= own_weight:
                since = at
                break
        return max(0.0, now - since)

    def count(self) -> int:
        """Returns the number of routers that may be serving.

        Those that were lost without having left are counted for a time: they
        may serve where this router cannot reach them.
        """
        self.refresh()
        now = self._now()
        if self._count and now < self._counted_at + const.COUNT_PERIOD_S:
            return self._count
        self._counted_at = now
        for name, at in list(self._lost_at.items()):
            if at + const.LOST_ROUTER_MEMORY_S <= now or self._has_left(name):
                del self._lost_at[name]
        names = len(self._alive_names | {self.own_name} | self._lost_at.keys())
        self._count = max(names, self._links.router_count())
        if self._knows_nobody():
            self._count = max(self._count, const.STARTING_ROUTERS)
        return self._count

    def fraction(self) -> float:
        """Returns the part of the routers that are alive, 0 to 1."""
        count = self.count()
        alive = max(1, len(self._alive_names))
        return min(1.0, alive / count)

    def refresh(self) -> None:
        """Takes note of routers that are no longer alive."""
        alive = self._links.alive()
        if alive is self._alive:
            return
        self._alive = alive
        self._alive_version += 1
        self._count = 0
        names = {member.name for member in alive}
        now = self._now()
        for name in self._alive_names - names:
            self._removed.append((now, name))
            if not self._has_left(name):
                self._lost_at[name] = now
        for name in names:
            self._lost_at.pop(name, None)
        self._alive_names = names
        while self._removed and (
            self._removed[0][0] + const.MAX_RESPONSIBLE_S <= now
        ):
            self._removed.popleft()

    def _knows_nobody(self) -> bool:
        """Whether this router has just started and heard no other one yet."""
        return (
            not self._links.is_alone
            and len(self._alive_names) <= 1
            and self._now() < self._started_at + const.STARTING_S
        )

    def _is_leaving(self) -> bool:
        return self._has_left(self.own_name)

    def _has_left(self, name: str) -> bool:
        member = self._links.known().get(name)
        return member is not None and (
            member.state is fleet_members.MemberState.LEAVING
        )
