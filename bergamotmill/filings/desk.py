"""Takes filings, runs its own and forwards those of other routers."""

import asyncio
from collections.abc import Callable

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
ServiceOf = Callable[[str], plain.ServiceLink | None]


class FilingDesk:
    """The one place through which non-idempotent calls go."""

    def __init__(
        self,
        router: str,
        incarnation: int,
        fleet_key: str,
        claims: filing_claims.Claims,
        peers: peer_links.PeerClient,
        service_of: ServiceOf,
        metrics: stats.Metrics,
        clock: clocks.Clock,
        ids: id_source.IdSource,
    ):
        self._router = router
        self._incarnation = incarnation
        self._fleet_key = fleet_key
        self._claims = claims
        self._peers = peers
        self._service_of = service_of
        self._metrics = metrics
        self._clock = clock
        self._ids = ids
        self.ledger = filing_ledger.Ledger(clock.wall)
        self._running = background.Tasks()
        self._records = token_bucket.TokenBucket(
            const.RECORDS_PER_S, const.RECORD_BURST, clock.monotonic()
        )

    def set_fleet(self, routers: int) -> None:
        """Shares the fleet's rate of written outcomes."""
        self._records.set_rate(
            const.RECORDS_PER_S / max(1, routers),
            const.RECORD_BURST,
            self._clock.monotonic(),
        )

    def token(self, customer: str) -> str:
        """Returns a token under which a customer makes keys."""
        return keys.issue(
            self._router,
            self._incarnation,
            self._clock.wall(),
            customer,
            self._fleet_key,
        )

    async def file(self, filing: messages.Filing) -> messages.Outcome:
        """Runs a filing at most once and returns what is known of it."""
        outcome = await self._file(filing)
        self._metrics.count(f"filings.{outcome.state.value}")
        return outcome

    async def _file(self, filing: messages.Filing) -> messages.Outcome:
        key = keys.parse(filing.key, filing.customer, self._fleet_key)
        if key is None:
            return messages.Outcome(State.MISMATCH, reason="not a key of yours")
        if self.ledger.find(filing.customer, filing.key) is not None:
            return await self._run_here(filing, key.issued_at)
        if keys.is_expired(key.issued_at, self._clock.wall()):
            return messages.Outcome(State.EXPIRED, reason="the key is too old")
        if isinstance(key, keys.FreeKey):
            return await self._file_free(filing, key)
        if key.router != self._router:
            return await self._forward(filing, key.router, key.incarnation)
        if key.incarnation != self._incarnation:
            return await self._recorded(filing, _gone())
        return await self._run_here(filing, key.issued_at)

    async def _file_free(
        self, filing: messages.Filing, key: keys.FreeKey
    ) -> messages.Outcome:
        digest = filing.digest()
        claimed = await self._claims.claim(filing.customer, filing.key, digest)
        if claimed.is_err():
            return messages.Outcome(
                State.NOT_RUN,
                reason=f"the key cannot be claimed: {claimed.err().reason}",
            )
        claim = claimed.ok()
        if claim.digest != digest.hex():
            return messages.Outcome(
                State.MISMATCH, reason="the key was used with another body"
            )
        if claim.router == self._router:
            if claim.incarnation == self._incarnation:
                return await self._run_here(filing, key.issued_at, claimed=True)
            return claim.outcome or _gone()
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
                State.MISMATCH, reason="the key was used with another body"
            )
        if entry is None:
            entry = self.ledger.open(
                filing.customer, filing.key, filing.digest(), issued_at
            )
            if entry is None:
                return messages.Outcome(
                    State.NOT_RUN, reason="too many filings are remembered"
                )
            self._start(filing, entry, claimed)
        elif not entry.running and entry.outcome.state is State.NOT_RUN:
            entry = self.ledger.reopen(filing.customer, filing.key)
            self._start(filing, entry, claimed)
        return await self._await_entry(filing, entry)

    def _start(
        self,
        filing: messages.Filing,
        entry: filing_ledger.Entry,
        claimed: bool,
    ) -> None:
        self._running.spawn(self._execute(filing, entry, claimed))

    async def _await_entry(
        self, filing: messages.Filing, entry: filing_ledger.Entry
    ) -> messages.Outcome:
        if entry.running:
            left = filing.deadline - self._clock.monotonic()
            try:
                async with asyncio.timeout(max(0.0, left)):
                    await entry.done.wait()
            except TimeoutError:
                return messages.Outcome(
                    State.RUNNING, reason="still under way; ask again"
                )
        return entry.outcome

    async def _execute(
        self,
        filing: messages.Filing,
        entry: filing_ledger.Entry,
        claimed: bool,
    ) -> None:
        outcome = await self._call(filing, entry)
        self.ledger.settle(filing.customer, filing.key, outcome)
        if outcome.state is not State.RAN:
            return
        parts = (filing.customer, filing.key, entry.digest, outcome)
        if claimed:
            await self._claims.complete(*parts)
        elif self._records.try_take(1.0, self._clock.monotonic()):
            await self._claims.record(*parts)

    async def _call(
        self, filing: messages.Filing, entry: filing_ledger.Entry
    ) -> messages.Outcome:
        link = self._service_of(filing.service)
        if link is None:
            return messages.Outcome(State.NOT_RUN, reason="no such service")
        # A router that was paused may come here long after the caller left.
        left = filing.deadline - self._clock.monotonic()
        if left <= 0:
            return messages.Outcome(
                State.NOT_RUN, reason="the deadline passed before it was sent"
            )
        tracker = _EntryTracker(entry)
        call = config.ServiceCall(
            request_id=self._ids.new(),
            customer=filing.customer,
            method=filing.method,
            target=filing.target,
            content_type=filing.content_type,
            body=filing.body,
            idempotent=False,
            timeout_s=link.service.timeout_s,
        )
        try:
            answer = await link.call(call, tracker)
        except errors.UpstreamError as err:
            return self._outcome_of(err, tracker)
        except Exception as err:
            loguru.logger.exception("filings: call failed: {}.", err)
            return _unless_sent(tracker, repr(err))
        return messages.Outcome(
            State.RAN,
            answer.status,
            answer.content_type,
            answer.body,
            upstream=answer.upstream,
        )

    def _outcome_of(
        self, err: errors.UpstreamError, tracker: run_state.RunTracker
    ) -> messages.Outcome:
        self._metrics.count(f"filings.failures.{err.failure.value}")
        return _unless_sent(tracker, str(err))

    async def _forward(
        self, filing: messages.Filing, router: str, incarnation: int
    ) -> messages.Outcome:
        left = filing.deadline - self._clock.monotonic()
        answer = await self._peers.call(
            router,
            "File",
            _request_of(filing, incarnation, left - const.FORWARD_MARGIN_S),
            max(0.05, left),
        )
        if answer.is_err():
            unknown = messages.Outcome(
                State.UNKNOWN,
                reason=f"router {router} does not answer: {answer.err()}",
            )
            return await self._recorded(filing, unknown)
        outcome = outcome_of_reply(answer.ok())
        if outcome.state is State.UNKNOWN:
            return await self._recorded(filing, outcome)
        return outcome

    async def _recorded(
        self, filing: messages.Filing, otherwise: messages.Outcome
    ) -> messages.Outcome:
        """Returns an outcome that was written down, if there is one."""
        found = await self._claims.find(filing.customer, filing.key)
        claim = found.unwrap_or(None)
        if claim is None or claim.outcome is None:
            return otherwise
        if claim.digest != filing.digest().hex():
            return messages.Outcome(
                State.MISMATCH, reason="the key was used with another body"
            )
        return claim.outcome

    async def serve_peer(
        self, request: peer_pb2.FilingRequest
    ) -> peer_pb2.FilingReply:
        """Runs or looks up a filing for another router."""
        if request.incarnation != self._incarnation:
            return reply_of(_gone())
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
                messages.Outcome(State.MISMATCH, reason="not a key of yours")
            )
        if keys.is_expired(key.issued_at, self._clock.wall()):
            return reply_of(messages.Outcome(State.EXPIRED))
        claimed = isinstance(key, keys.FreeKey)
        return reply_of(await self._run_here(filing, key.issued_at, claimed))

    async def look_up(self, customer: str, key: str) -> messages.Outcome:
        """Returns what is known of a key without running anything."""
        parsed = keys.parse(key, customer, self._fleet_key)
        if parsed is None:
            return messages.Outcome(State.ABSENT, reason="not a key of yours")
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
            return messages.Outcome(State.ABSENT, reason="never claimed")
        if claim.outcome is not None:
            return claim.outcome
        return await self._look_up_at(
            customer, key, claim.router, claim.incarnation
        )

    def _look_up_here(self, customer: str, key: str) -> messages.Outcome:
        entry = self.ledger.find(customer, key)
        if entry is None:
            return messages.Outcome(State.ABSENT, reason="never sent")
        if entry.running:
            return messages.Outcome(State.RUNNING, reason="under way")
        return entry.outcome

    async def _look_up_at(
        self, customer: str, key: str, router: str, incarnation: int
    ) -> messages.Outcome:
        if router == self._router and incarnation == self._incarnation:
            return self._look_up_here(customer, key)
        outcome = _gone()
        if router != self._router:
            outcome = await self._ask(customer, key, router, incarnation)
        if outcome.state is not State.UNKNOWN:
            return outcome
        found = (await self._claims.find(customer, key)).unwrap_or(None)
        if found is None or found.outcome is None:
            return outcome
        return found.outcome

    async def _ask(
        self, customer: str, key: str, router: str, incarnation: int
    ) -> messages.Outcome:
        request = peer_pb2.FilingRequest(
            customer=customer,
            key=key,
            incarnation=incarnation,
            look_up_only=True,
        )
        answer = await self._peers.call(router, "File", request, 2.0)
        if answer.is_err():
            return messages.Outcome(
                State.UNKNOWN, reason=f"router {router}: {answer.err()}"
            )
        return outcome_of_reply(answer.ok())

    async def drain(self) -> None:
        """Waits for the calls that are under way."""
        await self._running.drain()

    async def close(self) -> None:
        """Stops what is left; its outcomes stay unknown."""
        await self._running.close()


