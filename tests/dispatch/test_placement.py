import random
import unittest

from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import upstreams

PROMPT_PARTS = ("system:512", "file:4870", "own:6000")


def generation(parts=PROMPT_PARTS, output_tokens=80):
    prompt_parts = []
    for item in parts:
        name, _, tokens = item.partition(":")
        prompt_parts.append(messages.PromptPart(name, int(tokens)))
    total = sum(part.tokens for part in prompt_parts)
    return messages.Generation("m", total, output_tokens, tuple(prompt_parts))


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

    def choose(self, prompt=None, stale=frozenset(), versions=(1,), **fields):
        prompt = prompt or generation()
        demand = placement.Demand(
            prefixes={
                version: placement.build_prefix(prompt, f"w{version}")
                for version in versions
            },
            worth=placement.generation_worth(prompt),
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

    def record_prefix(self, name, prompt=None, scope="w1", ready_s=0.0):
        prefix = placement.build_prefix(prompt or generation(), scope)
        for digest in prefix.digests[:-1]:
            self.known.learn(digest, name, ready_s)


class PlacementTest(PlacementCase):
    def test_routers_without_records_choose_the_same_engine(self):
        chosen = set()
        for seed in range(8):
            self.placement = placement.Placement(
                "ab"[seed % 2], lambda: 0, random.Random(seed)
            )
            best = self.choose().best
            chosen.add(best.upstream.entry.name)
        self.assertEqual(len(chosen), 1)

    def test_engine_that_holds_the_prefix_is_chosen(self):
        self.record_prefix("e0")
        best = self.choose().best
        self.assertEqual(best.upstream.entry.name, "e0")
        self.assertEqual(best.cached_tokens, 5382)

    def test_prefix_is_copied_from_a_holder_with_a_long_backlog(self):
        self.record_prefix("e0")
        self.known.by_name["e0"].add_work(2.0, self.now)
        best = self.choose().best
        self.assertNotEqual(best.upstream.entry.name, "e0")
        self.assertEqual(best.source, "10.0.0.0:1")

    def test_prefix_is_not_copied_before_it_is_computed(self):
        self.record_prefix("e0", ready_s=0.4)
        best = self.choose().best
        self.assertEqual(best.upstream.entry.name, "e0")
        self.known.by_name["e0"].add_work(6.0, self.now)
        self.assertEqual(self.choose().best.source, "")
        self.now += 0.5
        self.assertEqual(self.choose().best.source, "10.0.0.0:1")

    def test_newly_stored_tokens_evict_the_least_recently_used_prefix(self):
        self.known.set_memory_tokens("s", 100_000)
        self.record_prefix("e0")
        self.known.by_name["e0"].note_stored_tokens(70_000)
        self.now += 100.0
        self.assertEqual(self.choose().best.cached_tokens, 5382)
        self.record_prefix("e0")
        self.known.by_name["e0"].note_stored_tokens(70_000)
        self.assertEqual(self.choose().best.cached_tokens, 5382)
        self.known.by_name["e0"].note_stored_tokens(20_000)
        self.assertEqual(self.choose().best.cached_tokens, 0)

    def test_prefix_cached_for_other_weights_does_not_count(self):
        self.record_prefix("e0", scope="w2")
        self.assertEqual(self.choose().best.cached_tokens, 0)

    def test_new_incarnation_holds_nothing(self):
        self.record_prefix("e0")
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
        self.assertEqual(self.choose().best.cached_tokens, 0)

    def test_stale_weights_are_used_only_when_other_engines_are_busy(self):
        for name in ("e1", "e2", "e3"):
            self.add(name, "a", weights=1, cold_left_s=0.0)
        fresh = self.add("e9", "a", weights=2)
        stale = frozenset({1})
        best = self.choose(versions=(1, 2), stale=stale).best
        self.assertEqual(best.upstream.entry.name, "e9")
        fresh.add_work(5.0, self.now)
        best = self.choose(versions=(1, 2), stale=stale).best
        self.assertNotEqual(best.upstream.entry.name, "e9")

    def test_weights_past_their_time_limit_are_never_used(self):
        self.assertIsNone(self.choose(versions=(2,)))

    def test_small_last_part_goes_to_the_owner_of_the_preceding_parts(self):
        first = generation(("p:341", "x:227", "own:1800"))
        second = generation(("p:341", "y:227", "own:1800"))
        first_engine = self.choose(first).best.upstream.entry.name
        second_engine = self.choose(second).best.upstream.entry.name
        self.assertEqual(first_engine, second_engine)

    def test_engine_under_an_order_is_avoided(self):
        self.record_prefix("e0")
        self.known.by_name["e0"].note_order(self.now)
        self.assertNotEqual(self.choose().best.upstream.entry.name, "e0")


class HerdTest(PlacementCase):
    """Seven routers see one engine become idle at the same moment.

    Each must expect the others to send requests there as well; otherwise they
    overload the engine together.
    """

    def place_requests(self, peers):
        self.placement = placement.Placement(
            "a", lambda: peers, random.Random(1)
        )
        counts = {}
        for index in range(8):
            prompt = generation((f"s{index}:10", f"own{index}:4000"))
            best = self.choose(prompt).best
            name = best.upstream.entry.name
            counts[name] = counts.get(name, 0) + 1
            best.upstream.note_started(str(index), best.work_s, self.now)
        return counts

    def test_unseen_work_of_peers_spreads_requests(self):
        for name in ("e1", "e2", "e3"):
            self.known.by_name[name].add_work(0.4, self.now)
        without_peers = self.place_requests(0).get("e0", 0)
        self.setUp()
        for name in ("e1", "e2", "e3"):
            self.known.by_name[name].add_work(0.4, self.now)
        with_six_peers = self.place_requests(6).get("e0", 0)
        self.assertLess(with_six_peers, without_peers)
        self.assertGreater(without_peers, 1)


if __name__ == "__main__":
    unittest.main()
