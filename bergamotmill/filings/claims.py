"""Claims of free keys in the platform's key-value service."""

import base64
from collections.abc import Callable
import dataclasses
import hashlib
import json

import result

from bergamotmill.filings import const
from bergamotmill.filings import messages
from bergamotmill.storage import key_value
from bergamotmill.util import ids as id_source


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Which router incarnation may send a free key upstream."""

    router: str
    incarnation: int
    digest: str
    operation: str
    outcome: messages.Outcome | None = None

    def encode(self) -> bytes:
        """Returns the stored form."""
        value = {
            "router": self.router,
            "incarnation": self.incarnation,
            "digest": self.digest,
            "operation": self.operation,
        }
        if self.outcome is not None:
            value["outcome"] = {
                "status": self.outcome.status,
                "content_type": self.outcome.content_type,
                "body": base64.b64encode(self.outcome.body).decode(),
            }
        return json.dumps(value).encode()


def decode(data: bytes) -> Claim:
    """Reads the stored form."""
    value = json.loads(data)
    outcome = None
    if "outcome" in value:
        kept = value["outcome"]
        outcome = messages.Outcome(
            messages.FilingState.RAN,
            kept["status"],
            kept["content_type"],
            base64.b64decode(kept["body"]),
        )
    return Claim(
        value["router"],
        value["incarnation"],
        value["digest"],
        value["operation"],
        outcome,
    )


class ClaimStore:
    """Creates, reads and completes claims.

    All claims of about an hour hang on one lease that outlives their keys,
    so that a claim costs one write.
    """

    def __init__(
        self,
        store: key_value.KeyValueStore,
        prefix: str,
        router: str,
        incarnation: int,
        now: Callable[[], float],
        ids: id_source.IdSource,
    ):
        self._store = store
        self._prefix = prefix + const.CLAIM_PREFIX
        self._router = router
        self._incarnation = incarnation
        self._now = now
        self._ids = ids
        self._lease = 0
        self._lease_until = -1.0

    def _key(self, customer: str, key: str) -> str:
        name = hashlib.blake2b(
            f"{customer}\0{key}".encode(), digest_size=20
        ).hexdigest()
        return self._prefix + name

    async def claim(
        self, customer: str, key: str, digest: bytes
    ) -> result.Result[Claim, key_value.Unavailable]:
        """Claims a key for this router, or returns whose it is.

        Nothing has been sent upstream when this fails, whether or not the
        claim took effect: the claim names this router, whose ledger knows.
        """
        lease = await self._shared_lease()
        if lease.is_err():
            return lease
        claim = Claim(
            self._router, self._incarnation, digest.hex(), self._ids.new()
        )
        stored = self._key(customer, key)
        written = await self._store.put(stored, claim.encode(), 0, lease.ok())
        if written.is_ok():
            return result.Ok(claim)
        if isinstance(written.err(), key_value.Conflict):
            current = written.err().current
            if current is not None:
                return result.Ok(decode(current.value))
        return await self._read_back(stored)

    async def _read_back(
        self, stored: str
    ) -> result.Result[Claim, key_value.Unavailable]:
        found = await self._store.get(stored)
        if found.is_err():
            return found
        if found.ok() is None:
            return result.Err(key_value.Unavailable("the claim was not kept"))
        return result.Ok(decode(found.ok().value))

    async def find(
        self, customer: str, key: str
    ) -> result.Result[Claim | None, key_value.Unavailable]:
        """Reads a claim."""
        found = await self._store.get(self._key(customer, key))
        return found.map(
            lambda entry: None if entry is None else decode(entry.value)
        )

    async def complete(
        self,
        customer: str,
        key: str,
        digest: bytes,
        outcome: messages.Outcome,
    ) -> None:
        """Adds a small outcome to the own claim; failures do not matter."""
        if len(outcome.body) > const.MAX_CLAIM_OUTCOME_BODY_BYTES:
            return
        stored = self._key(customer, key)
        found = await self._store.get(stored)
        if found.is_err() or found.ok() is None:
            return
        claim = decode(found.ok().value)
        if claim.router != self._router or claim.digest != digest.hex():
            return
        done = dataclasses.replace(claim, outcome=outcome)
        lease = await self._shared_lease()
        if lease.is_ok():
            await self._store.put(
                stored, done.encode(), found.ok().revision, lease.ok()
            )

    async def record(
        self,
        customer: str,
        key: str,
        digest: bytes,
        outcome: messages.Outcome,
    ) -> None:
        """Writes down what came of a bound key; failures do not matter.

        Nobody claims bound keys, so that the record is only ever read, when
        the router that ran the key is gone.
        """
        if len(outcome.body) > const.MAX_CLAIM_OUTCOME_BODY_BYTES:
            return
        lease = await self._shared_lease()
        if lease.is_err():
            return
        claim = Claim(
            self._router,
            self._incarnation,
            digest.hex(),
            self._ids.new(),
            outcome,
        )
        await self._store.put(
            self._key(customer, key), claim.encode(), 0, lease.ok()
        )

    async def _shared_lease(
        self,
    ) -> result.Result[int, key_value.Unavailable]:
        if self._now() < self._lease_until:
            return result.Ok(self._lease)
        granted = await self._store.grant(const.CLAIM_LEASE_S)
        if granted.is_ok():
            self._lease = granted.ok()
            self._lease_until = self._now() + const.CLAIM_LEASE_REUSE_S
        return granted
