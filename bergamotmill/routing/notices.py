"""Routers tell one another what they have just sent, within a budget.

Engines report late. Between the same few routers a notice takes a
millisecond, so that each knows what waits at a replica and what it will hold
before the engine itself says so. In a large fleet only the routers of the
request's customer are told, and only the costliest requests.
"""

import asyncio
from collections.abc import Callable
import random

from bergamotmill.control import peers as peer_links
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import messages
from bergamotmill.routing import view as fleet_view
from bergamotmill.util import tasks as background
from bergamotmill.util import token_bucket

FLUSH_PERIOD_S = 0.05
TIMEOUT_S = 0.5
BYTES_PER_S = 1500.0
BURST_BYTES = 6000.0
MAX_DIGESTS = 16
MAX_WAITING = 256

Receivers = Callable[[str], list[str]]


class NoticeExchange:
    """Gathers what was sent and tells it in batches."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        peers: peer_links.PeerClient,
        receivers: Receivers,
        now: Callable[[], float],
        rng: random.Random,
    ):
        self._view = view
        self._peers = peers
        self._receivers = receivers
        self._now = now
        self._rng = rng
        self._waiting: dict[str, list[peer_pb2.Notice]] = {}
        self._bucket = token_bucket.TokenBucket(BYTES_PER_S, BURST_BYTES, now())
        self._tasks = background.Tasks()

    def enqueue(self, decision: messages.Decision, tokens: float) -> None:
        """Has a request told to those who should know."""
        request = decision.request
        notice = peer_pb2.Notice(
            replica=decision.choice.replica,
            incarnation=decision.choice.incarnation,
            customer=request.customer,
            digests=request.chain.digests[:MAX_DIGESTS],
            tokens=int(tokens),
            priority=request.priority,
        )
        for name in self._receivers(request.customer):
            waiting = self._waiting.setdefault(name, [])
            if len(waiting) < MAX_WAITING:
                waiting.append(notice)

    async def run(self) -> None:
        """Tells what has gathered, for ever."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S * self._rng.uniform(0.8, 1.2))
            self.flush()

    def flush(self) -> None:
        """Tells what has gathered, the costliest first while bytes last."""
        waiting, self._waiting = self._waiting, {}
        now = self._now()
        for name, found in waiting.items():
            found.sort(key=_tokens, reverse=True)
            request = peer_pb2.NotifyRequest()
            for notice in found:
                if not self._bucket.try_take(notice.ByteSize(), now):
                    break
                request.notices.append(notice)
            if request.notices:
                self._tasks.spawn(self._tell(name, request))

    async def _tell(self, name: str, request: peer_pb2.NotifyRequest) -> None:
        await self._peers.call(name, "Notify", request, TIMEOUT_S)

    async def on_notify(
        self, request: peer_pb2.NotifyRequest
    ) -> peer_pb2.NotifyReply:
        """Takes what another router has sent."""
        for notice in request.notices:
            self._view.on_notice(
                notice.replica,
                notice.incarnation,
                notice.customer,
                notice.digests,
                float(notice.tokens),
                notice.priority,
            )
        return peer_pb2.NotifyReply()

    async def close(self) -> None:
        """Stops what is under way."""
        await self._tasks.close()


def _tokens(notice: peer_pb2.Notice) -> int:
    return notice.tokens
