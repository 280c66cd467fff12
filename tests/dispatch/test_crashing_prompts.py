"""Prompts with a part that crashes each engine that begins an answer on it."""

import asyncio
import random
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store
from tests import platform_case
from tests.dispatch import disturbances

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
# Long enough for a trial and what follows it, and too short for a trial.
PLAY_S = 48.0
SHORT_PLAY_S = 24.0
DISTURBED_CALM_S = 4.0
DISTURBED_PLAY_S = 26.0


class CrashingLoad(platform_case.PlatformCase):
    """A load of sound prompts, and of prompts that crash engines."""

    def set_crashing_parts(self, *parts):
        standins = [*self.fleet.replicas.values(), *self.fleet.crashed]
        for standin in standins:
            standin.faults.crash_parts = frozenset(parts)

    def sound_parts(self, rng):
        return f"sys:512,file{rng.randrange(12)}:400,{rng.random()}:300"

    def crashing_parts(self, rng):
        return f"sys:512,{CRASHING}:300,{rng.random()}:300"

    async def send(self, results, parts, rng, repeats=0.0, **fields):
        began = self.now()
        if not self.fleet.routers:
            results.append((began, fleet.Answer(0)))
            return
        router = rng.choice(sorted(self.fleet.routers))
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

    async def play_day(self, seed=1, disturb=None, seconds=SHORT_PLAY_S):
        """Plays sound requests, and after a while crashing ones with them."""
        self.set_crashing_parts(CRASHING)
        rng = random.Random(seed)
        sound = asyncio.create_task(
            self.play(CALM_S + seconds, SOUND_PER_S, self.sound_parts, rng)
        )
        await asyncio.sleep(CALM_S)
        disturbance = asyncio.create_task(
            disturb() if disturb else asyncio.sleep(0)
        )
        await self.play(
            seconds,
            CRASHING_PER_S,
            self.crashing_parts,
            rng,
            REPEAT_PROBABILITY,
        )
        until = self.now()
        await disturbance
        results = await sound
        self.assertTrue(self.fleet.crashes)
        self.assert_few_reach_engines()
        self.assert_sound_requests_begin(results, until)


