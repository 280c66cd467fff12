"""What counts as an outage of the store."""

import unittest

from bergamotmill.dispatch import store_health
from bergamotmill.proto import peer_pb2


def report(steady_s, answered_s):
    return peer_pb2.StoreReport(
        steady_ms=int(steady_s * 1000), answered_ms=int(answered_s * 1000)
    )


class StoreHealthTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        self.health = store_health.StoreHealth(lambda: self.now)

    def answer_for(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.health.note_answer(self.now)

    def test_own_start_is_no_outage(self):
        self.now += 0.5
        self.health.note_answer(self.now)
        self.assertFalse(self.health.is_recovering)

    def test_failed_calls_at_the_start_may_be_an_outage(self):
        self.health.note_failure()
        self.now += 0.5
        self.health.note_answer(self.now)
        self.assertTrue(self.health.is_recovering)
        # Another router had answers all the time.
        self.health.merge(report(30.0, 0.4))
        self.assertFalse(self.health.is_recovering)

    def test_report_of_one_that_was_away_as_well_refutes_nothing(self):
        self.health.note_failure()
        self.now += 1.0
        self.health.merge(report(60.0, 7.0))
        self.health.note_answer(self.now)
        self.health.merge(report(0.0, 0.0))
        self.assertTrue(self.health.is_recovering)

    def test_lost_call_is_no_outage(self):
        self.answer_for(3.0)
        self.now += 2.0
        self.health.note_failure()
        self.assertFalse(self.health.is_recovering)
        self.health.note_answer(self.now)
        self.assertFalse(self.health.is_recovering)

    def test_outage_counts_until_some_time_after_its_end(self):
        self.answer_for(3.0)
        self.now += 2.5
        self.assertTrue(self.health.is_recovering)
        self.now += 4.0
        self.health.note_answer(self.now)
        self.answer_for(2.5)
        self.assertTrue(self.health.is_recovering)
        self.answer_for(1.0)
        self.assertFalse(self.health.is_recovering)

    def test_others_answers_show_that_only_this_router_was_cut_off(self):
        self.answer_for(3.0)
        for _ in range(6):
            self.now += 1.0
            self.health.merge(report(60.0, 0.7))
            self.assertFalse(self.health.is_recovering)
        self.health.note_answer(self.now)
        self.assertFalse(self.health.is_recovering)

    def test_late_report_takes_an_outage_back(self):
        self.answer_for(3.0)
        self.now += 6.0
        self.health.note_answer(self.now)
        self.assertTrue(self.health.is_recovering)
        self.now += 0.5
        self.health.merge(report(60.0, 0.3))
        self.assertFalse(self.health.is_recovering)
        own = self.health.report()
        self.assertGreaterEqual(own.steady_ms, 60_000)

    def test_return_of_the_store_that_another_router_saw_first(self):
        self.answer_for(3.0)
        self.now += 6.0
        self.health.merge(report(0.2, 0.1))
        self.assertTrue(self.health.is_recovering)
        self.answer_for(2.0)
        self.assertTrue(self.health.is_recovering)
        self.answer_for(1.5)
        self.assertFalse(self.health.is_recovering)

    def test_report_of_a_process_that_runs_for_months(self):
        self.answer_for(1.0)
        self.now += 60 * 86400.0
        self.health.note_answer(self.now)
        self.health.merge(self.health.report())
        self.now += 60 * 86400.0
        self.assertEqual(self.health.report().answered_ms, store_health.MAX_MS)

    def test_nothing_is_reported_before_an_answer(self):
        self.assertIsNone(self.health.report())


if __name__ == "__main__":
    unittest.main()
