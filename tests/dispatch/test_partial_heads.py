"""Replicas that stop in the middle of the head of their answer.

MIXED and ORDER, a report of issue 44: a success with an empty or short body,
framed as complete.
"""

import asyncio
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.platform import const
from tests import platform_case
from tests import virtual

ID_LINES = (
    f"{const.HEADER_REQUEST_ID}: ID\r\n{const.HEADER_RESPONSE_SEAL}: x\r\n"
)
# Ways of writing a head, up to and without its last byte.
HEADS = {
    "length": f"HTTP/1.1 200 OK\r\n{ID_LINES}content-length: 12\r\n\r",
    "length first": f"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{ID_LINES}\r",
    "chunks": f"HTTP/1.1 200 OK\r\n{ID_LINES}transfer-encoding: chunked\r\n\r",
    "no length": f"HTTP/1.1 200 OK\r\n{ID_LINES}\r",
    "close": f"HTTP/1.1 200 OK\r\nconnection: close\r\n{ID_LINES}\r",
    "line feeds": f"HTTP/1.1 200 OK\n{ID_LINES}".replace("\r", ""),
    "older version": f"HTTP/1.0 200 OK\r\n{ID_LINES}\r",
    "no content": f"HTTP/1.1 204 No Content\r\n{ID_LINES}\r",
    "interim head": (
        f"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n{ID_LINES}\r"
    ),
}
# Every prefix is tried by the client alone, these by whole routers.
STEP_BYTES = 9


class ClientTest(platform_case.PlatformCase):
    def test_no_prefix_of_a_head_is_a_response(self):
        async def scenario():
            standin = self.fleet.replicas["s0"]
            pool = http_client.Pool()
            for name, head in HEADS.items():
                for size in range(1, len(head) + 1):
                    standin.faults.answer = head[:size].encode()
                    standin.faults.resets = bool(size % 2)
                    conn = await pool.acquire(standin.address, True)
                    with (
                        self.subTest(name, size=size),
                        self.assertRaises(http_errors.HttpError),
                    ):
                        await conn.request("GET", "/x", [], b"", host="h")
                    conn.close()
            sent = sum(len(head) for head in HEADS.values())
            self.assertEqual(len(standin.runs), sent)

        self.run_fleet(scenario, routers=1, engines=0)


class RouterTest(platform_case.PlatformCase):
    async def assert_no_success(self, route):
        request_id = self.fleet.new_id()
        answer = await self.fleet.call(route, request_id=request_id)
        self.assertFalse(answer.whole and 200 <= answer.status < 300, answer)
        if not answer.whole:
            self.assertEqual(answer.events(), [])
        self.assertIn(answer.status, (0, 200, 502, 504))
        if route in ("filing", "review"):
            self.assertLessEqual(len(self.fleet.runs(request_id)), 1)

    def test_no_caller_gets_a_success(self):
        async def scenario():
            for name, head in HEADS.items():
                for size in range(1, len(head) + 1, STEP_BYTES):
                    for standin in self.fleet.replicas.values():
                        standin.faults.answer = head[:size].encode()
                        standin.faults.resets = bool(size % 2)
                    for route in ("filing", "lookup", "review", "check"):
                        with self.subTest(name, size=size, route=route):
                            await self.assert_no_success(route)
                    # Upstreams that were ejected are used again.
                    await asyncio.sleep(3.0)

        self.run_fleet(scenario, routers=1)

    def test_resumed_stream_has_no_gap_and_no_false_end(self):
        async def scenario():
            engines = [r for r in self.fleet.replicas.values() if r.model]
            for engine in engines:
                engine.faults.cut_after = 3
            for name, head in HEADS.items():
                for size in range(1, len(head) + 1, STEP_BYTES):
                    for engine in engines:
                        engine.faults.resume_answer = head[:size].encode()
                    answer = await self.fleet.call("check")
                    with self.subTest(name, size=size):
                        self.assertFalse(answer.whole)
                        self.assertEqual(answer.events(), [1, 2, 3])
                    await asyncio.sleep(3.0)

        self.run_fleet(scenario, routers=1)


class OwnInterfaceTest(virtual.ClusterCase):
    def test_no_call_to_a_service_gets_a_success(self):
        async def scenario():
            pool = http_client.Pool()
            for name, head in HEADS.items():
                for size in range(1, len(head) + 1, STEP_BYTES):
                    for standin in self.cluster.services.values():
                        standin.answer = head[:size].encode()
                    for method in ("GET", "POST"):
                        runs = len(self.runs())
                        status = await self.call(pool, method)
                        with self.subTest(name, size=size, method=method):
                            self.assertGreaterEqual(status, 500)
                            if method == "POST":
                                self.assertLessEqual(len(self.runs()), runs + 1)
                    await asyncio.sleep(3.0)

        self.run_cluster(scenario)

    async def call(self, pool, method):
        head, _ = await http_client.fetch(
            pool,
            "10.0.0.1:80",
            method,
            "/services/registry/records/1",
            [(b"authorization", b"Bearer key-of-one")],
            b"text" if method == "POST" else b"",
            timeout_s=30.0,
        )
        return head.status


if __name__ == "__main__":
    unittest.main()
