import unittest
from unittest import mock

import loguru

from bergamotmill.bench import faults
from bergamotmill.bench import soak
from bergamotmill.control import distribution
from bergamotmill.filings import manager
from bergamotmill.streams import caller_output
from bergamotmill.streams import numbering
from bergamotmill.upstream.plain import coordinator as plain

STEPS = 25
ALL = tuple(faults.FAULTS.names())


class SoakTest(unittest.TestCase):
    def setUp(self):
        loguru.logger.remove()

    def test_fixed_seeds_break_no_promise(self):
        for seed in (1, 2, 3, 17, 39, 5070):
            with self.subTest(seed=seed):
                tally = soak.Soak(seed, STEPS, ALL).run()
                self.assertEqual(tally.violations, [])
                self.assertGreater(tally.whole, 0)

    def test_without_faults_all_is_served(self):
        tally = soak.Soak(5, STEPS, ()).run()
        self.assertEqual(tally.violations, [])
        self.assertEqual(tally.whole, tally.streams)
        self.assertEqual(tally.filed, tally.filings)
        self.assertEqual(tally.lookup_errors, 0)

    def test_same_seed_gives_the_same_run(self):
        first = soak.Soak(3, 15, ALL).run()
        second = soak.Soak(3, 15, ALL).run()
        self.assertEqual(first, second)


class MutationTest(unittest.TestCase):
    """Each check of the soak catches the breach that it is for."""

    def setUp(self):
        loguru.logger.remove()

    def assert_caught(self, kinds, needle, seeds=range(1, 9)):
        for seed in seeds:
            tally = soak.Soak(seed, STEPS, kinds).run()
            if any(needle in item for item in tally.violations):
                return
        self.fail("the mutation was not caught")

    def test_retrying_a_filing_that_was_sent(self):
        call_one = plain.ServiceClient._call_one

        async def forgetful(self, upstream, call, tracker):
            try:
                return await call_one(self, upstream, call, tracker)
            except plain.errors.UpstreamError as err:
                err.ran = False
                tracker._entry.sent = False
                raise

        with mock.patch.object(plain.ServiceClient, "_call_one", forgetful):
            self.assert_caught(("service_lost_answers",), "ran 2 times")

    def test_sending_twice_is_caught_in_the_program(self):
        call_one = plain.ServiceClient._call_one

        async def twice(self, upstream, call, tracker):
            if not call.idempotent:
                await call_one(self, upstream, call, tracker)
            return await call_one(self, upstream, call, tracker)

        with mock.patch.object(plain.ServiceClient, "_call_one", twice):
            self.assert_caught((), "a filing is sent twice", (1,))

    def test_saying_not_run_of_what_ran(self):
        def always(tracker, reason):
            del tracker
            return manager.messages.Outcome(
                manager.State.NOT_RUN, reason=reason
            )

        with (
            mock.patch.object(manager, "_failure_outcome", always),
            mock.patch.object(
                manager.filing_ledger.Ledger, "record_outcome", _careless_settle
            ),
            mock.patch.object(soak, "FILING_TRIES", 1),
        ):
            self.assert_caught(("service_hangs",), "told not run")

    def test_repeating_what_the_caller_has_seen(self):
        attach = caller_output.CallerOutput.attach

        def from_start(self, sink, seen):
            return attach(self, sink, 0)

        with mock.patch.object(
            caller_output.CallerOutput, "attach", from_start
        ):
            self.assert_caught(("crash_router",), "stream")

    def test_losing_an_event(self):
        with_id = numbering.EventNumbering.with_id

        def lossy(self, number, event):
            return b"" if number == 7 else with_id(self, number, event)

        with mock.patch.object(numbering.EventNumbering, "with_id", lossy):
            self.assert_caught((), "stream", (1,))

    def test_reverting_a_release(self):
        on_push = distribution.Distribution.on_push

        async def revert(self, request):
            if self.number == 2:
                self._activate(distribution.core.empty_configuration())
            return await on_push(self, request)

        with mock.patch.object(distribution.Distribution, "on_push", revert):
            self.assert_caught(("version_switch",), "never be reverted")


def _careless_settle(self, customer, key, outcome):
    entry = self._entries[(customer, key)]
    entry.outcome = outcome
    entry.done.set()


if __name__ == "__main__":
    unittest.main()
