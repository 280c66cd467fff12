import collections
import random
import unittest

from bergamotmill import core
from bergamotmill.bench import baselines  # noqa: F401
from bergamotmill.routing import chain
from bergamotmill.routing import decision
from bergamotmill.routing import messages
from bergamotmill.routing import view
from bergamotmill.upstream.engine import config

NAMES = ("a", "b", "c")


class Router:
    def __init__(self, policy="predictive", seed=1, names=NAMES):
        self.now = 100.0
        self.view = view.FleetView(lambda: self.now)
        replicas = {name: core.Replica(name, "", "dc") for name in names}
        self.view.set_replicas(replicas, lambda _: 0.001)
        self.policy = decision.POLICIES.get(policy)(
            self.view, messages.ScoreWeights(), random.Random(seed)
        )
        for name in names:
            self.report(name)

    def report(self, name, queued=0.0, incarnation=1, version="v1", **more):
        loaded = config.LoadedModel("m", version, config.ModelState.READY)
        self.view.on_report(
            name,
            config.LoadReport(
                incarnation,
                self.now,
                {1: queued},
                0,
                32,
                0.0,
                8000.0,
                {"m": loaded},
                **more,
            ),
        )

    def make_request(
        self, text=b"x" * 48000, customer="one", version="v1", **more
    ):
        salt = chain.salt(customer, 0, "m", "", version)
        built = chain.build(text, salt, 8000, 2000)
        return messages.RoutingRequest(
            "r", customer, "m", "", version, "", 1, 1.0, built, **more
        )

    def decide(self, request):
        return self.policy.decide(request, self.now).unwrap()

    def serve(self, request, cached=0):
        decided = self.decide(request)
        self.policy.record_dispatch(decided, self.now)
        self.policy.record_answer(decided, cached, self.now)
        return decided.choice.replica


class DecisionTest(unittest.TestCase):
    def test_chooses_replica_with_cached_prompt(self):
        router = Router()
        first = router.serve(router.make_request())
        longer = router.make_request(b"x" * 56000)
        self.assertEqual(router.decide(longer).choice.replica, first)
        self.assertGreater(router.decide(longer).choice.cached_tokens, 10_000)

    def test_avoids_cached_replica_with_long_queue(self):
        router = Router()
        first = router.serve(router.make_request())
        router.now += 1.0
        for name in NAMES:
            router.report(name, 900_000.0 if name == first else 0.0)
        self.assertNotEqual(
            router.decide(router.make_request()).choice.replica, first
        )

    def test_new_incarnation_invalidates_cached_prefixes(self):
        router = Router()
        first = router.serve(router.make_request())
        router.report(first, incarnation=2)
        for candidate in router.decide(router.make_request()).candidates:
            self.assertEqual(candidate.known_level, 0, candidate)

    def test_late_event_of_old_incarnation_is_ignored(self):
        router = Router()
        request = router.make_request()
        router.report("a", incarnation=2)
        event = config.CacheEvent(1, True, request.chain.digests[0])
        router.view.on_cache_events("a", 1, [event], 0)
        for candidate in router.decide(request).candidates:
            self.assertEqual(candidate.known_level, 0)

    def test_answer_of_old_incarnation_is_ignored(self):
        router = Router()
        decided = router.decide(router.make_request())
        router.policy.record_dispatch(decided, router.now)
        router.report(decided.choice.replica, incarnation=2)
        router.policy.record_answer(decided, 12_000, router.now)
        for candidate in router.decide(router.make_request()).candidates:
            self.assertEqual(candidate.known_level, 0)

    def test_customers_and_versions_share_no_cache(self):
        router = Router()
        router.serve(router.make_request())
        other = router.decide(router.make_request(customer="two"))
        self.assertEqual(other.choice.known_level, 0)
        for name in NAMES:
            router.report(name, version="v2")
        newer = router.decide(router.make_request(version="v2"))
        self.assertEqual(newer.choice.known_level, 0)

    def test_wrong_version_draining_and_leaving_get_no_requests(self):
        router = Router()
        router.report("a", version="v2")
        router.now += 1
        router.report("b", draining=True)
        router.view.set_leaving(frozenset({"c"}))
        self.assertTrue(
            router.policy.decide(router.make_request(), 101.0).is_err()
        )

    def test_failed_replica_is_ejected_and_returns_gradually(self):
        router = Router()
        router.view.on_request_failed("a", eject_immediately=True)
        names = {
            candidate.replica
            for candidate in router.decide(router.make_request()).candidates
        }
        self.assertEqual(names, {"b", "c"})
        router.now += 1.5
        back = router.decide(router.make_request()).candidates
        penalty = {candidate.replica: candidate.penalty_s for candidate in back}
        self.assertGreater(penalty["a"], 0.5)
        self.assertEqual(penalty["b"], 0.0)

    def test_event_gaps_lower_survival_probability(self):
        router = Router()
        request = router.make_request()
        digest = request.chain.digests[0]
        first = [config.CacheEvent(1, True, digest)]
        router.view.on_cache_events("a", 1, first, 0)
        before_gaps = router.view.views["a"].prefix_survival_probability(
            router.now - 10, router.now
        )
        for sequence in range(10, 200, 10):
            event = config.CacheEvent(sequence, True, sequence)
            router.view.on_cache_events("a", 1, [event], sequence - 10)
        after_gaps = router.view.views["a"].prefix_survival_probability(
            router.now - 10, router.now
        )
        self.assertLess(after_gaps, before_gaps)
        self.assertGreater(after_gaps, 0.5)

    def test_offloaded_prefix_is_imported_when_faster(self):
        router = Router()
        request = router.make_request(
            offloaded_tokens=12_000, import_tokens_per_s=40_000.0
        )
        self.assertTrue(router.decide(request).choice.imports)
        slow = router.make_request(
            offloaded_tokens=12_000, import_tokens_per_s=4_000.0
        )
        self.assertFalse(router.decide(slow).choice.imports)


class HerdTest(unittest.TestCase):
    """Seven routers act on the same report, which shows one replica idle."""

    def idle_replica_share(self, policy):
        names = tuple(f"replica-{index}" for index in range(8))
        chosen = collections.Counter()
        routers = [Router(policy, seed, names) for seed in range(7)]
        for router in routers:
            for name in names:
                router.report(name, 0.0 if name == names[0] else 400.0)
        for number in range(10):
            for index, router in enumerate(routers):
                request = router.make_request(
                    f"{number}/{index}".encode() * 4000
                )
                decided = router.decide(request)
                chosen[decided.choice.replica] += 1
                router.policy.record_dispatch(decided, router.now)
                if policy == "predictive":
                    self.send_notice(routers, router, decided)
        return chosen[names[0]] / sum(chosen.values())

    def send_notice(self, routers, sender, decided):
        tokens = float(decided.request.chain.total_tokens)
        choice = decided.choice
        sender.view.views[choice.replica].load.add_dispatched(
            tokens, 1, sender.now
        )
        for router in routers:
            if router is not sender:
                router.view.on_notice(choice.replica, 1, "one", (), tokens, 1)

    def test_least_loaded_policy_herds_and_predictive_does_not(self):
        self.assertEqual(self.idle_replica_share("least_loaded"), 1.0)
        self.assertLess(self.idle_replica_share("predictive"), 0.4)


if __name__ == "__main__":
    unittest.main()
