"""Calls between routers: the client protocol and its gRPC implementation."""

from collections.abc import Awaitable, Callable, Mapping
import hashlib
import hmac
from typing import Any, Protocol

import grpc
import result

from bergamotmill.proto import peer_pb2_grpc

Handler = Callable[[Any], Awaitable[Any]]
Resolver = Callable[[str], str]

METHODS = (
    "Ping",
    "Push",
    "Pull",
    "File",
    "Tail",
    "Borrow",
    "Notify",
    "Status",
    "Documents",
    "Weights",
    "Publish",
    "Explain",
)
METADATA_KEY = "x-fleet-key"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
KEEP_ALIVE_MS = 2000
KEEP_ALIVE_TIMEOUT_MS = 2000
MAX_CHANNELS = 256

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEP_ALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEP_ALIVE_TIMEOUT_MS),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEP_ALIVE_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
)


class PeerClient(Protocol):
    """Calls other routers by name or address."""

    async def call(
        self, router: str, method: str, request: Any, timeout_s: float
    ) -> result.Result[Any, str]:
        """Calls a router by name.

        After an error the call may still have been executed.
        """

    async def call_address(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> result.Result[Any, str]:
        """Calls the router that listens on an address."""


def fleet_token(fleet_key: str) -> str:
    """Returns the token with which routers of a fleet authenticate."""
    return hashlib.blake2b(
        b"peer", key=hashlib.blake2b(fleet_key.encode()).digest()
    ).hexdigest()


class GrpcPeerClient:
    """A peer client over gRPC, which opens channels on first use."""

    def __init__(self, fleet_key: str, resolve: Resolver):
        self._metadata = ((METADATA_KEY, fleet_token(fleet_key)),)
        self._resolve = resolve
        self._channels: dict[
            str, tuple[grpc.aio.Channel, peer_pb2_grpc.PeerStub]
        ] = {}

    async def close(self) -> None:
        """Closes all channels."""
        for channel, _ in self._channels.values():
            await channel.close(0.1)
        self._channels.clear()

    async def call(
        self, router: str, method: str, request: Any, timeout_s: float
    ) -> result.Result[Any, str]:
        """Calls a router by name."""
        address = self._resolve(router)
        if not address:
            return result.Err(f"no address known for router {router}")
        return await self.call_address(address, method, request, timeout_s)

    async def call_address(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> result.Result[Any, str]:
        """Calls the router that listens on an address."""
        stub = await self._stub(address)
        try:
            reply = await getattr(stub, method)(
                request, timeout=timeout_s, metadata=self._metadata
            )
        except grpc.aio.AioRpcError as err:
            return result.Err(f"{err.code().name}: {err.details()}")
        return result.Ok(reply)

    async def _stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        entry = self._channels.pop(address, None)
        if entry is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            entry = (channel, peer_pb2_grpc.PeerStub(channel))
        self._channels[address] = entry
        if len(self._channels) > MAX_CHANNELS:
            oldest = next(iter(self._channels))
            channel, _ = self._channels.pop(oldest)
            await channel.close(1.0)
        return entry[1]


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Dispatches authenticated calls to handlers by method name."""

    def __init__(self, handlers: Mapping[str, Handler], token: str):
        self._token = token
        # Methods without a handler keep the base class's UNIMPLEMENTED status.
        for method in METHODS:
            if method in handlers:
                setattr(self, method, self._serve(handlers[method]))

    def _serve(self, handler: Handler):
        async def serve(request, context):
            metadata = dict(context.invocation_metadata() or ())
            token = str(metadata.get(METADATA_KEY, ""))
            if not hmac.compare_digest(token, self._token):
                await context.abort(
                    grpc.StatusCode.UNAUTHENTICATED, "fleet key does not match"
                )
            return await handler(request)

        return serve


class GrpcPeerServer:
    """Serves the calls of other routers."""

    def __init__(
        self, address: str, fleet_key: str, handlers: Mapping[str, Handler]
    ):
        self._address = address
        self._servicer = _Servicer(handlers, fleet_token(fleet_key))
        self._server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        self._server = grpc.aio.server(
            options=(*_OPTIONS, ("grpc.so_reuseport", 0))
        )
        peer_pb2_grpc.add_PeerServicer_to_server(self._servicer, self._server)
        if not self._server.add_insecure_port(self._address):
            raise OSError(f"cannot listen on {self._address}")
        await self._server.start()

    async def close(self) -> None:
        """Stops listening after a short grace period for calls under way."""
        if self._server is not None:
            await self._server.stop(0.2)
