"""Runs filings, forwards those of other routers and looks up outcomes.

A filing runs at most once: only the router incarnation that its key names,
or that claimed its key, may send it upstream.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import loguru

from bergamotmill.control import peers as peer_links
from bergamotmill.filings import claims as filing_claims
from bergamotmill.filings import const
from bergamotmill.filings import keys
from bergamotmill.filings import ledger as filing_ledger
from bergamotmill.filings import messages
from bergamotmill.helpers import metrics as stats
from bergamotmill.helpers import run_state
from bergamotmill.proto import peer_pb2
from bergamotmill.upstream import errors
from bergamotmill.upstream.plain import config
from bergamotmill.upstream.plain import coordinator as plain
from bergamotmill.util import clock as clocks
from bergamotmill.util import ids as id_source
from bergamotmill.util import tasks as background
from bergamotmill.util import token_bucket

State = messages.FilingState
ServiceLookup = Callable[[str], plain.ServiceClient | None]


class FilingManager:
    """Handles all non-idempotent calls of this router."""

    def __init__(
        self,
        router: str,
        incarnation: int,
        fleet_key: str,
        claims: filing_claims.ClaimStore,
        peers: peer_links.PeerClient,
        service_client: ServiceLookup,
        metrics: stats.Metrics,
        clock: clocks.Clock,
        ids: id_source.IdSource,
    ):
        self._router = router
        self._incarnation = incarnation
        self._fleet_key = fleet_key
        self._claims = claims
        self._peers = peers
        self._service_client = service_client
        self._metrics = metrics
        self._clock = clock
        self._ids = ids
        self.ledger = filing_ledger.Ledger(clock.wall)
        self._calls = background.Tasks()
        # When this process ends, on the monotonic clock.
        self._exits_at = float("inf")
        self._record_limit = token_bucket.TokenBucket(
            const.OUTCOME_RECORDS_PER_S,
            const.OUTCOME_RECORD_BURST,
            clock.monotonic(),
        )

    def set_router_count(self, routers: int) -> None:
        """Sets this router's share of the fleet's rate of outcome records."""
        self._record_limit.set_rate(
            const.OUTCOME_RECORDS_PER_S / max(1, routers),
            const.OUTCOME_RECORD_BURST,
            self._clock.monotonic(),
        )

    def begin_shutdown(self, exits_at: float) -> None:
        """Leaves out filings of other routers that may outlast this process.

        Args:
            exits_at: when the process ends, on the monotonic clock.
        """
        self._exits_at = exits_at

    def issue_token(self, customer: str) -> str:
        """Returns a token from which a customer builds its keys."""
        return keys.issue_token(
            self._router,
            self._incarnation,
            self._clock.wall(),
            customer,
            self._fleet_key,
        )

    async def submit(self, filing: messages.Filing) -> messages.Outcome:
        """Runs a filing at most once and returns its outcome, if known."""
        outcome = await self._submit(filing)
        self._metrics.count(f"filings.{outcome.state.value}")
        return outcome

    async def _submit(self, filing: messages.Filing) -> messages.Outcome:
        key = keys.parse(filing.key, filing.customer, self._fleet_key)
        if key is None:
            return messages.Outcome(
                State.MISMATCH, reason="not a valid key of this customer"
            )
        if self.ledger.find(filing.customer, filing.key) is not None:
            return await self._run_here(filing, key.issued_at)
        if keys.is_expired(key.issued_at, self._clock.wall()):
            return messages.Outcome(State.EXPIRED, reason="the key has expired")
        if isinstance(key, keys.FreeKey):
            return await self._submit_free_key(filing, key)
        if key.router != self._router:
            return await self._forward(filing, key.router, key.incarnation)
        if key.incarnation != self._incarnation:
            return await self._stored_outcome_or(
                filing, _outcome_of_stopped_router()
            )
        return await self._run_here(filing, key.issued_at)

    async def _submit_free_key(
        self, filing: messages.Filing, key: keys.FreeKey
    ) -> messages.Outcome:
        digest = filing.digest()
        claimed = await self._claims.claim(filing.customer, filing.key, digest)
        if claimed.is_err():
            return messages.Outcome(
                State.NOT_RUN,
                reason=f"the key could not be claimed: {claimed.err().reason}",
            )
        claim = claimed.ok()
        if claim.digest != digest.hex():
            return messages.Outcome(
                State.MISMATCH,
                reason="the key was used with another target or another body",
            )
        if claim.router == self._router:
            if claim.incarnation == self._incarnation:
                return await self._run_here(filing, key.issued_at, claimed=True)
            return claim.outcome or _outcome_of_stopped_router()
        if claim.outcome is not None:
            return claim.outcome
        return await self._forward(filing, claim.router, claim.incarnation)

    async def _run_here(
        self,
        filing: messages.Filing,
        issued_at: float,
        claimed: bool = False,
    ) -> messages.Outcome:
        entry = self.ledger.find(filing.customer, filing.key)
        if entry is not None and entry.digest != filing.digest():
            return messages.Outcome(
                State.MISMATCH,
                reason="the key was used with another target or another body",
            )
        if entry is None:
            entry = self.ledger.open(
                filing.customer, filing.key, filing.digest(), issued_at
            )
            if entry is None:
                return messages.Outcome(
                    State.NOT_RUN, reason="the ledger of filings is full"
                )
            self._spawn_call(filing, entry, claimed)
        elif not entry.running and entry.outcome.state is State.NOT_RUN:
            entry = self.ledger.reopen(filing.customer, filing.key)
            self._spawn_call(filing, entry, claimed)
        return await self._wait_for_outcome(filing, entry)

    def _spawn_call(
        self,
        filing: messages.Filing,
        entry: filing_ledger.Entry,
        claimed: bool,
    ) -> None:
        self._calls.spawn(self._execute(filing, entry, claimed))

    async def _wait_for_outcome(
        self, filing: messages.Filing, entry: filing_ledger.Entry
    ) -> messages.Outcome:
        if entry.running:
            remaining_s = filing.deadline - self._clock.monotonic()
            try:
                async with asyncio.timeout(max(0.0, remaining_s)):
                    await entry.done.wait()
            except TimeoutError:
                return messages.Outcome(
                    State.RUNNING,
                    reason="the call is still running; repeat the request",
                )
        return entry.outcome

    async def _execute(
        self,
        filing: messages.Filing,
        entry: filing_ledger.Entry,
        claimed: bool,
    ) -> None:
        outcome = await self._call_service(filing, entry)
        self.ledger.record_outcome(filing.customer, filing.key, outcome)
        if outcome.state is not State.RAN:
            return
        record = (filing.customer, filing.key, entry.digest, outcome)
        if claimed:
            await self._claims.store_claimed_outcome(*record)
        elif self._record_limit.try_take(1.0, self._clock.monotonic()):
            await self._claims.store_bound_outcome(*record)

    async def _call_service(
        self, filing: messages.Filing, entry: filing_ledger.Entry
    ) -> messages.Outcome:
        client = self._service_client(filing.service)
        if client is None:
            return messages.Outcome(
                State.NOT_RUN, reason="the service is not configured"
            )
        # A router whose process was paused may get here long after the
        # deadline.
        remaining_s = filing.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return messages.Outcome(
                State.NOT_RUN,
                reason="the deadline passed before the call was sent",
            )
        tracker = _LedgerTracker(entry)
        call = config.ServiceCall(
            request_id=self._ids.new(),
            customer=filing.customer,
            method=filing.method,
            target=filing.target,
            content_type=filing.content_type,
            body=filing.body,
            idempotent=False,
            timeout_s=client.service.timeout_s,
        )
        try:
            response = await client.call(call, tracker)
        except errors.UpstreamError as err:
            return self._outcome_of_error(err, tracker)
        except Exception as err:
            loguru.logger.exception("filings: service call failed: {}.", err)
            return _failure_outcome(tracker, repr(err))
        return messages.Outcome(
            State.RAN,
            response.status,
            response.content_type,
            response.body,
            upstream=response.upstream,
        )

    def _outcome_of_error(
        self, err: errors.UpstreamError, tracker: run_state.RunTracker
    ) -> messages.Outcome:
        self._metrics.count(f"filings.failures.{err.failure.value}")
        outcome = _failure_outcome(tracker, str(err))
        return dataclasses.replace(outcome, retry_after_s=err.retry_after_s)

    async def _forward(
        self, filing: messages.Filing, router: str, incarnation: int
    ) -> messages.Outcome:
        remaining_s = filing.deadline - self._clock.monotonic()
        reply = await self._peers.call(
            router,
            "File",
            _forward_request(
                filing, incarnation, remaining_s - const.FORWARD_MARGIN_S
            ),
            max(0.05, remaining_s),
        )
        if reply.is_err():
            unknown = messages.Outcome(
                State.UNKNOWN,
                reason=f"router {router} did not respond: {reply.err()}",
            )
            return await self._stored_outcome_or(filing, unknown)
        outcome = outcome_of_reply(reply.ok())
        if outcome.state is State.UNKNOWN:
            return await self._stored_outcome_or(filing, outcome)
        return outcome

    async def _stored_outcome_or(
        self, filing: messages.Filing, fallback: messages.Outcome
    ) -> messages.Outcome:
        """Returns the outcome in the key-value service, else `fallback`."""
        found = await self._claims.find(filing.customer, filing.key)
        claim = found.unwrap_or(None)
        if claim is None or claim.outcome is None:
            return fallback
        if claim.digest != filing.digest().hex():
            return messages.Outcome(
                State.MISMATCH,
                reason="the key was used with another target or another body",
            )
        return claim.outcome

    async def serve_peer(
        self, request: peer_pb2.FilingRequest
    ) -> peer_pb2.FilingReply:
        """Runs or looks up a filing for another router."""
        if request.incarnation != self._incarnation:
            return reply_of(_outcome_of_stopped_router())
        filing = messages.Filing(
            request.customer,
            request.key,
            request.service,
            request.method,
            request.target,
            request.content_type,
            request.body,
            self._clock.monotonic() + request.time_left_ms / 1000.0,
        )
        if request.look_up_only:
            return reply_of(self._look_up_here(filing.customer, filing.key))
        key = keys.parse(filing.key, filing.customer, self._fleet_key)
        if key is None:
            return reply_of(
                messages.Outcome(
                    State.MISMATCH, reason="not a valid key of this customer"
                )
            )
        if keys.is_expired(key.issued_at, self._clock.wall()):
            return reply_of(messages.Outcome(State.EXPIRED))
        if filing.deadline > self._exits_at and (
            self.ledger.find(filing.customer, filing.key) is None
        ):
            return reply_of(
                messages.Outcome(
                    State.NOT_RUN, reason="the router of the key is stopping"
                )
            )
        claimed = isinstance(key, keys.FreeKey)
        return reply_of(await self._run_here(filing, key.issued_at, claimed))

    async def look_up(self, customer: str, key: str) -> messages.Outcome:
        """Returns what is known about a key without running anything."""
        parsed = keys.parse(key, customer, self._fleet_key)
        if parsed is None:
            return messages.Outcome(
                State.ABSENT, reason="not a valid key of this customer"
            )
        if self.ledger.find(customer, key) is not None:
            return self._look_up_here(customer, key)
        if isinstance(parsed, keys.BoundKey):
            owner = (parsed.router, parsed.incarnation)
            return await self._look_up_at(customer, key, *owner)
        found = await self._claims.find(customer, key)
        if found.is_err():
            return messages.Outcome(State.UNKNOWN, reason=found.err().reason)
        claim = found.ok()
        if claim is None:
            return messages.Outcome(
                State.ABSENT, reason="no router has claimed the key"
            )
        if claim.outcome is not None:
            return claim.outcome
        return await self._look_up_at(
            customer, key, claim.router, claim.incarnation
        )

    def _look_up_here(self, customer: str, key: str) -> messages.Outcome:
        entry = self.ledger.find(customer, key)
        if entry is None:
            return messages.Outcome(
                State.ABSENT, reason="no filing is known under this key"
            )
        if entry.running:
            return messages.Outcome(State.RUNNING, reason="the call is running")
        return entry.outcome

    async def _look_up_at(
        self, customer: str, key: str, router: str, incarnation: int
    ) -> messages.Outcome:
        if router == self._router and incarnation == self._incarnation:
            return self._look_up_here(customer, key)
        outcome = _outcome_of_stopped_router()
        if router != self._router:
            outcome = await self._look_up_at_peer(
                customer, key, router, incarnation
            )
        if outcome.state is not State.UNKNOWN:
            return outcome
        claim = (await self._claims.find(customer, key)).unwrap_or(None)
        if claim is None or claim.outcome is None:
            return outcome
        return claim.outcome

    async def _look_up_at_peer(
        self, customer: str, key: str, router: str, incarnation: int
    ) -> messages.Outcome:
        request = peer_pb2.FilingRequest(
            customer=customer,
            key=key,
            incarnation=incarnation,
            look_up_only=True,
        )
        reply = await self._peers.call(router, "File", request, 2.0)
        if reply.is_err():
            return messages.Outcome(
                State.UNKNOWN, reason=f"router {router}: {reply.err()}"
            )
        return outcome_of_reply(reply.ok())

    async def drain(self) -> None:
        """Waits for the running calls."""
        await self._calls.drain()

    async def close(self) -> None:
        """Cancels the remaining calls; their outcomes stay unknown."""
        await self._calls.close()


class _LedgerTracker(run_state.RunTracker):
    """Marks the ledger entry of a filing before its first byte is sent."""

    __slots__ = ("_entry",)

    def __init__(self, entry: filing_ledger.Entry):
        super().__init__()
        self._entry = entry

    def mark_sending(self) -> None:
        """Marks the entry as sent.

        Raises:
            AssertionError: the entry was sent before.
        """
        if self._entry.sent:
            raise AssertionError("a filing is sent twice")
        self._entry.sent = True
        super().mark_sending()

    def mark_not_run(self) -> None:
        """Clears the mark, as the upstream reported that it ran nothing."""
        super().mark_not_run()
        self._entry.sent = False


def _failure_outcome(
    tracker: run_state.RunTracker, reason: str
) -> messages.Outcome:
    if tracker.state is run_state.RunState.NOT_SENT:
        return messages.Outcome(State.NOT_RUN, reason=reason)
    return messages.Outcome(State.UNKNOWN, reason=reason)


def _outcome_of_stopped_router() -> messages.Outcome:
    return messages.Outcome(
        State.UNKNOWN,
        reason="the router that may have run the call stopped or restarted",
    )


def _forward_request(
    filing: messages.Filing, incarnation: int, remaining_s: float
) -> peer_pb2.FilingRequest:
    return peer_pb2.FilingRequest(
        customer=filing.customer,
        key=filing.key,
        service=filing.service,
        method=filing.method,
        target=filing.target,
        content_type=filing.content_type,
        body=filing.body,
        time_left_ms=max(0, int(remaining_s * 1000)),
        incarnation=incarnation,
    )


def reply_of(outcome: messages.Outcome) -> peer_pb2.FilingReply:
    """Converts an outcome to a reply message."""
    return peer_pb2.FilingReply(
        state=outcome.state.value,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
        reason=outcome.reason,
    )


def outcome_of_reply(reply: peer_pb2.FilingReply) -> messages.Outcome:
    """Converts a reply message to an outcome."""
    return messages.Outcome(
        State(reply.state),
        reply.status,
        reply.content_type,
        reply.body,
        reply.reason,
    )
