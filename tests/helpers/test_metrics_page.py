import unittest

from bergamotmill.helpers import metrics
from bergamotmill.helpers import metrics_page


class MetricsPageTest(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics.Metrics()
        self.gauges = {"routers_alive": 7.0}
        self.page = metrics_page.MetricsPage(self.metrics, lambda: self.gauges)

    def lines(self):
        return self.page.text().decode().split("\n")

    def test_counters_have_a_kind_label(self):
        self.metrics.count("requests.answered", 3)
        self.assertIn(
            'bergamotmill_requests_total{kind="answered"} 3.0', self.lines()
        )

    def test_gauges_are_read_on_each_request(self):
        self.assertIn("bergamotmill_routers_alive 7.0", self.lines())
        self.gauges["routers_alive"] = 6.0
        self.assertIn("bergamotmill_routers_alive 6.0", self.lines())

    def test_gauges_with_a_kind_have_a_label(self):
        self.gauges["upstream_limit.e0"] = 1.5
        self.gauges["upstream_limit.e1"] = 2.0
        lines = self.lines()
        name = "bergamotmill_upstream_limit"
        self.assertIn(f'{name}{{kind="e0"}} 1.5', lines)
        self.assertIn(f'{name}{{kind="e1"}} 2.0', lines)

    def test_histograms_are_cumulative(self):
        for seconds in (0.001, 0.04, 0.04, 99.0):
            self.metrics.timing("first_byte.review", seconds)
        lines = self.lines()
        name = "bergamotmill_first_byte_seconds"
        self.assertIn(f'{name}_bucket{{kind="review",le="0.05"}} 3.0', lines)
        self.assertIn(f'{name}_bucket{{kind="review",le="+Inf"}} 4.0', lines)
        self.assertIn(f'{name}_count{{kind="review"}} 4.0', lines)

    def test_number_of_histograms_is_limited(self):
        for index in range(metrics.MAX_HISTOGRAMS + 10):
            self.metrics.timing(f"x.{index}", 0.1)
        self.assertEqual(len(self.metrics.histograms), metrics.MAX_HISTOGRAMS)


if __name__ == "__main__":
    unittest.main()
