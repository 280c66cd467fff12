"""Selects the routers that a router watches, and when to check each of them.

All routers compute the same ring of routers, in which data centres alternate.
Each one watches those that follow it, until the given number of them are
alive; the others in between are checked as well, so that their return is
noticed. As data centres alternate, the end of a whole data centre leaves every
router with one that watches it.
"""

from collections.abc import Container, Iterable
import dataclasses
import math

import xxhash

from bergamotmill.control import const
from bergamotmill.control import members


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How closely a router watches others.

    Attributes:
        targets: number of routers that are alive and watched by one router.
        period_s: longest time from the last contact to the next check.
    """

    targets: int
    period_s: float


# Checks are datagrams, which cost little, or calls.
DATAGRAM_TERMS = Terms(const.WATCHED_ROUTERS, const.WATCH_PERIOD_S)
CALL_TERMS = Terms(const.WATCHED_ROUTERS_BY_CALLS, const.CALL_WATCH_PERIOD_S)


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def ring(fleet: Iterable[members.Member]) -> list[members.Member]:
    """Returns the routers in the order of the ring.

    The routers of each data centre are spread evenly over the ring.
    """
    by_data_centre: dict[str, list[members.Member]] = {}
    for member in fleet:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    positions: list[tuple[float, str, members.Member]] = []
    for data_centre, group in by_data_centre.items():
        group.sort(key=lambda member: (_hash(member.name), member.name))
        offset = _hash(data_centre) / 2**64
        positions += [
            ((rank + offset) / len(group), member.name, member)
            for rank, member in enumerate(group)
        ]
    positions.sort(key=lambda position: position[:2])
    return [member for _, _, member in positions]


def targets(
    own_name: str, fleet: Iterable[members.Member], count: int
) -> list[members.Member]:
    """Returns the routers that a router watches.

    Args:
        own_name: the router that watches.
        fleet: all routers that it knows, itself included.
        count: number of routers that are alive among the result.
    """
    order = ring(fleet)
    names = [member.name for member in order]
    start = names.index(own_name) + 1
    watched = []
    alive = 0
    for member in order[start:] + order[: start - 1]:
        watched.append(member)
        alive += member.is_serving
        if alive == count or len(watched) == const.MAX_WATCHED_ROUTERS:
            break
    return watched


@dataclasses.dataclass(slots=True)
class _Target:
    """A router that is watched.

    Attributes:
        checked_at: time of the first check without an answer; infinite if
            there is none.
        unanswered: number of such checks.
        sent_at: time of the latest check.
    """

    checked_at: float = math.inf
    unanswered: int = 0
    sent_at: float = -math.inf


class Watch:
    """Decides which routers to check, and which of them did not answer."""

    def __init__(self, terms: Terms, now: float):
        """Starts without targets.

        Args:
            terms: how closely to watch.
            now: the present time, in seconds of any clock.
        """
        self._terms = terms
        self._targets: dict[str, _Target] = {}
        self._heard_at: dict[str, float] = {}
        self._last_heard_at = now

    @property
    def last_heard_at(self) -> float:
        """When any router was last heard."""
        return self._last_heard_at

    def note_start(self, now: float) -> None:
        """Records that checks begin now; until then nobody could be heard."""
        self._last_heard_at = now

    def set_targets(self, names: Iterable[str], now: float) -> None:
        """Sets the routers to watch; new ones are checked at once.

        A new one counts as heard one period ago: until it has been checked,
        what other routers say of it counts.
        """
        known = self._targets
        self._targets = {name: known.get(name) or _Target() for name in names}
        for name in self._targets:
            if name not in known:
                self._heard_at[name] = (
                    now - self._terms.period_s - const.WATCH_TICK_S
                )

    def forget_unknown(self, known: Container[str]) -> None:
        """Forgets the routers that have left the fleet."""
        for name in [name for name in self._heard_at if name not in known]:
            self._targets.pop(name, None)
            del self._heard_at[name]

    def note_heard(self, name: str, now: float) -> None:
        """Records a message of a router, or the word of one that reached it."""
        self._heard_at[name] = now
        self._last_heard_at = now
        target = self._targets.get(name)
        if target is not None:
            target.checked_at = math.inf
            target.unanswered = 0

    def is_fresh(self, name: str, now: float) -> bool:
        """Whether a router was heard recently, or others watch it."""
        return name not in self._targets or self.was_heard(
            name, now - const.CONTACT_LIFETIME_S
        )

    def was_heard(self, name: str, since: float) -> bool:
        """Whether a router was heard since a time."""
        return self._heard_at.get(name, -math.inf) >= since

    def due_checks(self, now: float) -> list[str]:
        """Returns the routers to check now, and counts the checks."""
        due = []
        for name, target in self._targets.items():
            since = self._heard_at[name]
            if target.unanswered > const.WATCH_CHECKS:
                since = target.sent_at
            elif target.unanswered:
                since = -math.inf
            if now - since >= self._terms.period_s:
                target.checked_at = min(target.checked_at, now)
                target.sent_at = now
                target.unanswered += 1
                due.append(name)
        return due

    def unanswered(self) -> list[str]:
        """Returns the routers that have missed several checks in a row."""
        return [
            name
            for name, target in self._targets.items()
            if target.unanswered > const.WATCH_CHECKS
        ]

    def checked_since(self, name: str, now: float) -> float:
        """Returns since when a router has not answered; `now` if it has."""
        target = self._targets.get(name)
        return now if target is None else min(now, target.checked_at)

    def is_isolated(self, now: float) -> bool:
        """Whether no router has been heard for so long that none can be."""
        return now - self._last_heard_at > const.CONTACT_LIFETIME_S
