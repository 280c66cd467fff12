"""Prompts with a part that crashes each engine that begins an answer on it."""

import asyncio
import random

from tests import platform_case

CRASHING = "c0ffee"
# The platform's limits: from this time after the fifth crash, at most three
# requests with the part may reach engines; and after twice this time sound
# requests begin at least half as often as before.
CONTACT_S = 3.0
CRASHES_UNTIL_LIMIT = 5
MAX_REQUESTS_AFTER = 3
MIN_BEGIN_RATIO = 0.5
SOUND_PER_S = 25.0
CRASHING_PER_S = 3.0
REPEAT_PROBABILITY = 0.5
CALM_S = 8.0
PLAY_S = 48.0


class CrashingPromptsTest(platform_case.PlatformCase):
    def set_crashing_part(self, part=CRASHING):
        for standin in self.fleet.replicas.values():
            standin.faults.crash_part = part if standin.model else ""

    def sound_parts(self, rng):
        return f"sys:512,file{rng.randrange(12)}:400,{rng.random()}:300"

    def crashing_parts(self, rng):
        return f"sys:512,{CRASHING}:300,{rng.random()}:300"

    async def send(self, results, parts, rng, repeats=0.0, **fields):
        router = rng.choice(sorted(self.fleet.routers))
        began = self.now()
        answer = await self.fleet.call(
            "check", router=router, parts=parts, output=5, **fields
        )
        results.append((began, answer))
        if answer.status != 200 and rng.random() < repeats:
            await self.send(results, parts, rng, **fields)

    async def play(self, seconds, rate_per_s, make_parts, rng, repeats=0.0):
        """Sends requests at random times; returns their times and answers."""
        results = []
        end = self.now() + seconds
        async with asyncio.TaskGroup() as group:
            while self.now() < end:
                await asyncio.sleep(rng.expovariate(rate_per_s))
                group.create_task(
                    self.send(results, make_parts(rng), rng, repeats)
                )
        return results

    def arrivals(self, part):
        """Returns when requests with a part reached engines, in order."""
        return sorted(
            run.began for run in self.fleet.runs() if part in run.parts
        )

    def assert_few_reach_engines(self):
        """Asserts the limit on requests with the part that crashes engines."""
        times = [at for at, _ in self.fleet.crashes]
        if len(times) < CRASHES_UNTIL_LIMIT:
            return
        limit_at = times[CRASHES_UNTIL_LIMIT - 1] + CONTACT_S
        late = [at for at in self.arrivals(CRASHING) if at > limit_at]
        self.assertLessEqual(len(late), MAX_REQUESTS_AFTER)

    def assert_sound_requests_begin(self, results, until):
        """Asserts that sound requests begin half as often as before."""
        times = [at for at, _ in self.fleet.crashes]
        first = times[0]
        last = times[:CRASHES_UNTIL_LIMIT][-1] + 2 * CONTACT_S
        before = [a.status == 200 for at, a in results if at < first]
        after = [a.status == 200 for at, a in results if last < at < until]
        self.assertGreaterEqual(min(len(before), len(after)), 20)
        self.assertGreaterEqual(
            sum(after) / len(after),
            MIN_BEGIN_RATIO * sum(before) / len(before),
        )

    async def play_day(self, seed=1, disturb=None):
        """Plays sound requests, and after a while crashing ones with them."""
        self.set_crashing_part()
        rng = random.Random(seed)
        sound = asyncio.create_task(
            self.play(CALM_S + PLAY_S, SOUND_PER_S, self.sound_parts, rng)
        )
        await asyncio.sleep(CALM_S)
        disturbance = asyncio.create_task(
            disturb() if disturb else asyncio.sleep(0)
        )
        await self.play(
            PLAY_S, CRASHING_PER_S, self.crashing_parts, rng, REPEAT_PROBABILITY
        )
        until = self.now()
        await disturbance
        results = await sound
        self.assertTrue(self.fleet.crashes)
        self.assert_few_reach_engines()
        self.assert_sound_requests_begin(results, until)

    # BUDGET, issue 29: every request with the part reached two engines.
    def test_prompt_part_that_crashes_engines_is_held_back(self):
        self.run_fleet(self.play_day, routers=7, engines=9)
