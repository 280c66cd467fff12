import asyncio
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import http_server
from tests import virtual

ADDRESS = "10.0.0.1:80"


class HttpTest(virtual.VirtualCase):
    def run_server(self, scenario, handler=None, max_body_bytes=1000):
        async def echo(exchange):
            exchange.respond(200, exchange.request.body)

        async def main():
            server = http_server.HttpServer(
                ADDRESS, handler or echo, max_body_bytes
            )
            await server.start()
            self.server = server
            try:
                await scenario()
            finally:
                await server.close()

        self.run_virtual(main())

    async def send_raw(self, data, timeout_s=60.0):
        """Sends raw bytes and returns everything that is received."""
        loop = asyncio.get_running_loop()

        class RawClient(asyncio.Protocol):
            def __init__(self):
                self.received = b""
                self.closed = loop.create_future()

            def connection_made(self, transport):
                self.transport = transport

            def data_received(self, data):
                self.received += data

            def connection_lost(self, error):
                if not self.closed.done():
                    self.closed.set_result(None)

        _, protocol = await loop.create_connection(RawClient, "10.0.0.1", 80)
        protocol.transport.write(data)
        try:
            await asyncio.wait_for(protocol.closed, timeout_s)
        except TimeoutError:
            protocol.transport.abort()
        return protocol.received

    def test_malformed_request_gets_400_with_not_run(self):
        async def scenario():
            for data in (
                b"nonsense\r\n\r\n",
                b"GET / HTTP/1.1\r\n\r\n",
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n",
                b"GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
            ):
                received = await self.send_raw(data)
                self.assertIn(b" 400 ", received.split(b"\r\n")[0] + b" ", data)
                self.assertIn(b'"not_run"', received)

        self.run_server(scenario)

    def test_oversized_body_and_head_are_rejected(self):
        async def scenario():
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n"
            received = await self.send_raw(head + b"x" * 2000)
            self.assertTrue(received.startswith(b"HTTP/1.1 413"), received)
            long_header = b"a: " + b"x" * 70_000
            received = await self.send_raw(b"GET / HTTP/1.1\r\n" + long_header)
            self.assertTrue(received.startswith(b"HTTP/1.1 4"), received[:40])

        self.run_server(scenario)

    def test_slow_request_times_out_with_408(self):
        async def scenario():
            started_at = asyncio.get_running_loop().time()
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n"
            received = await self.send_raw(head + b"x", 200.0)
            self.assertTrue(received.startswith(b"HTTP/1.1 408"), received)
            elapsed_s = asyncio.get_running_loop().time() - started_at
            self.assertLess(elapsed_s, http_server.BODY_TIMEOUT_S + 1)

        self.run_server(scenario)

    # A caller that sent a byte now and then kept its connection for ever.
    def test_head_that_never_ends_is_given_up(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.create_connection(
                lambda: protocol, "10.0.0.1", 80
            )
            transport.write(b"GET / HTTP/1.1\r\nx: ")
            began_at = loop.time()
            status_line = asyncio.create_task(reader.readline())
            while not status_line.done() and loop.time() - began_at < 60.0:
                transport.write(b"y")
                await asyncio.sleep(1.0)
            self.assertIn(b" 408 ", await status_line)
            self.assertLess(
                loop.time() - began_at, http_server.HEAD_TIMEOUT_S + 2.0
            )

        self.run_server(scenario)

    def test_caller_that_leaves_after_a_large_upload_is_noticed(self):
        left = asyncio.Event()

        async def handler(exchange):
            exchange.on_close(left.set)
            await left.wait()

        async def scenario():
            size = 3 * http_server.READ_PAUSE_BYTES
            conn = await http_client.Pool().acquire(ADDRESS)
            request = asyncio.create_task(
                conn.request("POST", "/", body=b"x" * size)
            )
            await asyncio.sleep(1.0)
            request.cancel()
            conn.close()
            async with asyncio.timeout(1.0):
                await left.wait()

        self.run_server(scenario, handler, 1_000_000)

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario():
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n"
            received = await self.send_raw(
                head + b"1" + head + b"2" + head + b"3", 1.0
            )
            bodies = [
                part.rpartition(b"\r\n\r\n")[2]
                for part in received.split(b"HTTP")
            ]
            self.assertEqual(bodies[1:], [b"1", b"2", b"3"])

        self.run_server(scenario)

    def test_handler_error_gives_500_and_server_keeps_serving(self):
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

    def test_read_times_out_when_no_data_arrives(self):
        async def handler(exchange):
            exchange.start(200)
            exchange.write(b"first")
            await asyncio.sleep(1000)

        async def scenario():
            pool = http_client.Pool()
            conn = await pool.acquire(ADDRESS)
            await conn.request("GET", "/", read_timeout_s=2.0)
            self.assertEqual(await conn.read(), b"first")
            started_at = asyncio.get_running_loop().time()
            with self.assertRaises(http_errors.ReadTimeoutError):
                await conn.read()
            elapsed_s = asyncio.get_running_loop().time() - started_at
            self.assertAlmostEqual(elapsed_s, 2.0, delta=0.1)

        self.run_server(scenario, handler)

    def test_truncated_response_raises_connection_lost(self):
        async def handler(exchange):
            exchange.start(200)
            exchange.write(b"part")
            exchange.abort()

        async def scenario():
            pool = http_client.Pool()
            with self.assertRaises(http_errors.ConnectionLostError):
                await http_client.fetch(pool, ADDRESS, "GET", "/")

        self.run_server(scenario, handler)

    def test_rest_of_a_body_that_nobody_reads_is_given_up(self):
        """The body would stay in memory for as long as the upstream lives."""

        class EarlyServer(asyncio.Protocol):
            def connection_made(self, transport):
                self.transport = transport

            def data_received(self, data):
                self.transport.pause_reading()
                self.transport.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly"
                )

        async def scenario():
            loop = asyncio.get_running_loop()
            await loop.create_server(EarlyServer, "10.0.0.2", 80)
            pool = http_client.Pool()
            conn = await pool.acquire("10.0.0.2:80")
            await conn.request("POST", "/", body=b"x" * 100_000)
            self.assertEqual(await conn.read_all(100), b"early")
            pool.release(conn)
            await asyncio.sleep(http_client.REST_TIMEOUT_S - 1)
            self.assertTrue(conn.is_sending_rest)
            await asyncio.sleep(2)
            self.assertFalse(conn.is_sending_rest)
            self.assertFalse(conn.reusable)
            self.assertEqual(pool.idle_count("10.0.0.2:80"), 0)

        self.run_server(scenario)

    def test_drain_closes_idle_connections_and_waits_for_requests(self):
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
