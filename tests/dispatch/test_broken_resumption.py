"""Streams that have begun, break off, and are answered with an error."""

import asyncio
import functools
import unittest

from bergamotmill.platform import const
from tests import platform_case

PROPER = f"{const.HEADER_REQUEST_ID}: ID\r\n{const.HEADER_RESPONSE_SEAL}: x\r\n"
TEXT = "failed: id: 9"
LENGTH = f"content-length: {len(TEXT)}\r\n\r\n{TEXT}"
CHUNKS = (
    f"transfer-encoding: chunked\r\n\r\n{len(TEXT):x}\r\n{TEXT}\r\n0\r\n\r\n"
)
EVENT = "id: 2\ndata: t2\n\n"
ANSWERS = {
    "500": f"HTTP/1.1 500 Error\r\n{PROPER}{LENGTH}",
    "500 in chunks": f"HTTP/1.1 500 Error\r\n{PROPER}{CHUNKS}",
    "500 without a length": f"HTTP/1.1 500 Error\r\n{PROPER}\r\n{TEXT}",
    "500 without an id": f"HTTP/1.1 500 Error\r\n{LENGTH}",
    "503": f"HTTP/1.1 503 Busy\r\n{PROPER}{LENGTH}",
    "503 that has not run": (
        f"HTTP/1.1 503 Busy\r\n{PROPER}{const.HEADER_NOT_RUN}: 1\r\n{LENGTH}"
    ),
    "404": f"HTTP/1.1 404 Not Found\r\n{PROPER}{LENGTH}",
    "307": f"HTTP/1.1 307 Elsewhere\r\n{PROPER}location: /x\r\n{LENGTH}",
    "garbage": "no answer at all\r\n\r\n",
    "half a head": f"HTTP/1.1 200 OK\r\n{PROPER}",
    "200 of another request": (
        "HTTP/1.1 200 OK\r\n"
        f"{const.HEADER_REQUEST_ID}: other\r\n"
        f"{const.HEADER_RESPONSE_SEAL}: x\r\n"
        f"content-length: {len(EVENT)}\r\n\r\n{EVENT}"
    ),
    "200 that repeats an event": (
        f"HTTP/1.1 200 OK\r\n{PROPER}"
        f"content-length: {len(EVENT)}\r\n\r\n{EVENT}"
    ),
    "200 without a seal": (
        f"HTTP/1.1 200 OK\r\n{const.HEADER_REQUEST_ID}: ID\r\n"
        f"content-length: {len(EVENT)}\r\n\r\n{EVENT}"
    ),
    "200 with half an event": (
        f"HTTP/1.1 200 OK\r\n{PROPER}transfer-encoding: chunked\r\n\r\n"
        "9\r\nid: 3\ndat\r\n0\r\n\r\n"
    ),
}
BEGUN = b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"


class BrokenResumptionTest(platform_case.PlatformCase):
    def engines(self):
        return [r for r in self.fleet.replicas.values() if r.model]

    # ORDER and MIXED, issue 38.
    def test_error_never_gets_into_a_stream(self):
        async def scenario():
            for engine in self.engines():
                engine.faults.cut_after = 2
            for what, text in ANSWERS.items():
                for engine in self.engines():
                    engine.faults.resume_answer = text.encode()
                with self.subTest(what):
                    answer = await self.fleet.call("check")
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.body, BEGUN)
                    self.assertFalse(answer.whole)
                await asyncio.sleep(3.0)

        self.run_fleet(scenario)

    def test_error_of_a_standby_never_gets_into_a_stream(self):
        for what, text in ANSWERS.items():
            with self.subTest(what):
                self.run_fleet(
                    functools.partial(self.check_standby, text.encode()),
                    engines=4,
                    data_centres=1,
                    keep_copies=True,
                )

    async def check_standby(self, text):
        call = asyncio.create_task(self.fleet.call("review", output=400))
        for engine in self.engines():
            engine.faults.resume_answer = text
        await self.end_engine_of_stream()
        answer = await call
        self.assertEqual(answer.status, 200)
        ids = answer.events()
        self.assertEqual(ids, list(range(1, len(ids) + 1)))
        self.assertNotIn(b"failed", answer.body)
        self.assertFalse(answer.whole)
        self.assertTrue(any(run.continued for run in self.fleet.runs()))

    async def end_engine_of_stream(self):
        def stream():
            return next(
                (
                    (engine, run)
                    for engine in self.engines()
                    for run in engine.runs
                    if run.answered and not run.outcome
                ),
                None,
            )

        async with asyncio.timeout(5.0):
            while stream() is None:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        self.fleet.crash_for_a_time(stream()[0])


if __name__ == "__main__":
    unittest.main()
