"""How the allowance of a limited upstream is handed out."""

import math
import random
import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.routing import allowance_pool

GRANTED = allowance_pool.Verdict.GRANTED
QUEUED = allowance_pool.Verdict.QUEUED
REFUSED = allowance_pool.Verdict.REFUSED
LEASE_S = 2.5


class PoolCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.pool = allowance_pool.AllowancePool(self.now)

    def share(self, limit, delegators, routers=7):
        for index in range(delegators):
            self.pool.delegate(f"r{index}", self.now + LEASE_S)
        self.pool.refresh(limit, routers, self.now)

    def claim(self, claim_id, max_wait_s=1.0, **fields):
        return allowance_pool.Claim(
            "r0", claim_id, self.now + max_wait_s, **fields
        )

    def submit(self, claim_id, max_wait_s=1.0, **fields):
        claim = self.claim(claim_id, max_wait_s, **fields)
        return self.pool.submit(claim, self.now)

    def advance(self, seconds, limit=2.0, delegators=7):
        self.now += seconds
        self.share(limit, delegators)
        return {
            decision.key[1]: decision.verdict
            for decision in self.pool.due(self.now)
        }


class AllowancePoolTest(PoolCase):
    def test_new_pool_has_nothing_to_hand_out(self):
        # Its predecessor may just have granted a request.
        self.share(2.0, 7)
        self.assertIs(self.submit(1, 0.0).verdict, REFUSED)
        self.advance(0.6)
        self.assertIs(self.submit(2, 0.0).verdict, GRANTED)

    def test_nine_tenths_of_the_limit_are_used(self):
        granted = 0
        for step in range(4000):
            self.advance(0.01)
            granted += self.submit(step, 0.0).verdict is GRANTED
        self.assertAlmostEqual(granted, 40 * 2.0 * 0.9, delta=2)

    def test_only_delegated_shares_are_used(self):
        self.share(2.0, 3)
        self.assertAlmostEqual(self.pool.rate_per_s, 2.0 * 0.9 * 3 / 7)
        self.now += LEASE_S
        self.pool.refresh(2.0, 7, self.now)
        self.assertEqual(self.pool.rate_per_s, 0.0)
        self.assertEqual(self.submit(1).wait_s, math.inf)

    def test_hopeless_claim_is_refused_at_once_with_the_time(self):
        self.share(0.5, 7)
        decision = self.submit(1, 1.0)
        self.assertIs(decision.verdict, REFUSED)
        self.assertAlmostEqual(decision.wait_s, 1 / (0.5 * 0.9))

    def test_wait_counts_the_claims_before_it(self):
        self.share(2.0, 7)
        self.assertIs(self.submit(1, 10.0).verdict, QUEUED)
        self.assertAlmostEqual(self.submit(2, 10.0).wait_s, 2 / 1.8)

    def test_urgent_claims_go_first_but_no_priority_starves(self):
        self.share(2.0, 7)
        for index in range(10):
            self.submit(index, 30.0, priority=0)
        for index in range(10, 20):
            self.submit(index, 30.0, priority=1)
        order = []
        while len(order) < 8:
            order += self.advance(0.1)
        self.assertEqual(order[0], 0)
        urgent = sum(index < 10 for index in order)
        self.assertEqual(urgent, 4)

    def test_claims_go_by_worth_and_deadline(self):
        self.share(2.0, 7)
        wanted = {"max_wait_s": 30.0}
        self.submit(1, worth=0.4, deadline=1.0, customer="a", **wanted)
        self.submit(2, worth=1.0, deadline=9.0, customer="b", **wanted)
        self.submit(3, worth=5.0, deadline=9.0, customer="c", **wanted)
        self.submit(4, worth=5.0, deadline=8.0, customer="d", **wanted)
        order = []
        while len(order) < 4:
            order += self.advance(0.1)
        self.assertEqual(order, [4, 3, 2, 1])

    def test_no_customer_takes_all(self):
        self.share(2.0, 7)
        for index in range(20):
            self.submit(index, 30.0, customer="many", worth=8.0)
        self.submit(50, 30.0, customer="one", worth=1.0)
        self.submit(51, 30.0, customer="one", worth=1.0)
        order = []
        while len(order) < 5:
            order += self.advance(0.1)
        self.assertIn(50, order[:2])
        self.assertIn(51, order[:4])

    def test_claim_that_waits_is_not_made_late(self):
        self.share(2.0, 7)
        self.assertIs(self.submit(1, 0.6, priority=1).verdict, QUEUED)
        self.assertIs(self.submit(2, 0.6, priority=0).verdict, REFUSED)
        self.assertIs(self.submit(3, 30.0, priority=0).verdict, QUEUED)
        self.assertEqual(self.advance(0.01), {})
        self.assertEqual(self.advance(0.6), {1: GRANTED})

    def test_claim_may_be_made_late_by_a_customer_that_got_far_less(self):
        self.share(2.0, 7)
        order = []
        for index in range(8):
            self.submit(index, 30.0, customer="many")
            order += self.advance(0.6)
        self.assertEqual(len(order), 8)
        self.assertIs(self.submit(20, 0.6, customer="many").verdict, QUEUED)
        self.assertIs(self.submit(21, 0.6, customer="one").verdict, QUEUED)
        self.assertEqual(self.advance(0.01), {20: REFUSED})

    def test_repeated_claim_is_granted_once(self):
        self.share(2.0, 7)
        self.submit(1, 1.0)
        self.assertEqual(self.advance(0.6), {1: GRANTED})
        self.assertIs(self.submit(1).verdict, GRANTED)
        self.assertIs(self.submit(2, 0.0).verdict, REFUSED)

    def test_allowance_that_was_not_used_returns(self):
        self.share(2.0, 7)
        self.advance(0.6)
        self.assertIs(self.submit(1, 0.0).verdict, GRANTED)
        self.pool.withdraw(("r0", 1))
        self.assertIs(self.submit(2, 0.0).verdict, GRANTED)
        self.pool.withdraw(("r0", 7))
        self.assertIs(self.submit(3, 0.0).verdict, REFUSED)

    def test_queue_is_bounded(self):
        self.share(1000.0, 7)
        verdicts = [
            self.submit(index, 9.0).verdict
            for index in range(2 * allowance_pool.MAX_WAITING)
        ]
        self.assertEqual(self.pool.waiting_count, allowance_pool.MAX_WAITING)
        self.assertIs(verdicts[-1], REFUSED)

    def test_limit_of_zero_allows_nothing(self):
        self.share(0.0, 7)
        for _ in range(50):
            self.advance(1.0, limit=0.0)
            self.assertIs(self.submit(1, 0.5).verdict, REFUSED)

    def test_falling_limit_refuses_what_no_longer_fits(self):
        self.share(2.0, 7)
        self.submit(1, 0.8)
        self.assertEqual(self.advance(0.01, limit=0.2), {1: REFUSED})


