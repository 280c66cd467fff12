"""Tests that fail for a known fault, as listed in KNOWN-RED.txt.

An entry that CI passes over starts with `- known failure:` and the full name of
one test; other entries are for readers only.
"""

from collections.abc import Set
import dataclasses
import pathlib
import re
import unittest

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^- known failure: (tests\.\S+)$", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The outcome of a run.

    Attributes:
        passed: number of tests that passed.
        failed: names of the tests that failed and are not listed.
        known: names of the tests that failed as listed.
    """

    passed: int
    failed: tuple[str, ...]
    known: tuple[str, ...]


def parse(text: str) -> frozenset[str]:
    """Returns the names of the listed tests."""
    return frozenset(_ENTRY.findall(text))


def read_listed() -> frozenset[str]:
    """Reads the names of the listed tests; none without the file."""
    return parse(PATH.read_text()) if PATH.exists() else frozenset()


def judge(outcome: unittest.TestResult, listed: Set[str]) -> Verdict:
    """Separates the failures that are listed from those that are not."""
    broken = [test.id() for test, _ in outcome.failures + outcome.errors]
    broken += [test.id() for test in outcome.unexpectedSuccesses]
    failed = tuple(sorted({name for name in broken if name not in listed}))
    known = tuple(sorted({name for name in broken if name in listed}))
    passed = outcome.testsRun - len(failed) - len(known) - len(outcome.skipped)
    return Verdict(passed, failed, known)
