"""What a router that was asked to end does with the calls of its callers."""

import asyncio
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from tests import platform_case

LONG_LIMIT_S = 12.4
# A limit that ends before the process does, at any moment of the time in which
# callers may connect.
SHORT_LIMIT_S = 3.0
STOP_TO_CLOSED_PORT_S = 4.0
EXIT_S = 7.5


class ShutdownCase(platform_case.PlatformCase):
    """Sends calls to a router around the moment at which it is stopped."""

    async def publish_timeouts(self, seconds):
        """Sets the time limits that operators give the routes."""
        routes = [
            {**route, "timeoutMs": seconds * 1000}
            for route in fleet.configuration()["routes"]
        ]
        self.version = getattr(self, "version", 1) + 1
        await self.fleet.store.write(
            const.KEY_CONFIGURATION,
            fleet.configuration(self.version, routes=routes),
        )
        await asyncio.sleep(1.0)

    def set_work(self, seconds):
        for name in ("s0", "s1"):
            self.fleet.replicas[name]._work_s = seconds

    def stop(self, index=0):
        return asyncio.create_task(self.fleet.stop_router(index))

    def assert_refused_unrun(self, answer, request_id):
        self.assertEqual(answer.status, 503)
        self.assertTrue(answer.whole)
        self.assertLess(answer.seconds, 0.1)
        self.assertEqual(self.fleet.runs(request_id), [])

    async def run_series(self, route, begins_s, seed_id):
        """Calls a stopping router at some times after it was asked to end."""
        stopped_at = self.now()

        async def call(number, begin_s):
            await asyncio.sleep(stopped_at + begin_s - self.now())
            request_id = f"{seed_id}-{number}"
            answer = await self.fleet.call(route, request_id=request_id)
            return answer, request_id

        return await asyncio.gather(
            *(call(number, begin) for number, begin in enumerate(begins_s))
        )


