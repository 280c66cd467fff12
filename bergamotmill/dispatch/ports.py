"""Interfaces between the dispatcher and the protocol adapters.

An adapter implements the wire protocol of callers or of upstreams.
"""

from collections.abc import Callable
from typing import Protocol

from bergamotmill.dispatch import messages
from bergamotmill.dispatch import upstreams


class Sink(Protocol):
    """Writes the response to the caller of one request."""

    @property
    def started(self) -> bool:
        """Whether the response head has been written."""

    @property
    def write_paused(self) -> bool:
        """Whether the write buffer towards the caller is full."""

    def on_close(self, callback: Callable[[], None]) -> None:
        """Registers a callback for a caller that disconnects early."""

    def respond(self, head: messages.ResponseHead, body: bytes) -> None:
        """Writes a complete response."""

    def start(self, head: messages.ResponseHead) -> None:
        """Writes the head of a streamed response."""

    def write(self, data: bytes) -> None:
        """Writes a chunk of a streamed response."""

    async def drain(self) -> None:
        """Waits until the write buffer has room."""

    def finish(self) -> None:
        """Ends a streamed response."""

    def abort(self) -> None:
        """Cuts the connection so that the caller sees a partial response."""

    def reject(self, rejection: messages.Rejection) -> None:
        """Writes a final response that the router itself produced."""


class CallServer(Protocol):
    """Serves calls."""

    async def serve(self, call: messages.Call, sink: Sink) -> bool:
        """Serves one call.

        Returns:
            Whether it has certainly not run at any upstream.
        """


class UpstreamResponse(Protocol):
    """A response that is being received from an upstream."""

    @property
    def head(self) -> messages.ResponseHead:
        """Status and headers."""

    async def read(self) -> bytes:
        """Returns the next bytes; empty at the end of a complete response.

        Raises:
            errors.UpstreamError: the response is truncated or malformed.
        """

    def pause(self) -> None:
        """Stops receiving until all that has been received is read."""

    async def is_whole(self) -> bool:
        """Whether a response that ended with its connection is complete.

        It is not if the upstream ended with it.
        """

    def release(self) -> None:
        """Returns the connection to the pool after a complete response."""

    def close(self) -> None:
        """Closes the connection."""


class UpstreamLink(Protocol):
    """Sends attempts to upstreams."""

    async def send(
        self, call: messages.Call, attempt: messages.Attempt
    ) -> UpstreamResponse:
        """Sends an attempt and waits for the response head.

        Raises:
            errors.UpstreamError: no valid head arrived; `sent` tells whether
                the request may have reached the upstream.
        """

    async def is_reachable(self, address: str) -> bool:
        """Whether an upstream accepts a new connection."""

    async def has_ended(self, address: str) -> bool:
        """Whether an upstream has ended: a new connection is refused.

        One that does not answer at all may go on out of reach.
        """

    async def check_health(
        self, entry: upstreams.UpstreamEntry, path: str
    ) -> messages.UpstreamSignals | None:
        """Asks an upstream for its health.

        Returns:
            What it says of itself; None if it does not respond.
        """

    def close_idle(self, address: str) -> None:
        """Closes idle connections to an address."""
