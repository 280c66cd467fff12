"""Calls plain HTTP services, with failover and hedging."""

import asyncio
from collections.abc import Callable
import random

from bergamotmill import core
from bergamotmill.control import quarantine
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import run_state
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import retry_budget
from bergamotmill.upstream import drivers
from bergamotmill.upstream import errors
from bergamotmill.upstream.plain import config
from bergamotmill.upstream.plain import const
from bergamotmill.util import clock as clocks


@drivers.SERVICES.register(const.DRIVER)
class ServiceClient:
    """Calls one plain service on any of its upstreams.

    A non-idempotent call goes to the next upstream only when it did not run:
    the connection could not be opened, or the upstream refused the call. It is
    sent on a new connection, as it would hang on an idle one that a middlebox
    has dropped. A call under which upstreams end is held back.
    """

    def __init__(
        self,
        service: core.Service,
        data_centre: str,
        leaving: Callable[[], frozenset[str]],
        requests: quarantine.Quarantine,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Makes a client.

        Args:
            service: the service's entry in the configuration.
            data_centre: data centre of this router.
            leaving: returns the names of the upstreams that are leaving.
            requests: holds back calls that crash upstreams.
            clock: the clocks.
            rng: randomizes the order of the upstreams.
        """
        self._requests = requests
        self._clock = clock
        self._service = service
        self._data_centre = data_centre
        self._leaving = leaving
        self._rng = rng
        self._pool = http_client.Pool()
        self._ejected_until: dict[str, float] = {}
        self._budget = retry_budget.RetryBudget(0.0)

    @property
    def service(self) -> core.Service:
        """The service's entry in the configuration."""
        return self._service

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def held_for_s(self, call: config.ServiceCall) -> float:
        """Returns for how long a call is held back; 0 if it may be sent."""
        entries = self._requests.holding(call.as_prompt(self._service.name))
        has_spare = self._has_spare()
        if not entries or self._requests.is_trial_due(entries[0], has_spare):
            return 0.0
        return self._requests.retry_after_s(entries[0], has_spare)

    async def call(
        self, call: config.ServiceCall, tracker: run_state.RunTracker
    ) -> config.ServiceResponse:
        """Sends a call and returns the complete response.

        Raises:
            errors.UpstreamError: there is no response; the tracker tells
                whether the call may have run.
        """
        upstreams = self._ordered_upstreams()
        prompt = call.as_prompt(self._service.name)
        has_spare = self._has_spare()
        admission = await self._requests.admit(
            prompt, True, has_spare=has_spare
        )
        if admission.held_by is not None:
            raise errors.UpstreamError(
                errors.Failure.QUARANTINED,
                f"upstreams ended under this request ({admission.held_by.key})",
                sent=False,
                retry_after_s=self._requests.retry_after_s(
                    admission.held_by, has_spare
                ),
            )
        if admission.trial_of or not call.idempotent or len(upstreams) < 2:
            return await self._try_in_order(
                upstreams, call, tracker, admission.trial_of
            )
        return await self._call_hedged(upstreams, call, tracker)

    async def _call_hedged(
        self,
        upstreams: list[core.ServiceUpstream],
        call: config.ServiceCall,
        tracker: run_state.RunTracker,
    ) -> config.ServiceResponse:
        """Also calls a second upstream when the first one is slow.

        The hedged call takes a retry from the budget, so that hedging cannot
        double the load of a service whose upstreams are all slow.
        """
        now = asyncio.get_running_loop().time()
        self._budget.record_first_attempt()
        first = asyncio.create_task(
            self._try_in_order(upstreams, call, tracker)
        )
        done, _ = await asyncio.wait({first}, timeout=const.HEDGE_DELAY_S)
        if done or not self._budget.try_retry(now):
            return await self._first_response(first)
        others = [*upstreams[1:], upstreams[0]]
        second = asyncio.create_task(self._try_in_order(others, call, tracker))
        return await self._first_response(first, second)

    async def _first_response(
        self, *tasks: asyncio.Task[config.ServiceResponse]
    ) -> config.ServiceResponse:
        """Returns the first response and cancels the other tasks.

        Raises:
            errors.UpstreamError: the last task to finish failed.
        """
        pending = set(tasks)
        try:
            while True:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is None or not pending:
                        return task.result()
        finally:
            for task in tasks:
                task.cancel()

    async def _try_in_order(
        self,
        upstreams: list[core.ServiceUpstream],
        call: config.ServiceCall,
        tracker: run_state.RunTracker,
        trial_of: str = "",
    ) -> config.ServiceResponse:
        """Calls one upstream after the other until one responds.

        Raises:
            errors.UpstreamError: none responded, or none may be called any
                more.
        """
        prompt = call.as_prompt(self._service.name)
        last_error: errors.UpstreamError | None = None
        for upstream in upstreams:
            try:
                return await self._call_one(upstream, call, tracker)
            except errors.UpstreamError as err:
                last_error = err
                self._eject(upstream)
                if err.failure is errors.Failure.LOST:
                    await self._note_loss(prompt, upstream)
                if err.ran and not call.idempotent:
                    raise
                if err.ran:
                    trial_of = ""
                if self._requests.holding(prompt, trial_of):
                    raise
        if last_error is not None:
            raise last_error
        raise errors.UpstreamError(
            errors.Failure.CONNECT,
            "the service has no available upstream",
            sent=False,
        )

    async def _note_loss(
        self,
        prompt: prompt_quarantine.Prompt,
        upstream: core.ServiceUpstream,
    ) -> None:
        """Records what a lost connection says of a call."""
        if upstream.name in self._leaving():
            return
        period = int(self._clock.wall() / const.END_PERIOD_S)
        await self._requests.note_loss(
            prompt,
            quarantine.LostAttempt(
                prompt_quarantine.Crash(upstream.name, period),
                None,
                lambda: self._pool.is_refused(upstream.address),
            ),
        )

    def _has_spare(self) -> bool:
        """Whether an upstream remains if a call crashes one."""
        now = asyncio.get_running_loop().time()
        usable = (
            self._ejected_until.get(upstream.name, 0.0) <= now
            for upstream in self._service.upstreams
        )
        return sum(usable) > 1

    def _ordered_upstreams(self) -> list[core.ServiceUpstream]:
        """Returns the upstreams that are not leaving, in the order to try them.

        Recently failed upstreams come last. Otherwise those of this data
        centre come before the rest. The order among equals is random.
        """
        now = asyncio.get_running_loop().time()
        leaving = self._leaving()
        candidates = [
            upstream
            for upstream in self._service.upstreams
            if upstream.name not in leaving
        ]
        self._rng.shuffle(candidates)
        return sorted(
            candidates,
            key=lambda upstream: (
                self._ejected_until.get(upstream.name, 0.0) > now,
                upstream.data_centre != self._data_centre,
            ),
        )

    def _eject(self, upstream: core.ServiceUpstream) -> None:
        now = asyncio.get_running_loop().time()
        self._ejected_until[upstream.name] = now + const.EJECTION_S

    async def _call_one(
        self,
        upstream: core.ServiceUpstream,
        call: config.ServiceCall,
        tracker: run_state.RunTracker,
    ) -> config.ServiceResponse:
        try:
            conn = await self._pool.acquire(
                upstream.address, fresh=not call.idempotent
            )
        except http_errors.ConnectError as err:
            raise errors.UpstreamError(
                errors.Failure.CONNECT, str(err), sent=False
            )
        tracker.mark_sending()
        try:
            async with asyncio.timeout(call.timeout_s):
                head = await conn.request(
                    call.method,
                    call.target,
                    _request_headers(call),
                    call.body,
                    read_timeout_s=const.SILENCE_LIMIT_S
                    if call.idempotent
                    else 0.0,
                )
                body = await conn.read_all(const.MAX_RESPONSE_BYTES)
                if conn.ended_by_close and await self._pool.is_refused(
                    upstream.address
                ):
                    # An upstream that ends closes its connections, which is
                    # also how a response without length and chunks ends.
                    raise http_errors.ConnectionLostError(
                        "response ended with its upstream"
                    )
        except (http_errors.HttpError, TimeoutError) as err:
            conn.close()
            self._pool.close_idle(upstream.address)
            raise errors.UpstreamError(
                errors.Failure.LOST, repr(err), sent=True
            )
        except BaseException:
            conn.close()
            raise
        return self._check_response(conn, head, body, upstream, call, tracker)

    def _check_response(self, conn, head, body, upstream, call, tracker):
        response_id = head.get_header(const.HEADER_REQUEST_ID, call.request_id)
        if response_id != call.request_id:
            conn.close()
            raise errors.UpstreamError(
                errors.Failure.CROSSED,
                f"response is for request {response_id!r}",
                sent=True,
            )
        self._pool.release(conn)
        if head.status == 503 and head.get_header("x-not-run") == "1":
            tracker.mark_not_run()
            raise errors.UpstreamError(
                errors.Failure.REFUSED,
                "refused",
                sent=True,
                ran=False,
            )
        tracker.mark_answered()
        self._requests.note_answer(call.as_prompt(self._service.name))
        return config.ServiceResponse(
            head.status,
            head.get_header("content-type", "application/octet-stream"),
            body,
            upstream.name,
        )


def _request_headers(call: config.ServiceCall) -> list[tuple[bytes, bytes]]:
    headers = [
        (const.HEADER_REQUEST_ID, call.request_id),
        (const.HEADER_CUSTOMER, call.customer),
    ]
    if call.content_type:
        headers.append(("content-type", call.content_type))
    return [(name.encode(), value.encode()) for name, value in headers]
