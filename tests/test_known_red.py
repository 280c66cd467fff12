import functools
import unittest

from tests import known_red

LISTED = "tests.a.test_b.Case.test_listed"


def _fail():
    raise AssertionError


class KnownRedTest(unittest.TestCase):
    def judge(self, *names):
        outcome = unittest.TestResult()
        for name in names:
            case = unittest.FunctionTestCase(_fail)
            case.id = functools.partial(str, name)
            case.run(outcome)
        text = f"- known failure: {LISTED}\n  command: x\n- test: tests.c\n"
        return known_red.judge(outcome, known_red.parse(text), {LISTED, *names})

    def test_only_the_listed_test_is_passed_over(self):
        verdict = self.judge(LISTED, LISTED + "_too", "tests.c")
        self.assertEqual(verdict.known, (LISTED,))
        self.assertEqual(verdict.failed, (LISTED + "_too", "tests.c"))
        self.assertEqual(verdict.passed, 0)
        self.assertEqual(verdict.recovered, ())

    def test_listed_test_that_passes_is_named(self):
        self.assertEqual(self.judge("tests.c").recovered, (LISTED,))

    def test_failed_subtests_count_as_one_test(self):
        verdict = self.judge("tests.c (x=1)", "tests.c (x=2)")
        self.assertEqual(verdict.failed, ("tests.c",))

    def test_names_are_those_of_nested_suites(self):
        case = unittest.FunctionTestCase(_fail)
        suite = unittest.TestSuite([unittest.TestSuite([case]), case])
        self.assertEqual(known_red.names_of(suite), {case.id()})

    def test_an_entry_names_a_whole_test(self):
        self.assertEqual(known_red.parse("- known failure: tests.a b\n"), set())


if __name__ == "__main__":
    unittest.main()
