"""The soak over real processes: a short run, and what its checks catch."""

import argparse
import unittest

from bergamotmill.bench import process_soak
from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import observations
from bergamotmill.bench.process_soak import promises


def request(request_id="r", route="filing", **more):
    fields = {
        "repeatable": False,
        "key": "key-one",
        "router": "127.0.0.1:1",
        "timeout_s": 1.5,
        "began": 100.0,
        "ended": 100.2,
        "status": 200,
        "whole": True,
    }
    return observations.Request(request_id, route, **{**fields, **more})


def arrival(request_id="r", replica="s1", at=100.1, **more):
    fields = {"customer": "one", **more}
    return observations.Arrival(at, request_id, replica, **fields)


class PromiseTest(unittest.TestCase):
    def setUp(self):
        self.seen = observations.Observations()

    def assert_broken(self, promise):
        promises.check(self.seen)
        broken = [text for text in self.seen.violations if promise in text]
        self.assertEqual(len(broken), 1, self.seen.violations)

    def assert_kept(self):
        promises.check(self.seen)
        self.assertEqual(self.seen.violations, {})

    def test_a_whole_answer_that_ran_once_keeps_all(self):
        self.seen.requests = [request()]
        self.seen.arrivals = [arrival()]
        self.assert_kept()

    def test_another_body(self):
        self.seen.requests = [request(wrong="another body")]
        self.assert_broken("whole and the request's own")

    def test_a_second_run(self):
        self.seen.requests = [request()]
        self.seen.arrivals = [arrival(), arrival(replica="s2", at=100.2)]
        self.assert_broken("runs once")

    def test_a_run_that_goes_on_after_its_engine_was_lost(self):
        self.seen.requests = [request(route="review", timeout_s=15.0)]
        self.seen.arrivals = [
            arrival(replica="e1"),
            arrival(replica="e2", at=100.6, continued=True),
        ]
        self.seen.lost["e1"] = 100.4
        self.assert_kept()
        self.seen.lost["e1"] = 100.8
        self.assert_broken("runs once")

    def test_a_refusal_of_what_ran(self):
        self.seen.requests = [request(status=503)]
        self.seen.arrivals = [arrival()]
        self.assert_broken("a refused request has not run")

    def test_a_refusal_of_what_runs_later(self):
        self.seen.requests = [request(status=429)]
        self.seen.arrivals = [arrival(at=107.0)]
        self.assert_broken("a refused request has not run")

    def test_another_customer(self):
        self.seen.requests = [request()]
        self.seen.arrivals = [arrival(customer="two")]
        self.assert_broken("customer that holds its key")

    def test_a_request_that_nobody_sent(self):
        self.seen.arrivals = [arrival()]
        self.assert_broken("customer that holds its key")

    def test_a_scope_shared_with_an_isolated_customer(self):
        self.seen.requests = [request(), request("q", key="key-alone")]
        self.seen.arrivals = [
            arrival(scope="w1", weights=1),
            arrival("q", customer="alone", scope="w1", weights=1),
        ]
        self.assert_broken("cache scopes")

    def test_a_scope_under_two_versions(self):
        self.seen.requests = [request(), request("q")]
        self.seen.arrivals = [
            arrival(scope="w", weights=1),
            arrival("q", scope="w", weights=2),
        ]
        self.assert_broken("cache scopes")

    def test_an_arrival_after_a_replica_left(self):
        self.seen.requests = [request()]
        self.seen.arrivals = [arrival()]
        self.seen.leaving["s1"] = 100.0 - const.DRAIN_S - const.SLACK_S
        self.assert_broken("replicas that leave")
        self.seen.troubles = [observations.Trouble("store", "away", 98.0, 99.0)]
        self.assert_kept()

    def test_a_configuration_that_comes_late(self):
        self.seen.versions = [(1, 90.0), (2, 100.0)]
        self.seen.in_force = [("vm-0 life 1", 102.0, 1)]
        self.assert_kept()
        self.seen.in_force.append(("vm-0 life 1", 103.0, 1))
        self.assert_broken("configuration is in force")

    def test_a_configuration_that_is_taken_back(self):
        self.seen.in_force = [("vm-0 life 1", 100.0, 2)]
        self.seen.in_force.append(("vm-0 life 2", 101.0, 1))
        self.assert_kept()
        self.seen.in_force.append(("vm-0 life 1", 102.0, 1))
        self.assert_broken("configuration is in force")

    def test_two_holders_with_one_number(self):
        self.seen.orders = [
            observations.Order(100.0, "e1", "vm-0", 7, 2),
            observations.Order(101.0, "e2", "vm-1", 7, 2),
        ]
        self.assert_broken("orders come from one holder")

    def test_a_lower_number_after_a_higher_one(self):
        self.seen.orders = [
            observations.Order(100.0, "e1", "vm-0", 7, 2),
            observations.Order(101.0, "e1", "vm-1", 6, 2),
        ]
        self.assert_broken("orders come from one holder")

    def test_repeats_beyond_the_budget(self):
        count = int(const.RETRY_SLACK) + 2
        self.seen.requests = [request(repeatable=True, route="lookup")]
        self.seen.arrivals = [arrival(at=100.0 + n / 100) for n in range(count)]
        promises.check(self.seen)
        self.assertTrue(any("budget" in text for text in self.seen.violations))

    def test_an_answer_long_after_the_routes_time(self):
        self.seen.requests = [request(ended=103.0)]
        self.assert_broken("a final answer comes")

    def test_a_request_cut_by_a_router_that_was_asked_to_end(self):
        self.seen.requests = [request(status=0, whole=False)]
        self.seen.troubles = [
            observations.Trouble("asked to end", "vm-0", 99.0, 108.0)
        ]
        self.assert_broken("cuts nothing")
        self.seen.troubles.append(
            observations.Trouble("replica", "s1", 99.0, 100.0)
        )
        self.assert_kept()


class ProcessTest(unittest.TestCase):
    def test_a_run_with_every_fault_over_real_processes(self):
        parser = argparse.ArgumentParser()
        process_soak.add_arguments(parser)
        arguments = parser.parse_args(
            ["--seed", "3", "--each", "--routers", "3"]
        )
        arguments.json = True
        found = process_soak.run(arguments)
        (run,) = found["runs"]
        self.assertEqual(run["violations"], [])
        self.assertGreater(run["served"], 0)


if __name__ == "__main__":
    unittest.main()
