"""Admits requests of customers with a limit, before they are dispatched."""

from collections.abc import Callable

from bergamotmill.customer_limits import client as limit_client
from bergamotmill.customer_limits import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import ports
from bergamotmill.helpers import decisions


class CustomerLimitGate:
    """Stands between the front and the dispatcher."""

    def __init__(
        self,
        client: limit_client.CustomerLimitClient,
        dispatcher: ports.CallServer,
        now: Callable[[], float],
    ):
        """Makes a gate.

        Args:
            client: decides which requests are within the limits.
            dispatcher: serves the admitted calls.
            now: the monotonic clock.
        """
        self._client = client
        self._dispatcher = dispatcher
        self._now = now

    async def serve(self, call: messages.Call, sink: ports.Sink) -> bool:
        """Serves one call, or rejects it if its customer is over its limit.

        Returns:
            Whether it has certainly not run at any upstream.
        """
        customer = call.customer
        if customer is None or customer.limit is None:
            return await self._dispatcher.serve(call, sink)
        units = customer.limit.cost(call.token_count)
        if units <= 0:
            return await self._dispatcher.serve(call, sink)
        admission = await self._client.admit(
            limit_client.Request(
                customer.name,
                customer.limit,
                units,
                call.deadline - self._now(),
            )
        )
        if not admission.granted:
            self._reject(call, sink, admission)
            return True
        has_not_run = await self._dispatcher.serve(call, sink)
        if has_not_run:
            self._client.give_back(admission)
        return has_not_run

    def _reject(
        self,
        call: messages.Call,
        sink: ports.Sink,
        admission: limit_client.Admission,
    ) -> None:
        decisions.record(
            "customer_limited",
            request=call.request_id,
            customer=call.customer_name,
            status=const.STATUS,
            reason=const.REASON,
            units=admission.request.units,
            source=admission.source,
            waited_s=round(admission.waited_s, 4),
            retry_after_s=round(admission.retry_after_s, 3),
        )
        sink.reject(
            messages.Rejection(
                const.STATUS, const.REASON, False, admission.retry_after_s
            )
        )
