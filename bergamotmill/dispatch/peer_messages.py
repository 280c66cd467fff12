"""Small messages between routers that may be lost.

They travel as datagrams where a port is configured, since a gRPC call costs a
millisecond of processor time on both sides, and over gRPC otherwise.
"""

from collections.abc import Callable
from typing import Any

from google.protobuf import message as protobuf_message

from bergamotmill.control import datagrams
from bergamotmill.control import peers as peer_links
from bergamotmill.dispatch import const
from bergamotmill.dispatch import placement_messages
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.util import tasks as background

RPC_METHOD = "Notify"


class PeerMessages:
    """Sends messages to routers, and passes received ones to listeners."""

    def __init__(
        self,
        peers: peer_links.PeerClient,
        peer_address: Callable[[str], str],
    ):
        """Makes an exchange that sends over gRPC.

        Args:
            peers: client for calls to other routers.
            peer_address: returns the address of a router; empty if unknown.
        """
        self._peers = peers
        self._peer_address = peer_address
        self._port: datagrams.DatagramPort | None = None
        self._tasks = background.Tasks()
        self._listeners: dict[str, Callable[[Any], None]] = {}

    def open_port(self, address: str, fleet_key: str) -> datagrams.DatagramPort:
        """Returns a port, not started yet, over which messages are sent."""
        self._port = datagrams.DatagramPort(
            address, fleet_key, self._on_datagram
        )
        return self._port

    def listen(self, field: str, listener: Callable[[Any], None]) -> None:
        """Sets the listener for the items of a field of `NotifyRequest`."""
        self._listeners[field] = listener

    def send(self, name: str, request: peer_pb2.NotifyRequest) -> None:
        """Sends a message to a router."""
        if self._port is None:
            self._tasks.spawn(
                self._peers.call(
                    name, RPC_METHOD, request, const.NOTICE_TIMEOUT_S
                )
            )
            return
        host = self._peer_address(name).rpartition(":")[0]
        if host:
            self._port.send(host, request.SerializeToString())

    def send_ask(
        self, owner: str, ask: placement_messages.Ask, cancelled: bool
    ) -> None:
        """Sends an ask, or its cancellation, to a placement owner."""
        if cancelled:
            message = peer_pb2.PlacementAsk(
                sender=ask.sender, id=ask.ask_id, cancelled=True
            )
        else:
            message = placement_messages.encode_ask(ask)
        self.send(owner, peer_pb2.NotifyRequest(asks=[message]))

    def send_reply(
        self, receiver: str, reply: placement_messages.Reply
    ) -> None:
        """Sends a placement owner's reply."""
        message = placement_messages.encode_reply(reply)
        self.send(receiver, peer_pb2.NotifyRequest(replies=[message]))

    def send_outcome(
        self, owner: str, outcome: placement_messages.Outcome
    ) -> None:
        """Tells a placement owner what became of a request."""
        message = placement_messages.encode_outcome(outcome)
        self.send(owner, peer_pb2.NotifyRequest(results=[message]))

    async def on_rpc(
        self, request: peer_pb2.NotifyRequest
    ) -> peer_pb2.NotifyReply:
        """Handles a message that arrives over gRPC."""
        self._receive(request)
        return peer_pb2.NotifyReply()

    def _on_datagram(self, data: bytes) -> None:
        try:
            self._receive(peer_pb2.NotifyRequest.FromString(data))
        except (protobuf_message.DecodeError, ValueError, KeyError) as err:
            # As from a router of another release.
            decisions.record("datagram_unreadable", detail=repr(err)[:200])

    def _receive(self, request: peer_pb2.NotifyRequest) -> None:
        for field, listener in self._listeners.items():
            for item in getattr(request, field):
                listener(item)

    async def close(self) -> None:
        """Cancels messages that are being sent."""
        await self._tasks.close()
