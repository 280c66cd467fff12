"""The request rate that an upstream names in its responses; performs no I/O.

Responses overtake one another, and the head of a stream may be old when it is
read. A lower limit therefore counts at once. A higher one, or a response
without a limit, counts only if its request was sent after the lower limit was
last heard, since the upstream then wrote it later.
"""

import dataclasses
import math

# The limit of an upstream that names none, in requests per second.
UNLIMITED = math.inf
# Upstreams whose limits are remembered at most; a fleet has up to 10,000.
MAX_LIMITS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What one response says of its upstream's limit.

    Attributes:
        per_s: requests per second that the upstream takes from all routers
            together; UNLIMITED if it names no limit.
        sent_at: when the request was sent, on the clock of the reader.
        heard_at: when the response was read, on the same clock.
    """

    per_s: float
    sent_at: float
    heard_at: float


class LimitRecord:
    """The limit of one incarnation of an upstream, from its statements."""

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest = Statement(UNLIMITED, -math.inf, -math.inf)

    @property
    def per_s(self) -> float:
        """The limit in force, in requests per second."""
        return self._latest.per_s

    @property
    def latest(self) -> Statement:
        """The limit in force, with the latest times of responses that name it.

        Another router that applies it comes to the same limit.
        """
        return self._latest

    def apply(self, statement: Statement) -> bool:
        """Applies a statement; True if the limit in force changes."""
        latest = self._latest
        if statement.per_s == latest.per_s:
            self._latest = Statement(
                latest.per_s,
                max(latest.sent_at, statement.sent_at),
                max(latest.heard_at, statement.heard_at),
            )
            return False
        if statement.per_s < latest.per_s:
            is_outdated = statement.heard_at <= latest.sent_at
        else:
            is_outdated = statement.sent_at <= latest.heard_at
        if is_outdated:
            return False
        self._latest = statement
        return True


class StatedLimits:
    """The limits of all upstreams, each of its latest incarnation.

    They are kept by name, as the entry of an upstream may be missing for a
    time. The limit that was heard least recently is dropped first.
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[int, LimitRecord]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, name: str, born: int, statement: Statement) -> bool:
        """Applies a statement of an incarnation; True if its limit changes."""
        known_born, record = self._records.get(name, (-1, None))
        if born < known_born:
            return False
        if record is None or born > known_born:
            if statement.per_s == UNLIMITED:
                return self._records.pop(name, None) is not None
            record = LimitRecord()
        else:
            del self._records[name]
        self._records[name] = (born, record)
        if len(self._records) > MAX_LIMITS:
            del self._records[next(iter(self._records))]
        return record.apply(statement)

    def latest(self, name: str, born: int) -> Statement | None:
        """Returns the limit in force of an incarnation.

        It may be UNLIMITED, if the upstream has named a limit before; None if
        it never has.
        """
        known_born, record = self._records.get(name, (-1, None))
        if record is None or known_born != born:
            return None
        return record.latest

    def per_s(self, name: str, born: int) -> float:
        """Returns the requests per second that an incarnation takes."""
        latest = self.latest(name, born)
        return UNLIMITED if latest is None else latest.per_s

    def limited(self) -> dict[str, int]:
        """Returns the incarnation of each upstream with a limit, by name."""
        return {
            name: born
            for name, (born, record) in self._records.items()
            if record.per_s != UNLIMITED
        }

    def drop_unlimited(self, heard_before: float) -> None:
        """Drops records without a limit that were last heard before a time."""
        for name, (_, record) in list(self._records.items()):
            latest = record.latest
            if latest.per_s == UNLIMITED and latest.heard_at < heard_before:
                del self._records[name]
