"""Idempotency keys: bound to one router incarnation, or free.

A bound key is `TOKEN.SUFFIX`. Routers hand out the token with their address
list; it names the only router incarnation that may send the key upstream. A
free key is a version 7 UUID, which any router may claim. Both contain their
time of creation, so that a key older than the retention of outcomes can be
refused.
"""

import dataclasses
import hashlib
import uuid

from bergamotmill.filings import const

_TOKEN_PREFIX = "f1"
_MAC_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class BoundKey:
    """A key that only one router incarnation may send upstream."""

    router: str
    incarnation: int
    issued_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FreeKey:
    """A key that any router may claim."""

    issued_at: float


def issue_token(
    router: str, incarnation: int, now: float, customer: str, fleet_key: str
) -> str:
    """Returns a signed token for a customer's bound keys."""
    text = f"{_TOKEN_PREFIX}~{router}~{incarnation}~{int(now)}"
    return f"{text}~{_mac(text, customer, fleet_key)}"


def parse(key: str, customer: str, fleet_key: str) -> BoundKey | FreeKey | None:
    """Parses a key; returns None if it is invalid or another customer's."""
    if len(key) > const.MAX_KEY_CHARS:
        return None
    if key.startswith(_TOKEN_PREFIX + "~"):
        return _parse_bound(key, customer, fleet_key)
    return _parse_free(key)


def _parse_bound(key: str, customer: str, fleet_key: str) -> BoundKey | None:
    text, _, tail = key.rpartition("~")
    mac, _, suffix = tail.partition(".")
    parts = text.split("~")
    if len(parts) != 4 or not suffix:
        return None
    if mac != _mac(text, customer, fleet_key):
        return None
    return BoundKey(parts[1], int(parts[2]), float(parts[3]))


def _parse_free(key: str) -> FreeKey | None:
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != 7:
        return None
    return FreeKey((value.int >> 80) / 1000.0)


def is_expired(issued_at: float, now: float) -> bool:
    """Whether a key is too old, or dated too far in the future."""
    age = now - issued_at
    return age > const.KEY_LIFETIME_S or age < -const.CLOCK_SKEW_S * 5


def _mac(text: str, customer: str, fleet_key: str) -> str:
    key = hashlib.blake2b(fleet_key.encode()).digest()
    data = f"{text}\0{customer}".encode()
    return hashlib.blake2b(data, digest_size=_MAC_BYTES, key=key).hexdigest()
