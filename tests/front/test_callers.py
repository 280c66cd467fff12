import asyncio
import json
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.standin import cluster
from tests import virtual


class CallersTest(virtual.ClusterCase):
    async def call(self, method, target, body=b"", key="key-of-one", port=80):
        pool = http_client.Pool()
        head, answer = await http_client.fetch(
            pool,
            f"{cluster.router_host(0)}:{port}",
            method,
            target,
            [(b"authorization", f"Bearer {key}".encode())],
            body,
        )
        pool.close()
        return head, json.loads(answer)

    async def chat_with(self, **fields):
        body = {**self.chat(), **fields}
        return await self.call(
            "POST", "/v1/chat/completions", json.dumps(body).encode()
        )

    def test_bad_fields_are_named_and_nothing_runs(self):
        async def scenario():
            for field, value in (
                ("messages", []),
                ("messages", "text"),
                ("messages", [{"role": "nobody", "content": "x"}]),
                ("messages", [{"role": "user", "content": 5}]),
                ("max_tokens", -1),
                ("max_tokens", True),
                ("stream", "yes"),
                ("n", 0),
                ("model", 7),
                ("stream_options", 3),
            ):
                head, answer = await self.chat_with(**{field: value})
                self.assertEqual(head.status, 400, (field, value))
                error = answer["error"]
                self.assertIn(field, error["param"])
                self.assertEqual(error["run"], "not_run")
            head, answer = await self.chat_with(model="nope")
            self.assertEqual(head.status, 404)
            for data in (b"", b"[]", b"{", b"\xff" * 10, b"[" * 100_000):
                head, _ = await self.call("POST", "/v1/completions", data)
                self.assertEqual(head.status, 400)
            runs = sum(len(e.runs) for e in self.cluster.engines.values())
            self.assertEqual(runs, 0)

        self.run_cluster(scenario)

    def test_engines_bad_request_is_passed_on_and_not_retried(self):
        async def scenario():
            head, answer = await self.chat_with(temperature=5)
            self.assertEqual(head.status, 400)
            self.assertIn("temperature", answer["error"]["message"])
            self.assertEqual(self.count("retries"), 0)

        self.run_cluster(scenario)

    def test_wrong_keys_are_refused_on_both_interfaces(self):
        async def scenario():
            head, answer = await self.call("GET", "/v1/models", key="wrong")
            self.assertEqual(head.status, 401)
            self.assertEqual(answer["error"]["code"], "invalid_api_key")
            head, _ = await self.call("GET", "/status", port=81)
            self.assertEqual(head.status, 401, "a customer is no operator")
            head, _ = await self.call("GET", "/v1/models", key="operator")
            self.assertEqual(head.status, 401, "an operator is no customer")

        self.run_cluster(scenario)

    def test_operators_see_status_explanation_and_audit(self):
        async def scenario():
            head, _ = await self.chat_with(stream=False)
            request = head.text("x-request-id")
            _, found = await self.call(
                "GET", f"/explain?request={request}", key="operator", port=81
            )
            self.assertEqual(found["chosen"], head.text("x-replica"))
            self.assertEqual(found["cached_tokens"], 0)
            self.assertGreater(found["first_token_s"], 0.0)
            self.assertEqual(len(found["candidates"]), 3)
            _, status = await self.call(
                "GET", "/status", key="operator", port=81
            )
            self.assertEqual(len(status["routers"]), 3)
            _, audit = await self.call("GET", "/audit", key="operator", port=81)
            self.assertEqual(audit["releases"][0]["author"], "tester")
            self.assertEqual(audit["releases"][0]["routers"], 3)

        self.run_cluster(scenario)

    def test_unknown_class_deadline_and_service_are_named(self):
        async def scenario():
            pool = http_client.Pool()
            for header, value in (
                (b"x-request-class", b"nope"),
                (b"x-deadline-ms", b"soon"),
            ):
                head, answer = await http_client.fetch(
                    pool,
                    f"{cluster.router_host(0)}:80",
                    "POST",
                    "/v1/chat/completions",
                    [(b"authorization", b"Bearer key-of-one"), (header, value)],
                    json.dumps(self.chat()).encode(),
                )
                self.assertEqual(head.status, 400)
                param = json.loads(answer)["error"]["param"]
                self.assertEqual(param.encode(), header)
            head, _ = await self.call("GET", "/services/nope/x")
            self.assertEqual(head.status, 404)

        self.run_cluster(scenario)

    def test_slow_look_up_is_hedged_within_the_budget(self):
        async def scenario():
            self.cluster.services[0].delay_s = 20.0
            started = self.now()
            for number in range(8):
                _, answer = await self.call(
                    "GET", f"/services/registry/records/{number}"
                )
                self.assertEqual(answer["record"], f"/records/{number}")
            self.assertLess(self.now() - started, 8 * 0.6)
            for standin in self.cluster.services.values():
                standin.delay_s = 4.0
            await asyncio.gather(
                *(
                    self.call("GET", f"/services/registry/slow/{number}")
                    for number in range(100)
                )
            )
            asked = sum(
                path.startswith("/slow/")
                for standin in self.cluster.services.values()
                for path in standin.lookups
            )
            self.assertLess(asked, 100 * 1.3, "too many calls were hedged")
            self.assertGreater(asked, 100)

        self.run_cluster(scenario)

    def test_deadline_ends_a_request_at_once_with_a_refusal(self):
        async def scenario():
            started = self.now()
            got = await self.caller.stream(
                self.chat(tokens=500), 0, [(b"x-deadline-ms", b"2000")]
            )
            self.assertFalse(got.whole)
            self.assertLess(self.now() - started, 60.0)
            self.assertGreater(self.count("refusals.deadline_exceeded"), 0)

        self.run_cluster(scenario)


if __name__ == "__main__":
    unittest.main()
