"""Chats with a message that crashes each engine that begins an answer on it."""

import asyncio
import json
import random
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.standin import cluster
from bergamotmill.standin import engine
from tests import virtual

CRASHING = "poisoned document"
SYSTEM = "You are a helpful assistant. " * 40
MAX_CRASHES = 4


class CrashingPromptsTest(virtual.ClusterCase):
    def set_crash_text(self, text):
        self.cluster.engine_faults = engine.Faults(crash_text=text)
        for standin in self.cluster.engines.values():
            standin.faults = self.cluster.engine_faults

    def chat_with(self, *texts, **more):
        messages = [{"role": "system", "content": SYSTEM}]
        messages += [{"role": "user", "content": text} for text in texts]
        return self.chat(tokens=8, messages=messages, **more)

    async def send(self, *texts):
        return await self.caller.stream(self.chat_with(*texts))

    async def post(self, *texts):
        """Sends a chat once; returns the status and the error."""
        pool = http_client.Pool()
        head, body = await http_client.fetch(
            pool,
            f"{cluster.router_host(1)}:80",
            "POST",
            "/v1/chat/completions",
            [
                (b"authorization", b"Bearer key-of-one"),
                (b"content-type", b"application/json"),
            ],
            json.dumps(self.chat_with(*texts)).encode(),
        )
        pool.close()
        return head.status, json.loads(body)["error"]

    async def provoke(self):
        """Sends crashing chats until they are held back."""
        self.set_crash_text(CRASHING)
        for number in range(6):
            response = await self.send(CRASHING, f"question {number}")
            self.assertFalse(response.whole)
            await asyncio.sleep(0.2)

    def test_message_that_crashes_engines_is_held_back(self):
        async def scenario():
            self.assert_complete(await self.send("a", "b"), 8)
            await self.provoke()
            self.assertLessEqual(len(self.cluster.crashes), MAX_CRASHES)
            crashes = len(self.cluster.crashes)
            status, error = await self.post(CRASHING, "once more")
            self.assertEqual(status, 503)
            self.assertEqual(error["code"], "prompt_quarantined")
            self.assertEqual(error["run"], "not_run")
            self.assertEqual(len(self.cluster.crashes), crashes)
            self.assert_complete(await self.send("a", "c"), 8)

        self.run_cluster(scenario, cluster.Sizes(engines=7))

    def test_sound_chats_are_answered_beside_it(self):
        async def scenario():
            self.set_crash_text(CRASHING)
            rng = random.Random(3)
            answered = []

            async def ask(number):
                response = await self.send(f"file {rng.randrange(6)}", "why?")
                answered.append(response.whole)
                if number % 4 == 0:
                    await self.send(CRASHING, f"question {number}")

            async with asyncio.TaskGroup() as group:
                for number in range(120):
                    group.create_task(ask(number))
                    await asyncio.sleep(0.1)
            self.assertLessEqual(len(self.cluster.crashes), MAX_CRASHES)
            self.assertGreater(sum(answered), 0.95 * len(answered))

        self.run_cluster(scenario, cluster.Sizes(engines=7))

    def test_operator_lists_and_clears_entries(self):
        async def scenario():
            await self.provoke()
            _, listed = await self.operate("GET", "/quarantine")
            (entry,) = listed["entries"]
            self.assertEqual(entry["customer"], "one")
            self.assertGreaterEqual(len(entry["crashes"]), 2)
            target = f"/quarantine/clear?key={entry['key']}"
            status, _ = await self.operate("GET", target)
            self.assertEqual(status, 405)
            status, _ = await self.operate("POST", target)
            self.assertEqual(status, 200)
            status, _ = await self.operate("POST", target)
            self.assertEqual(status, 404)
            await asyncio.sleep(0.5)
            for router in self.cluster.routers.values():
                self.assertEqual(router.quarantine.entry_count, 0)

        self.run_cluster(scenario, cluster.Sizes(engines=7))

    async def operate(self, method, target):
        """Sends an operator's request; returns the status and the body."""
        pool = http_client.Pool()
        head, body = await http_client.fetch(
            pool,
            f"{cluster.router_host(0)}:81",
            method,
            target,
            [(b"authorization", f"Bearer {cluster.OPERATOR_KEY}".encode())],
        )
        pool.close()
        return head.status, json.loads(body)

    def test_restarted_routers_know_the_message(self):
        async def scenario():
            await self.provoke()
            crashes = len(self.cluster.crashes)
            for index in list(self.cluster.routers):
                await self.cluster.crash_router(index)
            for index in range(3):
                await self.cluster.start_router(index)
            await asyncio.sleep(6.0)
            for number in range(6):
                status, _ = await self.post(CRASHING, f"again {number}")
                self.assertEqual(status, 503)
            self.assertEqual(len(self.cluster.crashes), crashes)

        self.run_cluster(scenario, cluster.Sizes(engines=7))


if __name__ == "__main__":
    unittest.main()
