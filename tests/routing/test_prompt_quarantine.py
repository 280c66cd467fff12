"""Evidence for and against parts of prompts."""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.routing import prompt_quarantine

MODEL = "drafter"
WALL_S = 1_700_000_000.0
# Crashes that are this far apart do not count as one.
MOMENT_S = 2 * prompt_quarantine.SAME_MOMENT_S


def prompt(*parts, customer="one"):
    return prompt_quarantine.make_prompt(MODEL, parts, customer)


def crash(number):
    return prompt_quarantine.Crash(f"e{number}", number)


class QuarantineCase(unittest.TestCase):
    def setUp(self):
        self.state = prompt_quarantine.PromptQuarantine()
        self.now = 100.0

    def answer(self, *parts, count=1):
        clearances = []
        for _ in range(count):
            clearances += self.state.record_answer(prompt(*parts), self.now)
        return clearances

    def crash(self, number, *parts, customer="one"):
        """Records a crash and applies the entry that follows, if any."""
        self.now += MOMENT_S
        lost = prompt(*parts, customer=customer)
        self.state.record_crash(lost, crash(number), self.now)
        entry = self.state.judge(lost, self.now, WALL_S + self.now)
        if entry is not None:
            self.state.apply(entry)
        return entry

    def blocks(self, *parts):
        return bool(self.state.blocking(prompt(*parts)))