class SeveralPoolsTest(unittest.TestCase):
    """Routers that see different owners never exceed the limit together."""

    @hypothesis.settings(max_examples=40, deadline=None)
    @hypothesis.given(
        seed=strategies.integers(0, 10_000),
        limit=strategies.floats(0.2, 20.0),
        routers=strategies.integers(2, 12),
    )
    def test_delegated_shares_add_up_to_the_limit(self, seed, limit, routers):
        rng = random.Random(seed)
        now = 0.0
        pools = [allowance_pool.AllowancePool(now) for _ in range(3)]
        held_until = {}
        granted = []
        for step in range(1500):
            now += rng.expovariate(50.0)
            router = f"r{rng.randrange(routers)}"
            pool_index, until = held_until.get(router, (0, 0.0))
            if until <= now:
                pool_index = rng.randrange(3)
            pools[pool_index].delegate(router, now + LEASE_S)
            held_until[router] = (pool_index, now + LEASE_S)
            for pool in pools:
                pool.refresh(limit, routers, now)
            self.assertLessEqual(sum(pool.rate_per_s for pool in pools), limit)
            claim = allowance_pool.Claim(router, step, now)
            pool = pools[rng.randrange(3)]
            if pool.submit(claim, now).verdict is GRANTED:
                granted.append(now)
        window_s = 4.0
        for at in granted:
            count = sum(at - window_s < other <= at for other in granted)
            # Each of the three pools may have saved up a burst.
            burst = 3 * max(1.0, limit * allowance_pool.BURST_S)
            self.assertLessEqual(count, window_s * limit * 0.9 + burst + 1e-6)


if __name__ == "__main__":
    unittest.main()
