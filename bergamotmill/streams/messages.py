"""Model requests and the sinks for their responses."""

from collections.abc import Mapping
import dataclasses
from typing import Any, Protocol

from bergamotmill import core


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """One validated request to a model.

    Attributes:
        deadline: time by which the response must be complete, in seconds of
            the monotonic clock.
        fingerprint: name that all requests with the same path, customer and
            body share.
        show_usage: whether a streaming caller requested the usage chunk.
    """

    request_id: str
    customer: core.Customer
    request_class: core.RequestClass
    model: core.Model
    adapter: str
    path: str
    body: Mapping[str, Any]
    fingerprint: str
    stream: bool
    show_usage: bool
    deadline: float


class Sink(Protocol):
    """Destination of a stream's events, usually a caller's connection."""

    @property
    def write_paused(self) -> bool:
        """Whether the send buffer is full."""

    def write(self, data: bytes) -> None:
        """Writes complete events."""

    async def drain(self) -> None:
        """Waits until the send buffer has room."""

    def abort(self) -> None:
        """Aborts the connection; the caller sees an incomplete response."""
