"""Short, unreliable messages between routers over UDP.

A gRPC call costs about a millisecond of CPU time, counting both sides, and
a datagram a few hundredths of that. Each datagram starts with an authentication
code that only routers of the fleet can compute; others are dropped.
"""

import asyncio
from collections.abc import Callable
import hashlib
import hmac

from bergamotmill.control import peers as peer_links
from bergamotmill.helpers import decisions

# Payload that fits into one packet on common networks, without the headers.
MAX_BYTES = 1200
CODE_BYTES = 16

MessageHandler = Callable[[bytes], None]


class DatagramPort(asyncio.DatagramProtocol):
    """Exchanges datagrams with other routers, which use the same port."""

    def __init__(
        self, address: str, fleet_key: str, on_message: MessageHandler
    ):
        """Creates a port, which `start` opens.

        Args:
            address: IP:PORT to listen on; all routers use the same port.
            fleet_key: secret that the routers of a fleet share.
            on_message: called with each authentic message.
        """
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        token = peer_links.fleet_token(fleet_key).encode()
        self._code_key = hashlib.blake2b(token, digest_size=32).digest()
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._refusal_logged = False

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

    def _authentication_code(self, data: bytes) -> bytes:
        digest = hashlib.blake2b(
            data, key=self._code_key, digest_size=CODE_BYTES
        )
        return digest.digest()

    def send(self, host: str, data: bytes) -> None:
        """Sends a message, which may be lost, to the port of another host."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(
            self._authentication_code(data) + data, (host, self._port)
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes on an authentic message; logs only the first refused one."""
        code, body = data[:CODE_BYTES], data[CODE_BYTES:]
        if hmac.compare_digest(code, self._authentication_code(body)):
            self._on_message(body)
        elif not self._refusal_logged:
            self._refusal_logged = True
            decisions.record("datagram_refused", sender=addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignores errors such as an unreachable router.

        Membership detects routers that do not answer.
        """
        del exc
