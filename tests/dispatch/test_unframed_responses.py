"""Responses without length or chunks, which end with their connection."""

import asyncio

from tests import platform_case


class UnframedResponseTest(platform_case.PlatformCase):
    def set_faults(self, **faults):
        for standin in self.fleet.replicas.values():
            for name, value in faults.items():
                setattr(standin.faults, name, value)

    def run_with(self, scenario, **faults):
        async def main():
            self.set_faults(unframed=True, **faults)
            await scenario()

        self.run_fleet(main)

    def test_whole_stream_is_forwarded_as_complete(self):
        async def scenario():
            for route in ("review", "check"):
                self.assert_complete_stream(await self.fleet.call(route))

        self.run_with(scenario)

    def test_whole_plain_response_is_forwarded_with_its_length(self):
        async def scenario():
            answer = await self.fleet.call("filing", body=b"text")
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.whole)
            self.assertTrue(answer.body.endswith(b"text"))
            self.assertEqual(
                answer.headers[b"content-length"],
                str(len(answer.body)).encode(),
            )

        self.run_with(scenario)

    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        async def scenario():
            answer = await self.fleet.call("review")
            self.assertEqual(answer.status, 200)
            self.assertFalse(answer.whole)
            self.assertEqual(answer.events(), [1, 2, 3])
            self.assert_at_most_once()

        self.run_with(scenario, cut_after=3)

    def test_resumable_stream_that_ends_inside_an_event_goes_on(self):
        async def scenario():
            self.set_faults(cut_after=3)
            call = asyncio.create_task(self.fleet.call("check"))
            while not self.fleet.runs():
                await asyncio.sleep(0.001)
            for standin in self.fleet.replicas.values():
                if not standin.runs:
                    standin.faults.cut_after = 0
            self.assert_complete_stream(await call)

        self.run_with(scenario)

    def test_stream_that_ends_before_its_first_event_is_not_complete(self):
        async def scenario():
            answer = await self.fleet.call("review")
            self.assertEqual(answer.status, 502)
            self.assert_at_most_once()

        self.run_with(scenario, end_after_head=True)

    def test_response_whose_connection_is_reset_is_not_complete(self):
        async def scenario():
            for route, complete_bytes in (("review", 20), ("filing", 4)):
                call = asyncio.create_task(
                    self.fleet.call(route, body=b"x" * complete_bytes)
                )
                await self.reset_after_first_bytes(route)
                answer = await call
                self.assertFalse(answer.whole and answer.status == 200, route)

        self.run_with(scenario, pause_after_start_s=0.5)

    def test_response_that_ends_with_its_upstream_is_not_complete(self):
        async def scenario():
            for route in ("review", "filing"):
                call = asyncio.create_task(self.fleet.call(route, body=b"text"))
                standin = await self.find_answering(route)
                await standin.close()
                answer = await call
                self.assertFalse(answer.whole and answer.status == 200, route)
            self.assert_at_most_once()

        self.run_with(scenario, pause_after_start_s=0.5)

    async def reset_after_first_bytes(self, route):
        standin = await self.find_answering(route)
        host = standin.address.partition(":")[0]
        self.network.kill(host)
        self.network.revive(host)

    async def find_answering(self, route):
        """Returns the replica that has sent the first bytes of an answer."""
        model = route == "review"
        while True:
            await asyncio.sleep(0.001)
            for standin in self.fleet.replicas.values():
                if bool(standin.model) == model and any(
                    run.answered for run in standin.runs
                ):
                    return standin

    def test_connection_that_ended_a_response_carries_no_other(self):
        async def scenario():
            for _ in range(3):
                self.assert_complete_stream(await self.fleet.call("check"))
                answer = await self.fleet.call("lookup")
                self.assertEqual(answer.status, 200)

        self.run_with(scenario)
