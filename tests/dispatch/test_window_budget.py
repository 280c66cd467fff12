import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.routing import window_budget


class WindowBudgetTest(unittest.TestCase):
    def test_budget_is_a_share_of_requests_plus_the_slack(self):
        budget = window_budget.WindowBudget(0.2, 3.0, 10.0)
        for _ in range(10):
            budget.record_request(0.0)
        granted = sum(budget.try_take(1.0) for _ in range(20))
        self.assertEqual(granted, 5)

    def test_window_slides(self):
        budget = window_budget.WindowBudget(0.0, 2.0, 10.0)
        self.assertTrue(budget.try_take(0.0))
        self.assertTrue(budget.try_take(5.0))
        self.assertFalse(budget.try_take(9.9))
        self.assertTrue(budget.try_take(10.0))
        self.assertFalse(budget.try_take(14.9))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
            max_size=200,
        )
    )
    def test_no_window_exceeds_the_budget(self, steps):
        budget = window_budget.WindowBudget(0.2, 4.0, 3.0)
        now = 0.0
        requests, retries = [], []
        for pause_s, is_request in steps:
            now += pause_s
            if is_request:
                budget.record_request(now)
                requests.append(now)
            elif budget.try_take(now):
                retries.append(now)
                window_start = now - 3.0
                allowed = 0.2 * sum(at > window_start for at in requests) + 4.0
                self.assertLessEqual(
                    sum(at > window_start for at in retries), allowed
                )


if __name__ == "__main__":
    unittest.main()
