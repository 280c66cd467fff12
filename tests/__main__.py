"""Runs all tests, or only those named on the command line."""

import sys
import unittest

import hypothesis
import loguru

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.load_profile("ci")
loguru.logger.remove()

loader = unittest.TestLoader()
if len(sys.argv) > 1:
    suite = loader.loadTestsFromNames(sys.argv[1:])
else:
    suite = loader.discover("tests", top_level_dir=".")
outcome = unittest.TextTestRunner(verbosity=1).run(suite)
failed = len(outcome.failures) + len(outcome.errors)
passed = outcome.testsRun - failed - len(outcome.skipped)
print(f"{passed} passed, {failed} failed, {len(outcome.skipped)} skipped")
sys.exit(0 if outcome.wasSuccessful() and outcome.testsRun else 1)
