"""Which of several statements on a limit is in force."""

import random
import unittest

from bergamotmill.routing import stated_limit

UNLIMITED = stated_limit.UNLIMITED


def statement(per_s, sent_at, heard_at):
    return stated_limit.Statement(per_s, sent_at, heard_at)


class LimitRecordTest(unittest.TestCase):
    def setUp(self):
        self.record = stated_limit.LimitRecord()

    def apply(self, *arguments):
        self.record.apply(statement(*arguments))
        return self.record.per_s

    def test_lower_limit_counts_at_once(self):
        self.assertEqual(self.apply(6.0, 1.0, 2.0), 6.0)
        self.assertEqual(self.apply(0.4, 0.0, 2.1), 0.4)

    def test_response_to_an_earlier_request_does_not_end_a_limit(self):
        self.apply(1.5, 1.0, 2.0)
        self.assertEqual(self.apply(UNLIMITED, 1.9, 3.0), 1.5)
        self.assertEqual(self.apply(UNLIMITED, 2.1, 3.0), UNLIMITED)

    def test_response_to_an_earlier_request_does_not_raise_a_limit(self):
        self.apply(1.5, 1.0, 2.0)
        self.assertEqual(self.apply(6.0, 1.9, 3.0), 1.5)
        self.assertEqual(self.apply(6.0, 2.1, 3.0), 6.0)

    def test_limit_rises_while_requests_overlap(self):
        # The upstream names 6 from 5 s on; responses take two seconds.
        for index in range(100):
            sent_at = index * 0.1
            heard_at = sent_at + 2.0
            self.apply(6.0 if heard_at > 5.0 else 1.5, sent_at, heard_at)
            if sent_at > 5.0:
                self.assertEqual(self.record.per_s, 6.0)

    def test_late_report_of_a_limit_that_has_ended_is_ignored(self):
        self.apply(1.5, 1.0, 2.0)
        self.apply(UNLIMITED, 3.0, 3.1)
        self.assertEqual(self.apply(1.5, 1.0, 2.0), UNLIMITED)

    def test_order_of_reports_does_not_matter(self):
        rng = random.Random(2)
        reports = []
        for index in range(40):
            per_s = UNLIMITED if index >= 30 else 6.0 - 0.15 * index
            reports.append(statement(per_s, index + 0.1, index + 0.2))
        rng.shuffle(reports)
        for report in reports:
            self.record.apply(report)
        self.assertEqual(self.record.per_s, UNLIMITED)


class StatedLimitsTest(unittest.TestCase):
    def test_new_incarnation_has_no_limit(self):
        limits = stated_limit.StatedLimits()
        limits.apply("e0", 1, statement(1.5, 1.0, 2.0))
        self.assertEqual(limits.per_s("e0", 1), 1.5)
        self.assertEqual(limits.per_s("e0", 2), UNLIMITED)
        self.assertTrue(limits.apply("e0", 2, statement(UNLIMITED, 3.0, 3.1)))
        self.assertEqual(limits.limited(), {})
        self.assertFalse(limits.apply("e0", 1, statement(UNLIMITED, 3.0, 3.1)))

    def test_earlier_incarnation_changes_nothing(self):
        limits = stated_limit.StatedLimits()
        limits.apply("e0", 2, statement(6.0, 3.0, 3.1))
        self.assertFalse(limits.apply("e0", 1, statement(1.5, 4.0, 4.1)))
        self.assertEqual(limits.per_s("e0", 2), 6.0)

    def test_memory_is_bounded(self):
        limits = stated_limit.StatedLimits()
        for index in range(stated_limit.MAX_LIMITS + 10):
            limits.apply(f"e{index}", 1, statement(1.0, 1.0, 2.0))
        self.assertEqual(len(limits), stated_limit.MAX_LIMITS)

    def test_upstreams_without_a_limit_cost_nothing(self):
        limits = stated_limit.StatedLimits()
        limits.apply("e0", 1, statement(UNLIMITED, 1.0, 2.0))
        self.assertEqual(len(limits), 0)
        limits.apply("e0", 1, statement(1.5, 1.0, 2.0))
        limits.apply("e0", 1, statement(UNLIMITED, 3.0, 4.0))
        limits.drop_unlimited(3.0)
        self.assertEqual(len(limits), 1)
        limits.drop_unlimited(5.0)
        self.assertEqual(len(limits), 0)


if __name__ == "__main__":
    unittest.main()
