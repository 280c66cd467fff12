"""Upstreams that send bytes until the router closes the connection."""

import asyncio

from bergamotmill.helpers import http_client
from bergamotmill.platform import const as platform_const
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import replica
from bergamotmill.streams import const as stream_const
from tests import platform_case

# A head has to be refused when it exceeds its limit; the rest is under way.
MAX_HEAD_SENT_BYTES = 4 * http_client.MAX_HEAD_BYTES
# A router has 150 MB, of which it uses 40 when idle.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
SAMPLE_PERIOD_S = 0.002
# Memory in use without a request.
MAX_IDLE_BYTES = 64 * 1024
HEADS = ("garbage", "header", "headers", "interim heads")
BODIES = ("body", "chunks", "chunk size", "trailers")


class EndlessResponseTest(platform_case.PlatformCase):
    def start_endless(self, part, engines=False):
        for standin in self.fleet.replicas.values():
            if bool(standin.model) == engines:
                standin.faults.endless = part
                standin.endless_bytes_sent = 0

    def bytes_sent(self):
        return sum(r.endless_bytes_sent for r in self.fleet.replicas.values())

    async def sample_buffers(self):
        self.peak_bytes = 0
        while True:
            buffered = self.fleet.routers[0].dispatcher.buffered_bytes
            self.peak_bytes = max(self.peak_bytes, buffered)
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def test_parts_of_the_test_are_those_of_the_stand_in(self):
        self.assertEqual({*HEADS, *BODIES}, set(replica.ENDLESS_PARTS))

    def test_endless_head_ends_the_attempt_at_its_limit(self):
        for part in HEADS:
            with self.subTest(part):
                self.run_fleet(lambda part=part: self.check_head(part))

    async def check_head(self, part):
        self.start_endless(part)
        answer = await self.fleet.call("filing")
        self.assertEqual(answer.status, 502)
        self.assertLess(answer.seconds, 0.5)
        self.assertLess(self.bytes_sent(), MAX_HEAD_SENT_BYTES)

    def test_endless_body_ends_the_attempt_at_its_limit(self):
        for part in BODIES:
            with self.subTest(part):
                self.run_fleet(lambda part=part: self.check_body(part))

    async def check_body(self, part):
        self.start_endless(part)
        sampler = asyncio.create_task(self.sample_buffers())
        answers = await asyncio.gather(
            *(self.fleet.call("filing") for _ in range(12))
        )
        sampler.cancel()
        for answer in answers:
            self.assertNotEqual(answer.status, 200)
        self.assertLess(self.peak_bytes, MAX_BUFFERED_BYTES)
        self.assert_at_most_once()
        # The other upstreams still serve.
        answer = await self.fleet.call("check")
        self.assert_complete_stream(answer)

    # Reports and orders were read up to 64 MB, outside the memory budget.
    def test_endless_answers_to_control_calls_end_at_their_limit(self):
        async def scenario():
            engines = [r for r in self.fleet.replicas.values() if r.model]
            for engine in engines:
                engine.faults.endless_control = True
                engine.received_at.clear()
            await self.fleet.store.write(
                f"{platform_const.PREFIX_WEIGHTS}{fleet.MODEL}",
                {"model": fleet.MODEL, "version": 2},
            )
            await asyncio.sleep(10.0)
            calls = sum(len(engine.received_at) for engine in engines)
            self.assertGreater(calls, len(engines))
            self.assertLess(
                self.bytes_sent(), 2 * platform_const.MAX_REPORT_BYTES * calls
            )
            for router in self.fleet.routers.values():
                self.assertLess(router._memory.used_bytes, MAX_IDLE_BYTES)

        self.run_fleet(scenario)

    # What a stream sent without the end of an event was kept outside the
    # memory budget.
    def test_endless_event_counts_as_memory(self):
        async def scenario():
            self.start_endless("chunks", engines=True)
            memory = self.fleet.routers[0]._memory
            calls = asyncio.gather(
                *(self.fleet.call("review") for _ in range(6))
            )
            peak = 0
            while not calls.done():
                peak = max(peak, memory.used_bytes)
                await asyncio.sleep(SAMPLE_PERIOD_S)
            for answer in await calls:
                self.assertEqual(answer.status, 502)
            self.assertGreater(peak, stream_const.MAX_EVENT_BYTES)
            self.assertLess(memory.used_bytes, MAX_IDLE_BYTES)

        self.run_fleet(scenario)

    def test_bytes_after_a_response_are_not_kept(self):
        async def scenario():
            conn = http_client.ClientConnection("10.0.2.1:80")
            conn.connection_made(_Transport())
            request = asyncio.create_task(conn.request("GET", "/"))
            await asyncio.sleep(0)
            conn.data_received(
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
            )
            await request
            conn.data_received(b"z" * 1000)
            self.assertTrue(conn._transport.aborted)
            self.assertEqual(await conn.read_all(100), b"ok")
            self.assertFalse(conn.finish())

        self.run_virtual(scenario())


class _Transport:
    """A transport that only records whether it was aborted."""

    def __init__(self):
        self.aborted = False

    def get_extra_info(self, name):
        """Returns None for every name."""

    def is_closing(self):
        return self.aborted

    def write(self, data):
        """Does nothing."""

    def abort(self):
        self.aborted = True
