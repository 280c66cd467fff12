import unittest

from bergamotmill.helpers import integrations
from bergamotmill.storage import key_value
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.upstream import drivers


class IntegrationsTest(unittest.TestCase):
    def test_load_registers_every_integration(self):
        names = integrations.load("bergamotmill.storage")
        self.assertEqual(sorted(names), ["gateway", "memory", "vm_list"])
        self.assertEqual(key_value.DRIVERS.names(), ["gateway", "memory"])
        self.assertEqual(vm_config.DRIVERS.names(), ["http"])
        integrations.load("bergamotmill.upstream")
        self.assertIn("engine", drivers.ENGINES.names())
        self.assertIn("plain", drivers.SERVICES.names())

    def test_unknown_driver_error_lists_known_drivers(self):
        with self.assertRaises(KeyError) as caught:
            drivers.ENGINES.get("nope")
        self.assertIn("engine", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
