"""Which replica is known to hold which prefix.

An entry carries the epoch its replica had when the entry was learned. A new
incarnation or new weights give the replica a new epoch, which makes all its
older entries invalid at once; they are dropped when they are next seen.
"""

from collections.abc import Iterator

from bergamotmill.routing import const

_OWNER = 0
_FIRST = 1
_WIDTH = 3


class PrefixLocations:
    """A bounded index from prefix digest to holders, oldest out first."""

    def __init__(self, max_entries: int = const.MAX_LOCATIONS):
        self._max_entries = max_entries
        # digest: [owner, replica, epoch, stamp, replica, epoch, stamp, ...]
        self._entries: dict[int, list] = {}
        self._epochs: dict[str, int] = {}
        self._next_epoch = 1

    def __len__(self) -> int:
        return len(self._entries)

    def epoch(self, replica: str) -> int:
        """Returns the replica's epoch; 0 when it is unknown."""
        return self._epochs.get(replica, 0)

    def invalidate(self, replica: str) -> None:
        """Makes all entries of a replica invalid in constant time."""
        self._epochs[replica] = self._next_epoch
        self._next_epoch += 1

    def remove(self, replica: str) -> None:
        """Forgets a replica that is gone."""
        self._epochs.pop(replica, None)

    def add_holder(
        self, owner: str, digest: int, replica: str, now: float
    ) -> None:
        """Notes that a replica holds or has just used a prefix."""
        epoch = self._epochs.get(replica)
        if epoch is None:
            return
        entry = self._entries.pop(digest, None)
        if entry is None or (owner and entry[_OWNER] not in ("", owner)):
            entry = [owner]
        elif owner:
            entry[_OWNER] = owner
        for index in range(_FIRST, len(entry), _WIDTH):
            if entry[index] == replica:
                entry[index + 1] = epoch
                entry[index + 2] = now
                break
        else:
            entry += (replica, epoch, now)
        self._entries[digest] = entry
        if len(self._entries) > self._max_entries:
            del self._entries[next(iter(self._entries))]

    def remove_holder(self, digest: int, replica: str) -> None:
        """Notes that a replica does not hold a prefix."""
        entry = self._entries.get(digest)
        if entry is None:
            return
        for index in range(_FIRST, len(entry), _WIDTH):
            if entry[index] == replica:
                del entry[index : index + _WIDTH]
                break
        if len(entry) == _FIRST:
            del self._entries[digest]

    def holders(self, owner: str, digest: int) -> Iterator[tuple[str, float]]:
        """Gives the replicas that hold a prefix and when that was learned.

        An entry that belongs to another customer is never given.
        """
        entry = self._entries.get(digest)
        if entry is None or entry[_OWNER] not in ("", owner):
            return
        epochs = self._epochs
        index = _FIRST
        while index < len(entry):
            replica = entry[index]
            if epochs.get(replica) == entry[index + 1]:
                yield replica, entry[index + 2]
                index += _WIDTH
            else:
                del entry[index : index + _WIDTH]

    def confirmed_at(self, digest: int, replica: str) -> float | None:
        """Returns when a valid entry was learned, or None."""
        entry = self._entries.get(digest)
        if entry is None:
            return None
        epoch = self._epochs.get(replica)
        for index in range(_FIRST, len(entry), _WIDTH):
            if entry[index] == replica and entry[index + 1] == epoch:
                return entry[index + 2]
        return None


class RetentionEstimate:
    """How long a replica keeps a prefix that is not used.

    Learned from answers: a prefix found gone pulls the horizon towards its
    age, one found in place beyond the horizon pushes it out.
    """

    __slots__ = ("_seconds",)

    def __init__(self):
        self._seconds = const.HORIZON_FIRST_S

    @property
    def seconds(self) -> float:
        """The present estimate."""
        return self._seconds

    def survival_probability(self, age: float) -> float:
        """Returns the chance that a prefix of this age is still there."""
        ratio = age / self._seconds
        return 1.0 / (1.0 + ratio * ratio * ratio)

    def record_hit(self, age: float) -> None:
        """Takes note that a prefix of this age was there."""
        if age > self._seconds / 2:
            self._move(max(self._seconds, age * 1.5))

    def record_eviction(self, age: float) -> None:
        """Takes note that a prefix of this age was evicted."""
        if age < self._seconds * 2:
            self._move(min(self._seconds, max(age, const.HORIZON_MIN_S)))

    def _move(self, target: float) -> None:
        step = const.HORIZON_STEP * (target - self._seconds)
        moved = self._seconds + step
        self._seconds = min(
            const.HORIZON_MAX_S, max(const.HORIZON_MIN_S, moved)
        )