class CrashingPromptsTest(CrashingLoad):
    # BUDGET, issue 29: every request with the part reached two engines.
    def test_prompt_part_that_crashes_engines_is_held_back(self):
        self.run_fleet(
            lambda: self.play_day(seconds=PLAY_S), routers=7, engines=9
        )

    def test_part_at_fault_may_stand_anywhere(self):
        for template in (
            "{bad}:90,sys:512,{own}:300",
            "sys:512,{bad}:90,a:9,{own}:9",
        ):
            with self.subTest(template):
                self.crashing_parts = lambda rng, text=template: text.format(
                    bad=CRASHING, own=rng.random()
                )
                self.run_fleet(self.play_day, routers=7, engines=9)

    def test_prompts_that_few_requests_share_are_not_blamed(self):
        def rare_parts(rng):
            system, file = rng.randrange(9), rng.randrange(300)
            return f"s{system}:512,f{file}:6000,{rng.random()}:900"

        self.sound_parts = rare_parts
        self.crashing_parts = lambda rng: (
            f"s{rng.randrange(9)}:512,{CRASHING}:300,{rng.random()}:300"
        )

        async def scenario():
            await self.play_day()
            for router in self.fleet.routers.values():
                parts = [e.parts for e in router.quarantine.entries.values()]
                self.assertEqual(parts, [{CRASHING}])

        self.run_fleet(scenario, routers=7, engines=9)

    def test_streams_that_are_not_repeated_count_as_well(self):
        async def scenario():
            self.set_crashing_parts(CRASHING)
            for router in range(4):
                answer = await self.fleet.call(
                    "review", router=router, parts=self.crashing_text()
                )
                self.assertNotEqual(answer.status, 200)
            self.assertEqual(len(self.fleet.crashes), 2)
            self.assert_at_most_once()

        self.run_fleet(scenario, routers=4, engines=5)

    def test_two_parts_at_fault_are_both_held_back(self):
        async def scenario():
            self.set_crashing_parts(CRASHING)
            rng = random.Random(5)
            sound = asyncio.create_task(
                self.play(30.0, SOUND_PER_S, self.sound_parts, rng)
            )
            await asyncio.sleep(CALM_S)
            await self.play(10.0, CRASHING_PER_S, self.crashing_parts, rng)
            first_crashes = len(self.fleet.crashes)
            self.set_crashing_parts("decaf")
            await self.play(
                10.0,
                CRASHING_PER_S,
                lambda rng: f"sys:512,decaf:300,{rng.random()}:300",
                rng,
            )
            await sound
            self.assertLess(first_crashes, CRASHES_UNTIL_LIMIT)
            self.assertLess(
                len(self.fleet.crashes) - first_crashes, CRASHES_UNTIL_LIMIT
            )

        self.run_fleet(scenario, routers=7, engines=9)

    def test_part_is_held_back_while_the_store_is_silent(self):
        async def silence_store():
            self.fleet.store.mode = store.Mode.SILENT
            await asyncio.sleep(20.0)
            self.fleet.store.mode = store.Mode.SERVING

        self.run_fleet(
            lambda: self.play_day(disturb=silence_store), routers=7, engines=9
        )

    def test_part_is_held_back_while_peers_lose_messages(self):
        async def lose_messages():
            self.fleet.bus.loss_rate = 0.4

        self.run_fleet(
            lambda: self.play_day(disturb=lose_messages), routers=7, engines=9
        )

    def test_part_is_held_back_where_owners_place(self):
        self.run_fleet(self.play_day, routers=20, engines=12, data_centres=3)

    def test_routers_that_restart_in_turn_know_the_part(self):
        async def restart_in_turn():
            await asyncio.sleep(3.0)
            for index in range(7):
                await self.fleet.crash_router(index)
                await asyncio.sleep(0.5)
                await self.fleet.start_router(index)
                await asyncio.sleep(1.5)

        self.run_fleet(
            lambda: self.play_day(disturb=restart_in_turn), routers=7, engines=9
        )

    def test_routers_that_all_restart_know_the_part(self):
        async def scenario():
            await self.provoke()
            crashes = len(self.fleet.crashes)
            for index in range(5):
                await self.fleet.crash_router(index)
            await asyncio.sleep(1.0)
            for index in range(5):
                await self.fleet.start_router(index)
            await asyncio.sleep(CONTACT_S)
            answers = await self.call_concurrently(
                20, "check", parts=f"sys:9,{CRASHING}:9,own:9"
            )
            self.assertEqual({a.status for a in answers}, {503})
            self.assertEqual(len(self.fleet.crashes), crashes)

        self.run_fleet(scenario, routers=5, engines=5)

    def test_started_router_knows_the_part_while_the_store_is_away(self):
        async def scenario():
            self.fleet.store.mode = store.Mode.BUSY
            await asyncio.sleep(1.0)
            await self.provoke()
            crashes = len(self.fleet.crashes)
            for index in range(1, 6):
                await self.fleet.crash_router(index)
                router = await self.fleet.start_router(index)
                while not router.is_ready():
                    await asyncio.sleep(0.01)
                answer = await self.fleet.call(
                    "check", router=index, parts=self.crashing_text()
                )
                self.assertEqual(answer.status, 503)
                await asyncio.sleep(1.0)
            self.assertEqual(len(self.fleet.crashes), crashes)

        self.run_fleet(scenario, routers=7, engines=9)

    def test_routers_that_were_cut_off_learn_of_the_part(self):
        async def scenario():
            cut_off = [f"10.0.0.{index + 1}" for index in (0, 1, 2)]
            others = [f"10.0.0.{index + 1}" for index in (3, 4, 5, 6)]
            for host in cut_off:
                for other in [*others, "10.0.3.1"]:
                    self.network.partition(host, other)
            self.set_crashing_parts(CRASHING)
            await self.fleet.call("check", router=4, parts=self.crashing_text())
            self.assertEqual(len(self.fleet.crashes), 2)
            await asyncio.sleep(8.0)
            self.network.heal()
            await asyncio.sleep(CONTACT_S)
            for router in range(7):
                answer = await self.fleet.call(
                    "check", router=router, parts=self.crashing_text()
                )
                self.assertEqual(answer.status, 503)
            self.assertEqual(len(self.fleet.crashes), 2)

        self.run_fleet(scenario, routers=7, engines=9)

    def crashing_text(self):
        return self.crashing_parts(random.Random(self.now()))

    async def provoke(self):
        """Has a request crash two engines, and returns its answer."""
        self.set_crashing_parts(CRASHING)
        answer = await self.fleet.call("check", parts=self.crashing_text())
        self.assertEqual(len(self.fleet.crashes), 2)
        await asyncio.sleep(1.0)
        return answer

    def test_caller_learns_whether_the_request_has_run(self):
        async def scenario():
            answer = await self.provoke()
            self.assertEqual(answer.status, 502)
            arrivals = len(self.arrivals(CRASHING))
            answer = await self.fleet.call("check", parts=self.crashing_text())
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.body, b"prompt_quarantined\n")
            self.assertGreater(float(answer.headers[b"retry-after"]), 20.0)
            self.assertLess(answer.seconds, 0.05)
            self.assertEqual(len(self.arrivals(CRASHING)), arrivals)

        self.run_fleet(scenario, routers=3, engines=5)

    def test_attempts_under_way_are_withdrawn(self):
        async def scenario():
            # Keeps the engines busy, so that prompts wait there.
            for standin in self.fleet.replicas.values():
                standin.engine.prefill_tokens_per_s = 2000.0
            self.set_crashing_parts(CRASHING)
            answers = await asyncio.gather(
                *(
                    self.fleet.call(
                        "check",
                        router=index % 7,
                        parts=f"sys:200,{CRASHING}:{200 + 100 * index},x:100",
                    )
                    for index in range(9)
                )
            )
            self.assertNotIn(200, {answer.status for answer in answers})
            # Without it there are four.
            self.assertLess(len(self.fleet.crashes), 4)

        self.run_fleet(scenario, routers=7, engines=9)

    def test_one_trial_ends_the_quarantine_of_a_sound_part(self):
        async def scenario():
            await self.provoke()
            self.set_crashing_parts()
            statuses = []
            for _ in range(40):
                answers = await self.call_concurrently(
                    6, "check", parts=self.crashing_text(), output=20
                )
                statuses.append({answer.status for answer in answers})
                await asyncio.sleep(1.0)
            self.assertEqual(statuses[0], {503})
            self.assertEqual(statuses[-1], {200})
            # One request for the whole fleet was the trial.
            mixed = [found for found in statuses if len(found) > 1]
            self.assertLessEqual(len(mixed), 1)

        self.run_fleet(scenario, routers=3, engines=5)

    def test_operator_ends_a_quarantine_by_removing_its_document(self):
        async def scenario():
            await self.provoke()
            self.set_crashing_parts()
            entries = await self.fleet.store.memory.scan(
                const.PREFIX_QUARANTINE
            )
            (entry,) = entries.unwrap()
            self.assertIn(CRASHING.encode(), entry.value)
            await self.fleet.store.remove(entry.key)
            await asyncio.sleep(1.0)
            answers = await self.call_concurrently(
                6, "check", parts=self.crashing_text()
            )
            self.assertEqual({answer.status for answer in answers}, {200})

        self.run_fleet(scenario, routers=3, engines=5)

    def test_documents_that_cannot_be_read_hold_nothing_back(self):
        async def scenario():
            for name, value in {
                "a": b"\xff{",
                "b": {"parts": []},
                "c": {"model": 1, "parts": 2, "since_ms": 3},
                "d": {
                    "model": "drafter",
                    "parts": ["sys"],
                    "since_ms": 1,
                    "next_trial_at": 1.0,
                },
            }.items():
                await self.fleet.store.write(
                    const.PREFIX_QUARANTINE + name, value
                )
            await asyncio.sleep(1.0)
            answer = await self.fleet.call("check")
            self.assertEqual(answer.status, 200)

        self.run_fleet(scenario)