class JudgeTest(QuarantineCase):
    def test_part_that_was_never_answered_is_quarantined_after_two_crashes(
        self,
    ):
        self.answer("sys", "file", count=5)
        self.assertIsNone(self.crash(1, "sys", "bad"))
        entry = self.crash(2, "sys", "bad")
        self.assertEqual(entry.parts, {"bad"})
        self.assertTrue(self.blocks("bad", "other"))
        self.assertFalse(self.blocks("sys", "file"))

    def test_part_at_fault_is_found_wherever_it_stands(self):
        for position in range(3):
            with self.subTest(position):
                self.setUp()
                parts = ["sys", "tool", "file"]
                self.answer(*parts, count=3)
                parts.insert(position, "bad")
                self.crash(1, *parts)
                self.assertEqual(self.crash(2, *parts).parts, {"bad"})

    def test_crashes_at_one_moment_count_once(self):
        self.answer("sys", "file")
        lost = prompt("sys", "file")
        for number in range(5):
            self.state.record_crash(lost, crash(number), self.now)
        self.assertIsNone(self.state.judge(lost, self.now, WALL_S))

    def test_crashes_at_one_moment_count_for_parts_without_answers(self):
        lost = prompt("new")
        for number in range(2):
            self.state.record_crash(lost, crash(number), self.now)
        self.assertIsNotNone(self.state.judge(lost, self.now, WALL_S))

    def test_same_crash_counts_once(self):
        for _ in range(5):
            self.assertIsNone(self.crash(1, "bad"))

    def test_parts_are_kept_apart_by_model(self):
        other = prompt_quarantine.make_prompt("other", ["bad"])
        self.crash(1, "bad")
        self.crash(2, "bad")
        self.assertFalse(self.state.blocking(other))

    def test_popular_part_is_not_blamed_for_series_of_crashes(self):
        for number in range(20):
            self.answer("sys", count=2)
            self.assertIsNone(self.crash(number, "sys"))
            self.now += 1.0

    def test_popular_part_is_not_blamed_when_a_data_centre_ends(self):
        self.answer("sys", count=30)
        for number in range(25):
            self.assertIsNone(self.crash(number, "sys"))

    def test_part_that_begins_to_crash_replicas_is_found(self):
        self.answer("sys", count=3)
        entries = [self.crash(number, "sys") for number in range(4)]
        self.assertEqual(entries[:3], [None] * 3)
        self.assertEqual(entries[3].parts, {"sys"})

    def test_part_with_one_recent_answer_needs_four_crashes(self):
        self.answer("file")
        for number in range(3):
            self.assertIsNone(self.crash(number, "file"))
        self.assertIsNotNone(self.crash(3, "file"))

    def test_part_that_was_answered_a_minute_ago_needs_three_crashes(self):
        self.answer("file")
        self.now += 60.0
        self.assertIsNone(self.crash(1, "file"))
        self.assertIsNone(self.crash(2, "file"))
        self.assertIsNotNone(self.crash(3, "file"))

    def test_old_crashes_are_forgotten(self):
        self.assertIsNone(self.crash(1, "rare"))
        self.now += prompt_quarantine.EVIDENCE_WINDOW_S + 1.0
        self.assertIsNone(self.crash(2, "rare"))

    def test_peers_answers_speak_for_a_part(self):
        self.crash(1, "sys", "bad")
        self.state.merge_answers(
            "vm-2",
            (MODEL, "sys"),
            prompt_quarantine.Answers(4, True),
            self.now,
        )
        self.assertEqual(self.crash(2, "sys", "bad").parts, {"bad"})

    def test_crashes_that_an_entry_explains_are_no_evidence(self):
        self.answer("sys")
        self.crash(1, "sys", "bad")
        self.crash(2, "sys", "bad")
        # Lost with the same replicas, but at another router.
        self.assertIsNone(self.crash(1, "sys", "rare"))
        self.assertIsNone(self.crash(2, "sys", "rare"))

    def test_two_parts_at_fault_get_an_entry_each(self):
        self.answer("sys", count=9)
        for number, part in enumerate(["bad", "worse", "bad", "worse"]):
            self.crash(number, "sys", part)
        found = {entry.parts for entry in self.state.entries.values()}
        self.assertEqual(found, {frozenset({"bad"}), frozenset({"worse"})})

    def test_parts_that_always_come_together_are_quarantined_together(self):
        self.crash(1, "bad", "rare")
        entry = self.crash(2, "bad", "rare")
        self.assertEqual(entry.parts, {"bad", "rare"})
        self.assertTrue(self.blocks("bad", "rare", "sys"))
        self.assertFalse(self.blocks("rare"))

    def test_part_that_comes_again_with_another_is_quarantined_alone(self):
        self.crash(1, "bad", "rare")
        self.crash(2, "bad", "rare")
        self.assertEqual(self.crash(3, "bad", "scarce").parts, {"bad"})

    def test_answer_on_one_of_them_leaves_the_other(self):
        self.crash(1, "bad", "rare")
        self.crash(2, "bad", "rare")
        (clearance,) = self.answer("rare")
        self.assertEqual(clearance.successor.parts, {"bad"})

    def test_entry_is_contested_if_another_prompt_explains_the_crashes(self):
        for number in (1, 2):
            self.now += MOMENT_S
            self.state.record_crash(prompt("rare"), crash(number), self.now)
        self.crash(1, "bad")
        entry = self.crash(2, "bad")
        self.assertTrue(entry.contested)
        self.assertLess(
            entry.next_trial_at - WALL_S - self.now,
            prompt_quarantine.TRIAL_PAUSES_S[0],
        )
        # Its crashes still count against the other part.
        self.assertIsNotNone(self.crash(2, "rare"))

    def test_entry_is_contested_if_two_others_explain_the_crashes(self):
        self.state.record_crash(prompt("worse"), crash(1), self.now)
        self.state.record_crash(prompt("bad"), crash(2), self.now)
        self.crash(1, "new")
        self.assertTrue(self.crash(2, "new").contested)

    def test_first_trial_comes_early_if_a_later_entry_explains_the_crashes(
        self,
    ):
        self.crash(1, "rare")
        rare = self.crash(2, "rare")
        self.assertFalse(rare.contested)
        self.assertEqual(self.state.trial_at(rare), rare.next_trial_at)
        bad = dataclasses.replace(rare, parts=frozenset({"bad"}))
        self.state.apply(bad)
        longest = prompt_quarantine.CONTESTED_TRIAL_PAUSES_S[1]
        for entry in (rare, bad):
            self.assertLessEqual(
                self.state.trial_at(entry), WALL_S + self.now + longest
            )
        tried = bad.after_trial(WALL_S, False)
        self.assertEqual(self.state.trial_at(tried), tried.next_trial_at)

    def test_trials_of_contested_entries_come_soon_until_one_is_cleared(self):
        for number in (1, 2):
            self.now += MOMENT_S
            self.state.record_crash(prompt("rare"), crash(number), self.now)
        self.crash(1, "bad")
        bad = self.crash(2, "bad")
        rare = self.crash(2, "rare")
        self.assertTrue(self.state.is_contested(bad))
        self.assertNotEqual(bad.next_trial_at, rare.next_trial_at)
        longest = prompt_quarantine.CONTESTED_TRIAL_PAUSES_S[1]
        tried = rare.after_trial(WALL_S, self.state.is_contested(rare))
        self.assertLessEqual(tried.next_trial_at, WALL_S + longest)
        # A crash in its trial may be that of the other part.
        self.assertTrue(self.state.add_crash(rare, crash(3)).contested)
        self.state.clear(rare.key, rare.since_ms)
        self.assertFalse(self.state.is_contested(bad))
        self.assertFalse(self.state.add_crash(bad, crash(4)).contested)

    def test_customer_with_many_entries_gets_one_crash_for_a_part(self):
        limit = prompt_quarantine.MAX_ENTRIES_PER_CUSTOMER
        for index in range(limit):
            self.crash(2 * index, f"bad{index}", customer="hostile")
            self.crash(2 * index + 1, f"bad{index}", customer="hostile")
        self.assertIsNone(self.crash(100, "new", customer="other"))
        self.assertIsNotNone(self.crash(101, "newer", customer="hostile"))


