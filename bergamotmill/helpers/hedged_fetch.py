"""Repeats an idempotent HTTP call while it gets no response.

A connection may stop delivering data without an error, and a server that was
unavailable for a time may never answer the calls that it had received before.
"""

import asyncio

from bergamotmill.helpers import http_client


async def fetch(
    pool: http_client.Pool,
    address: str,
    method: str,
    target: str,
    timeout_s: float,
    hedge_after_s: float,
    hedge_period_s: float,
    max_body_bytes: int = http_client.MAX_BODY_BYTES,
) -> tuple[http_client.ResponseHead, bytes]:
    """Sends a request without a body and returns the first response.

    Args:
        pool: connections; the idle ones to the address are closed when the
            call is repeated, as they may be dead too.
        address: host and port of the server.
        method: HTTP method of an idempotent call.
        target: request target.
        timeout_s: time limit of the whole call.
        hedge_after_s: time without a response after which the call is repeated.
        hedge_period_s: time between further repetitions.
        max_body_bytes: maximum size of the body of a response.

    Raises:
        http_errors.HttpError: All attempts failed.
        TimeoutError: There was no response within `timeout_s`.
    """

    def start_attempt() -> asyncio.Task:
        return asyncio.create_task(
            http_client.fetch(
                pool,
                address,
                method,
                target,
                timeout_s=timeout_s,
                max_body_bytes=max_body_bytes,
            )
        )

    attempts = {start_attempt()}
    delay_s = hedge_after_s
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                done, attempts = await asyncio.wait(
                    attempts,
                    timeout=delay_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answered = [t for t in done if t.exception() is None]
                if answered:
                    return answered[0].result()
                if not attempts:
                    raise next(iter(done)).exception()
                if not done:
                    pool.close_idle(address)
                    attempts.add(start_attempt())
                    delay_s = hedge_period_s
    finally:
        for task in attempts:
            task.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)
