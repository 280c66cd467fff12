"""Short messages between routers that may be lost, over UDP.

A call over gRPC costs about a millisecond of processor time on both sides; a
datagram costs some hundredths. Each bears a code that only routers of the
fleet can make; what has none, or is longer than a packet, is dropped.
"""

import asyncio
from collections.abc import Callable
import hashlib
import hmac

from bergamotmill.control import peers as peer_links
from bergamotmill.helpers import decisions

# What passes any network in one piece, less headers.
MAX_BYTES = 1200
CODE_BYTES = 16

MessageHandler = Callable[[bytes], None]


class DatagramPort(asyncio.DatagramProtocol):
    """Sends to and receives from the same port of other routers."""

    def __init__(self, address: str, fleet_key: str, receive: MessageHandler):
        """Makes a port; `start` opens it.

        Args:
            address: IP:PORT to listen on; the port is the same everywhere.
            fleet_key: what routers of one fleet share.
            receive: takes the messages.
        """
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        token = peer_links.fleet_token(fleet_key).encode()
        self._key = hashlib.blake2b(token, digest_size=32).digest()
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self._refused = False

    async def start(self) -> None:
        """Starts listening."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    async def close(self) -> None:
        """Stops listening."""
        if self._transport is not None:
            self._transport.close()

    def _code(self, data: bytes) -> bytes:
        found = hashlib.blake2b(data, key=self._key, digest_size=CODE_BYTES)
        return found.digest()

    def send(self, host: str, data: bytes) -> None:
        """Sends a message to a router's host; it may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(self._code(data) + data, (host, self._port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Checks and hands over a message."""
        code, body = data[:CODE_BYTES], data[CODE_BYTES:]
        if hmac.compare_digest(code, self._code(body)):
            self._receive(body)
        elif not self._refused:
            self._refused = True
            decisions.record("datagram_refused", sender=addr[0])

    def error_received(self, exc: Exception) -> None:
        """A router that is away; membership finds that out."""
        del exc
