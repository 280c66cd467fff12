"""Event ids, with which a caller can resume a stream at any router.

An id is `TOKEN:NUMBER`. The token names the request and the router and
replica serving it. It ends in a MAC under the fleet key, which also covers
the customer, so that no customer can resume another's stream.
"""

import dataclasses
import hashlib

from bergamotmill.streams import const


@dataclasses.dataclass(frozen=True, slots=True)
class StreamId:
    """Where a stream runs.

    Attributes:
        version: version of the weights that serve it.
        base: number of events in the stream before the replica's first.
    """

    request_id: str
    router: str
    router_incarnation: int
    replica: str
    replica_incarnation: int
    version: str
    base: int = 0

    def token(self, fleet_key: str, customer: str) -> str:
        """Returns the signed token for event ids."""
        text = self._text()
        return f"{text}~{_mac(text, fleet_key, customer)}"

    def _text(self) -> str:
        return "~".join(
            (
                self.request_id,
                self.router,
                str(self.router_incarnation),
                self.replica,
                str(self.replica_incarnation),
                self.version,
                str(self.base),
            )
        )


def parse(
    event_id: str, fleet_key: str, customer: str
) -> tuple[StreamId, int] | None:
    """Returns the stream and the number of events seen; None if invalid."""
    token, _, seen = event_id.rpartition(":")
    text, _, mac = token.rpartition("~")
    parts = text.split("~")
    if len(parts) != 7 or not seen.isdecimal():
        return None
    if mac != _mac(text, fleet_key, customer):
        return None
    try:
        parsed = StreamId(
            parts[0],
            parts[1],
            int(parts[2]),
            parts[3],
            int(parts[4]),
            parts[5],
            int(parts[6]),
        )
    except ValueError:
        return None
    return parsed, int(seen)


def _mac(text: str, fleet_key: str, customer: str) -> str:
    data = f"{text}\0{customer}".encode()
    key = hashlib.blake2b(fleet_key.encode()).digest()
    return hashlib.blake2b(
        data, digest_size=const.MAC_BYTES, key=key
    ).hexdigest()
