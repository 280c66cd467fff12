"""Exchanges notices of dispatched requests and leaving upstreams.

A notice tells other routers which prompt prefixes an engine will have cached
and how much work has been added to its queue. Notices may be lost, as estimates
based on them expire by themselves. A router that first learns that an upstream
is leaving tells some others, and again soon after, so that all of a large fleet
are told in a number of steps that grows with the logarithm of its size.
"""

import asyncio
import collections
from collections.abc import Callable, Sequence
import random

from bergamotmill.dispatch import const
from bergamotmill.dispatch import upstreams
from bergamotmill.proto import peer_pb2

MAX_PENDING_NOTICES = 256
# Repetitions that may be due at a time; the oldest have run or are dropped.
MAX_REPEAT_TIMERS = 256
# A notice takes up to about 100 bytes.
MAX_NOTICES_PER_MESSAGE = 8
MS_PER_S = 1000
# Each router that learns that an upstream is leaving tells this many others at
# once, and as many once more after LEAVING_REPEAT_S. The probability that a
# router is not told is about exp(-16), more while messages are lost.
LEAVING_FANOUT = 8
LEAVING_REPEAT_S = 0.3
# Time by which the prefill of a prompt may end later than estimated.
PREFILL_MARGIN_S = 0.05


SendNotices = Callable[[str, peer_pb2.NotifyRequest], None]


class DispatchNotices:
    """Sends notices to other routers in batches, and applies received ones."""

    def __init__(
        self,
        known: upstreams.Upstreams,
        send: SendNotices,
        receivers: Callable[[upstreams.UpstreamEntry], Sequence[str]],
        now: Callable[[], float],
        all_routers: Callable[[], Sequence[str]],
        rng: random.Random,
    ):
        """Initializes the exchange of notices.

        Args:
            known: the known upstreams, to which received notices are applied.
            send: sends a message to the named router; it may be lost.
            receivers: returns the routers that keep track of an engine.
            now: returns monotonic seconds.
            all_routers: returns the names of all other routers.
            rng: selects the receivers of news about leaving upstreams.
        """
        self._known = known
        self._send = send
        self._receivers = receivers
        self._now = now
        self._all_routers = all_routers
        self._rng = rng
        self._repeat_timers: collections.deque[asyncio.TimerHandle] = (
            collections.deque()
        )
        self._pending: dict[str, list[peer_pb2.Notice]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def record_dispatch(
        self,
        entry: upstreams.UpstreamEntry,
        digests: Sequence[int],
        stored_tokens: int,
        work_s: float,
    ) -> None:
        """Queues a notice of a request that was sent to an engine.

        The notice is dropped if too many are queued.

        Args:
            entry: the engine.
            digests: digests of the prompt's prefixes.
            stored_tokens: tokens that the request adds to the engine's cache.
            work_s: estimated work before the first token.
        """
        notice = peer_pb2.Notice(
            replica=entry.name,
            incarnation=entry.born,
            digests=digests,
            tokens=stored_tokens,
            work_ms=int(work_s * MS_PER_S),
        )
        for name in self._receivers(entry):
            pending = self._pending.setdefault(name, [])
            if len(pending) < MAX_PENDING_NOTICES:
                pending.append(notice)
        if self._timer is None and self._pending:
            self._timer = asyncio.get_running_loop().call_later(
                const.NOTICE_PERIOD_S, self.flush
            )

    def announce_leaving(self, name: str, born: int) -> None:
        """Tells some routers, at once and again, that an upstream leaves."""
        self._send_leaving(name, born)
        timer = asyncio.get_running_loop().call_later(
            LEAVING_REPEAT_S, self._send_leaving, name, born
        )
        self._repeat_timers.append(timer)
        if len(self._repeat_timers) > MAX_REPEAT_TIMERS:
            self._repeat_timers.popleft().cancel()

    def _send_leaving(self, name: str, born: int) -> None:
        names = list(self._all_routers())
        request = peer_pb2.NotifyRequest(
            leaving=[peer_pb2.LeavingNotice(replica=name, incarnation=born)]
        )
        for receiver in self._rng.sample(
            names, min(LEAVING_FANOUT, len(names))
        ):
            self._send(receiver, request)

    def flush(self) -> None:
        """Sends the queued notices."""
        self._timer = None
        pending_by_name, self._pending = self._pending, {}
        for name, pending in pending_by_name.items():
            for first in range(0, len(pending), MAX_NOTICES_PER_MESSAGE):
                self._send(
                    name,
                    peer_pb2.NotifyRequest(
                        notices=pending[first : first + MAX_NOTICES_PER_MESSAGE]
                    ),
                )

    def on_notice(self, notice: peer_pb2.Notice) -> None:
        """Applies a peer's notice to the estimates of its upstream."""
        now = self._now()
        engine = self._known.by_name.get(notice.replica)
        if engine is None or engine.entry.born != notice.incarnation:
            return
        engine.note_stored_tokens(notice.tokens)
        engine.add_work(notice.work_ms / MS_PER_S, now)
        for digest in notice.digests:
            self._known.learn(
                digest,
                notice.replica,
                engine.backlog_s(now) + PREFILL_MARGIN_S,
            )

    async def close(self) -> None:
        """Drops the queued notices."""
        if self._timer is not None:
            self._timer.cancel()
        for timer in self._repeat_timers:
            timer.cancel()
