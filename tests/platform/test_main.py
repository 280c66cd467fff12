import subprocess
import sys
import unittest

# Stops where the product's modules begin to load, and tells what a hang-up
# signal would do at that moment.
SCRIPT = """
import runpy, signal, sys

class Watch:
    def find_spec(self, name, path=None, target=None):
        if name == "bergamotmill.cli":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            raise SystemExit(0)

sys.meta_path.insert(0, Watch())
runpy.run_module("bergamotmill.platform", run_name="__main__")
"""


class StartTest(unittest.TestCase):
    def test_a_change_of_settings_during_the_start_does_not_end_it(self):
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(done.stdout.strip(), "True", done.stderr)


if __name__ == "__main__":
    unittest.main()
