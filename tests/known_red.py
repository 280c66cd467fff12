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
        recovered: names of the listed tests that passed.
    """

    passed: int
    failed: tuple[str, ...]
    known: tuple[str, ...]
    recovered: tuple[str, ...] = ()


def parse(text: str) -> frozenset[str]:
    """Returns the names of the listed tests."""
    return frozenset(_ENTRY.findall(text))


def read_listed() -> frozenset[str]:
    """Reads the names of the listed tests; none without the file."""
    return parse(PATH.read_text()) if PATH.exists() else frozenset()


def names_of(suite: unittest.TestSuite) -> frozenset[str]:
    """Returns the names of all tests of a suite that has not run yet."""
    names = set()
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            names |= names_of(item)
        else:
            names.add(item.id())
    return frozenset(names)


def judge(
    outcome: unittest.TestResult, listed: Set[str], ran: Set[str]
) -> Verdict:
    """Separates the failures that are listed from those that are not.

    Args:
        outcome: result of the run.
        listed: names of the listed tests.
        ran: names of the tests that were to run.
    """
    items = [test for test, _ in outcome.failures + outcome.errors]
    items += outcome.unexpectedSuccesses
    # The name of a subtest is that of its test and what tells it apart.
    broken = {test.id().partition(" ")[0] for test in items}
    skipped = {test.id() for test, _ in outcome.skipped}
    return Verdict(
        outcome.testsRun - len(broken) - len(skipped),
        tuple(sorted(broken - listed)),
        tuple(sorted(broken & listed)),
        tuple(sorted((listed & ran) - broken - skipped)),
    )
