"""Peers that send bodies in tiny pieces."""

import asyncio
import random
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import http_server
from bergamotmill.helpers import piece_pacing
from bergamotmill.streams import events as sse
from tests import virtual

ADDRESS = "10.0.0.1:80"
TINY_CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Pieces that all exchanges may have parsed within a time.
SECONDS = 4.0
ALLOWED_PIECES = (
    piece_pacing.SHARED_BURST_PIECES
    + piece_pacing.SHARED_PIECES_PER_S * SECONDS
    + piece_pacing.BURST_PIECES
    + piece_pacing.PIECES_PER_S * SECONDS
    + piece_pacing.SLICE_PIECES
)


class MeterTest(unittest.TestCase):
    def test_large_pieces_are_free(self):
        meter = piece_pacing.PieceMeter(piece_pacing.SharedPace())
        for _ in range(10_000):
            self.assertFalse(meter.ends_slice(piece_pacing.SMALL_PIECE_BYTES))

    def test_exchanges_share_what_exceeds_their_own_allowance(self):
        shared = piece_pacing.SharedPace()
        meters = [piece_pacing.PieceMeter(shared) for _ in range(20)]
        slices = 0
        for step in range(400):
            for meter in meters:
                slices += not meter.delay_s(step * 0.01)
        own = 20 * (piece_pacing.BURST_PIECES + piece_pacing.PIECES_PER_S * 4)
        shared_pieces = (
            piece_pacing.SHARED_BURST_PIECES
            + piece_pacing.SHARED_PIECES_PER_S * 4
        )
        self.assertLessEqual(
            slices * piece_pacing.SLICE_PIECES, own + shared_pieces
        )
        self.assertGreater(slices * piece_pacing.SLICE_PIECES, own)

    def test_streams_of_usual_speed_are_never_delayed(self):
        shared = piece_pacing.SharedPace()
        for _ in range(64):
            meter = piece_pacing.PieceMeter(shared)
            for event in range(1000):
                if meter.ends_slice(17):
                    self.assertEqual(meter.delay_s(event * 0.01), 0.0)


class TinyPiecesTest(virtual.VirtualCase):
    def run_server(self, scenario, handler):
        async def main():
            server = http_server.HttpServer(ADDRESS, handler, 1_000_000)
            await server.start()
            try:
                await scenario()
            finally:
                await server.close()

        self.run_virtual(main())

    def chunks_handler(self, data, ends=True):
        async def handler(exchange):
            if exchange.request.path == "/sound":
                exchange.respond(200, b"sound")
                return
            exchange.write_raw(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            )
            exchange.write_raw(data)
            if ends:
                exchange.write_raw(LAST_CHUNK)
            else:
                exchange.close()
            exchange._finished = True

        return handler

    # One connection with chunks of one byte took the whole processor.
    def test_replica_is_read_at_the_pace_of_its_allowance(self):
        async def scenario():
            pool = http_client.Pool()
            conn = await pool.acquire(ADDRESS)
            await conn.request("GET", "/tiny")
            received = 0
            try:
                async with asyncio.timeout(SECONDS):
                    while data := await conn.read():
                        received += len(data)
            except TimeoutError:
                pass
            self.assertGreater(received, piece_pacing.BURST_PIECES)
            self.assertLess(received, ALLOWED_PIECES)
            self.assertGreater(conn.held_bytes, 0)
            head, body = await http_client.fetch(pool, ADDRESS, "GET", "/sound")
            self.assertEqual((head.status, body), (200, b"sound"))
            conn.close()

        self.run_server(scenario, self.chunks_handler(TINY_CHUNK * 50_000))

    def test_whole_body_arrives(self):
        async def scenario():
            pool = http_client.Pool()
            for _ in range(2):
                _, body = await http_client.fetch(pool, ADDRESS, "GET", "/tiny")
                self.assertEqual(body, b"x" * 3000)

        self.run_server(scenario, self.chunks_handler(TINY_CHUNK * 3000))

    def test_body_that_ends_early_is_not_complete(self):
        async def scenario():
            pool = http_client.Pool()
            with self.assertRaises(http_errors.ConnectionLostError):
                await http_client.fetch(pool, ADDRESS, "GET", "/tiny")

        self.run_server(scenario, self.chunks_handler(TINY_CHUNK * 3000, False))

    async def send_tiny_chunks(self, count):
        """Sends a request in tiny chunks; returns status and duration."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(
            lambda: protocol, "10.0.0.1", 80
        )
        began_at = loop.time()
        transport.write(
            b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        transport.write(TINY_CHUNK * count + LAST_CHUNK)
        status_line = await reader.readline()
        transport.abort()
        return int(status_line.split()[1]), loop.time() - began_at

    # A caller's chunks of one byte took the whole processor, and several times
    # the memory that was counted.
    def test_caller_is_read_at_the_pace_of_its_allowance(self):
        sizes = []

        async def handler(exchange):
            sizes.append(len(exchange.request.body))
            exchange.respond(200)

        async def scenario():
            status, seconds = await self.send_tiny_chunks(300)
            self.assertEqual(status, 200)
            self.assertLess(seconds, 0.1)
            status, seconds = await self.send_tiny_chunks(int(ALLOWED_PIECES))
            self.assertEqual(status, 200)
            self.assertGreater(seconds, 0.9 * SECONDS)
            self.assertEqual(sizes, [300, int(ALLOWED_PIECES)])

        self.run_server(scenario, handler)


class SplitterTest(unittest.TestCase):
    def test_events_do_not_depend_on_the_pieces(self):
        data = b"id: 1\ndata: a\n\n\n\n:c\n\ndata: b\n\nid: 2\ndata: c\n\nre"
        whole = sse.EventSplitter().feed(data)
        for seed in range(50):
            rng = random.Random(seed)
            splitter = sse.EventSplitter()
            events, rest = [], data
            while rest:
                size = rng.choice((1, 1, 2, 3, 9))
                events += splitter.feed(rest[:size])
                rest = rest[size:]
            self.assertEqual(events, whole)
            self.assertEqual(splitter.partial_bytes, 2)


if __name__ == "__main__":
    unittest.main()
