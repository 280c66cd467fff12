"""Evidence for and against requests as a whole."""

import unittest

from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import request_fingerprint

MODEL = "drafter"
WALL_S = 1_700_000_000.0
# Crashes that are this far apart do not count as one.
MOMENT_S = 2 * prompt_quarantine.SAME_MOMENT_S


def name_of(request):
    return request_fingerprint.fingerprint((request,))


def prompt(*requests, parts=(), customer="one", model=MODEL):
    return prompt_quarantine.make_prompt(
        model, parts, customer, map(name_of, requests)
    )


def crash(number):
    return prompt_quarantine.Crash(f"e{number}", number)


class RequestQuarantineTest(unittest.TestCase):
    def setUp(self):
        self.state = prompt_quarantine.PromptQuarantine()
        self.now = 100.0

    def answer(self, *requests, count=1, **fields):
        for _ in range(count):
            cleared = self.state.record_answer(
                prompt(*requests, **fields), self.now
            )
        return cleared

    def crash(self, number, *requests, **fields):
        """Records a crash and applies the entry that follows, if any."""
        self.now += MOMENT_S
        lost = prompt(*requests, **fields)
        self.state.record_crash(lost, crash(number), self.now)
        entry = self.state.judge(lost, self.now, WALL_S + self.now)
        if entry is not None:
            self.state.apply(entry)
        return entry

    def blocks(self, *requests, **fields):
        return bool(self.state.blocking(prompt(*requests, **fields)))

    def test_request_is_quarantined_after_two_crashes(self):
        self.assertIsNone(self.crash(1, "bad"))
        entry = self.crash(2, "bad")
        self.assertTrue(entry.is_whole_request)
        self.assertFalse(entry.contested)
        self.assertTrue(self.blocks("bad"))
        self.assertFalse(self.blocks("other"))

    def test_requests_without_a_model_are_quarantined_as_well(self):
        self.crash(1, "bad", model="")
        self.crash(2, "bad", model="")
        self.assertTrue(self.blocks("bad", model=""))

    def test_request_that_is_answered_all_the_time_is_not_blamed(self):
        for number in range(8):
            self.answer("popular", count=3)
            self.assertIsNone(self.crash(number, "popular"))

    def test_request_that_begins_to_crash_replicas_is_quarantined(self):
        self.answer("popular", count=50)
        self.crash(1, "popular")
        self.assertIsNone(self.crash(2, "popular"))
        self.assertIsNotNone(self.crash(3, "popular"))

    def test_replicas_that_end_together_do_not_blame_a_request(self):
        self.answer("popular")
        for number in range(6):
            self.state.record_crash(prompt("popular"), crash(number), self.now)
        found = self.state.judge(prompt("popular"), self.now, WALL_S)
        self.assertIsNone(found)

    def test_part_that_may_be_at_fault_goes_before_the_request(self):
        self.crash(1, "bad", parts=["rare"])
        entry = self.crash(2, "bad", parts=["rare"])
        self.assertEqual(entry.parts, {"rare"})

    def test_answered_parts_are_not_held_back_with_the_request(self):
        self.answer("other", parts=["sys", "file"], count=2)
        for number in range(3):
            self.crash(number, "bad", parts=["sys", "file"])
        self.assertTrue(self.blocks("bad", parts=["sys", "file"]))
        self.assertFalse(self.blocks("other", parts=["sys", "file"]))

    def test_part_at_fault_is_not_hidden_behind_requests(self):
        self.answer("first", parts=["part"])
        self.now += 2 * prompt_quarantine.EVIDENCE_WINDOW_S
        # Each request crashes two replicas and never comes again.
        self.crash(1, "a", parts=["part"])
        self.assertTrue(self.crash(2, "a", parts=["part"]).is_whole_request)
        entry = self.crash(3, "b", parts=["part"])
        self.assertEqual(entry.parts, {"part"})

    def test_prompt_tells_apart_requests_with_equal_bodies(self):
        # Such requests share one of their two fingerprints.
        self.answer("body", "sound", count=9)
        self.crash(1, "body", "bad")
        self.crash(2, "body", "bad")
        self.assertTrue(self.blocks("body", "bad"))
        self.assertFalse(self.blocks("body", "sound"))

    def test_request_is_found_although_its_prompt_varies(self):
        self.crash(1, "body", "one")
        self.crash(2, "body", "two")
        self.assertTrue(self.blocks("body", "three"))

    def test_request_beside_a_crashing_one_contests_it(self):
        self.record_beside(1)
        self.record_beside(2)
        entry = self.crash(2, "bad")
        self.assertIsNone(entry)
        entry = self.crash(1, "bad")
        self.assertTrue(entry.contested)
        first, last = prompt_quarantine.CONTESTED_TRIAL_PAUSES_S
        pause_s = self.state.trial_at(entry) - WALL_S - self.now
        self.assertTrue(first <= pause_s <= last)

    def test_request_beside_one_crash_only_contests_nothing(self):
        self.crash(1, "beside")
        self.crash(1, "bad")
        self.assertFalse(self.crash(2, "bad").contested)

    def record_beside(self, number):
        self.now += MOMENT_S
        self.state.record_crash(prompt("beside"), crash(number), self.now)

    def contest(self):
        """Returns contested entries of two requests that ran together."""
        for number in (1, 2):
            self.record_beside(number)
            self.state.record_crash(prompt("bad"), crash(number), self.now)
        found = []
        for name in ("beside", "bad"):
            entry = self.state.judge(prompt(name), self.now, WALL_S)
            self.state.apply(entry)
            found.append(entry)
        return found

    def test_crash_without_the_other_request_decides(self):
        beside, bad = self.contest()
        self.assertTrue(bad.contested and beside.contested)
        tried = bad.after_trial(WALL_S + 4.0, contested=True)
        decided = self.state.add_crash(tried, crash(3))
        self.assertFalse(decided.contested)
        # Its next trial comes as late as if it had never been contested.
        self.assertEqual(
            decided.next_trial_at,
            WALL_S + 4.0 + prompt_quarantine.TRIAL_PAUSES_S[1],
        )
        self.state.apply(decided)
        self.assertEqual(
            [item.key for item in self.state.explained_by(decided)],
            [beside.key],
        )

    def test_contested_entry_explains_nothing(self):
        _, bad = self.contest()
        self.assertEqual(self.state.explained_by(bad), [])

    def test_crashes_under_a_known_request_blame_no_other(self):
        self.crash(1, "bad")
        self.crash(2, "bad")
        for number in (1, 2):
            self.assertIsNone(self.crash(number, "beside"))

    def test_request_that_never_returns_keeps_a_part_uncontested(self):
        self.crash(1, "a", parts=["bad"])
        self.assertFalse(self.crash(2, "a", parts=["bad"]).contested)

    def test_customer_with_ever_new_requests_needs_one_crash(self):
        for number in range(prompt_quarantine.MAX_ENTRIES_PER_CUSTOMER):
            self.crash(2 * number, f"bad{number}")
            self.crash(2 * number + 1, f"bad{number}")
        self.assertIsNotNone(self.crash(50, "new"))
        self.assertIsNone(self.crash(51, "foreign", customer="two"))

    def test_answer_ends_the_entry(self):
        self.crash(1, "bad")
        entry = self.crash(2, "bad")
        (cleared,) = self.answer("bad")
        self.assertEqual(cleared.entry, entry)
        self.assertIsNone(cleared.successor)

    def test_requests_leave_the_parts_their_room(self):
        self.answer("first", parts=["part"])
        for number in range(prompt_quarantine.MAX_PARTS_ANSWERED):
            self.answer(f"request{number}")
        self.answer("last", parts=["new"])
        self.assertEqual(self.state.answers((MODEL, "new"), self.now).recent, 1)


if __name__ == "__main__":
    unittest.main()
