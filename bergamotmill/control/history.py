"""Recent events of this router, for operators."""

import collections
from collections.abc import Callable
import dataclasses

import loguru

from bergamotmill.control import const


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        at: time of the event, in seconds since the epoch.
        kind: kind of the event.
        text: description for operators.
    """

    at: float
    kind: str
    text: str


class History:
    """A bounded buffer of the latest events."""

    def __init__(self, wall: Callable[[], float]):
        self._wall = wall
        self._events: collections.deque[Event] = collections.deque(
            maxlen=const.HISTORY_EVENTS
        )

    def add(self, kind: str, text: str) -> None:
        """Records and logs an event."""
        self._events.append(Event(self._wall(), kind, text))
        loguru.logger.info("{}: {}.", kind, text)

    def latest(self, count: int) -> list[Event]:
        """Returns the latest events, newest first."""
        return list(self._events)[: -count - 1 : -1]
