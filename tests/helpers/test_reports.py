import asyncio
import io
import json
import unittest
from unittest import mock

import loguru

from bergamotmill import supervisor
from bergamotmill.helpers import logs
from bergamotmill.helpers import metrics
from tests import virtual


class MetricsTest(unittest.TestCase):
    def test_counters_gauges_and_timings_are_sent_to_statsd(self):
        async def main():
            loop = asyncio.get_running_loop()
            datagrams = []

            class Statsd(asyncio.DatagramProtocol):
                def datagram_received(self, data, address):
                    datagrams.append(data.decode())

            transport, _ = await loop.create_datagram_endpoint(
                Statsd, local_addr=("127.0.0.1", 0)
            )
            port = transport.get_extra_info("sockname")[1]
            client = metrics.Metrics(f"127.0.0.1:{port}")
            await client.start()
            client.count("requests", 3)
            client.gauge("release", 7)
            client.timing("first_token.review", 0.25)
            client._flush()
            client.count("requests", 2)
            client._flush()
            await asyncio.sleep(0.05)
            await client.close()
            transport.close()
            return "\n".join(datagrams)

        text = asyncio.run(main())
        for line in (
            "bergamotmill.requests:3|c",
            "bergamotmill.requests:2|c",
            "bergamotmill.release:7|g",
            "bergamotmill.first_token.review:250.000000|ms",
        ):
            self.assertIn(line, text)


class LogsTest(unittest.TestCase):
    def tearDown(self):
        loguru.logger.remove()

    def captured_lines(self, log_format):
        stream = io.StringIO()
        with mock.patch("sys.stderr", stream):
            logs.configure(log_format, "INFO")
            loguru.logger.info("routing: {} ejected.", "a")
            loguru.logger.debug("routing: not shown.")
        return stream.getvalue().splitlines()

    def test_json_line_has_part_and_message(self):
        lines = self.captured_lines("json")
        self.assertEqual(len(lines), 1)
        value = json.loads(lines[0])
        self.assertEqual(value["part"], "routing")
        self.assertEqual(value["message"], "a ejected.")

    def test_text_format_writes_one_line_per_event(self):
        lines = self.captured_lines("text")
        self.assertEqual(len(lines), 1)
        self.assertTrue(lines[0].endswith("routing: a ejected."))


class SupervisorTest(virtual.VirtualCase):
    def test_failing_child_is_restarted_with_increasing_delays(self):
        start_times = []

        async def main():
            loguru.logger.remove()
            child_supervisor = supervisor.Supervisor(
                "test", mock.Mock(uniform=_upper_bound)
            )

            async def child():
                start_times.append(asyncio.get_running_loop().time())
                if len(start_times) < 5:
                    raise ValueError("broken")
                await asyncio.sleep(1000)

            child_supervisor.start_child("child", child)
            await asyncio.sleep(60.0)
            await child_supervisor.close()
            return child_supervisor.restarts

        self.assertEqual(self.run_virtual(main()), 4)
        delays = [
            b - a for a, b in zip(start_times, start_times[1:], strict=False)
        ]
        self.assertEqual(delays, sorted(delays))
        self.assertGreater(delays[-1], delays[0] * 4)


def _upper_bound(low, high):
    del low
    return high


if __name__ == "__main__":
    unittest.main()
