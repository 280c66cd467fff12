"""In-memory record of this router incarnation's filings.

An entry is kept until its key has expired; dropping it earlier would let the
key run again. New filings are refused while the ledger is full. If the stored
response bodies exceed their size limit, the oldest are dropped, without their
entries.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from bergamotmill.filings import const
from bergamotmill.filings import messages


class Entry:
    """State of one key of one customer.

    Attributes:
        digest: digest of the filing, which a repeat must match.
        done: event set when the call ends; None afterwards.
        expires_at: wall-clock time after which the entry may be dropped, in
            seconds.
        outcome: outcome of the call; None while it runs.
        sent: whether a byte of the call may have reached the upstream.
    """

    __slots__ = ("digest", "done", "expires_at", "outcome", "sent")

    def __init__(self, digest: bytes, expires_at: float):
        self.digest = digest
        self.expires_at = expires_at
        self.sent = False
        self.outcome: messages.Outcome | None = None
        self.done: asyncio.Event | None = asyncio.Event()

    @property
    def running(self) -> bool:
        """Whether the call is running."""
        return self.outcome is None


class Ledger:
    """Entries by customer and key, in order of creation."""

    def __init__(
        self,
        wall_clock: Callable[[], float],
        max_entries: int = const.MAX_LEDGER_ENTRIES,
        max_stored_bodies_bytes: int = const.MAX_STORED_BODIES_BYTES,
    ):
        self._wall_clock = wall_clock
        self._max_entries = max_entries
        self._max_stored_bodies_bytes = max_stored_bodies_bytes
        self._entries: dict[tuple[str, str], Entry] = {}
        self._body_bytes: dict[tuple[str, str], int] = {}
        self._stored_bodies_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, customer: str, key: str) -> Entry | None:
        """Returns the entry of a customer's key."""
        return self._entries.get((customer, key))

    def open(
        self, customer: str, key: str, digest: bytes, issued_at: float
    ) -> Entry | None:
        """Creates the entry of a new key; returns None if there is no room."""
        if (customer, key) in self._entries:
            raise AssertionError("the key already has an entry")
        self._drop_expired()
        if len(self._entries) >= self._max_entries:
            return None
        expires_at = issued_at + const.KEY_LIFETIME_S + 10 * const.CLOCK_SKEW_S
        entry = Entry(digest, expires_at)
        self._entries[(customer, key)] = entry
        return entry

    def reopen(self, customer: str, key: str) -> Entry:
        """Resets an entry whose call did not run, so that it can run."""
        entry = self._entries[(customer, key)]
        state = None if entry.outcome is None else entry.outcome.state
        if state is not messages.FilingState.NOT_RUN:
            raise AssertionError("only a call that did not run may be repeated")
        entry.outcome = None
        entry.sent = False
        entry.done = asyncio.Event()
        return entry

    def record_outcome(
        self, customer: str, key: str, outcome: messages.Outcome
    ) -> None:
        """Records the outcome of an entry's call, once, and wakes waiters."""
        entry = self._entries[(customer, key)]
        if entry.outcome is not None:
            raise AssertionError("the filing already has an outcome")
        if outcome.state is messages.FilingState.NOT_RUN and entry.sent:
            raise AssertionError("a sent filing cannot be reported as not run")
        if len(outcome.body) > const.MAX_OUTCOME_BODY_BYTES:
            outcome = _without_body(outcome)
        entry.outcome = outcome
        self._body_bytes[(customer, key)] = len(outcome.body)
        self._stored_bodies_bytes += len(outcome.body)
        self._drop_oldest_bodies()
        entry.done.set()
        entry.done = None

    def _drop_oldest_bodies(self) -> None:
        while (
            self._stored_bodies_bytes > self._max_stored_bodies_bytes
            and self._body_bytes
        ):
            key = next(iter(self._body_bytes))
            self._stored_bodies_bytes -= self._body_bytes.pop(key)
            entry = self._entries.get(key)
            if entry is not None and entry.outcome is not None:
                entry.outcome = _without_body(entry.outcome)

    def _drop_expired(self) -> None:
        now = self._wall_clock()
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.expires_at > now or entry.running:
                return
            del self._entries[key]
            self._stored_bodies_bytes -= self._body_bytes.pop(key, 0)


def _without_body(outcome: messages.Outcome) -> messages.Outcome:
    return dataclasses.replace(
        outcome, body=b"", reason="the response body is no longer stored"
    )
