import unittest

from bergamotmill.cli import client
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_server
from tests import virtual

ADDRESS = "10.0.0.1:80"


class ClientTest(virtual.VirtualCase):
    # A configuration is larger than what a router reads of other answers.
    def test_large_answer_is_read(self):
        value = {"customers": ["x" * 100] * (http_client.MAX_BODY_BYTES // 50)}

        async def handler(exchange):
            exchange.respond_json(200, value)

        async def scenario():
            server = http_server.HttpServer(ADDRESS, handler)
            await server.start()
            try:
                return await client._send_request(
                    ADDRESS, "key", "GET", "/", None
                )
            finally:
                await server.close()

        self.assertEqual(self.run_virtual(scenario()), (200, value))


if __name__ == "__main__":
    unittest.main()
