"""Selects the routers that read the platform's store directly.

Each data centre has a few store readers, the first ones in a rendezvous hash
order of its live routers. They publish what they read to the other routers of
the data centre. Routers may briefly disagree on which routers are alive; an
extra reader does no harm.
"""

from collections.abc import Callable, Sequence

from bergamotmill.control import const as control_const
from bergamotmill.control import members as fleet_members
from bergamotmill.dispatch import const
from bergamotmill.util import rendezvous

RENDEZVOUS_KEY = "readers"


class DataCentreStoreReaders:
    """Selects the store readers of this router's data centre."""

    def __init__(
        self,
        own_name: str,
        data_centre: str,
        alive: Callable[[str], Sequence[fleet_members.Member]],
    ):
        self._own_name = own_name
        self._data_centre = data_centre
        self._alive = alive

    def _router_names(self) -> set[str]:
        live = {member.name for member in self._alive(self._data_centre)}
        return live | {self._own_name}

    def _reader_names(self) -> list[str]:
        names = self._router_names()
        if len(names) <= const.ALL_READERS_MAX_ROUTERS:
            return sorted(names)
        return rendezvous.top(
            RENDEZVOUS_KEY, names, control_const.READERS_PER_DATA_CENTRE
        )

    def is_reader(self) -> bool:
        """Whether this router reads the store directly."""
        return self._own_name in self._reader_names()

    def poll_interval_s(self) -> float:
        """Returns the delay before a reader's next call to the store.

        Upstreams update their entries continuously. Without a delay, each
        update would cost a call to the store and a message to each router
        that this one publishes to.
        """
        if self.publish_targets():
            return const.WATCH_PAUSE_PUBLISHING_S
        return const.WATCH_PAUSE_S

    def publish_targets(self) -> Sequence[str]:
        """Returns the routers to which a reader publishes changes."""
        readers = set(self._reader_names())
        return sorted(self._router_names() - readers)
