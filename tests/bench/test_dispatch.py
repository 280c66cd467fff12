"""The emulator of engines, and an experiment of a few seconds."""

import argparse
import unittest

import loguru

from bergamotmill.bench import dispatch
from bergamotmill.standin.platform import engine_model
from bergamotmill.util import virtual_loop


def never(key):
    del key
    return False


class EngineModelTest(unittest.TestCase):
    def run_engine(self, scenario, memory=100_000):
        async def main():
            self.engine = engine_model.EngineModel(memory)
            return await scenario()

        return virtual_loop.run(main())

    async def read(self, parts, urgency=5, total=None):
        tokens = sum(size for _, size in parts) if total is None else total
        work = self.engine.submit("w1", parts, tokens, urgency, never)
        await work.prefilled.wait()
        self.engine.finish(work)

    def test_a_part_is_read_once_while_it_is_kept(self):
        async def scenario():
            await self.read((("sys", 500), ("a", 1000)))
            await self.read((("sys", 500), ("b", 1000)))
            return self.engine.prefilled_tokens

        self.assertEqual(self.run_engine(scenario), 2500)

    def test_what_was_used_longest_ago_gives_way(self):
        async def scenario():
            for name in ("a", "b", "a", "c"):
                await self.read(((name, 1000),))
            held = self.engine.cached_tokens
            return [held("w1", ((name, 1000),)) for name in "abc"]

        self.assertEqual(self.run_engine(scenario, 2500), [1000, 0, 1000])

    def test_a_part_counts_only_behind_those_before_it(self):
        async def scenario():
            await self.read((("x", 100), ("a", 1000)))
            return self.engine.cached_tokens("w1", (("a", 1000),))

        self.assertEqual(self.run_engine(scenario), 0)

    def test_the_more_urgent_is_read_first(self):
        async def scenario():
            first = self.engine.submit("w1", (("a", 9000),), 9000, 5, never)
            late = self.engine.submit("w1", (("b", 9000),), 9000, 5, never)
            soon = self.engine.submit("w1", (("c", 1000),), 1000, 2, never)
            await soon.prefilled.wait()
            return first.prefilled.is_set(), late.prefilled.is_set()

        self.assertEqual(self.run_engine(scenario), (False, False))


class ExperimentTest(unittest.TestCase):
    def play(self, *words):
        loguru.logger.remove()
        parser = argparse.ArgumentParser()
        dispatch.add_arguments(parser)
        arguments = parser.parse_args(["--seconds", "3", *words])
        return dispatch.run(arguments)["policies"]

    def test_a_calm_load_is_served_in_time(self):
        found = self.play("--policies", "ours")["ours"]
        self.assertGreater(found["credit"], 0.95)

    def test_the_same_seed_gives_the_same_figures(self):
        words = ("--policies", "ours", "--case", "weights")
        self.assertEqual(self.play(*words), self.play(*words))


if __name__ == "__main__":
    unittest.main()
