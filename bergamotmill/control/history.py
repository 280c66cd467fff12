"""What this router did or noticed lately, for operators."""

import collections
from collections.abc import Callable
import dataclasses

import loguru

from bergamotmill.control import const


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened."""

    at: float
    kind: str
    text: str


class History:
    """The latest events, in bounded memory."""

    def __init__(self, wall: Callable[[], float]):
        self._wall = wall
        self._events: collections.deque[Event] = collections.deque(
            maxlen=const.HISTORY_EVENTS
        )

    def add(self, kind: str, text: str) -> None:
        """Keeps and logs an event."""
        self._events.append(Event(self._wall(), kind, text))
        loguru.logger.info("{}: {}.", kind, text)

    def latest(self, count: int) -> list[Event]:
        """Returns the latest events, the newest first."""
        return list(self._events)[: -count - 1 : -1]
