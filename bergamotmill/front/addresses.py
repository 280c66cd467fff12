"""Answers which entry VMs a caller is to use.

Each customer is given the same few routers by every router, so that those
few know its prefixes and share its limits. The order is turned by the
caller's share of time, so that callers spread; the lifetime is jittered, so
that they do not all ask again at once.
"""

from collections.abc import Callable, Sequence
import dataclasses
import random

from bergamotmill import core
from bergamotmill.control import members as fleet_members
from bergamotmill.front import const
from bergamotmill.util import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class AddressList:
    """Addresses in the order in which to try them."""

    addresses: tuple[str, ...]
    lifetime_s: float
    filing_token: str


class RouterSelector:
    """Ranks the routers for each customer."""

    def __init__(
        self,
        alive: Callable[[], Sequence[fleet_members.Member]],
        lifetime_s: float,
        token: Callable[[str], str],
        rng: random.Random,
    ):
        self._alive = alive
        self._lifetime_s = lifetime_s
        self._token = token
        self._rng = rng
        self._subsets: dict[str, tuple[fleet_members.Member, ...]] = {}

    def clear_cache(self) -> None:
        """Forgets the subsets, as routers have come or gone."""
        self._subsets.clear()

    def routers_for(
        self, customer: core.Customer
    ) -> tuple[fleet_members.Member, ...]:
        """Returns the customer's routers, the first in rank first."""
        found = self._subsets.get(customer.name)
        if found is None:
            members = {member.name: member for member in self._alive()}
            names = rendezvous.top(customer.name, members, customer.spread)
            found = tuple(members[name] for name in names)
            if len(self._subsets) > 4096:
                self._subsets.clear()
            self._subsets[customer.name] = found
        return found

    def limit_share(self, customer: core.Customer, router: str) -> float:
        """Returns the router's part of the customer's limits."""
        subset = self.routers_for(customer)
        if all(member.name != router for member in subset):
            return 0.0
        return 1.0 / max(len(subset), 1)

    def addresses_for(self, customer: core.Customer) -> AddressList:
        """Returns the addresses for one caller."""
        subset = list(self.routers_for(customer))[: const.MAX_ADDRESSES]
        if subset:
            turn = self._rng.randrange(len(subset))
            subset = subset[turn:] + subset[:turn]
        lifetime = self._lifetime_s * self._rng.uniform(0.7, 1.0)
        return AddressList(
            tuple(member.front_address for member in subset),
            lifetime,
            self._token(customer.name),
        )