class EntryTest(QuarantineCase):
    def quarantine(self, *parts):
        self.crash(1, *parts)
        return self.crash(2, *parts)

    def test_answer_disproves_an_entry(self):
        entry = self.quarantine("bad")
        (clearance,) = self.answer("bad")
        self.assertEqual(clearance.entry, entry)
        self.assertIsNone(clearance.successor)

    def test_cleared_entry_does_not_come_back_from_a_peer(self):
        entry = self.quarantine("bad")
        self.assertTrue(self.state.clear(entry.key, entry.since_ms))
        self.assertFalse(self.state.apply(entry))
        self.assertFalse(self.blocks("bad"))

    def test_entry_made_after_a_clearance_is_in_force(self):
        entry = self.quarantine("bad")
        self.state.clear(entry.key, entry.since_ms)
        newer = dataclasses.replace(entry, since_ms=entry.since_ms + 1)
        self.assertTrue(self.state.apply(newer))

    def test_entry_that_is_made_again_keeps_its_trials(self):
        entry = self.quarantine("bad").after_trial(WALL_S, False)
        self.state.apply(entry)
        self.state.clear(entry.key, entry.since_ms)
        self.now += 1.0
        again = self.crash(3, "bad")
        self.assertEqual(again.trials, 1)
        self.assertGreater(
            again.next_trial_at,
            WALL_S + self.now + prompt_quarantine.TRIAL_PAUSES_S[0],
        )

    def test_pauses_between_trials_grow(self):
        entry = self.quarantine("bad")
        pauses = []
        for _ in range(6):
            entry = entry.after_trial(WALL_S, False)
            pauses.append(entry.next_trial_at - WALL_S)
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[0], prompt_quarantine.TRIAL_PAUSES_S[1])
        self.assertEqual(pauses[-1], prompt_quarantine.TRIAL_PAUSES_S[-1])

    def test_merging_is_the_same_in_any_order(self):
        entry = self.quarantine("bad")
        versions = [
            entry,
            entry.after_trial(WALL_S + 40.0, False),
            self.state.add_crash(entry, crash(9)),
        ]
        results = set()
        for seed in range(6):
            state = prompt_quarantine.PromptQuarantine()
            for item in random.Random(seed).sample(versions, 3):
                state.apply(item)
            results.add(state.entries[entry.key])
        self.assertEqual(len(results), 1)

    def test_number_of_entries_is_bounded(self):
        for index in range(prompt_quarantine.MAX_ENTRIES + 20):
            self.now += 0.001
            self.crash(2 * index, f"bad{index}", customer="")
            self.crash(2 * index + 1, f"bad{index}", customer="")
        self.assertEqual(len(self.state.entries), prompt_quarantine.MAX_ENTRIES)
        self.assertFalse(self.blocks("bad0"))

    def test_crashes_of_an_entry_are_bounded(self):
        entry = self.quarantine("bad")
        for number in range(100):
            entry = self.state.add_crash(entry, crash(number))
        self.assertEqual(
            len(entry.crashes), prompt_quarantine.MAX_CRASHES_PER_ENTRY
        )

    def test_long_names_become_digests(self):
        made = prompt("x" * 10_000)
        (name,) = made.parts
        self.assertLessEqual(len(name), prompt_quarantine.MAX_NAME_LENGTH)
        made = prompt_quarantine.make_prompt("m" * 10_000, [])
        self.assertLessEqual(len(made.model), prompt_quarantine.MAX_NAME_LENGTH)


class AnyOrderTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["answer", "crash", "clear"]),
                strategies.frozensets(
                    strategies.sampled_from("abcde"), min_size=1
                ),
                strategies.integers(0, 9),
            ),
            max_size=40,
        )
    )
    def test_index_of_parts_follows_the_entries(self, steps):
        state = prompt_quarantine.PromptQuarantine()
        now = 0.0
        for kind, parts, number in steps:
            now += 0.5
            item = prompt(*parts)
            if kind == "answer":
                for clearance in state.record_answer(item, now):
                    state.clear(clearance.entry.key, clearance.entry.since_ms)
                    if clearance.successor is not None:
                        state.apply(clearance.successor)
            elif kind == "crash":
                state.record_crash(item, crash(number), now)
                entry = state.judge(item, now, WALL_S + now)
                if entry is not None:
                    state.apply(entry)
            elif state.entries:
                entry = sorted(state.entries.items())[0][1]
                state.clear(entry.key, entry.since_ms)
            expected = {
                key
                for key, entry in state.entries.items()
                if entry.blocks(item)
            }
            found = {entry.key for entry in state.blocking(item)}
            self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
