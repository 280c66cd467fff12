"""Data of calls to plain services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One request as it goes to a plain service."""

    request_id: str
    customer: str
    method: str
    target: str
    content_type: str
    body: bytes
    idempotent: bool
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes
    upstream: str
