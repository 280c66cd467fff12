import unittest

from bergamotmill.helpers import run_state

State = run_state.RunState


class RunTrackerTest(unittest.TestCase):
    def test_refusal_takes_back_only_its_own_attempt(self):
        tracker = run_state.RunTracker()
        tracker.mark_sending()
        tracker.mark_not_run()
        self.assertIs(tracker.state, State.NOT_SENT)
        tracker.mark_sending()
        tracker.mark_sending()
        tracker.mark_not_run()
        self.assertIs(tracker.state, State.MAY_HAVE_RUN)

    def test_what_ran_cannot_become_not_run(self):
        tracker = run_state.RunTracker()
        tracker.mark_sending()
        tracker.mark_answered()
        with self.assertRaises(AssertionError):
            tracker.mark_not_run()


if __name__ == "__main__":
    unittest.main()
