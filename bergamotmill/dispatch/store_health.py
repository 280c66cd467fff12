"""Tells an outage of the store from the loss of this router's connection to it.

While the store is away, entries of upstreams that live may lapse, and are
written again when it is back. What is missing then is not gone at once. But a
call that was lost, a process that has just started, or a store that turns some
routers away is no outage: the store is away only while it answers nobody.
Routers tell each other since when it has answered, and when it last did.
"""

from collections.abc import Callable
import dataclasses
import math

from bergamotmill.proto import peer_pb2

# Entries lapse only in an outage that lasts longer than this; answers to the
# routers of a fleet are less far apart.
MIN_OUTAGE_S = 2.4
# After an outage, entries may be missing for this long.
UNSTABLE_S = 3.0
# Longest time that a message can carry, in milliseconds.
MAX_MS = 0xFFFF_FFFF


@dataclasses.dataclass(frozen=True, slots=True)
class _Silence:
    """A time in which no answer of the store is known of, in boot time."""

    began_at: float
    ended_at: float


class StoreHealth:
    """Knows when the store answered this router or others."""

    def __init__(self, now: Callable[[], float]):
        """Makes a health without any answer.

        Args:
            now: the clock that also runs while this process is suspended.
        """
        self._now = now
        self._started_at = now()
        self._failed_at_start = False
        # The latest time in which the store answered without a long pause.
        self._steady_since: float | None = None
        self._answered_at = self._started_at
        # The silence before it, unless the store is known to have answered.
        self._silence: _Silence | None = None

    @property
    def is_recovering(self) -> bool:
        """Whether the store is away or was until recently, for all routers."""
        now = self._now()
        if now - self._answered_at >= MIN_OUTAGE_S:
            return True
        silence = self._silence
        return silence is not None and now - silence.ended_at < UNSTABLE_S

    def note_answer(self, answered_at: float) -> None:
        """Records an answer of the store to this router or to its reader."""
        if self._steady_since is None:
            self._steady_since = answered_at
            waited_s = answered_at - self._started_at
            if self._failed_at_start or waited_s >= MIN_OUTAGE_S:
                self._silence = _Silence(self._started_at, answered_at)
        elif answered_at - self._answered_at >= MIN_OUTAGE_S:
            self._silence = _Silence(self._answered_at, answered_at)
            self._steady_since = answered_at
        self._answered_at = max(self._answered_at, answered_at)

    def note_failure(self) -> None:
        """Records a call that the store did not answer."""
        if self._steady_since is None:
            self._failed_at_start = True

    def report(self) -> peer_pb2.StoreReport | None:
        """Returns what other routers are told; None before an answer."""
        if self._steady_since is None:
            return None
        now = self._now()
        return peer_pb2.StoreReport(
            steady_ms=to_ms(now - self._steady_since),
            answered_ms=to_ms(now - self._answered_at),
        )

    def merge(self, report: peer_pb2.StoreReport) -> None:
        """Adds what another router knows."""
        now = self._now()
        since = now - report.steady_ms / 1000
        answered_at = now - report.answered_ms / 1000
        own_since = self._steady_since
        if own_since is None:
            own_since = self._answered_at
        if since > self._answered_at + MIN_OUTAGE_S:
            self.note_answer(since)
        elif answered_at >= own_since - MIN_OUTAGE_S:
            self._steady_since = min(since, own_since)
        self._answered_at = max(self._answered_at, answered_at)
        silence = self._silence
        if (
            silence is not None
            and since <= silence.began_at
            and answered_at >= silence.ended_at - MIN_OUTAGE_S
        ):
            self._silence = None


def to_ms(seconds: float) -> int:
    """Returns a time as messages carry it: in whole milliseconds, bounded."""
    return min(max(0, math.ceil(seconds * 1000)), MAX_MS)
