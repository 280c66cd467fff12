"""Notices by which routers share their recent dispatches, within a budget.

Load reports of engines arrive late, while a notice between routers takes about
a millisecond. Notices let each router know a replica's queue and the prefixes
it will cache before the engine reports them. In a large fleet only the
routers of the request's customer receive notices. When the byte budget is
short, only the requests with the most tokens are announced.
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
MAX_BYTES_PER_S = 1500.0
BURST_BYTES = 6000.0
MAX_DIGESTS_PER_NOTICE = 16
MAX_PENDING_PER_RECEIVER = 256

# Returns the routers that get the notices of a customer's requests.
Receivers = Callable[[str], list[str]]


class NoticeExchange:
    """Sends notices of dispatched requests in batches and receives them."""

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
        self._pending: dict[str, list[peer_pb2.Notice]] = {}
        self._bucket = token_bucket.TokenBucket(
            MAX_BYTES_PER_S, BURST_BYTES, now()
        )
        self._tasks = background.Tasks()

    def enqueue(self, decision: messages.Decision, tokens: float) -> None:
        """Queues a notice of a dispatched request for its receivers."""
        request = decision.request
        notice = peer_pb2.Notice(
            replica=decision.choice.replica,
            incarnation=decision.choice.incarnation,
            customer=request.customer,
            digests=request.chain.digests[:MAX_DIGESTS_PER_NOTICE],
            tokens=int(tokens),
            priority=request.priority,
        )
        for name in self._receivers(request.customer):
            pending = self._pending.setdefault(name, [])
            if len(pending) < MAX_PENDING_PER_RECEIVER:
                pending.append(notice)

    async def run(self) -> None:
        """Sends queued notices periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S * self._rng.uniform(0.8, 1.2))
            self.flush()

    def flush(self) -> None:
        """Sends queued notices within the byte budget, most tokens first.

        Notices that exceed the budget are dropped.
        """
        pending, self._pending = self._pending, {}
        now = self._now()
        for name, batch in pending.items():
            batch.sort(key=_tokens, reverse=True)
            request = peer_pb2.NotifyRequest()
            for notice in batch:
                if not self._bucket.try_take(notice.ByteSize(), now):
                    break
                request.notices.append(notice)
            if request.notices:
                self._tasks.spawn(self._send(name, request))

    async def _send(self, name: str, request: peer_pb2.NotifyRequest) -> None:
        await self._peers.call(name, "Notify", request, TIMEOUT_S)

    async def on_notify(
        self, request: peer_pb2.NotifyRequest
    ) -> peer_pb2.NotifyReply:
        """Adds another router's dispatches to the fleet view."""
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
        """Cancels notices that are being sent."""
        await self._tasks.close()


def _tokens(notice: peer_pb2.Notice) -> int:
    return notice.tokens