class LongCallTest(ShutdownCase):
    # LOST, issue 44: calls that a route allows more time than the process had
    # left were taken and cut.
    def test_call_that_may_outlast_the_process_is_refused(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            self.set_work(5.0)
            stopping = self.stop()
            begins_s = [0.2, 1.3, 2.6, 3.3, 3.7]
            for route in ("filing", "lookup", "review"):
                for answer, request_id in await self.run_series(
                    route, begins_s, route
                ):
                    self.assert_refused_unrun(answer, request_id)
                begins_s = [0.0]
            await stopping

        self.run_fleet(scenario, routers=2)

    def test_callers_deadline_counts_as_well(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            stopping = self.stop()
            await asyncio.sleep(STOP_TO_CLOSED_PORT_S - 0.5)
            limit = {const.HEADER_DEADLINE: str(int(SHORT_LIMIT_S * 1000))}
            answer = await self.fleet.call("filing", **limit)
            self.assertEqual(answer.status, 200)
            await stopping

        self.run_fleet(scenario, routers=2)

    def test_call_with_a_short_limit_is_served_until_the_port_closes(self):
        async def scenario():
            await self.publish_timeouts(SHORT_LIMIT_S)
            self.set_work(2.8)
            stopping = self.stop()
            for answer, _ in await self.run_series(
                "filing", [0.1, 2.0, STOP_TO_CLOSED_PORT_S - 0.1], "short"
            ):
                self.assertEqual(answer.status, 200)
            await stopping

        self.run_fleet(scenario, routers=2)

    # A call that waits for an engine is refused when the router is stopped, not
    # sent later and cut.
    def test_waiting_call_is_refused_at_the_stop(self):
        async def scenario():
            for name in ("e0", "e1", "e2"):
                faults = self.fleet.replicas[name].faults
                faults.refuse, faults.retry_after_s = True, 0.7
            await self.call_concurrently(3, "review")
            waiting = asyncio.create_task(
                self.fleet.call("review", request_id="waits")
            )
            await asyncio.sleep(0.1)
            self.assertFalse(waiting.done())
            self.assertEqual(self.fleet.routers[0].dispatcher.held_count, 1)
            stopped_at = self.now()
            stopping = self.stop()
            answer = await waiting
            self.assertEqual(answer.status, 503)
            self.assertLess(self.now() - stopped_at, 0.2)
            self.assertEqual(self.fleet.runs("waits"), [])
            await stopping

        self.run_fleet(scenario, routers=2)

    # A call that was sent before the stop and outlasts the process gets an
    # answer that says that it may have run.
    def test_call_at_work_at_the_end_gets_an_answer(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            self.set_work(9.0)
            call = asyncio.create_task(self.fleet.call("filing"))
            await asyncio.sleep(0.5)
            stopped_at = self.now()
            await self.stop()
            answer = await call
            self.assertEqual(answer.status, 502)
            self.assertTrue(answer.whole)
            self.assertLess(self.now() - stopped_at, 8.0)

        self.run_fleet(scenario, routers=2)

    # A request that is still being received when the port closes is answered.
    def test_slow_body_gets_an_answer(self):
        async def scenario():
            for limit_s, status in ((LONG_LIMIT_S, 503), (1.0, 200)):
                await self.publish_timeouts(limit_s)
                stopping = self.stop()
                await asyncio.sleep(STOP_TO_CLOSED_PORT_S - 0.3)
                answer = await self.send_slowly(0.8)
                self.assertEqual(answer, status)
                await stopping
                await self.fleet.start_router(0)
                await asyncio.sleep(2.0)

        self.run_fleet(scenario, routers=2)

    async def send_slowly(self, seconds):
        """Sends a filing whose last byte comes late; returns the status."""
        host = fleet.router_host(0)
        reader, writer = await self.open_stream(host)
        request_id = self.fleet.new_id()
        head = (
            f"POST /filing/x HTTP/1.1\r\nhost: {fleet.HOST}\r\n"
            f"{const.HEADER_REQUEST_ID}: {request_id}\r\n"
            f"{const.HEADER_KEY}: key-one\r\ncontent-length: 2\r\n\r\na"
        )
        writer.write(head.encode())
        await asyncio.sleep(seconds)
        writer.write(b"b")
        status_line = await reader.readline()
        writer.close()
        return int(status_line.split()[1]) if status_line else 0

    async def open_stream(self, host):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(lambda: protocol, host, 80)
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class LastRouterTest(ShutdownCase):
    """No other router serves: to refuse all calls would end the service."""

    def test_calls_as_short_as_earlier_ones_are_served(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            self.set_work(1.0)
            await self.fleet.call("filing")
            stopping = self.stop()
            for answer, _ in await self.run_series(
                "filing", [0.1, 2.0, 3.8], "last"
            ):
                self.assertEqual(answer.status, 200)
            await stopping

        self.run_fleet(scenario, routers=1)

    def test_calls_that_took_longer_than_what_is_left_are_refused(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            self.set_work(5.0)
            await self.fleet.call("filing")
            stopping = self.stop()
            ((answer, request_id),) = await self.run_series(
                "filing", [2.0], "long"
            )
            self.assert_refused_unrun(answer, request_id)
            # Nobody else serves before the process has ended.
            retry_after_s = float(answer.headers[b"retry-after"])
            self.assertGreater(retry_after_s, EXIT_S - 2.1)
            await stopping

        self.run_fleet(scenario, routers=1)

    def test_unknown_calls_are_taken_if_they_may_be_sent_again(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            stopping = self.stop()
            answer = await self.fleet.call("lookup")
            self.assertEqual(answer.status, 200)
            answer = await self.fleet.call("filing")
            self.assertEqual(answer.status, 503)
            await stopping

        self.run_fleet(scenario, routers=1)

    def test_routers_that_are_stopped_together_are_the_last(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            for router in range(3):
                await self.fleet.call("filing", router=router)
            stops = [self.stop(index) for index in range(3)]
            await asyncio.sleep(1.0)
            for answer in await self.call_concurrently(6, "filing"):
                self.assertEqual(answer.status, 200)
            await asyncio.gather(*stops)

        self.run_fleet(scenario)


class LastRouterStreamTest(ShutdownCase):
    """No other router serves, and streams differ in length."""

    USUAL, LONG = 76, 224

    async def prepare(self):
        """Serves a few streams, of about 21 ms an event."""
        await self.publish_timeouts(15)
        for name in ("e0", "e1", "e2"):
            self.fleet.replicas[name].tokens_per_event = 6
        for _ in range(6):
            answer = await self.fleet.call("review", output=self.USUAL)
            self.assert_complete_stream(answer, self.USUAL)

    async def send_after(self, seconds, output, request_id):
        await asyncio.sleep(seconds)
        return await self.fleet.call(
            "review", output=output, request_id=request_id
        )

    async def send_series(self, begins_s, output):
        return await asyncio.gather(
            *(
                self.send_after(begin_s, output, f"{output}-{begin_s}")
                for begin_s in begins_s
            )
        )

    # LOST, review/6: streams three times as long as all before were taken by
    # the last router and cut at its end.
    def test_longer_stream_is_refused_if_it_may_outlast_the_process(self):
        async def scenario():
            await self.prepare()
            stopping = self.stop()
            begins_s = (3.2, 3.4, 3.6, 3.9)
            answers = await self.send_series(begins_s, self.LONG)
            for begin_s, answer in zip(begins_s, answers, strict=True):
                self.assert_refused_unrun(answer, f"{self.LONG}-{begin_s}")
            await stopping

        self.run_fleet(scenario, routers=1)

    def test_streams_that_fit_are_served(self):
        async def scenario():
            await self.prepare()
            sent = []
            stopping = self.stop()
            for begins_s, output in (
                ((0.1, 1.0, 1.9), self.LONG),
                ((0.1, 2.0, 3.9), self.USUAL),
                ((0.1, 3.9), 3),
            ):
                answers = self.send_series(begins_s, output)
                sent.append((asyncio.create_task(answers), output))
            for answers, output in sent:
                for answer in await answers:
                    self.assert_complete_stream(answer, output)
            await stopping

        self.run_fleet(scenario, routers=1)

    # LOST: nothing is known of streams on any route.
    def test_stream_of_unknown_duration_is_refused(self):
        async def scenario():
            await self.publish_timeouts(15)
            stopping = self.stop()
            for number, route in enumerate(("review", "check")):
                answer = await self.fleet.call(
                    route, output=self.LONG, request_id=f"unknown-{number}"
                )
                self.assert_refused_unrun(answer, f"unknown-{number}")
            await stopping

        self.run_fleet(scenario, routers=1)

    # LOST: a request that fitted when it arrived was sent after a wait for its
    # place or its allowance, and cut.
    def test_stream_that_waited_too_long_is_not_sent(self):
        async def scenario():
            await self.prepare()
            router = self.fleet.routers[0].dispatcher
            claim = router._allowances.claim

            async def claim_late(*args):
                await asyncio.sleep(2.0)
                return await claim(*args)

            router._allowances.is_unlimited = lambda upstream: False
            router._allowances.claim = claim_late
            stopping = self.stop()
            answer = await self.send_after(1.5, self.LONG, "waited")
            self.assertEqual(answer.status, 503)
            self.assertEqual(self.fleet.runs("waited"), [])
            await stopping

        self.run_fleet(scenario, routers=1)


class OtherPlannedWorkTest(ShutdownCase):
    # LOST names SIGHUP and new configurations as planned work, too.
    def test_settings_and_configurations_cut_no_call(self):
        async def scenario():
            await self.publish_timeouts(LONG_LIMIT_S)
            self.set_work(4.0)
            calls = [
                asyncio.create_task(self.fleet.call(route))
                for route in ("filing", "lookup")
            ]
            await asyncio.sleep(0.3)
            router = self.fleet.routers[0]
            router.reload(self.fleet.settings(0))
            await self.fleet.store.write(
                const.KEY_CONFIGURATION,
                fleet.configuration(
                    self.version + 1, routes=[], limits={"idleTimeoutMs": 1000}
                ),
            )
            await asyncio.sleep(1.0)
            router.reload(self.fleet.settings(0))
            for answer in await asyncio.gather(*calls):
                self.assertEqual(answer.status, 200)

        self.run_fleet(scenario, routers=2)


if __name__ == "__main__":
    unittest.main()
