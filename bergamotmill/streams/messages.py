"""Model requests and where their answers go."""

from collections.abc import Mapping
import dataclasses
from typing import Any, Protocol

from bergamotmill import core


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """One checked request to a model.

    Attributes:
        deadline: when the caller stops waiting, on the monotonic clock.
        show_usage: whether a streaming caller asked for the usage chunk.
    """

    request_id: str
    customer: core.Customer
    request_class: core.RequestClass
    model: core.Model
    adapter: str
    path: str
    body: Mapping[str, Any]
    stream: bool
    show_usage: bool
    deadline: float


class Sink(Protocol):
    """Takes the events of a stream on their way to the caller."""

    @property
    def write_paused(self) -> bool:
        """Whether the caller's side is full."""

    def write(self, data: bytes) -> None:
        """Writes whole events."""

    async def drain(self) -> None:
        """Waits for room."""

    def abort(self) -> None:
        """Cuts the answer so that the caller sees it as partial."""
