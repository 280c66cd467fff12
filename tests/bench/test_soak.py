"""Tests of the soak over the in-memory cluster and of its checks."""

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
ALL_FAULTS = tuple(faults.FAULTS.names())


class SoakTest(unittest.TestCase):
    def setUp(self):
        loguru.logger.remove()

    def test_fixed_seeds_have_no_violations(self):
        for seed in (1, 2, 3, 17, 39, 5070):
            with self.subTest(seed=seed):
                tally = soak.Soak(seed, STEPS, ALL_FAULTS).run()
                self.assertEqual(tally.violations, [])
                self.assertGreater(tally.whole, 0)

    def test_all_requests_succeed_without_faults(self):
        tally = soak.Soak(5, STEPS, ()).run()
        self.assertEqual(tally.violations, [])
        self.assertEqual(tally.whole, tally.streams)
        self.assertEqual(tally.filed, tally.filings)
        self.assertEqual(tally.lookup_errors, 0)

    def test_same_seed_repeats_the_run(self):
        first = soak.Soak(3, 15, ALL_FAULTS).run()
        second = soak.Soak(3, 15, ALL_FAULTS).run()
        self.assertEqual(first, second)


class MutationTest(unittest.TestCase):
    """Breaks a guarantee in the routers; the soak must report it."""

    def setUp(self):
        loguru.logger.remove()

    def assert_caught(self, fault_kinds, expected_text, seeds=range(1, 9)):
        for seed in seeds:
            tally = soak.Soak(seed, STEPS, fault_kinds).run()
            if any(expected_text in item for item in tally.violations):
                return
        self.fail("no seed reported the mutation")

    def test_detects_retry_of_a_sent_filing(self):
        call_one = plain.ServiceClient._call_one

        async def mark_as_not_sent(self, upstream, call, tracker):
            try:
                return await call_one(self, upstream, call, tracker)
            except plain.errors.UpstreamError as err:
                err.ran = False
                tracker._entry.sent = False
                raise

        with mock.patch.object(
            plain.ServiceClient, "_call_one", mark_as_not_sent
        ):
            self.assert_caught(("service_lost_answers",), "ran 2 times")

    def test_assertion_detects_a_filing_sent_twice(self):
        call_one = plain.ServiceClient._call_one

        async def send_twice(self, upstream, call, tracker):
            if not call.idempotent:
                await call_one(self, upstream, call, tracker)
            return await call_one(self, upstream, call, tracker)

        with mock.patch.object(plain.ServiceClient, "_call_one", send_twice):
            self.assert_caught((), "a filing is sent twice", (1,))

    def test_detects_not_run_answer_for_a_filing_that_ran(self):
        def answer_not_run(tracker, reason):
            del tracker
            return manager.messages.Outcome(
                manager.State.NOT_RUN, reason=reason
            )

        with (
            mock.patch.object(manager, "_failure_outcome", answer_not_run),
            mock.patch.object(
                manager.filing_ledger.Ledger,
                "record_outcome",
                _settle_without_checks,
            ),
            mock.patch.object(soak, "FILING_TRIES", 1),
        ):
            self.assert_caught(("service_hangs",), "reported as not run")

    def test_detects_repeated_stream_events(self):
        attach = caller_output.CallerOutput.attach

        def attach_from_start(self, sink, seen):
            return attach(self, sink, 0)

        with mock.patch.object(
            caller_output.CallerOutput, "attach", attach_from_start
        ):
            self.assert_caught(("crash_router",), "stream")

    def test_detects_a_lost_stream_event(self):
        with_id = numbering.EventNumbering.with_id

        def drop_event_7(self, number, event):
            return b"" if number == 7 else with_id(self, number, event)

        with mock.patch.object(
            numbering.EventNumbering, "with_id", drop_event_7
        ):
            self.assert_caught((), "stream", (1,))

    def test_assertion_detects_a_reverted_release(self):
        on_push = distribution.Distribution.on_push

        async def revert_release(self, request):
            if self.number == 2:
                self._activate(distribution.core.empty_configuration())
            return await on_push(self, request)

        with mock.patch.object(
            distribution.Distribution, "on_push", revert_release
        ):
            self.assert_caught(("version_switch",), "never be reverted")


def _settle_without_checks(self, customer, key, outcome):
    entry = self._entries[(customer, key)]
    entry.outcome = outcome
    entry.done.set()


if __name__ == "__main__":
    unittest.main()
