"""Filings and their outcomes."""

import dataclasses
import enum
import hashlib


class FilingState(enum.Enum):
    """What is known about a filing.

    Attributes:
        RAN: the upstream responded.
        RUNNING: the call is running.
        NOT_RUN: the upstream did not run it; it may be repeated.
        UNKNOWN: it may have run, but its outcome is lost.
        EXPIRED: the key is too old.
        MISMATCH: the key is invalid, or was used for another request.
        ABSENT: no filing is known under the key.
    """

    RAN = "ran"
    RUNNING = "running"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    MISMATCH = "mismatch"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True, slots=True)
class Filing:
    """One non-idempotent call under an idempotency key.

    Attributes:
        deadline: time at which the caller stops waiting, in seconds of the
            monotonic clock.
    """

    customer: str
    key: str
    service: str
    method: str
    target: str
    content_type: str
    body: bytes
    deadline: float

    def digest(self) -> bytes:
        """Returns the digest that a repeat under the same key must match."""
        hasher = hashlib.blake2b(digest_size=16)
        for part in (self.service, self.method, self.target):
            hasher.update(part.encode() + b"\0")
        hasher.update(self.body)
        return hasher.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a filing.

    Attributes:
        state: what is known about the call.
        status: HTTP status of the upstream's response; 0 without one.
        content_type: content type of the response.
        body: body of the response; empty if it is no longer stored.
        reason: explanation of the state, or of a missing body.
        upstream: name of the upstream that responded.
        retry_after_s: when a call that has not run may be sent again, in
            seconds; 0 if unknown.
    """

    state: FilingState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    reason: str = ""
    upstream: str = ""
    retry_after_s: float = 0.0
