"""Tests of the platform engine model and of short dispatch experiments."""

import argparse
import unittest

import loguru

from bergamotmill.bench import dispatch
from bergamotmill.standin.platform import engine_model
from bergamotmill.util import virtual_loop


def is_never_known(key):
    del key
    return False


class EngineModelTest(unittest.TestCase):
    def run_engine(self, scenario, memory=100_000):
        async def main():
            self.engine = engine_model.EngineModel(memory)
            return await scenario()

        return virtual_loop.run(main())

    async def prefill(self, parts, urgency=5, total=None):
        tokens = sum(size for _, size in parts) if total is None else total
        work = self.engine.submit("w1", parts, tokens, urgency, is_never_known)
        await work.prefilled.wait()
        self.engine.finish(work)

    def test_cached_part_is_prefilled_once(self):
        async def scenario():
            await self.prefill((("sys", 500), ("a", 1000)))
            await self.prefill((("sys", 500), ("b", 1000)))
            return self.engine.prefilled_tokens

        self.assertEqual(self.run_engine(scenario), 2500)

    def test_least_recently_used_part_is_evicted(self):
        async def scenario():
            for name in ("a", "b", "a", "c"):
                await self.prefill(((name, 1000),))
            cached_tokens = self.engine.cached_tokens
            return [cached_tokens("w1", ((name, 1000),)) for name in "abc"]

        self.assertEqual(self.run_engine(scenario, 2500), [1000, 0, 1000])

    def test_part_counts_as_cached_only_after_the_same_prefix(self):
        async def scenario():
            await self.prefill((("x", 100), ("a", 1000)))
            return self.engine.cached_tokens("w1", (("a", 1000),))

        self.assertEqual(self.run_engine(scenario), 0)

    def test_urgent_request_is_prefilled_first(self):
        async def scenario():
            first = self.engine.submit(
                "w1", (("a", 9000),), 9000, 5, is_never_known
            )
            second = self.engine.submit(
                "w1", (("b", 9000),), 9000, 5, is_never_known
            )
            urgent = self.engine.submit(
                "w1", (("c", 1000),), 1000, 2, is_never_known
            )
            await urgent.prefilled.wait()
            return first.prefilled.is_set(), second.prefilled.is_set()

        self.assertEqual(self.run_engine(scenario), (False, False))


class ExperimentTest(unittest.TestCase):
    def run_experiment(self, *options):
        loguru.logger.remove()
        parser = argparse.ArgumentParser()
        dispatch.add_arguments(parser)
        arguments = parser.parse_args(["--seconds", "3", *options])
        return dispatch.run(arguments)["policies"]

    def test_calm_load_is_served_in_time(self):
        figures = self.run_experiment("--policies", "ours")["ours"]
        self.assertGreater(figures["credit"], 0.95)

    def test_load_is_served_beside_prompts_that_crash_engines(self):
        figures = self.run_experiment(
            "--policies", "ours", "--case", "crashing", "--seconds", "12"
        )["ours"]
        self.assertGreater(figures["crashing_sent"], 10)
        self.assertLessEqual(figures["engines_ended"], 4)
        self.assertGreater(figures["credit"], 0.9)

    def test_load_is_served_beside_a_request_that_crashes_replicas(self):
        figures = self.run_experiment(
            "--policies",
            "ours",
            "--case",
            "crashing_requests",
            "--seconds",
            "12",
        )["ours"]
        self.assertGreater(figures["crashing_sent"], 10)
        self.assertLessEqual(figures["services_ended"], 3)
        self.assertGreater(figures["credit"], 0.9)

    def test_same_seed_repeats_the_figures(self):
        options = ("--policies", "ours", "--case", "weights")
        self.assertEqual(
            self.run_experiment(*options), self.run_experiment(*options)
        )


if __name__ == "__main__":
    unittest.main()
