"""Start of the router process."""

import subprocess
import sys
import unittest

# Stops when the router's modules begin to load and prints whether SIGHUP is
# ignored at that moment.
SCRIPT = """
import runpy, signal, sys

class ImportHook:
    def find_spec(self, name, path=None, target=None):
        if name == "bergamotmill.cli":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            raise SystemExit(0)

sys.meta_path.insert(0, ImportHook())
runpy.run_module("bergamotmill.platform", run_name="__main__")
"""


class StartTest(unittest.TestCase):
    def test_sighup_is_ignored_during_imports(self):
        # The platform sends SIGHUP when the settings change. During the imports
        # the router has no handler yet, and the default action would end it.
        completed = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(completed.stdout.strip(), "True", completed.stderr)


if __name__ == "__main__":
    unittest.main()