class OtherCrashesTest(CrashingLoad):
    """Engines that end by themselves."""

    async def play_sound(self, crash, min_ended=0):
        rng = random.Random(7)
        load = asyncio.create_task(
            self.play(25.0, SOUND_PER_S, self.sound_parts, rng)
        )
        await asyncio.sleep(2.0)
        await crash()
        results = await load
        self.assertGreater(len(self.fleet.crashes), 5)
        ended = [
            router.metrics.counts.get("upstream.ended", 0)
            for router in self.fleet.routers.values()
        ]
        self.assertGreaterEqual(sum(ended), min_ended)
        refused = [a for _, a in results if b"quarantine" in a.body]
        self.assertEqual(refused, [])
        for router in self.fleet.routers.values():
            self.assertEqual(router.quarantine.entry_count, 0)

    async def end_in_series(self):
        rng = random.Random(4)
        for _ in range(12):
            await asyncio.sleep(1.5)
            engines = [s for s in self.fleet.replicas.values() if s.model]
            self.fleet.crash_for_a_time(rng.choice(engines))

    async def end_data_centre(self):
        for _ in range(3):
            await asyncio.sleep(5.0)
            for standin in list(self.fleet.replicas.values()):
                if standin.model and standin.data_centre == "dc-0":
                    self.fleet.crash_for_a_time(standin)

    def slow_engines(self):
        """Makes requests wait without an answer when engines end."""
        for standin in self.fleet.replicas.values():
            standin.engine.prefill_tokens_per_s = 1500.0

    def test_series_of_ends_holds_nothing_back(self):
        self.run_fleet(
            lambda: self.play_sound(self.end_in_series), routers=7, engines=9
        )

    def test_series_of_ends_under_load_holds_nothing_back(self):
        async def scenario():
            self.slow_engines()
            await self.play_sound(self.end_in_series, min_ended=3)

        self.run_fleet(scenario, routers=7, engines=9)

    def test_data_centre_that_ends_holds_nothing_back(self):
        self.run_fleet(
            lambda: self.play_sound(self.end_data_centre), routers=7, engines=9
        )

    def test_data_centre_that_ends_under_load_holds_nothing_back(self):
        async def scenario():
            self.slow_engines()
            await self.play_sound(self.end_data_centre, min_ended=3)

        self.run_fleet(scenario, routers=7, engines=9)

    def test_engines_that_leave_without_a_word_are_no_evidence(self):
        async def scenario():
            for standin in list(self.fleet.replicas.values())[:2]:
                standin.engine.prefill_tokens_per_s = 100.0
            calls = asyncio.gather(
                *(
                    self.fleet.call("check", router=index % 3)
                    for index in range(6)
                )
            )
            await asyncio.sleep(0.1)
            busy = [s for s in self.fleet.replicas.values() if s.runs]
            for standin in busy:
                await standin.deregister()
            await asyncio.sleep(0.5)
            for standin in busy:
                self.fleet.crash_for_a_time(standin)
            await calls
            for router in self.fleet.routers.values():
                self.assertNotIn("upstream.ended", router.metrics.counts)

        self.run_fleet(scenario)

    def test_connections_that_are_reset_are_no_evidence(self):
        async def scenario():
            for standin in self.fleet.replicas.values():
                standin.faults.reset_before_answer = True
            for _ in range(6):
                await self.fleet.call("check")
            self.assertEqual(self.fleet.routers[0].quarantine.entry_count, 0)

        self.run_fleet(scenario)


