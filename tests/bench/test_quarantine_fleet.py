"""The quarantines of a fleet, without anything else of its routers."""

import unittest

from bergamotmill.bench import quarantine_fleet


class FleetBenchTest(unittest.TestCase):
    def test_all_routers_learn_of_all_causes_at_a_bounded_cost(self):
        figures = quarantine_fleet.FleetBench(routers=12, causes=5).run()
        self.assertEqual(figures["fleet_entries_fewest"], 10)
        # A report of each crash, and a notice of each second one.
        self.assertLess(figures["fleet_received_per_crash"], 2.5)
        # The target of control is 3 KB/s for everything.
        self.assertLess(figures["fleet_gossip_kb_per_s"], 3.0)


if __name__ == "__main__":
    unittest.main()
