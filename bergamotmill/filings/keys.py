"""Idempotency keys: bound to one router's incarnation, or free.

A bound key is `TOKEN.REST`, where the token comes with the address answer
and names the only router incarnation that may ever send the key upstream. A
free key is a version 7 UUID, which tells when it was made. Both kinds have an
age, so that a key too old to be remembered is refused.
"""

import dataclasses
import hashlib
import uuid

from bergamotmill.filings import const

_MARK = "f1"
_MAC_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class BoundKey:
    """A key that belongs to one router incarnation."""

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
    """Returns a token for a customer's keys."""
    text = f"{_MARK}~{router}~{incarnation}~{int(now)}"
    return f"{text}~{_mac(text, customer, fleet_key)}"


def parse(key: str, customer: str, fleet_key: str) -> BoundKey | FreeKey | None:
    """Returns what a key says; None when it is of neither kind."""
    if len(key) > const.MAX_KEY_CHARS:
        return None
    if key.startswith(_MARK + "~"):
        return _parse_bound(key, customer, fleet_key)
    return _parse_free(key)


def _parse_bound(key: str, customer: str, fleet_key: str) -> BoundKey | None:
    text, _, tail = key.rpartition("~")
    mac, _, rest = tail.partition(".")
    parts = text.split("~")
    if len(parts) != 4 or not rest:
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
    """Whether a key is too old, or from too far in the future."""
    age = now - issued_at
    return age > const.KEY_LIFETIME_S or age < -const.CLOCK_SKEW_S * 5


def _mac(text: str, customer: str, fleet_key: str) -> str:
    key = hashlib.blake2b(fleet_key.encode()).digest()
    data = f"{text}\0{customer}".encode()
    return hashlib.blake2b(data, digest_size=_MAC_BYTES, key=key).hexdigest()
