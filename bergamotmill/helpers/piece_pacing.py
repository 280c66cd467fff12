"""Bounds the processor time that peers take by sending tiny pieces.

A parser needs about as long for a chunk of one byte as for one of a kilobyte.
So a connection parses a limited number of small pieces at a time, and others
have their turn in between. Each exchange has an allowance of small pieces,
which is ample for the events of a stream. Beyond it, all connections of one
server or pool share an allowance. One that has used up both is not read for a
while, so that its peer has to wait.
"""

from bergamotmill.helpers import decisions
from bergamotmill.util import token_bucket

# Pieces of at least this size cost little for what they carry.
SMALL_PIECE_BYTES = 512
# Small pieces that are parsed at a time.
SLICE_PIECES = 64
# Allowance of one exchange: at once, and per second.
BURST_PIECES = 512.0
PIECES_PER_S = 256.0
# Allowance beyond it of all exchanges together.
SHARED_BURST_PIECES = 1024.0
SHARED_PIECES_PER_S = 2048.0
# Time until a connection without allowance is considered again.
RETRY_PERIOD_S = 0.02


class SharedPace:
    """The allowance that all connections of one server or pool share."""

    def __init__(self) -> None:
        self._bucket: token_bucket.TokenBucket | None = None

    def try_take(self, now: float) -> bool:
        """Takes the allowance for one slice, if there is any."""
        if self._bucket is None:
            self._bucket = token_bucket.TokenBucket(
                SHARED_PIECES_PER_S, SHARED_BURST_PIECES, now
            )
        return self._bucket.try_take(SLICE_PIECES, now)


class PieceMeter:
    """Counts the small pieces of one exchange."""

    __slots__ = ("_shared", "_count", "_bucket", "_is_paced")

    def __init__(self, shared: SharedPace):
        """Makes a meter for the first exchange of a connection.

        Args:
            shared: the allowance beyond that of the exchange.
        """
        self._shared = shared
        self._count = 0
        self._bucket: token_bucket.TokenBucket | None = None
        self._is_paced = False

    def restart(self) -> None:
        """Begins another exchange."""
        self._count = 0
        self._bucket = None
        self._is_paced = False

    def ends_slice(self, size: int) -> bool:
        """Records a piece; returns whether others are to have their turn.

        Args:
            size: size of the piece, in bytes.
        """
        if size >= SMALL_PIECE_BYTES:
            return False
        self._count += 1
        if self._count < SLICE_PIECES:
            return False
        self._count = 0
        return True

    def delay_s(self, now: float, peer: str = "") -> float:
        """Returns the time until the next slice may be parsed, in seconds.

        0 if it may be parsed now: its allowance has been taken. The first delay
        of an exchange is logged.

        Args:
            now: the monotonic clock.
            peer: address of the peer.
        """
        if self._bucket is None:
            self._bucket = token_bucket.TokenBucket(
                PIECES_PER_S, BURST_PIECES, now
            )
        if self._bucket.try_take(SLICE_PIECES, now):
            return 0.0
        if self._shared.try_take(now):
            return 0.0
        if not self._is_paced:
            self._is_paced = True
            decisions.record("peer_paced", peer=peer)
        return RETRY_PERIOD_S
