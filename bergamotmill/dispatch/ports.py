"""What the dispatcher asks of a callers' and an upstreams' dialect."""

from collections.abc import Callable
from typing import Protocol

from bergamotmill.dispatch import messages


class Sink(Protocol):
    """The caller's side of one call."""

    @property
    def started(self) -> bool:
        """Whether the head of the answer has left."""

    @property
    def write_paused(self) -> bool:
        """Whether the caller's side is full."""

    def on_close(self, callback: Callable[[], None]) -> None:
        """Calls back when the caller leaves before the end."""

    def respond(self, head: messages.ResponseHead, body: bytes) -> None:
        """Writes a whole answer."""

    def start(self, head: messages.ResponseHead) -> None:
        """Writes the head of a stream."""

    def write(self, data: bytes) -> None:
        """Writes a part of a stream."""

    async def drain(self) -> None:
        """Waits for room."""

    def finish(self) -> None:
        """Ends a stream."""

    def abort(self) -> None:
        """Cuts the answer so that the caller sees it as partial."""

    def reject(self, rejection: messages.Rejection) -> None:
        """Writes a final answer of our own."""


class UpstreamResponse(Protocol):
    """An upstream's answer while it arrives."""

    @property
    def head(self) -> messages.ResponseHead:
        """Status and headers."""

    async def read(self) -> bytes:
        """Returns the next bytes; empty at the end of a whole answer.

        Raises:
            errors.UpstreamError: the answer ends early or is not one.
        """

    def release(self) -> None:
        """Gives the connection back after a whole answer."""

    def close(self) -> None:
        """Cuts the connection."""


class UpstreamLink(Protocol):
    """Sends attempts to upstreams."""

    async def send(
        self, call: messages.Call, attempt: messages.Attempt
    ) -> UpstreamResponse:
        """Sends an attempt and waits for the head of its answer.

        Raises:
            errors.UpstreamError: there is none; it tells whether anything
                was sent.
        """

    async def is_reachable(self, address: str) -> bool:
        """Whether an upstream takes a new connection."""

    def close_idle(self, address: str) -> None:
        """Closes idle connections to an address."""
