"""Claims of free keys and stored outcomes, in the key-value service.

A claim names the router incarnation that may send a free key upstream. Once
the call has run, the claim also holds its outcome, if that is small.
"""

import base64
from collections.abc import Callable
import dataclasses
import hashlib
import json

import result

from bergamotmill.filings import const
from bergamotmill.filings import messages
from bergamotmill.helpers import json_text
from bergamotmill.storage import key_value
from bergamotmill.util import ids as id_source


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The router incarnation that may send a key upstream.

    Attributes:
        router: name of the router.
        incarnation: incarnation (start time) of the router.
        digest: hexadecimal digest of the filing, which a repeat must match.
        operation: unique id of the claim.
        outcome: outcome of the call; None until it is stored.
    """

    router: str
    incarnation: int
    digest: str
    operation: str
    outcome: messages.Outcome | None = None

    def encode(self) -> bytes:
        """Returns the claim as JSON."""
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
    """Returns the claim in a stored JSON value."""
    value = json_text.loads(data)
    outcome = None
    if "outcome" in value:
        stored_outcome = value["outcome"]
        outcome = messages.Outcome(
            messages.FilingState.RAN,
            stored_outcome["status"],
            stored_outcome["content_type"],
            base64.b64decode(stored_outcome["body"]),
        )
    return Claim(
        value["router"],
        value["incarnation"],
        value["digest"],
        value["operation"],
        outcome,
    )


class ClaimStore:
    """Creates and reads claims, and adds their outcomes.

    Claims made within `CLAIM_LEASE_REUSE_S` share one lease of the key-value
    service, so that a claim costs a single write. The lease outlives the keys.
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

    def _store_key(self, customer: str, key: str) -> str:
        key_hash = hashlib.blake2b(
            f"{customer}\0{key}".encode(), digest_size=20
        ).hexdigest()
        return self._prefix + key_hash

    async def claim(
        self, customer: str, key: str, digest: bytes
    ) -> result.Result[Claim, key_value.Unavailable]:
        """Claims a key for this router, or returns the existing claim.

        If this fails, nothing has been sent upstream. The claim may have
        been written all the same; it then names this router, whose ledger
        records whether the key was sent.
        """
        lease = await self._shared_lease()
        if lease.is_err():
            return lease
        claim = Claim(
            self._router, self._incarnation, digest.hex(), self._ids.new()
        )
        store_key = self._store_key(customer, key)
        written = await self._store.put(
            store_key, claim.encode(), 0, lease.ok()
        )
        if written.is_ok():
            return result.Ok(claim)
        if isinstance(written.err(), key_value.Conflict):
            current = written.err().current
            if current is not None:
                return result.Ok(decode(current.value))
        return await self._read_back(store_key)

    async def _read_back(
        self, store_key: str
    ) -> result.Result[Claim, key_value.Unavailable]:
        fetched = await self._store.get(store_key)
        if fetched.is_err():
            return fetched
        if fetched.ok() is None:
            return result.Err(key_value.Unavailable("the claim was not stored"))
        return result.Ok(decode(fetched.ok().value))

    async def find(
        self, customer: str, key: str
    ) -> result.Result[Claim | None, key_value.Unavailable]:
        """Returns the claim of a key; None if there is none."""
        fetched = await self._store.get(self._store_key(customer, key))
        return fetched.map(
            lambda entry: None if entry is None else decode(entry.value)
        )

    async def store_claimed_outcome(
        self,
        customer: str,
        key: str,
        digest: bytes,
        outcome: messages.Outcome,
    ) -> None:
        """Adds the outcome to this router's claim, if it is small enough.

        Best effort: failures are ignored, as this router's ledger has the
        outcome.
        """
        if len(outcome.body) > const.MAX_CLAIM_OUTCOME_BODY_BYTES:
            return
        store_key = self._store_key(customer, key)
        fetched = await self._store.get(store_key)
        if fetched.is_err() or fetched.ok() is None:
            return
        claim = decode(fetched.ok().value)
        if claim.router != self._router or claim.digest != digest.hex():
            return
        completed = dataclasses.replace(claim, outcome=outcome)
        lease = await self._shared_lease()
        if lease.is_ok():
            await self._store.put(
                store_key, completed.encode(), fetched.ok().revision, lease.ok()
            )

    async def store_bound_outcome(
        self,
        customer: str,
        key: str,
        digest: bytes,
        outcome: messages.Outcome,
    ) -> None:
        """Stores the outcome of a bound key, if it is small enough.

        Best effort: failures are ignored. Bound keys are never claimed; the
        record is only read once the router that ran the call does not
        respond or has restarted.
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
            self._store_key(customer, key), claim.encode(), 0, lease.ok()
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
