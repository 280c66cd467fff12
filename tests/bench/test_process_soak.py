"""Tests of the soak over real processes and of its promise checks."""

import argparse
import pathlib
import signal
import subprocess
import sys
import time
import unittest

from bergamotmill.bench import process_soak
from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import observations
from bergamotmill.bench.process_soak import promises

# Where the logs of a run with violations are kept.
KEPT_LOGS = "build/soak"
SOAK_START_TIMEOUT_S = 30.0
SOAK_END_TIMEOUT_S = 30.0


def request(request_id="r", route="filing", **overrides):
    fields = {
        "repeatable": False,
        "key": "key-one",
        "router": "127.0.0.1:1",
        "timeout_s": 1.5,
        "began": 100.0,
        "connected": True,
        "ended": 100.2,
        "status": 200,
        "complete": True,
    }
    return observations.Request(request_id, route, **{**fields, **overrides})


def arrival(request_id="r", replica="s1", at=100.1, **overrides):
    fields = {"customer": "one", **overrides}
    return observations.Arrival(at, request_id, replica, **fields)


class PromiseTest(unittest.TestCase):
    def setUp(self):
        self.observed = observations.Observations()

    def assert_violated(self, promise):
        promises.check(self.observed)
        broken = [text for text in self.observed.violations if promise in text]
        self.assertEqual(len(broken), 1, self.observed.violations)

    def assert_no_violations(self):
        promises.check(self.observed)
        self.assertEqual(self.observed.violations, {})

    def test_complete_answer_of_single_run_violates_nothing(self):
        self.observed.requests = [request()]
        self.observed.arrivals = [arrival()]
        self.assert_no_violations()

    def test_answer_with_another_body(self):
        self.observed.requests = [request(content_error="another body")]
        self.assert_violated("whole and the request's own")

    def test_second_run_of_non_repeatable_request(self):
        self.observed.requests = [request()]
        self.observed.arrivals = [arrival(), arrival(replica="s2", at=100.2)]
        self.assert_violated("runs once")

    def test_continued_run_only_after_its_engine_was_lost(self):
        self.observed.requests = [request(route="review", timeout_s=15.0)]
        self.observed.arrivals = [
            arrival(replica="e1"),
            arrival(replica="e2", at=100.6, continued=True),
        ]
        self.observed.lost_at["e1"] = 100.4
        self.assert_no_violations()
        self.observed.lost_at["e1"] = 100.8
        self.assert_violated("runs once")

    def test_refused_request_that_ran(self):
        self.observed.requests = [request(status=503)]
        self.observed.arrivals = [arrival()]
        self.assert_violated("a refused request has not run")

    def test_refused_request_that_runs_later(self):
        self.observed.requests = [request(status=429)]
        self.observed.arrivals = [arrival(at=107.0)]
        self.assert_violated("a refused request has not run")

    def test_run_for_another_customer(self):
        self.observed.requests = [request()]
        self.observed.arrivals = [arrival(customer="two")]
        self.assert_violated("customer that holds its key")

    def test_run_that_no_caller_requested(self):
        self.observed.arrivals = [arrival()]
        self.assert_violated("customer that holds its key")

    def test_cache_scope_shared_with_isolated_customer(self):
        self.observed.requests = [request(), request("q", key="key-alone")]
        self.observed.arrivals = [
            arrival(scope="w1", weights_version=1),
            arrival("q", customer="alone", scope="w1", weights_version=1),
        ]
        self.assert_violated("cache scopes")

    def test_cache_scope_used_with_two_weights_versions(self):
        self.observed.requests = [request(), request("q")]
        self.observed.arrivals = [
            arrival(scope="w", weights_version=1),
            arrival("q", scope="w", weights_version=2),
        ]
        self.assert_violated("cache scopes")

    def test_arrival_after_replica_drained(self):
        self.observed.requests = [request()]
        self.observed.arrivals = [arrival()]
        self.observed.leaving_since["s1"] = (
            100.0 - const.REPLICA_DRAIN_S - const.TIMING_TOLERANCE_S
        )
        self.assert_violated("replicas that leave")
        self.observed.fault_spans = [
            observations.FaultSpan("store", "away", 98.0, 99.0)
        ]
        self.assert_no_violations()

    def test_configuration_in_force_too_late(self):
        self.observed.acknowledged_versions = [(1, 90.0), (2, 100.0)]
        self.observed.probed_versions = [("vm-0 start 1", 102.0, 1)]
        self.assert_no_violations()
        self.observed.probed_versions.append(("vm-0 start 1", 103.0, 1))
        self.assert_violated("configuration is in force")

    def test_configuration_reverted_by_running_process(self):
        self.observed.probed_versions = [("vm-0 start 1", 100.0, 2)]
        self.observed.probed_versions.append(("vm-0 start 2", 101.0, 1))
        self.assert_no_violations()
        self.observed.probed_versions.append(("vm-0 start 1", 102.0, 1))
        self.assert_violated("configuration is in force")

    def test_two_lease_holders_with_one_fencing_token(self):
        self.observed.orders = [
            observations.Order(100.0, "e1", "vm-0", 7, 2),
            observations.Order(101.0, "e2", "vm-1", 7, 2),
        ]
        self.assert_violated("orders come from one holder")

    def test_lower_fencing_token_after_higher_one(self):
        self.observed.orders = [
            observations.Order(100.0, "e1", "vm-0", 7, 2),
            observations.Order(101.0, "e1", "vm-1", 6, 2),
        ]
        self.assert_violated("orders come from one holder")

    def test_retries_beyond_budget(self):
        count = int(const.RETRY_SLACK) + 2
        self.observed.requests = [request(repeatable=True, route="lookup")]
        self.observed.arrivals = [
            arrival(at=100.0 + n / 100) for n in range(count)
        ]
        promises.check(self.observed)
        self.assertTrue(
            any("budget" in text for text in self.observed.violations)
        )

    def test_requests_with_a_crashing_part_reach_engines_too_often(self):
        self.observed.requests = [
            request(f"r{number}", "check", repeatable=True)
            for number in range(20)
        ]
        self.observed.crashes = {"bad": [100.0, 100.2, 100.4, 100.6, 100.8]}
        self.observed.arrivals = [
            arrival(f"r{number}", at=101.0, parts=("sys", "bad", "own"))
            for number in range(20)
        ]
        self.assert_no_violations()
        for item in self.observed.arrivals[: const.MAX_REQUESTS_AFTER_CRASHES]:
            item.at = 110.0
        self.assert_no_violations()
        self.observed.arrivals[-1].at = 110.0
        self.assert_violated("few requests with a part")
        self.observed.fault_spans = [
            observations.FaultSpan("pause", "vm-0", 99.0, 120.0)
        ]
        self.assert_no_violations()

    def test_request_that_crashes_replicas_reaches_them_too_often(self):
        self.observed.requests = [
            request(f"r{number}", "filing") for number in range(20)
        ]
        self.observed.request_crashes = {b"bad": [100.0, 100.2, 100.4]}
        self.observed.arrivals = [
            arrival(f"r{number}", at=101.0, body=b"bad") for number in range(20)
        ]
        self.assert_no_violations()
        for item in self.observed.arrivals[: const.MAX_REQUESTS_AFTER_CRASHES]:
            item.at = 110.0
        self.observed.arrivals[-1].body = b"sound"
        self.observed.arrivals[-1].at = 110.0
        self.assert_no_violations()
        self.observed.arrivals[-1].body = b"bad"
        self.assert_violated("a request that crashes replicas")

    def test_replica_gets_more_requests_than_its_limit_allows(self):
        self.observed.limit_spans = [
            observations.LimitSpan("e1", 1.5, 100.0, 108.0)
        ]

        def arrive(count):
            self.observed.arrivals = [
                arrival(f"r{index}", "e1", 100.1 + 7.5 * index / count)
                for index in range(count)
            ]
            self.observed.requests = [
                request(item.request_id) for item in self.observed.arrivals
            ]

        # 14 in four seconds are allowed.
        arrive(24)
        self.assert_no_violations()
        arrive(40)
        self.assert_violated("no more than it allows")

    def test_directory_names_a_router_that_is_off(self):
        self.observed.note_running("vm-1", True, 99.0)
        self.observed.note_running("vm-1", False, 100.0)
        for at in (104.0, 106.0):
            self.observed.directory_answers.append(
                observations.DirectoryAnswer(
                    at, "vm-0", frozenset({"vm-0", "vm-1"})
                )
            )
        self.assert_violated("a router that is off is not named")
        self.observed.note_running("vm-1", True, 105.5)
        self.assert_no_violations()

    def test_answer_after_route_timeout(self):
        self.observed.requests = [request(ended=103.0)]
        self.assert_violated("a final answer comes")

    def test_connection_refused_after_shutdown_is_no_cut(self):
        self.observed.requests = [
            request(status=0, complete=False, connected=False)
        ]
        self.observed.fault_spans = [
            observations.FaultSpan("asked to end", "vm-0", 99.0, 108.0)
        ]
        self.assert_no_violations()
        self.observed.requests.append(request("q", status=0, complete=False))
        self.assert_violated("cuts nothing")

    def test_request_cut_by_router_shutting_down(self):
        self.observed.requests = [request(status=0, complete=False)]
        self.observed.fault_spans = [
            observations.FaultSpan("asked to end", "vm-0", 99.0, 108.0)
        ]
        self.assert_violated("cuts nothing")
        self.observed.fault_spans.append(
            observations.FaultSpan("replica", "s1", 99.0, 100.0)
        )
        self.assert_no_violations()


