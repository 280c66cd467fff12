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
    """Opens, sends, settles and expires; no key is ever sent twice."""

    def __init__(self):
        super().__init__()
        self.now = 1_000_000.0
        self.ledger = ledger.Ledger(lambda: self.now, max_entries=2)
        self.sent = {}
        self.issued = {}

    @stateful.rule(key=KEYS)
    def open(self, key):
        if self.ledger.find("one", key) is not None or key in self.issued:
            return
        entry = self.ledger.open("one", key, b"d", self.now)
        if entry is None:
            assert len(self.ledger) >= 2
        else:
            self.issued[key] = self.now

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
        for key, at in self.issued.items():
            if self.now - at <= const.KEY_LIFETIME_S:
                assert self.ledger.find("one", key) is not None


LedgerMachineTest = LedgerMachine.TestCase
LedgerMachineTest.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=30, derandomize=True, deadline=None
)


class LedgerTest(unittest.TestCase):
    def make(self, **more):
        return ledger.Ledger(lambda: 1000.0, **more)

    def test_sent_filing_cannot_be_not_run(self):
        book = self.make()
        entry = book.open("one", "a", b"", 1000.0)
        entry.sent = True
        with self.assertRaises(AssertionError):
            book.record_outcome("one", "a", messages.Outcome(State.NOT_RUN))

    def test_only_what_did_not_run_runs_again(self):
        book = self.make()
        book.open("one", "a", b"", 1000.0)
        book.record_outcome("one", "a", messages.Outcome(State.UNKNOWN))
        with self.assertRaises(AssertionError):
            book.reopen("one", "a")

    def test_bodies_go_before_entries(self):
        book = self.make(max_stored_bodies_bytes=100)
        for key in ("a", "b"):
            book.open("one", key, b"", 1000.0)
            book.record_outcome(
                "one", key, messages.Outcome(State.RAN, 201, "", b"x" * 80)
            )
        first = book.find("one", "a").outcome
        self.assertEqual((first.state, first.body), (State.RAN, b""))
        self.assertEqual(len(book.find("one", "b").outcome.body), 80)

    def test_waiters_are_woken(self):
        async def main():
            book = self.make()
            entry = book.open("one", "a", b"", 1000.0)
            waiter = asyncio.create_task(entry.done.wait())
            await asyncio.sleep(0)
            book.record_outcome("one", "a", messages.Outcome(State.RAN))
            await asyncio.wait_for(waiter, 1.0)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
