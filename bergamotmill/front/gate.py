"""Rate limits and admission of requests before they are served."""

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
MIN_BORROW_INTERVAL_S = 1.0
# Customer and request class pairs whose latest borrow attempt is remembered.
MAX_BORROW_TIMES = 20_000


class AdmissionGate:
    """Applies customers' rate limits and admits requests.

    A router that has used up its fraction of a customer's rate borrows unused
    rate from the customer's other routers.
    """

    def __init__(
        self,
        router: str,
        router_selector: addresses.RouterSelector,
        peers: peer_links.PeerClient,
        metrics: stats.Metrics,
        now: Callable[[], float],
    ):
        self._router = router
        self._router_selector = router_selector
        self._peers = peers
        self._metrics = metrics
        self._now = now
        self._configuration = core.empty_configuration()
        self._limits = rate_limits.SharedRateLimits(self._limit_share)
        self._last_borrow_at: dict[tuple[str, str], float] = {}
        self.admission = admission.Admission(slots=1)

    def adopt(self, configuration: core.Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration

    def _limit_share(self, name: str) -> float:
        customer = self._configuration.customer(name)
        if customer is None:
            return 0.0
        return self._router_selector.limit_share(customer, self._router)

    async def check_rate_limit(
        self, customer: core.Customer, request_class: core.RequestClass
    ) -> refusal.Refusal | None:
        """Charges one request to the customer's rate limit.

        Returns:
            None when the request is within the limit, else the refusal.
        """
        limit = customer.limits.get(request_class.name, 0.0)
        if limit <= 0:
            return None
        names = (customer.name, request_class.name)
        wait_s = self._limits.try_take(*names, limit, self._now())
        if wait_s > 0 and self._may_borrow(names):
            await self._borrow(customer, request_class, limit)
            wait_s = self._limits.try_take(*names, limit, self._now())
        if wait_s <= 0:
            return None
        self._metrics.count("refusals.rate_limit")
        return refusal.Refusal(
            429,
            refusal.CODE_RATE_LIMIT,
            f"rate limit of {limit:g} requests per second exceeded for class "
            f"{request_class.name}",
            retry_after_s=min(wait_s, 30.0),
        )

    def _may_borrow(self, names: tuple[str, str]) -> bool:
        """Whether a borrow attempt is due; records a new attempt if so."""
        now = self._now()
        if (
            now - self._last_borrow_at.get(names, -MIN_BORROW_INTERVAL_S)
            < MIN_BORROW_INTERVAL_S
        ):
            return False
        # Reinserts the pair, so that the first entry is the oldest attempt.
        self._last_borrow_at.pop(names, None)
        self._last_borrow_at[names] = now
        if len(self._last_borrow_at) > MAX_BORROW_TIMES:
            del self._last_borrow_at[next(iter(self._last_borrow_at))]
        return True

    async def _borrow(
        self,
        customer: core.Customer,
        request_class: core.RequestClass,
        limit: float,
    ) -> None:
        """Borrows rate from the customer's other routers, in parallel."""
        lenders = [
            member.name
            for member in self._router_selector.routers_for(customer)
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
        # The loan's lifetime counts from before the call, so that the loan ends
        # here before the lender uses the rate again.
        requested_at = self._now()
        replies = await asyncio.gather(
            *(
                self._peers.call(name, "Borrow", request, BORROW_TIMEOUT_S)
                for name in lenders
            )
        )
        for reply in replies:
            if reply.is_ok() and reply.ok().rate > 0:
                loan = rate_limits.Loan(
                    reply.ok().rate, requested_at + reply.ok().lifetime_s
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
        """Lends unused rate to another of the customer's routers."""
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

    async def admit(
        self,
        customer: core.Customer,
        request_class: core.RequestClass,
        cost: float,
        time_left_s: float,
    ) -> result.Result[None, refusal.Refusal]:
        """Waits for an execution slot, which `release` frees.

        Args:
            customer: customer whose fair share is charged.
            request_class: source of the priority, worth and queue limit.
            cost: size of the request body in bytes.
            time_left_s: seconds until the caller's deadline.
        """
        admitted = await self.admission.acquire(
            customer, request_class, cost, time_left_s
        )
        if admitted.is_ok():
            return result.Ok(None)
        shed = admitted.err()
        self._metrics.count(f"refusals.{shed.reason}")
        return result.Err(
            refusal.Refusal(
                503,
                refusal.CODE_OVERLOADED,
                f"request shed before it was run ({shed.reason})",
                retry_after_s=shed.retry_after_s,
            )
        )

    def release(self, service_time_s: float) -> None:
        """Frees a request's slot after its service time in seconds."""
        self.admission.release(service_time_s)
        self._metrics.gauge("queue", float(self.admission.waiting))
