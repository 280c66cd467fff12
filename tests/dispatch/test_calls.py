"""Requests of all kinds, sent through routers on the stand-in platform."""

import asyncio
import unittest

from bergamotmill.dispatch import relay
from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from tests import platform_case

ROUTE_PREFIX = const.PREFIX_REPLICAS


class NormalOperationTest(platform_case.PlatformCase):
    def test_each_request_kind_gets_the_replica_response(self):
        async def scenario():
            for route in ("review", "check"):
                answer = await self.fleet.call(route)
                self.assert_complete_stream(answer)
                self.assertIn(
                    const.HEADER_RESPONSE_SEAL.encode(), answer.headers
                )
            answer = await self.fleet.call("filing", body=b"paper")
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.body.endswith(b"paper"))
            answer = await self.fleet.call("lookup", method="GET")
            self.assertEqual(answer.status, 200)

        self.run_fleet(scenario)

    def test_unknown_keys_and_routes_are_rejected(self):
        async def scenario():
            answer = await self.fleet.call("filing", key="nobody")
            self.assertEqual(answer.status, 401)
            answer = await self.fleet.call("nothing")
            self.assertEqual(answer.status, 404)
            self.assertEqual(self.fleet.runs(), [])

        self.run_fleet(scenario)

    def test_internal_headers_from_callers_are_dropped(self):
        async def scenario():
            forged = {
                const.HEADER_CUSTOMER: "two",
                const.HEADER_CACHE_SCOPE: "stolen",
                const.HEADER_EXPECTED_WEIGHTS: "7",
                const.HEADER_EXPECTED_UPSTREAM: "e9",
            }
            answer = await self.fleet.call("review", **forged)
            self.assert_complete_stream(answer)
            (run,) = self.fleet.runs()
            self.assertEqual(run.customer, "one")
            self.assertNotIn("stolen", run.scope)

        self.run_fleet(scenario)

    def test_isolated_customer_has_its_own_cache_scope(self):
        async def scenario():
            await self.fleet.call("review", key="key-one")
            await self.fleet.call("review", key="key-two")
            await self.fleet.call("review", key="key-alone")
            scopes = [run.scope for run in self.fleet.runs()]
            self.assertEqual(len(set(scopes)), 2)

        self.run_fleet(scenario)

    def test_duplicate_header_is_rejected(self):
        async def scenario():
            answer = await self.fleet.call(
                "filing", request_id="a", **{"Key": "key-two"}
            )
            self.assertEqual(answer.status, 400)
            self.assertEqual(self.fleet.runs(), [])

        self.run_fleet(scenario)

    def test_shared_prefix_goes_to_one_engine_from_all_routers(self):
        async def scenario():
            for router in (0, 1, 2, 0, 1, 2):
                answer = await self.fleet.call(
                    "review", router=router, parts="s:512,f:20000,o:100"
                )
                self.assert_complete_stream(answer)
                await asyncio.sleep(0.2)
            engines_used = {
                name for name, item in self.fleet.replicas.items() if item.runs
            }
            self.assertEqual(len(engines_used), 1)

        self.run_fleet(scenario)


