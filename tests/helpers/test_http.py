import asyncio
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import http_server
from tests import virtual

ADDRESS = "10.0.0.1:80"


class HttpTest(virtual.VirtualCase):
    def run_server(self, scenario, handler=None, limit=1000):
        async def echo(exchange):
            exchange.respond(200, exchange.request.body)

        async def main():
            server = http_server.HttpServer(ADDRESS, handler or echo, limit)
            await server.start()
            self.server = server
            try:
                await scenario()
            finally:
                await server.close()

        self.run_virtual(main())

    async def raw(self, data, wait=60.0):
        """Sends bytes as they are and returns all that comes back."""
        loop = asyncio.get_running_loop()

        class Raw(asyncio.Protocol):
            def __init__(self):
                self.got = b""
                self.done = loop.create_future()

            def connection_made(self, transport):
                self.transport = transport

            def data_received(self, data):
                self.got += data

            def connection_lost(self, error):
                if not self.done.done():
                    self.done.set_result(None)

        _, protocol = await loop.create_connection(Raw, "10.0.0.1", 80)
        protocol.transport.write(data)
        try:
            await asyncio.wait_for(protocol.done, wait)
        except TimeoutError:
            protocol.transport.abort()
        return protocol.got

    def test_malformed_input_gets_a_400_that_says_not_run(self):
        async def scenario():
            for data in (
                b"nonsense\r\n\r\n",
                b"GET / HTTP/1.1\r\n\r\n",
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n",
                b"GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
            ):
                got = await self.raw(data)
                self.assertIn(b" 400 ", got.split(b"\r\n")[0] + b" ", data)
                self.assertIn(b'"not_run"', got)

        self.run_server(scenario)

    def test_large_body_and_head_are_refused(self):
        async def scenario():
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n"
            got = await self.raw(head + b"x" * 2000)
            self.assertTrue(got.startswith(b"HTTP/1.1 413"), got)
            line = b"a: " + b"x" * 70_000
            got = await self.raw(b"GET / HTTP/1.1\r\n" + line)
            self.assertTrue(got.startswith(b"HTTP/1.1 4"), got[:40])

        self.run_server(scenario)

    def test_slow_sender_is_cut_off_in_time(self):
        async def scenario():
            started = asyncio.get_running_loop().time()
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n"
            got = await self.raw(head + b"x", 200.0)
            self.assertTrue(got.startswith(b"HTTP/1.1 408"), got)
            spent = asyncio.get_running_loop().time() - started
            self.assertLess(spent, http_server.BODY_TIMEOUT_S + 1)

        self.run_server(scenario)

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario():
            one = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n"
            got = await self.raw(one + b"1" + one + b"2" + one + b"3", 1.0)
            bodies = [p.rpartition(b"\r\n\r\n")[2] for p in got.split(b"HTTP")]
            self.assertEqual(bodies[1:], [b"1", b"2", b"3"])

        self.run_server(scenario)

    def test_failing_handler_gives_500_and_the_server_goes_on(self):
        async def handler(exchange):
            if exchange.request.path == "/bad":
                raise ValueError("broken")
            exchange.respond(200, b"fine")

        async def scenario():
            pool = http_client.Pool()
            head, _ = await http_client.fetch(pool, ADDRESS, "GET", "/bad")
            self.assertEqual(head.status, 500)
            head, body = await http_client.fetch(pool, ADDRESS, "GET", "/")
            self.assertEqual((head.status, body), (200, b"fine"))
            pool.close()

        self.run_server(scenario, handler)

    def test_silence_is_found_and_pool_mates_are_dropped(self):
        async def handler(exchange):
            exchange.start(200)
            exchange.write(b"first")
            await asyncio.sleep(1000)

        async def scenario():
            pool = http_client.Pool()
            conn = await pool.acquire(ADDRESS)
            await conn.request("GET", "/", read_timeout_s=2.0)
            self.assertEqual(await conn.read(), b"first")
            started = asyncio.get_running_loop().time()
            with self.assertRaises(http_errors.ReadTimeoutError):
                await conn.read()
            spent = asyncio.get_running_loop().time() - started
            self.assertAlmostEqual(spent, 2.0, delta=0.1)

        self.run_server(scenario, handler)

    def test_answer_cut_short_is_an_error(self):
        async def handler(exchange):
            exchange.start(200)
            exchange.write(b"part")
            exchange.abort()

        async def scenario():
            pool = http_client.Pool()
            with self.assertRaises(http_errors.ConnectionLostError):
                await http_client.fetch(pool, ADDRESS, "GET", "/")

        self.run_server(scenario, handler)

    def test_drain_closes_idle_connections_and_waits_for_busy_ones(self):
        async def handler(exchange):
            await asyncio.sleep(5.0)
            exchange.respond(200, b"late")

        async def scenario():
            pool = http_client.Pool()
            idle = await pool.acquire(ADDRESS)
            call = asyncio.create_task(
                http_client.fetch(pool, ADDRESS, "GET", "/", timeout_s=20.0)
            )
            await asyncio.sleep(0.1)
            self.assertTrue(await self.server.drain(10.0))
            self.assertEqual((await call)[1], b"late")
            self.assertFalse(idle.reusable)

        self.run_server(scenario, handler)


if __name__ == "__main__":
    unittest.main()
