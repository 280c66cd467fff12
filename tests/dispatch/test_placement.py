import random
import unittest

from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import upstreams

PARTS = ("system:512", "file:4870", "own:6000")


def generation(parts=PARTS, output=80):
    found = []
    for item in parts:
        name, _, tokens = item.partition(":")
        found.append(messages.PromptPart(name, int(tokens)))
    total = sum(part.tokens for part in found)
    return messages.Generation("m", total, output, tuple(found))


class PlacementCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.known = upstreams.Upstreams(lambda: self.now)
        self.placement = placement.Placement("a", lambda: 0, random.Random(1))
        for index in range(4):
            self.add(f"e{index}", "a" if index < 2 else "b")

    def add(self, name, data_centre="a", weights=1, **fields):
        entry = upstreams.UpstreamEntry(
            name=name,
            service="s",
            address=f"10.0.0.{name[1:]}:1",
            data_centre=data_centre,
            state=upstreams.UpstreamState.READY,
            slots=64,
            born=1,
            sequence=1,
            weights={"m": weights},
            **fields,
        )
        self.known.put(entry)
        return self.known.by_name[name]

    def decide(self, wanted=None, stale=frozenset(), versions=(1,), **fields):
        wanted = wanted or generation()
        demand = placement.Demand(
            prefixes={
                version: placement.build_prefix(wanted, f"w{version}")
                for version in versions
            },
            worth=placement.generation_worth(wanted),
            target_s=0.8,
            payload_bytes=12_000,
            stale_versions=stale,
            **fields,
        )
        return self.placement.choose_engine(
            demand,
            self.known.ready("s"),
            "m",
            self.known,
            (),
            self.now,
        )

    def learn(self, name, wanted=None, scope="w1", ready_s=0.0):
        prefix = placement.build_prefix(wanted or generation(), scope)
        for digest in prefix.digests[:-1]:
            self.known.learn(digest, name, ready_s)


class PlacementTest(PlacementCase):
    def test_two_processes_that_know_nothing_agree(self):
        chosen = set()
        for seed in range(8):
            self.placement = placement.Placement(
                "ab"[seed % 2], lambda: 0, random.Random(seed)
            )
            found = self.decide().best
            chosen.add(found.upstream.entry.name)
        self.assertEqual(len(chosen), 1)

    def test_a_known_holder_is_kept_to(self):
        self.learn("e0")
        best = self.decide().best
        self.assertEqual(best.upstream.entry.name, "e0")
        self.assertEqual(best.cached_tokens, 5382)

    def test_parts_are_moved_when_their_holder_is_far_behind(self):
        self.learn("e0")
        self.known.by_name["e0"].add_work(2.0, self.now)
        best = self.decide().best
        self.assertNotEqual(best.upstream.entry.name, "e0")
        self.assertEqual(best.source, "10.0.0.0:1")

    def test_parts_are_not_moved_before_they_are_read(self):
        self.learn("e0", ready_s=0.4)
        best = self.decide().best
        self.assertEqual(best.upstream.entry.name, "e0")
        self.known.by_name["e0"].add_work(6.0, self.now)
        self.assertEqual(self.decide().best.source, "")
        self.now += 0.5
        self.assertEqual(self.decide().best.source, "10.0.0.0:1")

    def test_what_an_engine_reads_drives_out_what_was_used_before(self):
        self.known.set_memory_tokens("s", 100_000)
        self.learn("e0")
        self.known.by_name["e0"].note_stored_tokens(70_000)
        self.now += 100.0
        self.assertEqual(self.decide().best.cached_tokens, 5382)
        self.learn("e0")
        self.known.by_name["e0"].note_stored_tokens(70_000)
        self.assertEqual(self.decide().best.cached_tokens, 5382)
        self.known.by_name["e0"].note_stored_tokens(20_000)
        self.assertEqual(self.decide().best.cached_tokens, 0)

    def test_parts_read_for_other_weights_do_not_count(self):
        self.learn("e0", scope="w2")
        self.assertEqual(self.decide().best.cached_tokens, 0)

    def test_a_new_start_holds_nothing(self):
        self.learn("e0")
        entry = self.known.by_name["e0"].entry
        self.known.put(
            upstreams.UpstreamEntry(
                **{
                    name: getattr(entry, name)
                    for name in entry.__dataclass_fields__
                    if name not in ("born", "sequence")
                },
                born=2,
                sequence=0,
            )
        )
        self.assertEqual(self.decide().best.cached_tokens, 0)

    def test_stale_weights_cost_but_serve_when_others_are_full(self):
        for name in ("e1", "e2", "e3"):
            self.add(name, "a", weights=1, cold_left_s=0.0)
        fresh = self.add("e9", "a", weights=2)
        stale = frozenset({1})
        best = self.decide(versions=(1, 2), stale=stale).best
        self.assertEqual(best.upstream.entry.name, "e9")
        fresh.add_work(5.0, self.now)
        best = self.decide(versions=(1, 2), stale=stale).best
        self.assertNotEqual(best.upstream.entry.name, "e9")

    def test_weights_that_are_too_old_are_never_used(self):
        self.assertIsNone(self.decide(versions=(2,)))

    def test_small_last_parts_go_to_the_home_of_what_is_before(self):
        first = generation(("p:341", "x:227", "own:1800"))
        second = generation(("p:341", "y:227", "own:1800"))
        one = self.decide(first).best.upstream.entry.name
        two = self.decide(second).best.upstream.entry.name
        self.assertEqual(one, two)

    def test_an_engine_under_an_order_is_left_alone(self):
        self.learn("e0")
        self.known.by_name["e0"].note_order(self.now)
        self.assertNotEqual(self.decide().best.upstream.entry.name, "e0")


class HerdTest(PlacementCase):
    """Seven routers see one engine become free at the same moment."""

    def spread(self, peers):
        self.placement = placement.Placement(
            "a", lambda: peers, random.Random(1)
        )
        counts = {}
        for index in range(8):
            wanted = generation((f"s{index}:10", f"own{index}:4000"))
            best = self.decide(wanted).best
            name = best.upstream.entry.name
            counts[name] = counts.get(name, 0) + 1
            best.upstream.note_started(str(index), best.work_s, self.now)
        return counts

    def test_what_peers_do_alike_is_counted(self):
        for name in ("e1", "e2", "e3"):
            self.known.by_name[name].add_work(0.4, self.now)
        alone = self.spread(0).get("e0", 0)
        self.setUp()
        for name in ("e1", "e2", "e3"):
            self.known.by_name[name].add_work(0.4, self.now)
        among_seven = self.spread(6).get("e0", 0)
        self.assertLess(among_seven, alone)
        self.assertGreater(alone, 1)


if __name__ == "__main__":
    unittest.main()
