import unittest

from bergamotmill.helpers import run_state

State = run_state.RunState


class RunTrackerTest(unittest.TestCase):
    def test_mark_not_run_reverts_only_the_latest_attempt(self):
        tracker = run_state.RunTracker()
        tracker.mark_sending()
        tracker.mark_not_run()
        self.assertIs(tracker.state, State.NOT_SENT)
        tracker.mark_sending()
        tracker.mark_sending()
        tracker.mark_not_run()
        self.assertIs(tracker.state, State.MAY_HAVE_RUN)

    def test_answered_request_cannot_be_marked_not_run(self):
        tracker = run_state.RunTracker()
        tracker.mark_sending()
        tracker.mark_answered()
        with self.assertRaises(AssertionError):
            tracker.mark_not_run()


if __name__ == "__main__":
    unittest.main()
