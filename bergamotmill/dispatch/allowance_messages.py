"""Messages on the limits that upstreams name, and their encoding.

Routers have no common clock, so that times travel as ages.
"""

import dataclasses
import math

from bergamotmill.proto import peer_pb2
from bergamotmill.routing import allowance_pool
from bergamotmill.routing import stated_limit

MS_PER_S = 1000.0
# Longest age that is encoded: what is older is as good as unknown.
MAX_AGE_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLimit:
    """A statement on the limit of one incarnation of an upstream."""

    upstream: str
    born: int
    statement: stated_limit.Statement


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The decision on a claim, and the limit that it follows from.

    Attributes:
        wait_s: see allowance_pool.Decision.
    """

    claim_id: int
    verdict: allowance_pool.Verdict
    wait_s: float


def _encode_age_ms(at: float, now: float) -> int:
    return int(max(0.0, min(MAX_AGE_S, now - at)) * MS_PER_S)


def encode_limit(limit: UpstreamLimit, now: float) -> peer_pb2.StatedLimit:
    """Encodes a statement."""
    statement = limit.statement
    message = peer_pb2.StatedLimit(
        replica=limit.upstream,
        incarnation=limit.born,
        sent_age_ms=_encode_age_ms(statement.sent_at, now),
        heard_age_ms=_encode_age_ms(statement.heard_at, now),
    )
    if statement.per_s != stated_limit.UNLIMITED:
        message.per_s = statement.per_s
    return message


def decode_limit(message: peer_pb2.StatedLimit, now: float) -> UpstreamLimit:
    """Decodes a statement."""
    per_s = stated_limit.UNLIMITED
    if message.HasField("per_s"):
        per_s = message.per_s
    return UpstreamLimit(
        message.replica,
        message.incarnation,
        stated_limit.Statement(
            per_s,
            now - message.sent_age_ms / MS_PER_S,
            now - message.heard_age_ms / MS_PER_S,
        ),
    )


def encode_claim(
    claim: allowance_pool.Claim, limit: UpstreamLimit, now: float
) -> peer_pb2.AllowanceClaim:
    """Encodes a claim."""
    return peer_pb2.AllowanceClaim(
        sender=claim.sender,
        id=claim.claim_id,
        limit=encode_limit(limit, now),
        max_wait_ms=_encode_age_ms(now, claim.wait_until),
        priority=max(0, claim.priority),
        worth=claim.worth,
        deadline_ms=_encode_age_ms(now, claim.deadline),
        customer=claim.customer,
    )


def decode_claim(
    message: peer_pb2.AllowanceClaim, now: float
) -> allowance_pool.Claim:
    """Decodes a claim."""
    return allowance_pool.Claim(
        message.sender,
        message.id,
        now + message.max_wait_ms / MS_PER_S,
        message.priority,
        message.worth,
        now + message.deadline_ms / MS_PER_S,
        message.customer,
    )


_VERDICTS = {
    allowance_pool.Verdict.GRANTED: peer_pb2.AllowanceReply.GRANTED,
    allowance_pool.Verdict.QUEUED: peer_pb2.AllowanceReply.QUEUED,
    allowance_pool.Verdict.REFUSED: peer_pb2.AllowanceReply.REFUSED,
}
_VERDICTS_BY_NUMBER = {number: verdict for verdict, number in _VERDICTS.items()}


def encode_reply(
    decision: allowance_pool.Decision, limit: UpstreamLimit, now: float
) -> peer_pb2.AllowanceReply:
    """Encodes the decision on a claim."""
    message = peer_pb2.AllowanceReply(
        id=decision.key[1],
        verdict=_VERDICTS[decision.verdict],
        limit=encode_limit(limit, now),
    )
    if math.isfinite(decision.wait_s):
        message.wait_ms = math.ceil(min(MAX_AGE_S, decision.wait_s) * MS_PER_S)
    return message


def decode_reply(message: peer_pb2.AllowanceReply) -> Reply:
    """Decodes the decision on a claim."""
    wait_s = math.inf
    if message.HasField("wait_ms"):
        wait_s = message.wait_ms / MS_PER_S
    return Reply(message.id, _VERDICTS_BY_NUMBER[message.verdict], wait_s)
