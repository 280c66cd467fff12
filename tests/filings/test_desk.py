import asyncio
import unittest
import uuid

from bergamotmill.standin import cluster
from tests import virtual

TARGET = "/services/registry/records"


class FilingsTest(virtual.ClusterCase):
    async def token(self, index=0):
        answer = await self.caller.get_json("/v1/addresses", index)
        return answer["filing_token"]

    def free_key(self):
        milliseconds = int((1_700_000_000 + self.now()) * 1000)
        bits = (milliseconds << 80) | (7 << 76) | (2 << 62) | 77
        return str(uuid.UUID(int=bits))

    async def post(self, index, key, body=b"{}", timeout=9.0):
        return await self.caller.post(index, TARGET, key, body, timeout)

    def test_repeat_at_any_router_gives_the_first_outcome(self):
        async def scenario():
            for key in (await self.token() + ".a", self.free_key()):
                answers = [await self.post(index, key) for index in (0, 1, 2)]
                self.assertEqual([a[0] for a in answers], [201] * 3)
                self.assertEqual(answers[0], answers[2])
            self.assertEqual(len(self.runs()), 2)

        self.run_cluster(scenario)

    def test_two_routers_at_once_run_it_once(self):
        async def scenario():
            for key in (await self.token() + ".a", self.free_key()):
                answers = await asyncio.gather(
                    *(self.post(index, key) for index in (0, 1, 2, 1))
                )
                self.assertEqual({a[0] for a in answers}, {201})
            self.assertEqual(len(self.runs()), 2)

        self.run_cluster(scenario)

    def test_same_key_with_another_body_is_refused(self):
        async def scenario():
            for key in (await self.token() + ".a", self.free_key()):
                await self.post(0, key)
                for index in (0, 1):
                    status, _ = await self.post(index, key, b'{"other": 1}')
                    self.assertEqual(status, 422)
            self.assertEqual(len(self.runs()), 2)

        self.run_cluster(scenario)

    def test_key_of_one_customer_is_unknown_to_another(self):
        async def scenario():
            key = await self.token() + ".a"
            await self.post(0, key)
            status, _ = await self.other.post(0, TARGET, key, b"{}", 5.0)
            self.assertEqual(status, 422)
            answer = await self.other.get_json(f"/v1/filings/{key}")
            self.assertEqual(answer["error"]["code"], "not_found")

        self.run_cluster(scenario)

    def test_lost_answer_leaves_the_outcome_unknown_and_never_reruns(self):
        async def scenario():
            for standin in self.cluster.services.values():
                standin.lose_answers = 1
            key = await self.token() + ".a"
            for index in (0, 1, 0):
                status, answer = await self.post(index, key)
                self.assertEqual(status, 502)
                self.assertEqual(answer["error"]["code"], "outcome_unknown")
                self.assertEqual(answer["error"]["run"], "unknown")
            self.assertEqual(len(self.runs()), 1)

        self.run_cluster(scenario)

    def test_crossed_answer_is_not_taken_for_the_own(self):
        async def scenario():
            for standin in self.cluster.services.values():
                standin.crossed = True
            status, answer = await self.post(0, await self.token() + ".a")
            self.assertEqual(answer["error"]["code"], "outcome_unknown")
            self.assertEqual((status, len(self.runs())), (502, 1))

        self.run_cluster(scenario)

    def test_settled_outcomes_survive_their_router(self):
        async def scenario():
            key = await self.token(1) + ".a"
            free = self.free_key()
            self.assertEqual((await self.post(1, key))[0], 201)
            self.assertEqual((await self.post(1, free))[0], 201)
            await asyncio.sleep(1.0)
            await self.cluster.crash_router(1)
            await self.cluster.start_router(1)
            await asyncio.sleep(3.0)
            for index in (0, 1, 2):
                self.assertEqual((await self.post(index, key))[0], 201)
                self.assertEqual((await self.post(index, free))[0], 201)
                found = await self.caller.get_json(f"/v1/filings/{key}", index)
                self.assertEqual(found["lodged"], 1)
                other = await self.post(index, key, b"other")
                self.assertEqual(other[0], 422)
            self.assertEqual(len(self.runs()), 2)

        self.run_cluster(scenario)

    def test_in_flight_at_a_crash_is_unknown_and_never_reruns(self):
        async def scenario():
            for standin in self.cluster.services.values():
                standin.hang = True
            key = await self.token(1) + ".a"
            call = asyncio.create_task(self.post(1, key))
            await asyncio.sleep(1.0)
            await self.cluster.crash_router(1)
            await call
            for standin in self.cluster.services.values():
                standin.hang = False
            await self.cluster.start_router(1)
            await asyncio.sleep(3.0)
            for index in (0, 1, 2):
                status, answer = await self.post(index, key)
                self.assertEqual(answer["error"]["code"], "outcome_unknown")
                self.assertEqual(status, 502)
            self.assertEqual(len(self.runs()), 1)

        self.run_cluster(scenario)

    def test_key_value_service_down(self):
        async def scenario():
            self.cluster.key_value.set_down(True)
            status, answer = await self.post(0, self.free_key())
            self.assertEqual((status, answer["error"]["run"]), (503, "not_run"))
            self.assertEqual(self.runs(), [])
            bound = await self.token() + ".a"
            self.assertEqual((await self.post(2, bound))[0], 201)

        self.run_cluster(scenario)

    def test_claim_whose_answer_was_lost_runs_once(self):
        async def scenario():
            key = self.free_key()
            # The first write is the lease, the second the claim.
            await self.post(0, self.free_key()[:-2] + "01")
            self.cluster.key_value.lose_answers = 1
            status, _ = await self.post(0, key)
            self.assertEqual(status, 201)
            self.assertEqual((await self.post(1, key))[0], 201)
            self.assertEqual(len(self.runs()), 2)

        self.run_cluster(scenario)

    def test_old_and_ageless_keys_are_refused(self):
        async def scenario():
            old = str(uuid.UUID(int=(7 << 76) | (2 << 62) | 5))
            self.assertEqual((await self.post(0, old))[0], 409)
            self.assertEqual((await self.post(0, "order-17"))[0], 422)
            self.assertEqual(self.runs(), [])

        self.run_cluster(scenario)

    def test_service_out_of_reach_is_not_run_and_may_be_repeated(self):
        async def scenario():
            hosts = [cluster.service_host(index) for index in (0, 1)]
            for host in hosts:
                self.network.kill(host)
            key = await self.token() + ".a"
            status, answer = await self.post(0, key)
            self.assertEqual((status, answer["error"]["run"]), (503, "not_run"))
            for index, host in enumerate(hosts):
                self.network.revive(host)
                await self.cluster.start_service(index)
            self.assertEqual((await self.post(0, key))[0], 201)
            self.assertEqual(len(self.runs()), 1)

        self.run_cluster(scenario)

    def test_get_on_the_key_tells_the_outcome(self):
        async def scenario():
            key = await self.token() + ".a"
            path = f"/v1/filings/{key}"
            before = await self.caller.get_json(path, 1)
            self.assertEqual(before["error"]["code"], "not_found")
            await self.post(0, key)
            for index in (0, 1):
                after = await self.caller.get_json(path, index)
                self.assertEqual(after["lodged"], 1)
            self.assertEqual(len(self.runs()), 1)

        self.run_cluster(scenario)

    def test_late_forward_after_the_deadline_is_not_run(self):
        async def scenario():
            key = await self.token(0) + ".a"
            one, two = cluster.router_host(0), cluster.router_host(1)
            self.network.partition(one, two)
            status, answer = await self.post(1, key)
            self.assertEqual(answer["error"]["run"], "unknown")
            self.network.heal()
            await asyncio.sleep(5.0)
            self.assertLessEqual(len(self.runs()), 1)
            self.assertIn((await self.post(1, key))[0], (201, 503))
            self.assertLessEqual(len(self.runs()), 1)

        self.run_cluster(scenario)


if __name__ == "__main__":
    unittest.main()
