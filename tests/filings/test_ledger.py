import asyncio
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bergamotmill.filings import const
from bergamotmill.filings import ledger
from bergamotmill.filings import messages

State = messages.FilingState
KEYS = strategies.sampled_from(["a", "b", "c"])


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Runs random operations and checks that no key is ever sent twice."""

    def __init__(self):
        super().__init__()
        self.now = 1_000_000.0
        self.ledger = ledger.Ledger(lambda: self.now, max_entries=2)
        self.sent = {}
        self.issued_at = {}

    @stateful.rule(key=KEYS)
    def open(self, key):
        if self.ledger.find("one", key) is not None or key in self.issued_at:
            return
        entry = self.ledger.open("one", key, b"d", self.now)
        if entry is None:
            assert len(self.ledger) >= 2
        else:
            self.issued_at[key] = self.now

    @stateful.rule(key=KEYS)
    def send(self, key):
        entry = self.ledger.find("one", key)
        if entry is None or not entry.running or entry.sent:
            return
        entry.sent = True
        self.sent[key] = self.sent.get(key, 0) + 1

    @stateful.rule(key=KEYS, ran=strategies.booleans())
    def set_outcome(self, key, ran):
        entry = self.ledger.find("one", key)
        if entry is None or not entry.running:
            return
        state = State.NOT_RUN
        if entry.sent:
            state = State.RAN if ran else State.UNKNOWN
        self.ledger.record_outcome("one", key, messages.Outcome(state))

    @stateful.rule(key=KEYS)
    def repeat(self, key):
        entry = self.ledger.find("one", key)
        if entry is None or entry.running:
            return
        if entry.outcome.state is State.NOT_RUN:
            self.ledger.reopen("one", key)

    @stateful.rule(hours=strategies.integers(1, 30))
    def wait(self, hours):
        self.now += hours * 3600.0

    @stateful.invariant()
    def nothing_is_sent_twice(self):
        assert all(count == 1 for count in self.sent.values())

    @stateful.invariant()
    def entries_outlive_their_keys(self):
        for key, issued_at in self.issued_at.items():
            if self.now - issued_at <= const.KEY_LIFETIME_S:
                assert self.ledger.find("one", key) is not None


LedgerMachineTest = LedgerMachine.TestCase
LedgerMachineTest.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=30, derandomize=True, deadline=None
)


class LedgerTest(unittest.TestCase):
    def make_ledger(self, **limits):
        return ledger.Ledger(lambda: 1000.0, **limits)

    def test_sent_filing_cannot_be_recorded_as_not_run(self):
        filings = self.make_ledger()
        entry = filings.open("one", "a", b"", 1000.0)
        entry.sent = True
        with self.assertRaises(AssertionError):
            filings.record_outcome("one", "a", messages.Outcome(State.NOT_RUN))

    def test_only_calls_that_did_not_run_may_be_repeated(self):
        filings = self.make_ledger()
        filings.open("one", "a", b"", 1000.0)
        filings.record_outcome("one", "a", messages.Outcome(State.UNKNOWN))
        with self.assertRaises(AssertionError):
            filings.reopen("one", "a")

    def test_oldest_bodies_are_dropped_without_their_entries(self):
        filings = self.make_ledger(max_stored_bodies_bytes=100)
        for key in ("a", "b"):
            filings.open("one", key, b"", 1000.0)
            filings.record_outcome(
                "one", key, messages.Outcome(State.RAN, 201, "", b"x" * 80)
            )
        first = filings.find("one", "a").outcome
        self.assertEqual((first.state, first.body), (State.RAN, b""))
        self.assertEqual(len(filings.find("one", "b").outcome.body), 80)

    def test_waiters_are_woken(self):
        async def main():
            filings = self.make_ledger()
            entry = filings.open("one", "a", b"", 1000.0)
            waiter = asyncio.create_task(entry.done.wait())
            await asyncio.sleep(0)
            filings.record_outcome("one", "a", messages.Outcome(State.RAN))
            await asyncio.wait_for(waiter, 1.0)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
