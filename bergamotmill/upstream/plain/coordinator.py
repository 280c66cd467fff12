"""Chooses a replica of a plain service and calls it."""

import asyncio
from collections.abc import Callable
import random

from bergamotmill import core
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import run_state
from bergamotmill.routing import retry_budget
from bergamotmill.upstream import drivers
from bergamotmill.upstream import errors
from bergamotmill.upstream.plain import config
from bergamotmill.upstream.plain import const


@drivers.SERVICES.register(const.DRIVER)
class ServiceLink:
    """One plain service with its replicas.

    A non-idempotent call goes out once, on a connection opened for it, so
    that a connection that something on the way has forgotten cannot hold
    it. A failure to connect sends nothing and the next replica is tried.
    """

    def __init__(
        self,
        service: core.Service,
        data_centre: str,
        leaving: Callable[[], frozenset[str]],
        rng: random.Random,
    ):
        self._service = service
        self._data_centre = data_centre
        self._leaving = leaving
        self._rng = rng
        self._pool = http_client.Pool()
        self._ejected: dict[str, float] = {}
        self._budget = retry_budget.RetryBudget(0.0)

    @property
    def service(self) -> core.Service:
        """The service as configured."""
        return self._service

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    async def call(
        self, call: config.ServiceCall, tracker: run_state.RunTracker
    ) -> config.ServiceAnswer:
        """Sends a call and returns its whole answer.

        Raises:
            errors.UpstreamError: no answer; the tracker tells whether
                anything may have run.
        """
        order = self._order()
        if call.idempotent and len(order) > 1:
            return await self._hedge(order, call, tracker)
        return await self._in_turn(order, call, tracker)

    async def _hedge(
        self,
        order: list[core.ServiceUpstream],
        call: config.ServiceCall,
        tracker: run_state.RunTracker,
    ) -> config.ServiceAnswer:
        """Asks a second replica when the first is slow; one answer wins.

        The second call is taken from the retry budget, so that hedges
        cannot double the load of a service that is slow altogether.
        """
        now = asyncio.get_running_loop().time()
        self._budget.record_first_attempt()
        first = asyncio.create_task(self._in_turn(order, call, tracker))
        done, _ = await asyncio.wait({first}, timeout=const.HEDGE_AFTER_S)
        if done or not self._budget.try_retry(now):
            return await self._outlast(first)
        others = [*order[1:], order[0]]
        second = asyncio.create_task(self._in_turn(others, call, tracker))
        return await self._outlast(first, second)

    async def _outlast(
        self, *tasks: asyncio.Task[config.ServiceAnswer]
    ) -> config.ServiceAnswer:
        """Returns the first good answer, or raises the last failure."""
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

    async def _in_turn(
        self,
        order: list[core.ServiceUpstream],
        call: config.ServiceCall,
        tracker: run_state.RunTracker,
    ) -> config.ServiceAnswer:
        last: errors.UpstreamError | None = None
        for upstream in order:
            try:
                return await self._call_one(upstream, call, tracker)
            except errors.UpstreamError as err:
                last = err
                self._eject(upstream)
                if err.ran and not call.idempotent:
                    raise
        if last is not None:
            raise last
        raise errors.UpstreamError(
            errors.Failure.CONNECT, "no replica is in service", sent=False
        )

    def _order(self) -> list[core.ServiceUpstream]:
        now = asyncio.get_running_loop().time()
        leaving = self._leaving()
        live = [
            upstream
            for upstream in self._service.upstreams
            if upstream.name not in leaving
        ]
        self._rng.shuffle(live)
        return sorted(
            live,
            key=lambda upstream: (
                self._ejected.get(upstream.name, 0.0) > now,
                upstream.data_centre != self._data_centre,
            ),
        )

    def _eject(self, upstream: core.ServiceUpstream) -> None:
        now = asyncio.get_running_loop().time()
        self._ejected[upstream.name] = now + const.EJECT_S

    async def _call_one(
        self,
        upstream: core.ServiceUpstream,
        call: config.ServiceCall,
        tracker: run_state.RunTracker,
    ) -> config.ServiceAnswer:
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
                    _headers(call),
                    call.body,
                    read_timeout_s=const.SILENCE_S if call.idempotent else 0.0,
                )
                body = await conn.read_all(const.MAX_ANSWER_BYTES)
        except (http_errors.HttpError, TimeoutError) as err:
            conn.close()
            self._pool.close_idle(upstream.address)
            raise errors.UpstreamError(
                errors.Failure.LOST, repr(err), sent=True
            )
        except BaseException:
            conn.close()
            raise
        return self._answer_of(conn, head, body, upstream, call, tracker)

    def _answer_of(self, conn, head, body, upstream, call, tracker):
        answered_id = head.get_header(const.HEADER_REQUEST_ID, call.request_id)
        if answered_id != call.request_id:
            conn.close()
            raise errors.UpstreamError(
                errors.Failure.CROSSED,
                f"answer to {answered_id!r}",
                sent=True,
            )
        self._pool.release(conn)
        if head.status == 503 and head.get_header("x-not-run") == "1":
            tracker.mark_not_run()
            raise errors.UpstreamError(
                errors.Failure.REFUSED, "refused", sent=True, ran=False
            )
        tracker.mark_answered()
        return config.ServiceAnswer(
            head.status,
            head.get_header("content-type", "application/octet-stream"),
            body,
            upstream.name,
        )


def _headers(call: config.ServiceCall) -> list[tuple[bytes, bytes]]:
    lines = [
        (const.HEADER_REQUEST_ID, call.request_id),
        (const.HEADER_CUSTOMER, call.customer),
    ]
    if call.content_type:
        lines.append(("content-type", call.content_type))
    return [(name.encode(), value.encode()) for name, value in lines]
