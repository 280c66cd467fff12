"""Which requests a router that is shutting down still takes."""

import unittest

from bergamotmill.routing import shutdown


def prospect(limit_s, longest_s=None, may_repeat=False, others_serve=True):
    return shutdown.Prospect(limit_s, longest_s, may_repeat, others_serve)


class MayCompleteTest(unittest.TestCase):
    def test_time_limit_decides_while_others_serve(self):
        self.assertTrue(shutdown.may_complete(prospect(3.0), 3.2))
        self.assertFalse(shutdown.may_complete(prospect(3.0), 3.0))
        # However short the requests of the route were.
        self.assertFalse(shutdown.may_complete(prospect(9.0, 0.05), 7.0))
        self.assertFalse(
            shutdown.may_complete(prospect(9.0, 0.05, may_repeat=True), 7.0)
        )

    def test_nothing_is_refused_by_a_process_that_does_not_end(self):
        for others_serve in (False, True):
            item = prospect(1e6, others_serve=others_serve)
            self.assertTrue(shutdown.may_complete(item, float("inf")))

    def test_durations_decide_at_the_last_router(self):
        def last(longest_s, exit_s, may_repeat=False):
            item = prospect(30.0, longest_s, may_repeat, others_serve=False)
            return shutdown.may_complete(item, exit_s)

        self.assertTrue(last(4.0, 6.2))
        self.assertFalse(last(4.0, 6.0))
        # Nothing is known of the route.
        self.assertTrue(last(None, 6.0, may_repeat=True))
        self.assertFalse(last(None, 6.0))
        self.assertFalse(last(None, 0.0, may_repeat=True))


class StreamTest(unittest.TestCase):
    # LOST, review/6: a stream was taken by what others of its route took.
    def test_own_bound_decides_at_the_last_router(self):
        def takes(stream_s, exit_s, longest_s=0.1):
            item = shutdown.Prospect(
                30.0, longest_s, True, False, True, stream_s
            )
            return shutdown.may_complete(item, exit_s)

        self.assertTrue(takes(4.0, 4.2))
        self.assertFalse(takes(4.0, 4.0))
        # Only the time limit bounds it.
        self.assertFalse(takes(None, 29.0))
        self.assertTrue(takes(None, 30.2))

    def test_bound_grows_with_the_tokens(self):
        durations = shutdown.StreamDurations()
        self.assertIsNone(durations.bound_s("a", "m", 100))
        durations.record("a", "m", 0.2, 2.0, 101, 0.0)
        self.assertAlmostEqual(durations.bound_s("a", "m", 100), 0.3 + 2.1)
        self.assertAlmostEqual(durations.bound_s("a", "m", 300), 0.3 + 6.3)
        self.assertAlmostEqual(durations.bound_s("a", "m", 2), 0.3)
        # Without a size, with another model, or on a route without streams.
        self.assertIsNone(durations.bound_s("a", "m", 0))
        self.assertIsNone(durations.bound_s("a", "n", 100))
        self.assertIsNone(durations.bound_s("b", "m", 100))

    def test_slowest_recent_stream_counts(self):
        durations = shutdown.StreamDurations()
        durations.record("a", "m", 0.2, 2.0, 101, 0.0)
        durations.record("a", "m", 0.4, 1.0, 101, 1.0)
        self.assertAlmostEqual(durations.bound_s("a", "m", 100), 0.6 + 2.1)

    def test_few_events_do_not_show_a_pace(self):
        durations = shutdown.StreamDurations()
        durations.record("a", "m", 0.2, 0.8, 3, 0.0)
        self.assertAlmostEqual(durations.bound_s("a", "m", 3), 1.5)
        self.assertIsNone(durations.bound_s("a", "m", 100))


class LongestDurationsTest(unittest.TestCase):
    def test_longest_of_two_periods_counts(self):
        durations = shutdown.LongestDurations()
        self.assertIsNone(durations.longest_s("a"))
        durations.record("a", 4.0, 0.0)
        durations.record("a", 1.0, 1.0)
        durations.record("b", 9.0, 1.0)
        self.assertEqual(durations.longest_s("a"), 4.0)
        durations.record("a", 2.0, 61.0)
        self.assertEqual(durations.longest_s("a"), 4.0)
        durations.record("a", 1.0, 122.0)
        self.assertEqual(durations.longest_s("a"), 2.0)

    def test_routes_are_bounded(self):
        durations = shutdown.LongestDurations()
        for number in range(shutdown.MAX_ROUTES + 5):
            durations.record(str(number), 1.0, 0.0)
        self.assertIsNone(durations.longest_s("0"))
        self.assertEqual(durations.longest_s("5"), 1.0)


if __name__ == "__main__":
    unittest.main()
