"""Filings and their outcomes."""

import dataclasses
import enum
import hashlib


class FilingState(enum.Enum):
    """What is known of a filing."""

    RAN = "ran"
    RUNNING = "running"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    MISMATCH = "mismatch"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True, slots=True)
class Filing:
    """One non-idempotent call under a key.

    Attributes:
        deadline: when the caller stops waiting, on the monotonic clock.
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
        """Returns the digest that a repeat of the key must match."""
        hasher = hashlib.blake2b(digest_size=16)
        for part in (self.service, self.method, self.target):
            hasher.update(part.encode() + b"\0")
        hasher.update(self.body)
        return hasher.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a filing."""

    state: FilingState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    reason: str = ""
    upstream: str = ""