class FailureTest(platform_case.PlatformCase):
    def test_filing_with_lost_response_runs_once_and_gets_502(self):
        async def scenario():
            for item in self.fleet.replicas.values():
                item.faults.lose_answers = True
            answer = await self.fleet.call("filing", request_id="f1")
            self.assertEqual(answer.status, 502)
            self.assertEqual(len(self.fleet.runs("f1")), 1)

        self.run_fleet(scenario)

    def test_lookup_is_retried_at_another_replica(self):
        async def scenario():
            self.fleet.replicas["s0"].faults.lose_answers = True
            for _ in range(6):
                answer = await self.fleet.call("lookup", method="GET")
                self.assertEqual(answer.status, 200)

        self.run_fleet(scenario)

    # REFUSED, issue 38: a refusal without an id was believed.
    def test_refusal_of_an_earlier_request_is_not_believed(self):
        async def scenario():
            for route in ("lookup", "check"):
                await asyncio.gather(*(self.fleet.call(route) for _ in "12345"))
            for item in self.fleet.replicas.values():
                item.faults.repeats_refusals = True
            before = len(self.fleet.runs())
            for route in ("lookup", "check", "filing", "review"):
                for _ in range(8):
                    request_id = self.fleet.new_id()
                    answer = await self.fleet.call(route, request_id=request_id)
                    runs = len(self.fleet.runs(request_id))
                    self.assertLessEqual(runs, 2, route)
                    if answer.status in const.NOT_RUN_STATUSES:
                        self.assertEqual(runs, 0, (route, answer.status))
                    if route in ("filing", "review"):
                        self.assertEqual((answer.status, runs), (200, 1))
            self.assertGreater(len(self.fleet.runs()), before)

        self.run_fleet(scenario)

    def test_duplicate_response_never_reaches_another_caller(self):
        async def scenario():
            for after_s in (0.0, 0.001, 0.02, 0.055):
                for has_id in (True, False):
                    await self.check_duplicate_responses(after_s, has_id)

        self.run_fleet(scenario)

    async def check_duplicate_responses(self, after_s, has_id):
        for item in self.fleet.replicas.values():
            item.faults.extra_after_s = after_s
            item.faults.extra_has_id = has_id
        for _ in range(6):
            request_id = self.fleet.new_id()
            answer = await self.fleet.call(
                "lookup", method="GET", request_id=request_id
            )
            if answer.status == 200:
                expected_body = b"done:" + request_id.encode()
                self.assertEqual(answer.body, expected_body)

    def test_replica_error_is_forwarded_unchanged(self):
        async def scenario():
            for item in self.fleet.replicas.values():
                item.faults.errors = True
            answer = await self.fleet.call("filing")
            self.assertEqual(answer.status, 500)
            self.assertIn(const.HEADER_RESPONSE_SEAL.encode(), answer.headers)

        self.run_fleet(scenario)

    def test_max_attempts_limits_the_runs_of_a_request(self):
        async def scenario():
            configuration = fleet.configuration(2)
            for route in configuration["routes"]:
                route["maxAttempts"] = 1
            await self.fleet.store.write(const.KEY_CONFIGURATION, configuration)
            await asyncio.sleep(0.5)
            for item in self.fleet.replicas.values():
                item.faults.mute = True
            for route in ("lookup", "check"):
                await self.fleet.call(route, request_id=route)
                self.assertEqual(len(self.fleet.runs(route)), 1)

        self.run_fleet(scenario)

    def test_resumable_stream_resumes_without_a_gap(self):
        async def scenario():
            for item in self.fleet.replicas.values():
                item.faults.cut_after = 7
            clear_task = asyncio.create_task(self._clear_fault_after_cut())
            answer = await self.fleet.call("check", output=40)
            await clear_task
            self.assert_complete_stream(answer, 40)
            self.assertEqual(len(self.fleet.runs()), 2)

        self.run_fleet(scenario)

    async def _clear_fault_after_cut(self):
        while not any(run.outcome == "cut" for run in self.fleet.runs()):
            await asyncio.sleep(0.001)
        for item in self.fleet.replicas.values():
            item.faults.cut_after = 0

    def test_truncated_stream_never_looks_complete(self):
        async def scenario():
            for item in self.fleet.replicas.values():
                item.faults.cut_after = 5
            answer = await self.fleet.call("review")
            self.assertFalse(answer.whole)
            self.assertEqual(len(self.fleet.runs()), 1)

        self.run_fleet(scenario)

    def test_stream_of_crashed_engine_continues_at_standby(self):
        async def scenario():
            task = asyncio.create_task(
                self.fleet.call("review", output=200, request_id="r")
            )
            await asyncio.sleep(0.5)
            (run,) = self.fleet.runs("r")
            await self.fleet.crash_replica(self._replica_name_of(run))
            answer = await task
            self.assert_complete_stream(answer, 200)
            (continued_run,) = self.fleet.runs("r")
            self.assertTrue(continued_run.continued)
            self.assertGreater(continued_run.resumed_after, 0)

        self.run_fleet(scenario, engines=4, data_centres=1, keep_copies=True)

    def test_stream_of_unreachable_engine_continues_at_standby(self):
        async def scenario():
            task = asyncio.create_task(
                self.fleet.call("review", output=400, request_id="r")
            )
            await asyncio.sleep(0.5)
            (run,) = self.fleet.runs("r")
            replica = self.fleet.replicas[self._replica_name_of(run)]
            host = replica.address.partition(":")[0]
            for router in range(3):
                self.network.partition(fleet.router_host(router), host)
            answer = await task
            self.assert_complete_stream(answer, 400)

        self.run_fleet(scenario, engines=4, data_centres=1, keep_copies=True)

    def test_stream_of_live_engine_never_continues_at_standby(self):
        async def scenario():
            for item in self.fleet.replicas.values():
                item.faults.cut_after = 7
            answer = await self.fleet.call("review", output=60)
            self.assertFalse(answer.whole)
            self.assertEqual(len(self.fleet.runs()), 1)

        self.run_fleet(scenario, engines=4, data_centres=1, keep_copies=True)

    def _replica_name_of(self, run):
        for name, item in self.fleet.replicas.items():
            if run in item.runs:
                return name
        raise AssertionError("no replica has this run")

    def test_caller_disconnect_cancels_the_run(self):
        async def scenario():
            task = asyncio.create_task(
                self.fleet.call("review", output=500, request_id="r")
            )
            await asyncio.sleep(0.4)
            for end in list(self.network.endpoints):
                if end.host == fleet.CALLER_HOST:
                    end.reset("left")
                    end.peer.reset("left")
            await task
            await asyncio.sleep(0.3)
            (run,) = self.fleet.runs("r")
            self.assertEqual(run.outcome, "left")

        self.run_fleet(scenario)

    def test_requests_leave_a_crashed_engine_within_a_second(self):
        async def scenario():
            await self.fleet.crash_replica("e0")
            for _ in range(4):
                answers = await self.call_concurrently(6, "check")
                for answer in answers:
                    self.assert_complete_stream(answer)
                    self.assertLess(answer.seconds, 1.0)

        self.run_fleet(scenario)

    def test_other_replica_at_same_address_runs_nothing(self):
        async def scenario():
            replaced = self.fleet.replicas["s0"]
            await replaced.close()
            self.fleet.replicas.pop("s0")
            await self.fleet.start_replica(
                "other", replaced.address.partition(":")[0], False
            )
            await self.fleet.store.remove(ROUTE_PREFIX + "other")
            for index in range(6):
                answer = await self.fleet.call("filing", request_id=f"f{index}")
                self.assertEqual(answer.status, 200)
            self.assertEqual(self.fleet.replicas["other"].runs, [])
            self.assert_at_most_once()

        self.run_fleet(scenario)


