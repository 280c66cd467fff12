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
    def test_counts_gauges_and_timings_reach_statsd(self):
        async def main():
            loop = asyncio.get_running_loop()
            got = []

            class Statsd(asyncio.DatagramProtocol):
                def datagram_received(self, data, address):
                    got.append(data.decode())

            transport, _ = await loop.create_datagram_endpoint(
                Statsd, local_addr=("127.0.0.1", 0)
            )
            port = transport.get_extra_info("sockname")[1]
            sender = metrics.Metrics(f"127.0.0.1:{port}")
            await sender.start()
            sender.count("requests", 3)
            sender.gauge("release", 7)
            sender.timing("first_token.review", 0.25)
            sender._flush()
            sender.count("requests", 2)
            sender._flush()
            await asyncio.sleep(0.05)
            await sender.close()
            transport.close()
            return "\n".join(got)

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

    def logged(self, form):
        stream = io.StringIO()
        with mock.patch("sys.stderr", stream):
            logs.configure(form, "INFO")
            loguru.logger.info("routing: {} ejected.", "a")
            loguru.logger.debug("routing: not shown.")
        return stream.getvalue().splitlines()

    def test_json_lines_name_their_part(self):
        lines = self.logged("json")
        self.assertEqual(len(lines), 1)
        value = json.loads(lines[0])
        self.assertEqual(value["part"], "routing")
        self.assertEqual(value["message"], "a ejected.")

    def test_text_is_one_line_an_event(self):
        lines = self.logged("text")
        self.assertEqual(len(lines), 1)
        self.assertTrue(lines[0].endswith("routing: a ejected."))


class SupervisorTest(virtual.VirtualCase):
    def test_failing_child_is_restarted_with_growing_pauses(self):
        starts = []

        async def main():
            loguru.logger.remove()
            parts = supervisor.Supervisor("test", mock.Mock(uniform=_highest))

            async def child():
                starts.append(asyncio.get_running_loop().time())
                if len(starts) < 5:
                    raise ValueError("broken")
                await asyncio.sleep(1000)

            parts.start_child("child", child)
            await asyncio.sleep(60.0)
            await parts.close()
            return parts.restarts

        self.assertEqual(self.run_virtual(main()), 4)
        pauses = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        self.assertEqual(pauses, sorted(pauses))
        self.assertGreater(pauses[-1], pauses[0] * 4)


def _highest(low, high):
    del low
    return high


if __name__ == "__main__":
    unittest.main()
