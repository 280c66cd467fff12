"""Decides which peers that do not read are disconnected, and when.

Only peers for which bytes wait in this process are observed. What counts is the
progress of bytes: a peer that takes some in each period stays, however slow it
is, unless memory is short.
"""

from collections.abc import Hashable, Iterable
import dataclasses
import enum

# A caller that takes no byte of its response for this time is disconnected: as
# long as the longest time limits of callers. A peer's kernel tells what its
# process has read in steps of up to its whole receive buffer, often 128 KiB, so
# that 8 s would cut off steady readers of 12 kB/s.
CALLER_TIMEOUT_S = 15.0
# An upstream that takes no byte of a request for this time is abandoned, also
# where the request may not be repeated. The kernel would do so after 4 s, and
# most requests with a body have no longer time limit.
UPSTREAM_TIMEOUT_S = 2.5
# While memory is short, peers that are slower than this, and have been waited
# for this long, may be disconnected. The time tells a slow peer from a pause of
# its process or of the network.
SLOW_BYTES_PER_S = 64 * 1024
MIN_WATCH_S = 1.0
# Memory is short when more than this fraction of the budget is in use, or when
# connections buffer more than that fraction for peers that do not read.
USED_FRACTION = 0.85
CONNECTIONS_FRACTION = 0.5
# Weight of the latest period in the rate of a peer.
RATE_SMOOTHING_FACTOR = 0.5


class Reason(enum.Enum):
    """Why a peer is disconnected.

    Attributes:
        UNREAD: it has taken nothing for too long.
        MEMORY: memory is short, and it is among the slowest.
    """

    UNREAD = "unread"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A connection whose peer has not taken everything.

    Attributes:
        key: identifies the connection.
        held_bytes: memory that it holds.
        taken_bytes: bytes that its peer has taken since it was opened.
        timeout_s: time without progress after which it is closed.
    """

    key: Hashable
    held_bytes: int
    taken_bytes: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A connection to close.

    Attributes:
        key: identifies the connection.
        reason: why it is closed.
        held_bytes: memory that this frees.
        unread_s: time for which its peer has taken nothing.
        bytes_per_s: rate at which its peer has lately taken bytes.
    """

    key: Hashable
    reason: Reason
    held_bytes: int
    unread_s: float
    bytes_per_s: float


@dataclasses.dataclass(slots=True)
class _Progress:
    """What is known of one peer."""

    since: float
    progress_at: float
    observed_at: float
    taken_bytes: int
    held_bytes: int
    bytes_per_s: float = 0.0


def shortage_bytes(limit: int, used: int, connections: int) -> int:
    """Returns how much memory slow peers have to give up; 0 for none.

    Args:
        limit: size of the budget.
        used: memory in use.
        connections: the part of it that connections buffer.
    """
    return max(
        0,
        int(used - limit * USED_FRACTION),
        int(connections - limit * CONNECTIONS_FRACTION),
    )


class SlowReaders:
    """Follows the progress of peers and chooses those to disconnect."""

    def __init__(self):
        self._progress: dict[Hashable, _Progress] = {}

    def __len__(self) -> int:
        return len(self._progress)

    def review(
        self, observations: Iterable[Observation], now: float
    ) -> list[Verdict]:
        """Records the progress of all peers that have not taken everything.

        Args:
            observations: all such peers; others are forgotten.
            now: the time.

        Returns:
            Connections whose peers have taken nothing for too long.
        """
        before, self._progress = self._progress, {}
        verdicts = []
        for item in observations:
            progress = _updated(before.get(item.key), item, now)
            if now - progress.progress_at >= item.timeout_s:
                verdicts.append(
                    _verdict(item.key, progress, Reason.UNREAD, now)
                )
            else:
                self._progress[item.key] = progress
        return verdicts

    def relieve(
        self, shortage: int, now: float, min_watch_s: float = MIN_WATCH_S
    ) -> list[Verdict]:
        """Chooses the slowest peers until enough memory would be free.

        Args:
            shortage: memory to free.
            now: the time.
            min_watch_s: time for which a peer must have been waited for.
        """
        candidates = [
            (progress.bytes_per_s, progress.since, key)
            for key, progress in self._progress.items()
            if progress.held_bytes
            and progress.bytes_per_s < SLOW_BYTES_PER_S
            and now - progress.since >= min_watch_s
        ]
        candidates.sort(key=lambda item: item[:2])
        verdicts = []
        for _, _, key in candidates:
            if shortage <= 0:
                break
            progress = self._progress.pop(key)
            shortage -= progress.held_bytes
            verdicts.append(_verdict(key, progress, Reason.MEMORY, now))
        return verdicts


def _updated(
    progress: _Progress | None, item: Observation, now: float
) -> _Progress:
    if progress is None:
        return _Progress(now, now, now, item.taken_bytes, item.held_bytes)
    progress.held_bytes = item.held_bytes
    elapsed_s = now - progress.observed_at
    if elapsed_s > 0:
        taken = item.taken_bytes - progress.taken_bytes
        progress.bytes_per_s += RATE_SMOOTHING_FACTOR * (
            taken / elapsed_s - progress.bytes_per_s
        )
        if taken > 0:
            progress.progress_at = now
        progress.observed_at = now
        progress.taken_bytes = item.taken_bytes
    return progress


def _verdict(
    key: Hashable, progress: _Progress, reason: Reason, now: float
) -> Verdict:
    return Verdict(
        key,
        reason,
        progress.held_bytes,
        now - progress.progress_at,
        progress.bytes_per_s,
    )
