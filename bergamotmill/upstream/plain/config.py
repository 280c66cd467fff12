"""Data of calls to plain HTTP services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """Call to be sent to a plain service.

    Attributes:
        target: path and query.
        idempotent: whether the call may be sent more than once.
        timeout_s: longest time for one attempt, in seconds.
    """

    request_id: str
    customer: str
    method: str
    target: str
    content_type: str
    body: bytes
    idempotent: bool
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a plain service.

    Attributes:
        upstream: name of the upstream that sent it.
    """

    status: int
    content_type: str
    body: bytes
    upstream: str
