"""Selects the routers that read the platform's store directly.

Each data centre has two store readers, the first ones in a rendezvous hash
order of its live routers. The first one publishes what it reads to the other
routers of the data centre, and the second one does so while the first is silent
or cannot reach the store. Routers may briefly disagree on which routers are
alive; an extra reader does no harm. In a small data centre all routers read the
store and none publishes.
"""

from collections.abc import Callable, Sequence

from bergamotmill.control import const as control_const
from bergamotmill.control import members as fleet_members
from bergamotmill.dispatch import const
from bergamotmill.helpers import decisions
from bergamotmill.util import rendezvous

RENDEZVOUS_KEY = "readers"


class DataCentreStoreReaders:
    """Selects the store readers of this router's data centre."""

    def __init__(
        self,
        own_name: str,
        data_centre: str,
        alive: Callable[[str], Sequence[fleet_members.Member]],
        now: Callable[[], float],
    ):
        """Makes a selection.

        Args:
            own_name: name of this router.
            data_centre: its data centre.
            alive: returns the live routers of a data centre.
            now: the monotonic clock.
        """
        self._own_name = own_name
        self._data_centre = data_centre
        self._alive = alive
        self._now = now
        # Readers that get no answers from the store, and when they said so.
        self._unanswered_since: dict[str, float] = {}

    def _router_names(self) -> set[str]:
        live = {member.name for member in self._alive(self._data_centre)}
        return live | {self._own_name}

    def _first_of(self, names: set[str]) -> list[str]:
        return rendezvous.top(
            RENDEZVOUS_KEY, names, control_const.READERS_PER_DATA_CENTRE
        )

    def _reader_names(self) -> list[str]:
        """Returns the first routers that have not lost the store.

        If all have, the first routers try on.
        """
        names = self._router_names()
        forgotten_before = self._now() - const.READER_LOSS_MEMORY_S
        lost = {
            name
            for name, since in self._unanswered_since.items()
            if since >= forgotten_before
        }
        return self._first_of(names - lost or names)

    def note_answers(self, name: str, answers: bool) -> None:
        """Records whether a router gets answers from the store."""
        if answers:
            self._unanswered_since.pop(name, None)
            return
        if name not in self._unanswered_since:
            decisions.record("reader_unanswered", router=name)
        self._unanswered_since[name] = self._now()

    def _all_read(self) -> bool:
        return len(self._router_names()) <= const.ALL_READERS_MAX_ROUTERS

    def is_reader(self) -> bool:
        """Whether this router reads the store directly."""
        return (
            self._all_read()
            or self._own_name in self._reader_names()
            or self._own_name in self._first_of(self._router_names())
        )

    def is_first_reader(self) -> bool:
        """Whether this router always reads the store."""
        return (
            self._all_read()
            or self._own_name == self._reader_names()[0]
            or self._own_name == self._first_of(self._router_names())[0]
        )

    def publication_timeout_s(self) -> float:
        """Returns for how long a publication saves reading the store."""
        if not self.is_reader():
            return const.READER_TIMEOUT_S
        if self.is_first_reader():
            return 0.0
        return const.SECOND_READER_TIMEOUT_S

    def watch_wait_s(self) -> float:
        """Returns how long a watch of the store may wait for changes."""
        if self.publish_targets():
            return const.WATCH_WAIT_PUBLISHING_S
        return const.WATCH_WAIT_S

    def poll_interval_s(self) -> float:
        """Returns the delay after a call to the store that returned changes.

        Upstreams update their entries continuously. Without a delay, each
        update would cost a call to the store and a message to each router
        that this one publishes to.
        """
        if self.publish_targets():
            return const.WATCH_PAUSE_PUBLISHING_S
        return const.WATCH_PAUSE_S

    def publish_targets(self) -> Sequence[str]:
        """Returns the routers to which a reader publishes changes."""
        if self._all_read():
            return ()
        return sorted(self._router_names() - {self._own_name})
