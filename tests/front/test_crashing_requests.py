"""Requests to our own interface that crash upstreams, and come again."""

import asyncio
import dataclasses
import json
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.standin import cluster
from bergamotmill.standin import engine
from tests import virtual

MARK = "poison"
MARK_BYTES = MARK.encode()
# The request crashes two upstreams, and one more in a trial.
MAX_CRASHES = 3
PATH = "/services/registry/records/"


@dataclasses.dataclass(frozen=True)
class Response:
    """A response of a router."""

    status: int
    headers: dict[bytes, bytes]
    body: dict[str, object]


class CrashingRequestsTest(virtual.ClusterCase):
    async def call(self, method, target, body=b"", router=0, key=""):
        pool = http_client.Pool()
        head, data = await http_client.fetch(
            pool,
            f"{cluster.router_host(router)}:80",
            method,
            target,
            [
                (b"authorization", b"Bearer key-of-one"),
                (b"content-type", b"application/json"),
                *([(b"idempotency-key", key.encode())] if key else []),
            ],
            body,
            timeout_s=30.0,
        )
        pool.close()
        return Response(head.status, head.headers, json.loads(data))

    async def look_up(self, name, router=0):
        return await self.call("GET", PATH + name, router=router)

    async def file(self, text, router=0):
        return await self.call("POST", PATH + "x", text.encode(), router=router)

    def set_service_crashes(self, mark=MARK_BYTES):
        self.cluster.service_crash_mark = mark
        for standin in self.cluster.services.values():
            standin.crash_mark = mark

    async def call_often(self, send):
        """Sends a crashing call for 12 s at all routers in turn."""
        responses = []
        for number in range(30):
            responses.append(await send(MARK, router=number % 3))
            await asyncio.sleep(0.4)
        return responses

    def assert_held_back(self, response):
        self.assertEqual(response.status, 503)
        error = response.body["error"]
        self.assertEqual(error["code"], "request_quarantined")
        self.assertEqual(error["run"], "not_run")
        self.assertGreater(int(response.headers[b"retry-after"]), 10)

    def test_lookup_that_crashes_services_is_held_back(self):
        async def scenario():
            self.set_service_crashes()
            responses = await self.call_often(self.look_up)
            self.assertLessEqual(len(self.cluster.service_crashes), MAX_CRASHES)
            self.assert_held_back(responses[-1])
            sound = await self.look_up("sound", router=1)
            self.assertEqual(sound.status, 200)

        self.run_cluster(scenario, cluster.Sizes(services=5))

    def test_filing_that_crashes_services_is_held_back(self):
        async def scenario():
            self.set_service_crashes()
            responses = await self.call_often(self.file)
            self.assertEqual(responses[0].status, 502)
            self.assertLessEqual(len(self.cluster.service_crashes), MAX_CRASHES)
            self.assert_held_back(responses[-1])
            sound = await self.file("sound", router=1)
            self.assertEqual(sound.status, 201)

        self.run_cluster(scenario, cluster.Sizes(services=5))

    def test_filing_with_a_key_learns_whether_it_may_have_run(self):
        async def scenario():
            self.set_service_crashes()
            body = MARK.encode()
            addresses = await self.call("GET", "/v1/addresses")
            token = addresses.body["filing_token"]
            keys = [f"{token}.{number}" for number in range(3)]
            answers = []
            for key in [*keys, keys[0]]:
                answers.append(
                    await self.call("POST", PATH + "x", body, key=key)
                )
                await asyncio.sleep(0.2)
            self.assertEqual(
                [answer.status for answer in answers], [502, 502, 503, 502]
            )
            held = answers[2]
            self.assertEqual(held.body["error"]["run"], "not_run")
            self.assertGreater(int(held.headers[b"retry-after"]), 10)
            self.assertEqual(len(self.cluster.service_crashes), 2)

        self.run_cluster(scenario, cluster.Sizes(services=5))

    def test_call_is_served_again_once_it_crashes_nothing(self):
        async def scenario():
            self.set_service_crashes()
            await self.call_often(self.look_up)
            self.set_service_crashes(b"")
            for _ in range(40):
                response = await self.look_up(MARK)
                await asyncio.sleep(1.0)
            self.assertEqual(response.status, 200)

        self.run_cluster(scenario, cluster.Sizes(services=5))

    def test_call_is_tried_late_at_the_only_service(self):
        async def scenario():
            self.set_service_crashes()
            for _ in range(3):
                await self.look_up(MARK)
                await asyncio.sleep(5.0)
            crashes = len(self.cluster.service_crashes)
            self.assertLessEqual(crashes, MAX_CRASHES)
            await asyncio.sleep(60.0)
            response = await self.look_up(MARK)
            self.assertEqual(response.status, 503)
            self.assertGreater(int(response.headers[b"retry-after"]), 100)
            self.assertEqual(len(self.cluster.service_crashes), crashes)
            self.set_service_crashes(b"")
            await asyncio.sleep(300.0)
            response = await self.look_up(MARK)
            self.assertEqual(response.status, 200)

        self.run_cluster(scenario, cluster.Sizes(services=1))

    def test_services_that_end_by_themselves_hold_nothing_back(self):
        async def scenario():
            for standin in self.cluster.services.values():
                standin.delay_s = 0.3
            for number in range(12):
                calls = [
                    asyncio.create_task(self.look_up("same", router=router))
                    for router in range(3)
                ]
                await asyncio.sleep(0.2)
                index = number % 5
                if index in self.cluster.services:
                    ended = self.cluster.services[index]
                    ended.on_crash(ended)
                for response in await asyncio.gather(*calls):
                    self.assertNotEqual(response.status, 503)
                await asyncio.sleep(1.0)

        self.run_cluster(scenario, cluster.Sizes(services=5))

    def test_chat_that_crashes_engines_as_a_whole_is_held_back(self):
        async def scenario():
            await self.caller.stream(self.chat_with("hello"))
            self.cluster.engine_faults = engine.Faults(crash_last_text=MARK)
            for standin in self.cluster.engines.values():
                standin.faults = self.cluster.engine_faults
            body = json.dumps(self.chat_with(MARK)).encode()
            for number in range(30):
                response = await self.call(
                    "POST", "/v1/chat/completions", body, router=number % 3
                )
                await asyncio.sleep(0.4)
            self.assertLessEqual(len(self.cluster.crashes), MAX_CRASHES)
            self.assert_held_back(response)
            # The system's message is in sound chats, too.
            self.assert_complete(
                await self.caller.stream(self.chat_with("again")), 8
            )

        self.run_cluster(scenario, cluster.Sizes(engines=7))

    def chat_with(self, text):
        messages = [
            {"role": "system", "content": "You are a helpful assistant."},
            {"role": "user", "content": text},
        ]
        return self.chat(tokens=8, messages=messages)


if __name__ == "__main__":
    unittest.main()
