"""An index of the replicas that hold each prefix in their caches.

Each entry stores the replica's epoch at the time it was added. A new
incarnation or new model weights give the replica a new epoch, which
invalidates all its older entries at once; an invalid entry is deleted when it
is next read.
"""

from collections.abc import Iterator

from bergamotmill.routing import const

_CUSTOMER = 0
_FIRST_HOLDER = 1
_HOLDER_FIELDS = 3


class PrefixLocations:
    """A bounded index from prefix digest to holders.

    A full index evicts the least recently updated prefix.
    """

    def __init__(self, max_entries: int = const.MAX_INDEXED_PREFIXES):
        self._max_entries = max_entries
        # Each value is a flat list: the customer (empty when the prefix is only
        # known from cache events), then for each holder its replica, epoch and
        # time of confirmation.
        self._entries: dict[int, list] = {}
        self._epochs: dict[str, int] = {}
        self._next_epoch = 1

    def __len__(self) -> int:
        return len(self._entries)

    def epoch(self, replica: str) -> int:
        """Returns the replica's epoch; 0 when it is unknown."""
        return self._epochs.get(replica, 0)

    def invalidate(self, replica: str) -> None:
        """Starts a new epoch, invalidating all entries of a replica."""
        self._epochs[replica] = self._next_epoch
        self._next_epoch += 1

    def remove(self, replica: str) -> None:
        """Removes a replica and invalidates its entries."""
        self._epochs.pop(replica, None)

    def add_holder(
        self, customer: str, digest: int, replica: str, now: float
    ) -> None:
        """Records that a replica holds, or is about to compute, a prefix."""
        epoch = self._epochs.get(replica)
        if epoch is None:
            return
        entry = self._entries.pop(digest, None)
        if entry is None or (
            customer and entry[_CUSTOMER] not in ("", customer)
        ):
            entry = [customer]
        elif customer:
            entry[_CUSTOMER] = customer
        for index in range(_FIRST_HOLDER, len(entry), _HOLDER_FIELDS):
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
        """Removes a replica from the holders of a prefix."""
        entry = self._entries.get(digest)
        if entry is None:
            return
        for index in range(_FIRST_HOLDER, len(entry), _HOLDER_FIELDS):
            if entry[index] == replica:
                del entry[index : index + _HOLDER_FIELDS]
                break
        if len(entry) == _FIRST_HOLDER:
            del self._entries[digest]

    def holders(
        self, customer: str, digest: int
    ) -> Iterator[tuple[str, float]]:
        """Yields the replicas that hold a prefix with their confirmation times.

        Entries of another customer are never returned.
        """
        entry = self._entries.get(digest)
        if entry is None or entry[_CUSTOMER] not in ("", customer):
            return
        epochs = self._epochs
        index = _FIRST_HOLDER
        while index < len(entry):
            replica = entry[index]
            if epochs.get(replica) == entry[index + 1]:
                yield replica, entry[index + 2]
                index += _HOLDER_FIELDS
            else:
                del entry[index : index + _HOLDER_FIELDS]

    def confirmed_at(self, digest: int, replica: str) -> float | None:
        """Returns when a replica was last recorded as holder, or None."""
        entry = self._entries.get(digest)
        if entry is None:
            return None
        epoch = self._epochs.get(replica)
        for index in range(_FIRST_HOLDER, len(entry), _HOLDER_FIELDS):
            if entry[index] == replica and entry[index + 1] == epoch:
                return entry[index + 2]
        return None


class RetentionEstimate:
    """An estimate of how long a replica caches an unused prefix.

    An eviction lowers the estimate towards the age of the evicted prefix. A
    cache hit raises it towards 1.5 times the age of the prefix, if that is
    longer.
    """

    __slots__ = ("_seconds",)

    def __init__(self):
        self._seconds = const.RETENTION_INITIAL_S

    @property
    def seconds(self) -> float:
        """The current estimate."""
        return self._seconds

    def survival_probability(self, age_s: float) -> float:
        """Returns the probability that a prefix of this age is still cached."""
        ratio = age_s / self._seconds
        return 1.0 / (1.0 + ratio * ratio * ratio)

    def record_hit(self, age_s: float) -> None:
        """Records that a prefix of this age was still cached."""
        if age_s > self._seconds / 2:
            self._move_towards(max(self._seconds, age_s * 1.5))

    def record_eviction(self, age_s: float) -> None:
        """Records that a prefix of this age had been evicted."""
        if age_s < self._seconds * 2:
            self._move_towards(
                min(self._seconds, max(age_s, const.RETENTION_MIN_S))
            )

    def _move_towards(self, target: float) -> None:
        step = const.RETENTION_SMOOTHING * (target - self._seconds)
        moved = self._seconds + step
        self._seconds = min(
            const.RETENTION_MAX_S, max(const.RETENTION_MIN_S, moved)
        )