def children_of(pid):
    """Returns the processes whose parent is `pid`."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid and fields[0] != "Z":
            found.append(int(path.parent.name))
    return found


class ProcessTest(unittest.TestCase):
    def test_soak_that_is_ended_by_a_signal_leaves_no_router(self):
        for number in (signal.SIGINT, signal.SIGTERM):
            with self.subTest(number.name):
                self.check_signal(number)

    def check_signal(self, number):
        command = [sys.executable, "-m", "bergamotmill.bench"]
        command += ["soak-processes", "--routers", "2", "--seconds", "60"]
        # As a shell starts a background job.
        previous = signal.signal(signal.SIGINT, signal.SIG_IGN)
        try:
            soak = subprocess.Popen(
                command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
            )
        finally:
            signal.signal(signal.SIGINT, previous)
        try:
            deadline = time.monotonic() + SOAK_START_TIMEOUT_S
            while len(children_of(soak.pid)) < 2:
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.05)
            routers = children_of(soak.pid)
            soak.send_signal(number)
            self.assertNotEqual(soak.wait(SOAK_END_TIMEOUT_S), 0)
        finally:
            soak.kill()
            soak.wait()
        for pid in routers:
            self.assertFalse(pathlib.Path(f"/proc/{pid}").exists())

    def test_every_fault_over_real_processes(self):
        parser = argparse.ArgumentParser()
        process_soak.add_arguments(parser)
        arguments = parser.parse_args(
            ["--seed", "3", "--each", "--routers", "3", "--keep", KEPT_LOGS]
        )
        arguments.json = True
        result = process_soak.run(arguments)
        (run,) = result["runs"]
        self.assertEqual(run["violations"], [])
        self.assertGreater(run["served"], 0)


if __name__ == "__main__":
    unittest.main()
