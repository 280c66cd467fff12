"""Which routers read the platform's store, and whom they tell.

The first few of each data centre, in an order that every router computes
alike from who is alive. An extra reader does no harm.
"""

from collections.abc import Callable, Sequence

from bergamotmill.control import const as control_const
from bergamotmill.control import members as fleet_members
from bergamotmill.dispatch import const
from bergamotmill.util import rendezvous

ORDER_KEY = "readers"


class DataCentreStoreReaders:
    """The readers of one data centre."""

    def __init__(
        self,
        own_name: str,
        data_centre: str,
        alive: Callable[[str], Sequence[fleet_members.Member]],
    ):
        self._own_name = own_name
        self._data_centre = data_centre
        self._alive = alive

    def _names(self) -> set[str]:
        near = {member.name for member in self._alive(self._data_centre)}
        return near | {self._own_name}

    def _readers(self) -> list[str]:
        names = self._names()
        if len(names) <= const.ALL_READERS_MAX_ROUTERS:
            return sorted(names)
        return rendezvous.top(
            ORDER_KEY, names, control_const.READERS_PER_DATA_CENTRE
        )

    def is_reader(self) -> bool:
        """Whether this process follows the store itself."""
        return self._own_name in self._readers()

    def poll_interval_s(self) -> float:
        """Returns how long a reader waits before it asks again.

        Upstreams report all the time: without a pause every report would be
        a call of its own, and one to each router that is told.
        """
        if self.publish_targets():
            return const.WATCH_PAUSE_FORWARDING_S
        return const.WATCH_PAUSE_S

    def publish_targets(self) -> Sequence[str]:
        """Returns the names of those that this reader tells."""
        readers = set(self._readers())
        return sorted(self._names() - readers)
