"""Runs all tests, or only those named on the command line."""

import sys
import unittest

import hypothesis
import loguru

from tests import known_red

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
ran = known_red.names_of(suite)
outcome = unittest.TextTestRunner(verbosity=1).run(suite)
verdict = known_red.judge(outcome, known_red.read_listed(), ran)
for test_id in verdict.known:
    print(f"failed as listed in {known_red.PATH.name}: {test_id}")
for test_id in verdict.recovered:
    print(f"listed in {known_red.PATH.name}, but passes: {test_id}")
print(
    f"{verdict.passed} passed, {len(verdict.failed)} failed, "
    f"{len(verdict.known)} failed as listed, {len(outcome.skipped)} skipped"
)
sys.exit(1 if verdict.failed or not outcome.testsRun else 0)
