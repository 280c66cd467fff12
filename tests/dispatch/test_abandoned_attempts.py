"""Which attempts that were given up are evidence when an upstream ends."""

import unittest

from bergamotmill.dispatch import abandoned_attempts
from bergamotmill.routing import prompt_quarantine


def prompt(name, parts=("part",)):
    return prompt_quarantine.make_prompt("m", parts, "one", (name,))


def incarnation(name, born=1):
    return prompt_quarantine.Crash(name, born)


class AbandonedAttemptsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.attempts = abandoned_attempts.AbandonedAttempts(lambda: self.now)

    def names(self, upstream):
        taken = self.attempts.take(upstream)
        return [name for item in taken for name in sorted(item.names)]

    def test_each_request_is_told_once(self):
        for name in ("b", "a", "b"):
            self.attempts.add(incarnation("s0"), prompt(name))
        self.assertTrue(self.attempts.has(incarnation("s0")))
        self.assertEqual(self.names(incarnation("s0")), ["a", "b"])
        self.assertFalse(self.attempts.has(incarnation("s0")))
        self.assertEqual(self.names(incarnation("s0")), [])

    def test_incarnations_are_apart(self):
        self.attempts.add(incarnation("s0"), prompt("a"))
        self.assertFalse(self.attempts.has(incarnation("s0", 2)))
        self.assertEqual(self.names(incarnation("s0", 2)), [])

    def test_attempts_are_forgotten(self):
        self.attempts.add(incarnation("s0"), prompt("a"))
        self.now = abandoned_attempts.MEMORY_S - 1.0
        self.attempts.add(incarnation("s0"), prompt("b"))
        self.now = abandoned_attempts.MEMORY_S + 1.0
        self.assertEqual(self.names(incarnation("s0")), ["b"])
        self.attempts.add(incarnation("s0"), prompt("c"))
        self.now += abandoned_attempts.MEMORY_S + 1.0
        self.assertFalse(self.attempts.has(incarnation("s0")))

    def test_number_is_bounded(self):
        for number in range(2 * abandoned_attempts.MAX_PER_UPSTREAM):
            self.attempts.add(incarnation("s0"), prompt(f"{number:03}"))
        self.assertEqual(
            len(self.attempts), abandoned_attempts.MAX_PER_UPSTREAM
        )
        for number in range(2 * abandoned_attempts.MAX_UPSTREAMS):
            self.attempts.add(incarnation(f"t{number}"), prompt("a"))
        self.assertEqual(len(self.attempts), abandoned_attempts.MAX_UPSTREAMS)


if __name__ == "__main__":
    unittest.main()
