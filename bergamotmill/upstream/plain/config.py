"""Data of calls to plain HTTP services."""

import dataclasses

from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import request_fingerprint


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

    def as_prompt(self, service: str) -> prompt_quarantine.Prompt:
        """Returns what of the call may crash upstreams of a service."""
        name = request_fingerprint.fingerprint(
            (service, self.method, self.target, self.customer), self.body
        )
        return prompt_quarantine.make_prompt("", (), self.customer, (name,))


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