class RandomDisturbancesTest(disturbances.Disturbances, CrashingLoad):
    """Crashing prompts while other things fail, drawn by a seed."""

    async def play_after_restart(self, seed):
        """Returns the answers to sound requests 10 s after all restarted."""
        rng = random.Random(seed)
        self.set_crashing_parts(CRASHING, "decaf")
        self.sound_parts = lambda rng: (
            f"sys:512,file{rng.randrange(3)}:4870,{rng.random()}:1000"
        )
        self.crashing_parts = lambda rng: (
            f"sys:512,{rng.choice([CRASHING, 'decaf'])}:4870,"
            f"{rng.random()}:1000"
        )
        sound = asyncio.create_task(
            self.play(26.0, SOUND_PER_S, self.sound_parts, rng)
        )
        await asyncio.sleep(4.0)
        await self.restart_all(rng)
        restarted_at = self.now()
        await self.play(18.0, 2 * CRASHING_PER_S, self.crashing_parts, rng, 0.5)
        return [
            answer for at, answer in await sound if at > restarted_at + 10.0
        ]

    def test_popular_parts_are_served_after_all_routers_restarted(self):
        async def scenario():
            answers = await self.play_after_restart(1)
            self.assertGreater(len(answers), 100)
            held_back = [a for a in answers if b"quarantine" in a.body]
            self.assertLess(len(held_back), 0.05 * len(answers))

        self.run_fleet(scenario, routers=3, engines=4)

    async def play_random(self, seed):
        """Plays one seed; returns the engines that prompts have ended."""
        rng = random.Random(seed)
        drawn = self.draw_disturbances(rng)
        self.set_crashing_parts(CRASHING)
        self.crashing_parts = lambda rng: (
            f"sys:512,file{rng.randrange(12)}:90,{CRASHING}:300,"
            f"{rng.random()}:300"
        )
        sound = asyncio.create_task(
            self.play(
                DISTURBED_CALM_S + DISTURBED_PLAY_S,
                SOUND_PER_S,
                self.sound_parts,
                rng,
            )
        )
        await asyncio.sleep(DISTURBED_CALM_S)
        crashing = asyncio.create_task(
            self.play(
                DISTURBED_PLAY_S,
                CRASHING_PER_S,
                self.crashing_parts,
                rng,
                REPEAT_PROBABILITY,
            )
        )
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        await asyncio.gather(*(disturb(rng) for disturb in drawn))
        calm_at = self.now() + CONTACT_S
        await crashing
        until = self.now()
        results = await sound
        ends = sorted(
            run.began for run in self.fleet.runs() if run.outcome == "crashed"
        )
        if len(ends) >= CRASHES_UNTIL_LIMIT:
            limit_at = max(calm_at, ends[CRASHES_UNTIL_LIMIT - 1] + CONTACT_S)
            late = [at for at in self.arrivals(CRASHING) if at > limit_at]
            self.assertLessEqual(len(late), MAX_REQUESTS_AFTER, seed)
        self.assertTrue(ends)
        last = max(calm_at, ends[:CRASHES_UNTIL_LIMIT][-1] + 2 * CONTACT_S)
        before = [a.status == 200 for at, a in results if at < ends[0]]
        after = [a.status == 200 for at, a in results if last < at < until]
        self.assertGreaterEqual(len(after), 20)
        self.assertGreaterEqual(
            sum(after) / len(after),
            MIN_BEGIN_RATIO * sum(before) / len(before),
            seed,
        )
        return len(ends)

    def test_fixed_seeds_keep_the_limits(self):
        for seed in (1, 2, 3):
            with self.subTest(seed):
                self.setUp()
                self.run_fleet(
                    lambda seed=seed: self.play_random(seed),
                    routers=7,
                    engines=9,
                    data_centres=3,
                )


if __name__ == "__main__":
    unittest.main()
