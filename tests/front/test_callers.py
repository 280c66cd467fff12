import asyncio
import json
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.standin import cluster
from tests import virtual


class CallersTest(virtual.ClusterCase):
    async def call(self, method, target, body=b"", key="key-of-one", port=80):
        pool = http_client.Pool()
        head, response = await http_client.fetch(
            pool,
            f"{cluster.router_host(0)}:{port}",
            method,
            target,
            [(b"authorization", f"Bearer {key}".encode())],
            body,
        )
        pool.close()
        return head, json.loads(response)

    async def post_chat(self, **fields):
        body = {**self.chat(), **fields}
        return await self.call(
            "POST", "/v1/chat/completions", json.dumps(body).encode()
        )

    def test_invalid_field_is_named_and_nothing_runs(self):
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
                head, response = await self.post_chat(**{field: value})
                self.assertEqual(head.status, 400, (field, value))
                error = response["error"]
                self.assertIn(field, error["param"])
                self.assertEqual(error["run"], "not_run")
            head, response = await self.post_chat(model="nope")
            self.assertEqual(head.status, 404)
            for invalid_body in (
                b"",
                b"[]",
                b"{",
                b"\xff" * 10,
                b"[" * 100_000,
            ):
                head, _ = await self.call(
                    "POST", "/v1/completions", invalid_body
                )
                self.assertEqual(head.status, 400)
            runs = sum(
                len(engine.runs) for engine in self.cluster.engines.values()
            )
            self.assertEqual(runs, 0)

        self.run_cluster(scenario)

    def test_bad_request_from_engine_is_forwarded_without_retry(self):
        async def scenario():
            head, response = await self.post_chat(temperature=5)
            self.assertEqual(head.status, 400)
            self.assertIn("temperature", response["error"]["message"])
            self.assertEqual(self.count("retries"), 0)

        self.run_cluster(scenario)

    def test_unknown_keys_are_refused_on_both_interfaces(self):
        async def scenario():
            head, response = await self.call("GET", "/v1/models", key="wrong")
            self.assertEqual(head.status, 401)
            self.assertEqual(response["error"]["code"], "invalid_api_key")
            head, _ = await self.call("GET", "/status", port=81)
            self.assertEqual(
                head.status, 401, "a customer's key is not an operator's"
            )
            head, _ = await self.call("GET", "/v1/models", key="operator")
            self.assertEqual(
                head.status, 401, "an operator's key is not a customer's"
            )

        self.run_cluster(scenario)

    def test_operator_reads_status_explanation_and_audit(self):
        async def scenario():
            head, _ = await self.post_chat(stream=False)
            request_id = head.get_header("x-request-id")
            _, explanation = await self.call(
                "GET", f"/explain?request={request_id}", key="operator", port=81
            )
            self.assertEqual(
                explanation["chosen"], head.get_header("x-replica")
            )
            self.assertEqual(explanation["cached_tokens"], 0)
            self.assertGreater(explanation["first_token_s"], 0.0)
            self.assertEqual(len(explanation["candidates"]), 3)
            _, status = await self.call(
                "GET", "/status", key="operator", port=81
            )
            self.assertEqual(len(status["routers"]), 3)
            _, audit = await self.call("GET", "/audit", key="operator", port=81)
            self.assertEqual(audit["releases"][0]["author"], "tester")
            self.assertEqual(audit["releases"][0]["routers"], 3)

        self.run_cluster(scenario)

    def test_invalid_class_deadline_and_service_are_refused(self):
        async def scenario():
            pool = http_client.Pool()
            for header, value in (
                (b"x-request-class", b"nope"),
                (b"x-deadline-ms", b"soon"),
            ):
                head, response = await http_client.fetch(
                    pool,
                    f"{cluster.router_host(0)}:80",
                    "POST",
                    "/v1/chat/completions",
                    [(b"authorization", b"Bearer key-of-one"), (header, value)],
                    json.dumps(self.chat()).encode(),
                )
                self.assertEqual(head.status, 400)
                param = json.loads(response)["error"]["param"]
                self.assertEqual(param.encode(), header)
            head, _ = await self.call("GET", "/services/nope/x")
            self.assertEqual(head.status, 404)

        self.run_cluster(scenario)

    def test_slow_idempotent_call_is_hedged_within_retry_budget(self):
        async def scenario():
            self.cluster.services[0].delay_s = 20.0
            started = self.now()
            for number in range(8):
                _, response = await self.call(
                    "GET", f"/services/registry/records/{number}"
                )
                self.assertEqual(response["record"], f"/records/{number}")
            self.assertLess(self.now() - started, 8 * 0.6)
            for standin in self.cluster.services.values():
                standin.delay_s = 4.0
            await asyncio.gather(
                *(
                    self.call("GET", f"/services/registry/slow/{number}")
                    for number in range(100)
                )
            )
            calls_sent = sum(
                path.startswith("/slow/")
                for standin in self.cluster.services.values()
                for path in standin.lookups
            )
            self.assertLess(calls_sent, 100 * 1.3, "too many calls were hedged")
            self.assertGreater(calls_sent, 100)

        self.run_cluster(scenario)

    def test_stream_ends_with_refusal_at_its_deadline(self):
        async def scenario():
            started = self.now()
            response = await self.caller.stream(
                self.chat(tokens=500), 0, [(b"x-deadline-ms", b"2000")]
            )
            self.assertFalse(response.whole)
            self.assertLess(self.now() - started, 60.0)
            self.assertGreater(self.count("refusals.deadline_exceeded"), 0)

        self.run_cluster(scenario)


if __name__ == "__main__":
    unittest.main()
