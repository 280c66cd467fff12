"""Messages on customer limits, their encoding, and their batching."""

import asyncio
from collections.abc import Callable
import dataclasses
import math

from bergamotmill.customer_limits import bucket
from bergamotmill.customer_limits import const
from bergamotmill.dispatch import config
from bergamotmill.proto import peer_pb2

MS_PER_S = 1000.0
# Longest wait that is encoded.
MAX_WAIT_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of units for a request, for a reserve, or the return of some.

    Attributes:
        units: what the request costs; 0 without a request.
        held: units that the router holds in reserve.
        wanted: units that it would like to hold.
        returned: units that it has not used.
        limit: the limit as the router knows it; the unit is not transmitted.
    """

    router: str
    claim_id: int
    customer: str
    limit: config.CustomerLimit
    units: float = 0.0
    held: float = 0.0
    wanted: float = 0.0
    returned: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The decision on a claim.

    Attributes:
        wait_s: time until the units are there; infinite if they never are.
        reserve: units for the reserve of the router.
        share_per_s: units per second that it may expect.
    """

    claim_id: int
    customer: str
    verdict: bucket.Verdict
    wait_s: float = 0.0
    reserve: float = 0.0
    share_per_s: float = 0.0


def encode_claim(claim: Claim) -> peer_pb2.CustomerClaim:
    """Encodes a claim."""
    return peer_pb2.CustomerClaim(
        sender=claim.router,
        id=claim.claim_id,
        customer=claim.customer,
        units=claim.units,
        held=claim.held,
        wanted=claim.wanted,
        returned=claim.returned,
        rate_per_s=claim.limit.rate_per_s,
        burst=claim.limit.burst,
    )


def decode_claim(message: peer_pb2.CustomerClaim) -> Claim:
    """Decodes a claim."""
    return Claim(
        message.sender,
        message.id,
        message.customer,
        config.CustomerLimit(message.rate_per_s, message.burst),
        message.units,
        message.held,
        message.wanted,
        message.returned,
    )


_VERDICTS = {
    bucket.Verdict.GRANTED: peer_pb2.CustomerReply.GRANTED,
    bucket.Verdict.QUEUED: peer_pb2.CustomerReply.QUEUED,
    bucket.Verdict.REFUSED: peer_pb2.CustomerReply.REFUSED,
}
_VERDICTS_BY_NUMBER = {number: verdict for verdict, number in _VERDICTS.items()}


def encode_reply(reply: Reply) -> peer_pb2.CustomerReply:
    """Encodes the decision on a claim."""
    message = peer_pb2.CustomerReply(
        id=reply.claim_id,
        customer=reply.customer,
        verdict=_VERDICTS[reply.verdict],
        reserve=reply.reserve,
        share_per_s=reply.share_per_s,
    )
    if math.isfinite(reply.wait_s):
        message.wait_ms = math.ceil(min(MAX_WAIT_S, reply.wait_s) * MS_PER_S)
    return message


def decode_reply(message: peer_pb2.CustomerReply) -> Reply:
    """Decodes the decision on a claim."""
    wait_s = math.inf
    if message.HasField("wait_ms"):
        wait_s = message.wait_ms / MS_PER_S
    return Reply(
        message.id,
        message.customer,
        _VERDICTS_BY_NUMBER[message.verdict],
        wait_s,
        message.reserve,
        message.share_per_s,
    )


class Outbox:
    """Sends messages to routers; those of one moment to one go together."""

    def __init__(self, send: Callable[[str, peer_pb2.NotifyRequest], None]):
        """Makes an empty outbox.

        Args:
            send: sends a message to a router; it may be lost.
        """
        self._send = send
        self._claims: dict[str, list[peer_pb2.CustomerClaim]] = {}
        self._replies: dict[str, list[peer_pb2.CustomerReply]] = {}
        self._delayed: asyncio.TimerHandle | None = None
        self._soon: asyncio.Handle | None = None

    def claim(self, owner: str, claim: Claim, delay_s: float = 0.0) -> None:
        """Sends a claim, at the latest after a delay."""
        self._claims.setdefault(owner, []).append(encode_claim(claim))
        self._schedule(delay_s)

    def reply(self, router: str, reply: Reply) -> None:
        """Sends a reply."""
        self._replies.setdefault(router, []).append(encode_reply(reply))
        self._schedule(0.0)

    def close(self) -> None:
        """Drops what has not been sent."""
        for handle in (self._delayed, self._soon):
            if handle is not None:
                handle.cancel()
        self._claims.clear()
        self._replies.clear()

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        if not delay_s and self._soon is None:
            self._soon = loop.call_soon(self._flush)
        elif delay_s and self._delayed is None:
            self._delayed = loop.call_later(delay_s, self._flush)

    def _flush(self) -> None:
        if self._delayed is not None:
            self._delayed.cancel()
        self._delayed = self._soon = None
        claims, self._claims = self._claims, {}
        replies, self._replies = self._replies, {}
        step = const.MAX_ITEMS_PER_MESSAGE
        for name in claims.keys() | replies.keys():
            own_claims = claims.get(name, [])
            own_replies = replies.get(name, [])
            count = max(len(own_claims), len(own_replies))
            for first in range(0, count, step):
                part = slice(first, first + step)
                self._send(
                    name,
                    peer_pb2.NotifyRequest(
                        customer_claims=own_claims[part],
                        customer_replies=own_replies[part],
                    ),
                )
