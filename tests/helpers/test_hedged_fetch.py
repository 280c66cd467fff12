import asyncio
import unittest

from bergamotmill.helpers import hedged_fetch
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import http_server
from tests import virtual

ADDRESS = "10.0.3.1:80"


class HedgedFetchTest(virtual.VirtualCase):
    def run_calls(self, scenario):
        async def main():
            self.delays_s = []
            self.received = 0
            server = http_server.HttpServer(ADDRESS, self.answer)
            await server.start()
            self.pool = http_client.Pool()
            try:
                await scenario()
            finally:
                self.pool.close()
                await server.close()

        self.run_virtual(main())

    async def answer(self, exchange):
        """Answers the n-th call after the n-th delay; 0 resets it."""
        self.received += 1
        delay_s = self.delays_s[self.received - 1]
        if not delay_s:
            exchange.abort()
            return
        await asyncio.sleep(delay_s)
        exchange.respond(200, str(self.received).encode())

    async def fetch(self, *delays_s):
        self.delays_s = delays_s
        began = asyncio.get_running_loop().time()
        try:
            head, _ = await hedged_fetch.fetch(
                self.pool, ADDRESS, "GET", "/", 2.0, 1.0, 0.5
            )
            return head.status
        finally:
            self.seconds = asyncio.get_running_loop().time() - began

    def test_answer_in_time_needs_one_call(self):
        async def scenario():
            self.assertEqual(await self.fetch(0.9), 200)
            self.assertEqual(self.received, 1)

        self.run_calls(scenario)

    def test_unanswered_call_is_repeated(self):
        async def scenario():
            self.assertEqual(await self.fetch(60.0, 60.0, 0.1), 200)
            self.assertAlmostEqual(self.seconds, 1.6, delta=0.05)

        self.run_calls(scenario)

    def test_late_answer_of_the_first_call_counts(self):
        async def scenario():
            self.assertEqual(await self.fetch(1.2, 60.0), 200)
            self.assertAlmostEqual(self.seconds, 1.2, delta=0.05)

        self.run_calls(scenario)

    def test_broken_repetition_leaves_the_first_call_waiting(self):
        async def scenario():
            self.assertEqual(await self.fetch(1.9, 0.0, 0.0), 200)
            self.assertAlmostEqual(self.seconds, 1.9, delta=0.05)

        self.run_calls(scenario)

    def test_reset_fails_at_once(self):
        async def scenario():
            with self.assertRaises(http_errors.HttpError):
                await self.fetch(0.0)
            self.assertLess(self.seconds, 0.1)

        self.run_calls(scenario)

    def test_silence_ends_at_the_time_limit(self):
        async def scenario():
            with self.assertRaises(TimeoutError):
                await self.fetch(60.0, 60.0, 60.0)
            self.assertAlmostEqual(self.seconds, 2.0, delta=0.05)

        self.run_calls(scenario)


if __name__ == "__main__":
    unittest.main()
