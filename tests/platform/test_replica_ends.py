"""Responses of replicas over real sockets that end early.

Guards against parts of responses that are forwarded as whole ones.
"""

import asyncio
import socket
from unittest import mock

from bergamotmill.dispatch import config
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import relay
from bergamotmill.helpers import http_client
from bergamotmill.helpers import memory_budget
from bergamotmill.platform import const
from bergamotmill.platform import replica
from bergamotmill.upstream import errors
from tests import raw_server
from tests.helpers import test_response_ends as response_ends

IDENTITY = (
    f"{const.HEADER_REQUEST_ID}: id\r\n{const.HEADER_RESPONSE_SEAL}: x\r\n"
).encode()
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def make_call(kind, body):
    route = config.Route("r", "h", "/", kind, 60.0, 1.0, 0, ())
    now = asyncio.get_running_loop().time()
    return messages.Call(
        "id", route, None, "POST", "/x", (), body, now, now + 60.0
    )


class ReplicaEndTest(response_ends.SocketCase):
    async def forward(self, script, kind, body):
        """Forwards the response of a replica; returns what the caller gets."""
        server = raw_server.RawServer(script)
        link = replica.ReplicaLink("r0")
        sink = mock.Mock(started=False, write_paused=False)
        sink.start.side_effect = lambda _: setattr(sink, "started", True)
        now = asyncio.get_running_loop().time
        response_relay = relay.ResponseRelay(
            mock.Mock(),
            now,
            memory_budget.MemoryBudget(100 * 1024 * 1024),
            mock.Mock(),
        )
        call = make_call(kind, body)
        progress = mock.Mock(
            spec=call_progress.Progress,
            call=call,
            last_event_id="",
            answer_began_at=None,
            events_received=0,
        )
        response = None
        try:
            response = await link.send(
                call, messages.Attempt(server.address, "u", 60.0)
            )
            self.assertTrue(response.head.ends_with_connection)
            await response_relay.forward(
                progress, sink, response, mock.Mock(), False
            )
        finally:
            if response is not None:
                response.close()
            link.close()
            await server.close()
            self.sink = sink
        return sink

    async def assert_lost(self, script, kind, body):
        with self.assertRaises(errors.UpstreamError) as caught:
            await self.forward(script, kind, body)
        self.assertIs(caught.exception.failure, errors.Failure.LOST)
        self.assertTrue(caught.exception.ran)
        self.sink.respond.assert_not_called()
        self.sink.finish.assert_not_called()

    def test_end_before_the_upload_was_received_is_no_end(self):
        def script(connection):
            raw_server.read_head(connection)
            connection.sendall(b"HTTP/1.0 200 OK\r\n" + IDENTITY + b"\r\n")
            connection.sendall(EVENTS)
            connection.shutdown(socket.SHUT_WR)
            raw_server.reset(connection)

        for kind in config.RequestKind:
            for size in response_ends.UPLOAD_SIZES:
                with self.subTest(kind, size=size):
                    body = response_ends.make_body(size)
                    self.run_socket(self.assert_lost(script, kind, body))

    # Wide: the peer may run late between its end and its reset.
    @mock.patch.object(http_client, "END_CONFIRMATION_S", 2.0)
    def test_reset_after_the_end_is_seen(self):
        def script(connection):
            raw_server.read_request(connection)
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"\r\n")
            connection.sendall(EVENTS)
            connection.shutdown(socket.SHUT_WR)
            raw_server.reset(connection)

        for kind in config.RequestKind:
            with self.subTest(kind):
                self.run_socket(self.assert_lost(script, kind, b"text"))

    def test_whole_responses_are_forwarded(self):
        def script(connection):
            raw_server.read_request(connection)
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"\r\n")
            connection.sendall(EVENTS)

        async def scenario(kind, body):
            sink = await self.forward(script, kind, body)
            if kind is config.RequestKind.STREAM:
                sink.finish.assert_called_once()
                written = b"".join(c.args[0] for c in sink.write.mock_calls)
                self.assertEqual(written, EVENTS)
            else:
                sink.respond.assert_called_once_with(mock.ANY, EVENTS)

        for kind in config.RequestKind:
            for size in (0, *response_ends.UPLOAD_SIZES):
                with self.subTest(kind, size=size):
                    body = response_ends.make_body(size)
                    self.run_socket(scenario(kind, body))
