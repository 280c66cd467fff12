import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.dispatch import waiting
from bergamotmill.util import virtual_loop

GO = waiting.Verdict.GO
HOLD = waiting.Verdict.HOLD
REFUSE = waiting.Verdict.REFUSE


def outlook(wait=0.0, read=0.1, target=0.8, left=3.2, allowed=3.2):
    return waiting.Outlook(wait, read, target, left, allowed)


class JudgeTest(unittest.TestCase):
    def test_what_begins_in_time_goes(self):
        self.assertIs(waiting.admission_verdict(outlook(wait=0.5)), GO)

    def test_what_would_be_late_waits_here(self):
        self.assertIs(waiting.admission_verdict(outlook(wait=0.7)), HOLD)

    def test_late_work_goes_only_to_an_idle_engine(self):
        late = {"target": -0.5, "left": 2.6}
        self.assertIs(
            waiting.admission_verdict(outlook(wait=0.2, **late)), HOLD
        )
        self.assertIs(waiting.admission_verdict(outlook(wait=0.0, **late)), GO)

    def test_nothing_is_held_to_its_deadline(self):
        waited = waiting.HOLD_FRACTION * 3.2 + 0.01
        late = outlook(wait=0.7, target=0.8 - waited, left=3.2 - waited)
        self.assertIs(waiting.admission_verdict(late), REFUSE)

    def test_a_wait_too_short_to_tell_is_none(self):
        waited = waiting.HOLD_FRACTION * 3.2 - 1e-7
        late = outlook(wait=0.7, target=0.8 - waited, left=3.2 - waited)
        self.assertIs(waiting.admission_verdict(late), REFUSE)

    def test_a_prompt_too_large_to_be_in_time_is_not_starved(self):
        large = outlook(wait=0.08, read=1.2)
        self.assertIs(waiting.admission_verdict(large), GO)

    @hypothesis.given(
        strategies.floats(0, 20),
        strategies.floats(0, 3),
        strategies.floats(0, 10),
    )
    def test_no_request_is_judged_held_past_its_limit(self, wait, read, spent):
        allowed = 10.0
        late = outlook(wait, read, 0.8 - spent, allowed - spent, allowed)
        verdict = waiting.admission_verdict(late)
        if spent >= waiting.HOLD_FRACTION * allowed:
            self.assertIsNot(verdict, HOLD)
        if verdict is HOLD:
            self.assertGreater(waiting.hold_time_left_s(late), 0)


class Engine:
    """An engine that works off what it is sent, in order."""

    def __init__(self):
        self.free_at = 0.0

    def wait(self, now):
        return max(0.0, self.free_at - now)

    def send(self, work, now):
        self.free_at = max(self.free_at, now) + work
        return self.free_at


def replay(judge, seconds=12.0, load=1.5, work=0.1, target=0.8, seed=1):
    """Plays an overload; returns served in time, late, refused."""
    rng = random.Random(seed)
    engine = Engine()
    allowed = 3.2
    arrivals = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(load / work)
        arrivals.append((now, now))
    counts = {"in_time": 0, "late": 0, "refused": 0}
    while arrivals:
        arrivals.sort()
        now, came = arrivals.pop(0)
        spent = now - came
        verdict = judge(
            outlook(
                engine.wait(now), work, target - spent, allowed - spent, allowed
            )
        )
        if verdict is GO:
            first = engine.send(work, now) - came
            counts["in_time" if first <= target else "late"] += 1
        elif verdict is HOLD:
            arrivals.append((now + waiting.TICK_S, came))
        else:
            counts["refused"] += 1
    return counts


class OverloadTest(unittest.TestCase):
    """The load of a fleet that has lost half of its engines."""

    def test_most_of_what_an_engine_can_do_is_in_time(self):
        capacity = 12.0 / 0.1
        counts = replay(waiting.admission_verdict)
        self.assertGreater(counts["in_time"], 0.85 * capacity)

    def test_sending_everything_at_once_makes_nearly_all_late(self):
        counts = replay(lambda _: GO)
        self.assertLess(counts["in_time"], 0.35 * 12.0 / 0.1)

    def test_without_overload_nothing_is_refused(self):
        counts = replay(waiting.admission_verdict, load=0.6)
        self.assertEqual(counts["refused"], 0)
        self.assertEqual(counts["late"], 0)


class AdmissionQueueTest(unittest.TestCase):
    def run_room(self, scenario):
        async def main():
            room = waiting.AdmissionQueue(random.Random(1))
            try:
                return await scenario(room)
            finally:
                room.close()

        return virtual_loop.run(main())

    def test_the_most_urgent_and_oldest_look_first(self):
        async def scenario(room):
            order = []

            async def one(name, priority, since):
                await room.wait(priority, since, 5.0)
                order.append(name)

            tasks = [
                asyncio.create_task(one("young", 1, 2.0)),
                asyncio.create_task(one("old", 1, 1.0)),
                asyncio.create_task(one("urgent", 0, 3.0)),
                asyncio.create_task(one("last", 2, 0.0)),
            ]
            await asyncio.gather(*tasks)
            return order

        self.assertEqual(
            self.run_room(scenario), ["urgent", "old", "young", "last"]
        )

    def test_a_wait_ends_at_its_limit(self):
        async def scenario(room):
            loop = asyncio.get_running_loop()
            waits = [
                asyncio.create_task(room.wait(0, index, 0.05))
                for index in range(50)
            ]
            await asyncio.gather(*waits)
            return loop.time()

        self.assertLess(self.run_room(scenario), 0.06)

    def test_one_that_left_takes_no_turn(self):
        async def scenario(room):
            gone = asyncio.create_task(room.wait(0, 0.0, 5.0))
            stays = asyncio.create_task(room.wait(1, 0.0, 5.0))
            await asyncio.sleep(0)
            gone.cancel()
            await stays
            return asyncio.get_running_loop().time()

        self.assertLess(self.run_room(scenario), 0.2)


if __name__ == "__main__":
    unittest.main()
