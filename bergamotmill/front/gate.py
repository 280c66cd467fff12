"""What a request passes before it is served: limits, then a place."""

import asyncio
from collections.abc import Callable

import result

from bergamotmill import core
from bergamotmill.control import peers as peer_links
from bergamotmill.front import addresses
from bergamotmill.helpers import metrics as stats
from bergamotmill.helpers import refusal
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import admission
from bergamotmill.routing import limits as rate_limits

BORROW_TIMEOUT_S = 0.1
BORROW_PAUSE_S = 1.0
MAX_BORROWERS = 20_000


class AdmissionGate:
    """Applies customers' limits and gives out places."""

    def __init__(
        self,
        router: str,
        book: addresses.RouterSelector,
        peers: peer_links.PeerClient,
        metrics: stats.Metrics,
        now: Callable[[], float],
    ):
        self._router = router
        self._book = book
        self._peers = peers
        self._metrics = metrics
        self._now = now
        self._configuration = core.empty_configuration()
        self._limits = rate_limits.SharedRateLimits(self._part_of)
        self._asked: dict[tuple[str, str], float] = {}
        self.admission = admission.Admission(slots=1)

    def adopt(self, configuration: core.Configuration) -> None:
        """Follows the configuration."""
        self._configuration = configuration

    def _part_of(self, name: str) -> float:
        customer = self._configuration.customer(name)
        if customer is None:
            return 0.0
        return self._book.limit_share(customer, self._router)

    async def check_limit(
        self, customer: core.Customer, request_class: core.RequestClass
    ) -> refusal.Refusal | None:
        """Takes one request off the customer's rate."""
        limit = customer.limits.get(request_class.name, 0.0)
        if limit <= 0:
            return None
        names = (customer.name, request_class.name)
        wait = self._limits.try_take(*names, limit, self._now())
        if wait > 0 and self._may_ask(names):
            await self._borrow(customer, request_class, limit)
            wait = self._limits.try_take(*names, limit, self._now())
        if wait <= 0:
            return None
        self._metrics.count("refusals.rate_limit")
        return refusal.Refusal(
            429,
            refusal.CODE_RATE_LIMIT,
            f"over {limit:g} requests a second of class {request_class.name}",
            retry_after_s=min(wait, 30.0),
        )

    def _may_ask(self, names: tuple[str, str]) -> bool:
        now = self._now()
        if now - self._asked.get(names, -BORROW_PAUSE_S) < BORROW_PAUSE_S:
            return False
        self._asked.pop(names, None)
        self._asked[names] = now
        if len(self._asked) > MAX_BORROWERS:
            del self._asked[next(iter(self._asked))]
        return True

    async def _borrow(
        self,
        customer: core.Customer,
        request_class: core.RequestClass,
        limit: float,
    ) -> None:
        lenders = [
            member.name
            for member in self._book.routers_for(customer)
            if member.name != self._router
        ]
        if not lenders:
            return
        request = peer_pb2.BorrowRequest(
            sender=self._router,
            customer=customer.name,
            request_class=request_class.name,
            rate=limit / len(lenders),
        )
        # The loan counts from before the call, as the lender's does.
        asked_at = self._now()
        replies = await asyncio.gather(
            *(
                self._peers.call(name, "Borrow", request, BORROW_TIMEOUT_S)
                for name in lenders
            )
        )
        for reply in replies:
            if reply.is_ok() and reply.ok().rate > 0:
                loan = rate_limits.Loan(
                    reply.ok().rate, asked_at + reply.ok().lifetime_s
                )
                self._limits.add_loan(
                    customer.name,
                    request_class.name,
                    limit,
                    loan,
                    self._now(),
                )

    async def on_borrow(
        self, request: peer_pb2.BorrowRequest
    ) -> peer_pb2.BorrowReply:
        """Lends rate to another of a customer's routers."""
        customer = self._configuration.customer(request.customer)
        if customer is None:
            return peer_pb2.BorrowReply()
        limit = customer.limits.get(request.request_class, 0.0)
        if limit <= 0:
            return peer_pb2.BorrowReply()
        now = self._now()
        loan = self._limits.grant_loan(
            request.customer, request.request_class, limit, request.rate, now
        )
        return peer_pb2.BorrowReply(
            rate=loan.rate, lifetime_s=max(0.0, loan.expires_at - now)
        )

    async def enter(
        self,
        customer: core.Customer,
        request_class: core.RequestClass,
        cost: float,
        time_left_s: float,
    ) -> result.Result[None, refusal.Refusal]:
        """Waits for a place; it is given back with `leave`."""
        entered = await self.admission.acquire(
            customer, request_class, cost, time_left_s
        )
        if entered.is_ok():
            return result.Ok(None)
        shed = entered.err()
        self._metrics.count(f"refusals.{shed.reason}")
        return result.Err(
            refusal.Refusal(
                503,
                refusal.CODE_OVERLOADED,
                f"refused early ({shed.reason}); nothing was run",
                retry_after_s=shed.retry_after_s,
            )
        )

    def leave(self, seconds: float) -> None:
        """Gives a place back."""
        self.admission.release(seconds)
        self._metrics.gauge("queue", float(self.admission.waiting))
