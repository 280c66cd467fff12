"""Bodies that are read as a whole, and the memory budget."""

import asyncio
import unittest

from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import http_server
from bergamotmill.helpers import memory_budget
from bergamotmill.helpers import metrics as stats
from tests import virtual

ADDRESS = "10.0.0.1:80"


class BodyMemoryTest(virtual.VirtualCase):
    """Bodies that are read as a whole count as memory in use."""

    def fetch_with(
        self,
        limit,
        is_essential,
        size=500_000,
        max_size=http_client.MAX_BODY_BYTES,
    ):
        memory = memory_budget.MemoryBudget(limit)

        async def handler(exchange):
            exchange.respond(200, b"x" * size)

        async def scenario():
            loop = asyncio.get_running_loop()
            server = http_server.HttpServer(ADDRESS, handler)
            await server.start()
            pool = http_client.Pool(is_essential=is_essential)
            pool.count_connections(
                connection_memory.ConnectionMemory(
                    memory, stats.Metrics(), loop.time
                )
            )
            try:
                _, body = await http_client.fetch(
                    pool, ADDRESS, "GET", "/", max_body_bytes=max_size
                )
                return len(body)
            finally:
                pool.close()
                await server.close()

        try:
            return self.run_virtual(scenario())
        finally:
            self.assertEqual(memory.used_bytes, 0)

    def test_body_without_room_is_refused(self):
        self.assertEqual(self.fetch_with(4_000_000, False), 500_000)
        with self.assertRaises(http_errors.NoMemoryError):
            self.fetch_with(400_000, False)

    def test_essential_body_is_kept(self):
        self.assertEqual(self.fetch_with(400_000, True), 500_000)

    # An answer without end of the store was repeated, and each was kept.
    def test_essential_bodies_have_a_limit_together(self):
        limit = memory_budget.ESSENTIAL_MIN_BYTES // memory_budget.COPIES
        with self.assertRaises(http_errors.NoMemoryError):
            self.fetch_with(400_000, True, limit + 1, 10 * limit)

    def test_body_above_its_limit_is_refused_in_any_case(self):
        for is_essential in (False, True):
            with self.assertRaises(http_errors.BodyTooLargeError):
                self.fetch_with(
                    10**9, is_essential, http_client.MAX_BODY_BYTES + 1
                )


if __name__ == "__main__":
    unittest.main()
