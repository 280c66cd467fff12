"""Who is named in fleets of membership and liveness alone."""

import argparse
import random
import unittest
import unittest.mock

from bergamotmill.bench import membership as membership_bench
from bergamotmill.control import const
from bergamotmill.control import liveness
from bergamotmill.control import members
from bergamotmill.control import membership as fleet_membership
from bergamotmill.proto import peer_pb2
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.storage.vm_list import const as vm_const

# The directory's bound, see tests/dispatch/test_directory.py.
BOUND_S = 4.0
# Control has 3 KB/s for everything.
MAX_BYTES_PER_S = 2000


class FleetTest(unittest.TestCase):
    def play(self, routers, data_centres, fault, draws=3, loss=0.0, seed=1):
        return membership_bench.run(
            argparse.Namespace(
                routers=routers,
                data_centres=data_centres,
                fault=fault,
                draws=draws,
                seed=seed,
                loss=loss,
            )
        )

    # DRAIN, issue 38.
    def test_routers_that_end_are_not_named_for_long_in_any_fleet(self):
        for routers, data_centres in ((2, 1), (7, 4), (7, 1), (24, 4), (63, 6)):
            for fault in membership_bench.FAULTS:
                if routers == 2 and fault != "one":
                    continue
                with self.subTest(routers, fault=fault):
                    figures = self.play(routers, data_centres, fault, 2)
                    self.assertLess(figures["named_for_worst_s"], BOUND_S)
                    self.assertEqual(figures["sound_missing"], 0)
                    self.assertLess(
                        figures["bytes_sent_per_s"], MAX_BYTES_PER_S
                    )

    def test_lost_messages_delay_it_within_the_bound(self):
        for routers in (7, 24):
            figures = self.play(routers, 4, "fifth", loss=0.1)
            self.assertLess(figures["named_for_worst_s"], BOUND_S)

    def test_change_that_is_not_spread_is_found_within_the_bound(self):
        original = liveness.ChangeSpreader.on_change
        liveness.ChangeSpreader.on_change = lambda self, member: None
        try:
            figures = self.play(24, 4, "fifth")
        finally:
            liveness.ChangeSpreader.on_change = original
        self.assertLess(figures["named_for_worst_s"], BOUND_S)


def member(name, state=members.MemberState.ALIVE, sequence=0):
    return members.Member(name, 1, state, sequence, "a:1", "a:2", "dc")


class NamingTest(unittest.TestCase):
    """One router with a clock of its own, and nobody who answers calls."""

    def setUp(self):
        self.now = 100.0
        self.sent = []
        self.membership = fleet_membership.Membership(
            member("own"), None, random.Random(1), lambda: self.now, lambda: 0
        )
        self.monitor = liveness.LivenessMonitor(
            self.membership,
            liveness.Links(lambda name, message: self.sent.append(name)),
            random.Random(1),
            lambda: self.now,
        )
        self.spawned = []
        self.monitor._tasks.spawn = self.spawn
        self.monitor._spreader._call_later = lambda *arguments: None
        for name in ("a", "b"):
            self.membership.merge(member(name), "seed", spread=False)

    def spawn(self, coroutine):
        coroutine.close()
        self.spawned.append(coroutine)
        return unittest.mock.MagicMock()

    def hear(self, name, **fields):
        self.monitor.on_check(
            peer_pb2.Check(
                sender=name,
                incarnation=1,
                is_answer=True,
                alive=self.membership.alive_digest(),
                **fields,
            )
        )

    def tick(self, seconds=const.WATCH_TICK_S):
        self.now += seconds
        self.monitor.tick()

    def named(self):
        return sorted(m.name for m in self.monitor.named())

    def test_all_that_are_heard_are_named(self):
        self.tick()
        self.hear("a")
        self.hear("b")
        self.assertEqual(self.named(), ["a", "b", "own"])

    def test_router_that_is_no_longer_heard_is_not_named(self):
        self.tick()
        for _ in range(20):
            self.hear("a")
            self.tick()
        self.assertEqual(self.named(), ["a", "own"])

    def test_suspended_router_names_only_those_it_hears_again(self):
        self.tick()
        self.hear("a")
        self.hear("b")
        self.now += 2.0
        # Asked before its first tick.
        self.assertEqual(self.named(), ["own"])
        self.tick()
        self.assertEqual(self.named(), ["own"])
        self.hear("b")
        self.assertEqual(self.named(), ["b", "own"])

    def test_isolated_router_names_itself_and_suspects_nobody(self):
        for _ in range(30):
            self.tick()
        self.assertEqual(self.named(), ["own"])
        self.assertEqual([m.name for m in self.membership.alive()], ["own"])
        states = {m.state for m in self.membership.known.values()}
        self.assertEqual(states, {members.MemberState.ALIVE})

    def test_older_incarnation_is_no_sign_of_life(self):
        self.membership.merge(
            members.Member(
                "a", 2, members.MemberState.ALIVE, 0, "a:1", "a:2", "dc"
            ),
            "b",
            spread=False,
        )
        for _ in range(20):
            self.hear("a")
            self.hear("b")
            self.tick()
        self.assertEqual(self.named(), ["b", "own"])

    def test_router_learns_that_an_unknown_one_is_dead(self):
        self.membership.merge(
            member("c", members.MemberState.DEAD), "a", spread=False
        )
        self.membership.merge(member("c"), "b", spread=False)
        self.assertNotIn("c", [m.name for m in self.membership.alive()])

    def test_listed_router_is_watched_and_a_removed_one_no_longer(self):
        def vm(name):
            return vm_config.Vm(
                name, vm_const.ROLE_ROUTER, "", "dc", front="a:2", peer="a:1"
            )

        self.tick()
        self.membership.apply_vm_list([vm("a"), vm("c")])
        self.sent.clear()
        self.tick()
        self.assertIn("c", self.sent)
        self.membership.apply_vm_list([vm("a")])
        self.sent.clear()
        self.tick()
        self.assertNotIn("c", self.sent)

    def test_digest_follows_all_changes(self):
        def digest():
            return self.membership.alive_digest().digest

        before = digest()
        self.membership.suspect("a", "check")
        self.assertNotEqual(digest(), before)
        self.membership.merge(member("a", sequence=1), "b")
        self.assertEqual(digest(), before)

    def test_suspect_is_told_and_refutes(self):
        self.tick()
        own = member("own", members.MemberState.SUSPECT).to_proto()
        self.hear("a", receiver=own)
        self.assertEqual(self.membership.own.sequence, 1)
        self.assertIn("own", self.named())


if __name__ == "__main__":
    unittest.main()
