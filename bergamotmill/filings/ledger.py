"""What this router incarnation knows of its filings.

An entry stays until its key has expired. When the ledger is full a new
filing is refused; an entry is never dropped early, for then its key could
run again. Bodies of outcomes are dropped first when they take too much room.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from bergamotmill.filings import const
from bergamotmill.filings import messages


class Entry:
    """One key of one customer."""

    __slots__ = ("digest", "done", "expires_at", "outcome", "sent")

    def __init__(self, digest: bytes, expires_at: float):
        self.digest = digest
        self.expires_at = expires_at
        self.sent = False
        self.outcome: messages.Outcome | None = None
        self.done: asyncio.Event | None = asyncio.Event()

    @property
    def running(self) -> bool:
        """Whether its call is under way."""
        return self.outcome is None


class Ledger:
    """Entries by customer and key, the oldest first."""

    def __init__(
        self,
        wall: Callable[[], float],
        max_entries: int = const.MAX_LEDGER_ENTRIES,
        max_stored_bodies_bytes: int = const.MAX_STORED_BODIES_BYTES,
    ):
        self._wall = wall
        self._max_entries = max_entries
        self._max_kept_bytes = max_stored_bodies_bytes
        self._entries: dict[tuple[str, str], Entry] = {}
        self._kept: dict[tuple[str, str], int] = {}
        self._kept_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, customer: str, key: str) -> Entry | None:
        """Returns a customer's own entry."""
        return self._entries.get((customer, key))

    def open(
        self, customer: str, key: str, digest: bytes, issued_at: float
    ) -> Entry | None:
        """Starts an entry; None when there is no room."""
        if (customer, key) in self._entries:
            raise AssertionError("a key is opened twice")
        self._sweep()
        if len(self._entries) >= self._max_entries:
            return None
        expires_at = issued_at + const.KEY_LIFETIME_S + 10 * const.CLOCK_SKEW_S
        entry = Entry(digest, expires_at)
        self._entries[(customer, key)] = entry
        return entry

    def reopen(self, customer: str, key: str) -> Entry:
        """Starts an entry again whose call surely did not run."""
        entry = self._entries[(customer, key)]
        state = None if entry.outcome is None else entry.outcome.state
        if state is not messages.FilingState.NOT_RUN:
            raise AssertionError("only a call that did not run runs again")
        entry.outcome = None
        entry.sent = False
        entry.done = asyncio.Event()
        return entry

    def record_outcome(
        self, customer: str, key: str, outcome: messages.Outcome
    ) -> None:
        """Keeps the outcome of an entry; it settles once."""
        entry = self._entries[(customer, key)]
        if entry.outcome is not None:
            raise AssertionError("a filing is settled twice")
        if outcome.state is messages.FilingState.NOT_RUN and entry.sent:
            raise AssertionError("a filing that was sent cannot be not run")
        if len(outcome.body) > const.MAX_OUTCOME_BODY_BYTES:
            outcome = _without_body(outcome)
        entry.outcome = outcome
        self._kept[(customer, key)] = len(outcome.body)
        self._kept_bytes += len(outcome.body)
        self._drop_bodies()
        entry.done.set()
        entry.done = None

    def _drop_bodies(self) -> None:
        while self._kept_bytes > self._max_kept_bytes and self._kept:
            key = next(iter(self._kept))
            self._kept_bytes -= self._kept.pop(key)
            entry = self._entries.get(key)
            if entry is not None and entry.outcome is not None:
                entry.outcome = _without_body(entry.outcome)

    def _sweep(self) -> None:
        now = self._wall()
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.expires_at > now or entry.running:
                return
            del self._entries[key]
            self._kept_bytes -= self._kept.pop(key, 0)


def _without_body(outcome: messages.Outcome) -> messages.Outcome:
    return dataclasses.replace(
        outcome, body=b"", reason="the answer's body is no longer kept"
    )