class EventIdTest(unittest.TestCase):
    def test_event_without_an_id_does_not_hide_the_one_before(self):
        events = [b"id: 7\ndata: a\n\n", b": comment\n\n"]
        self.assertEqual(relay.last_event_id(events, "3"), "7")
        self.assertEqual(relay.last_event_id(events[1:], "3"), "3")


class RegistrationTest(platform_case.PlatformCase):
    """Replicas that leave, expire, or have invalid entries in the store."""

    def run_count(self, name):
        return len(self.fleet.replicas[name].runs)

    def test_leaving_replica_gets_no_new_requests(self):
        async def scenario():
            await self.fleet.replicas["s0"].leave()
            await asyncio.sleep(0.1)
            await self.call_concurrently(9, "filing")
            self.assertEqual(self.run_count("s0"), 0)

        self.run_fleet(scenario)

    def test_deregistered_replica_gets_no_new_requests(self):
        async def scenario():
            await self.fleet.replicas["s0"].deregister()
            await asyncio.sleep(0.1)
            await self.call_concurrently(9, "filing")
            self.assertEqual(self.run_count("s0"), 0)

        self.run_fleet(scenario)

    def test_outdated_report_does_not_restore_a_leaving_replica(self):
        async def scenario():
            leaving = self.fleet.replicas["s0"]
            await leaving.leave()
            leaving.state = "ready"
            leaving._sequence = 0
            await leaving.register()
            await asyncio.sleep(0.1)
            await self.call_concurrently(9, "filing")
            self.assertEqual(self.run_count("s0"), 0)

        self.run_fleet(scenario)

    def test_unreadable_entries_register_no_replica(self):
        async def scenario():
            invalid_entries = [
                b"\xff\xfe",
                b"{}",
                b"[1]",
                {"service": "registry", "address": "10.0.2.9:80"},
                {**_valid_entry(), "state": "happy"},
                {**_valid_entry(), "born": "now"},
                {**_valid_entry(), "address": 7},
            ]
            for index, value in enumerate(invalid_entries):
                key = f"{ROUTE_PREFIX}bad{index}"
                await self.fleet.store.write(key, value)
            await asyncio.sleep(0.1)
            answers = await self.call_concurrently(9, "filing")
            self.assertEqual({a.status for a in answers}, {200})
            for router in self.fleet.routers.values():
                names = set(router.fleet.upstreams.by_name)
                self.assertEqual(names, {"e0", "e1", "e2", "s0", "s1"})

        self.run_fleet(scenario)

    def test_entries_expired_in_a_store_outage_stay_for_a_grace_period(self):
        async def scenario():
            store = self.fleet.store
            store.mode = type(store.mode).RESET
            await asyncio.sleep(3.0)
            for name in ("s0", "s1"):
                await self.fleet.replicas[name].deregister()
            store.mode = type(store.mode).SERVING
            await asyncio.sleep(1.0)
            answers = await self.call_concurrently(6, "filing")
            self.assertEqual({a.status for a in answers}, {200})
            await self.fleet.replicas["s0"].register()
            await asyncio.sleep(3.0)
            count_before = self.run_count("s1")
            answers = await self.call_concurrently(6, "filing")
            self.assertEqual({a.status for a in answers}, {200})
            self.assertEqual(self.run_count("s1"), count_before)

        self.run_fleet(scenario)


def _valid_entry():
    return {
        "service": "registry",
        "address": "10.0.2.9:80",
        "zone": "dc-0",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "born": 1,
        "sequence": 1,
    }


if __name__ == "__main__":
    unittest.main()
