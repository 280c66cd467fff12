"""Selects the routers that serve each customer and lists their addresses.

Every router computes the same small subset of routers for a customer, so that
these few have its prefixes cached and divide its rate limits among them. Each
caller gets the subset rotated by a random offset, which spreads callers over
the routers. The lifetime of a list is jittered so that callers do not all
refresh it at the same moment.
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
    """Router addresses for one caller.

    Attributes:
        addresses: addresses in the order in which the caller tries them.
        lifetime_s: seconds until the caller requests a new list.
        filing_token: prefix of the idempotency keys that the caller creates;
            it binds them to the router that issued it.
    """

    addresses: tuple[str, ...]
    lifetime_s: float
    filing_token: str


class RouterSelector:
    """Selects each customer's routers by rendezvous hashing."""

    def __init__(
        self,
        alive_members: Callable[[], Sequence[fleet_members.Member]],
        may_name: Callable[[str], bool],
        lifetime_s: float,
        filing_token_for: Callable[[str], str],
        rng: random.Random,
    ):
        """Initializes the selector.

        Args:
            alive_members: returns the routers that are alive.
            may_name: whether callers may be sent to one of them.
            lifetime_s: longest lifetime of an address list, in seconds.
            filing_token_for: returns a filing token for a customer's name.
            rng: source of the rotation and the jitter.
        """
        self._alive_members = alive_members
        self._may_name = may_name
        self._lifetime_s = lifetime_s
        self._filing_token_for = filing_token_for
        self._rng = rng
        self._subsets: dict[str, tuple[fleet_members.Member, ...]] = {}

    def clear_cache(self) -> None:
        """Discards cached subsets after a change of routers or customers."""
        self._subsets.clear()

    def routers_for(
        self, customer: core.Customer
    ) -> tuple[fleet_members.Member, ...]:
        """Returns the customer's routers, highest rendezvous rank first."""
        subset = self._subsets.get(customer.name)
        if subset is None:
            members = {member.name: member for member in self._alive_members()}
            names = rendezvous.top(customer.name, members, customer.spread)
            subset = tuple(members[name] for name in names)
            if len(self._subsets) > 4096:
                self._subsets.clear()
            self._subsets[customer.name] = subset
        return subset

    def limit_share(self, customer: core.Customer, router: str) -> float:
        """Returns the router's fraction of the customer's rate limits."""
        subset = self.routers_for(customer)
        if all(member.name != router for member in subset):
            return 0.0
        return 1.0 / max(len(subset), 1)

    def addresses_for(self, customer: core.Customer) -> AddressList:
        """Returns the address list for one caller of the customer."""
        subset = [
            member
            for member in self.routers_for(customer)
            if self._may_name(member.name)
        ][: const.MAX_ADDRESSES]
        if subset:
            offset = self._rng.randrange(len(subset))
            subset = subset[offset:] + subset[:offset]
        lifetime_s = self._lifetime_s * self._rng.uniform(0.7, 1.0)
        return AddressList(
            tuple(member.front_address for member in subset),
            lifetime_s,
            self._filing_token_for(customer.name),
        )
