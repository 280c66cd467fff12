import unittest

from bergamotmill.routing import load
from bergamotmill.upstream.engine import config


def report(as_of, queued=0.0, accepted=0.0, incarnation=1, priority=1):
    return config.LoadReport(
        incarnation, as_of, {priority: queued}, 0, 32, accepted, 1000.0, {}
    )


class ReplicaLoadTest(unittest.TestCase):
    def test_adds_tokens_dispatched_since_the_report(self):
        state = load.ReplicaLoad()
        state.on_report(report(0.0, queued=1000.0))
        state.add_dispatched(500.0, 1, 0.1)
        self.assertAlmostEqual(state.predicted_wait_s(1, 0.1), 1.4)

    def test_idle_time_does_not_reduce_later_wait(self):
        state = load.ReplicaLoad()
        state.on_report(report(0.0))
        state.add_dispatched(1000.0, 1, 5.0)
        self.assertAlmostEqual(state.predicted_wait_s(1, 5.0), 1.0)

    def test_lower_priority_is_not_counted(self):
        state = load.ReplicaLoad()
        state.on_report(report(0.0, queued=1000.0, priority=1))
        self.assertEqual(state.predicted_wait_s(5, 0.0), 0.0)

    def test_report_replaces_only_dispatches_it_includes(self):
        state = load.ReplicaLoad()
        state.on_report(report(0.0))
        state.add_dispatched(1000.0, 1, 1.0)
        state.add_dispatched(1000.0, 1, 2.0)
        state.on_report(report(1.5, queued=500.0, accepted=1000.0))
        self.assertAlmostEqual(state.predicted_wait_s(1, 2.0), 1.0)

    def test_report_lag_does_not_count_own_dispatches_as_untracked(self):
        state = load.ReplicaLoad()
        accepted = 0.0
        state.on_report(report(0.0))
        for step in range(1, 60):
            state.add_dispatched(100.0, 1, step * 0.1)
            if step > 15:
                accepted += 100.0
                state.on_report(report((step - 15) * 0.1, 0.0, accepted))
        self.assertLess(state.untracked_tokens_per_s, 50.0)

    def test_older_report_is_dropped(self):
        state = load.ReplicaLoad()
        state.on_report(report(2.0, queued=1000.0))
        state.on_report(report(1.0, queued=0.0))
        self.assertAlmostEqual(state.predicted_wait_s(1, 2.0), 1.0)


if __name__ == "__main__":
    unittest.main()
