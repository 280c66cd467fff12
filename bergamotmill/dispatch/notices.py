"""Routers tell one another what they have just sent where.

A part that one router had an engine read is then known to all, and so is the
work that waits there. Notices may be lost: beliefs fade by themselves.
"""

import asyncio
from collections.abc import Callable, Sequence
import random

from bergamotmill.dispatch import const
from bergamotmill.dispatch import upstreams
from bergamotmill.proto import peer_pb2

MAX_WAITING = 256
# So many notices go into one message; one takes up to about 100 bytes.
MAX_TOLD = 8
MS = 1000
# Reading ends so much later than the work is estimated.
MARGIN_S = 0.05


Tell = Callable[[str, peer_pb2.NotifyRequest], None]


class DispatchNotices:
    """Gathers what was sent and tells peers in batches."""

    def __init__(
        self,
        known: upstreams.Upstreams,
        tell: Tell,
        receivers: Callable[[], Sequence[str]],
        behind_each: Callable[[], float],
        now: Callable[[], float],
        rng: random.Random,
    ):
        self._known = known
        self._tell = tell
        self._receivers = receivers
        self._behind_each = behind_each
        self._now = now
        self._rng = rng
        self._waiting: list[peer_pb2.Notice] = []
        self._timer: asyncio.TimerHandle | None = None

    def record_dispatch(
        self,
        entry: upstreams.UpstreamEntry,
        digests: Sequence[int],
        stored_tokens: int,
        work_s: float,
    ) -> None:
        """Has a request told to peers."""
        if len(self._waiting) >= MAX_WAITING:
            return
        self._waiting.append(
            peer_pb2.Notice(
                replica=entry.name,
                incarnation=entry.born,
                digests=digests,
                tokens=stored_tokens,
                work_ms=int(work_s * MS),
            )
        )
        if self._timer is None:
            pause_s = const.NOTICE_PERIOD_S
            if self._behind_each() > 1.0:
                pause_s = const.NOTICE_PERIOD_LARGE_FLEET_S
            self._timer = asyncio.get_running_loop().call_later(
                pause_s, self.flush
            )

    def flush(self) -> None:
        """Tells what has gathered."""
        self._timer = None
        if not self._waiting:
            return
        waiting, self._waiting = self._waiting, []
        receivers = self._receivers()
        for first in range(0, len(waiting), MAX_TOLD):
            request = peer_pb2.NotifyRequest(
                notices=waiting[first : first + MAX_TOLD]
            )
            for name in receivers:
                self._tell(name, request)

    def on_notify(self, request: peer_pb2.NotifyRequest) -> None:
        """Takes what a peer has sent."""
        now = self._now()
        # In a large fleet only some are heard: each stands for several.
        behind_each = self._behind_each()
        for notice in request.notices:
            item = self._known.by_name.get(notice.replica)
            if item is None or item.entry.born != notice.incarnation:
                continue
            item.note_stored_tokens(int(behind_each * notice.tokens))
            item.add_work(behind_each * notice.work_ms / MS, now)
            for digest in notice.digests:
                self._known.learn(
                    digest, notice.replica, item.backlog_s(now) + MARGIN_S
                )

    async def close(self) -> None:
        """Stops what is under way."""
        if self._timer is not None:
            self._timer.cancel()
