import math
import unittest

from bergamotmill.control import const
from bergamotmill.control import members
from bergamotmill.control import watch

State = members.MemberState


def fleet_of(*sizes):
    return [
        members.Member(
            f"vm-{data_centre}-{index}",
            1,
            State.ALIVE,
            0,
            "a:1",
            "a:2",
            f"dc-{data_centre}",
        )
        for data_centre, size in enumerate(sizes)
        for index in range(size)
    ]


def names(found):
    return [member.name for member in found]


class TargetsTest(unittest.TestCase):
    def watchers(self, fleet, count):
        watchers = {member.name: set() for member in fleet}
        for member in fleet:
            for target in watch.targets(member.name, fleet, count):
                watchers[target.name].add(member.name)
        return watchers

    def test_each_router_has_the_same_number_of_watchers(self):
        for sizes in ((2, 2, 2, 1), (1, 23), (32,) * 6, (63,)):
            with self.subTest(sizes):
                fleet = fleet_of(*sizes)
                expected = min(6, len(fleet) - 1)
                for found in self.watchers(fleet, 6).values():
                    self.assertEqual(len(found), expected)

    def test_small_fleet_watches_all(self):
        fleet = fleet_of(2, 2, 2, 1)
        for found in self.watchers(fleet, 6).values():
            self.assertEqual(len(found), 6)

    def test_end_of_a_data_centre_leaves_each_router_a_watcher(self):
        for sizes in ((2, 2, 2, 1), (10, 10), (40, 10, 10), (30, 3), (5, 1)):
            fleet = fleet_of(*sizes)
            watchers = self.watchers(fleet, 6)
            for data_centre in range(len(sizes)):
                with self.subTest(sizes, data_centre=data_centre):
                    lost = {
                        member.name
                        for member in fleet
                        if member.data_centre == f"dc-{data_centre}"
                    }
                    unwatched = [n for n in lost if not watchers[n] - lost]
                    # One data centre with most of the routers has more in a
                    # row than are watched; the rest is found one step later.
                    share = len(lost) / len(fleet)
                    if share <= 0.8:
                        self.assertEqual(unwatched, [])

    def test_routers_behind_dead_ones_are_watched(self):
        fleet = fleet_of(12)
        order = watch.ring(fleet)
        own = order[0].name
        dead = [
            members.Member(m.name, 1, State.DEAD, 0, "a:1", "a:2", "dc-0")
            if m.name in names(order[1:4])
            else m
            for m in fleet
        ]
        found = names(watch.targets(own, dead, 3))
        self.assertEqual(found, names(order[1:7]))

    def test_all_watch_all_is_bounded(self):
        fleet = [
            members.Member(m.name, 1, State.DEAD, 0, "a:1", "a:2", "dc-0")
            for m in fleet_of(200)
        ]
        found = watch.targets(fleet[0].name, fleet, 6)
        self.assertEqual(len(found), const.MAX_WATCHED_ROUTERS)


class WatchTest(unittest.TestCase):
    def setUp(self):
        self.watch = watch.Watch(watch.Terms(6, 0.8), 0.0)

    def run_until(self, end_s, start_s=0.0):
        """Returns when the target was checked first and found missing."""
        now = start_s
        checked_at = math.inf
        while now < end_s:
            if self.watch.due_checks(now):
                checked_at = min(checked_at, now)
            if self.watch.unanswered():
                return checked_at, now
            now += const.WATCH_TICK_S
        return checked_at, math.inf

    def test_new_target_is_checked_at_once(self):
        self.watch.set_targets(["a"], 0.0)
        self.assertEqual(self.watch.due_checks(0.0), ["a"])

    def test_target_that_does_not_answer_is_found_in_time(self):
        self.watch.set_targets(["a"], 0.0)
        self.watch.note_heard("a", 0.0)
        checked_at, missing_at = self.run_until(5.0)
        self.assertLessEqual(checked_at, 0.8 + const.WATCH_TICK_S)
        self.assertLess(
            missing_at,
            0.8 + (const.WATCH_CHECKS + 1) * const.WATCH_TICK_S + 1e-6,
        )

    def test_answer_ends_the_checks(self):
        self.watch.set_targets(["a"], 0.0)
        self.watch.due_checks(0.0)
        self.watch.note_heard("a", 0.1)
        self.assertEqual(self.watch.due_checks(0.2), [])
        self.assertEqual(self.watch.unanswered(), [])

    def test_dead_target_is_checked_once_a_period(self):
        self.watch.set_targets(["a"], 0.0)
        checks = sum(len(self.watch.due_checks(t * 0.2)) for t in range(100))
        self.assertLess(checks, 20.0 / 0.8 + 6)

    def test_watched_router_is_fresh_while_it_is_heard(self):
        self.watch.set_targets(["a"], 0.0)
        self.watch.note_heard("a", 1.0)
        end_s = 1.0 + const.CONTACT_LIFETIME_S
        self.assertTrue(self.watch.is_fresh("a", end_s))
        self.assertFalse(self.watch.is_fresh("a", end_s + 0.01))
        self.assertTrue(self.watch.is_fresh("not watched", end_s + 0.01))


if __name__ == "__main__":
    unittest.main()