class _EntryTracker(run_state.RunTracker):
    """Marks the ledger's entry before a byte leaves."""

    __slots__ = ("_entry",)

    def __init__(self, entry: filing_ledger.Entry):
        super().__init__()
        self._entry = entry

    def mark_sending(self) -> None:
        """Notes in the ledger that a byte is about to leave."""
        if self._entry.sent:
            raise AssertionError("a filing is sent twice")
        self._entry.sent = True
        super().mark_sending()

    def mark_not_run(self) -> None:
        """Notes that the upstream ran nothing."""
        super().mark_not_run()
        self._entry.sent = False


def _unless_sent(
    tracker: run_state.RunTracker, reason: str
) -> messages.Outcome:
    if tracker.state is run_state.RunState.NOT_SENT:
        return messages.Outcome(State.NOT_RUN, reason=reason)
    return messages.Outcome(State.UNKNOWN, reason=reason)


def _gone() -> messages.Outcome:
    return messages.Outcome(
        State.UNKNOWN,
        reason="the router that may have run it is gone",
    )


def _request_of(
    filing: messages.Filing, incarnation: int, left_s: float
) -> peer_pb2.FilingRequest:
    return peer_pb2.FilingRequest(
        customer=filing.customer,
        key=filing.key,
        service=filing.service,
        method=filing.method,
        target=filing.target,
        content_type=filing.content_type,
        body=filing.body,
        time_left_ms=max(0, int(left_s * 1000)),
        incarnation=incarnation,
    )


def reply_of(outcome: messages.Outcome) -> peer_pb2.FilingReply:
    """Returns an outcome as a message."""
    return peer_pb2.FilingReply(
        state=outcome.state.value,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
        reason=outcome.reason,
    )


def outcome_of_reply(reply: peer_pb2.FilingReply) -> messages.Outcome:
    """Returns the outcome in a message."""
    return messages.Outcome(
        State(reply.state),
        reply.status,
        reply.content_type,
        reply.body,
        reply.reason,
    )
