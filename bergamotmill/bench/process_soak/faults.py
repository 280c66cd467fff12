"""Faults of a soak, injected from outside the routers.

Each fault is a coroutine that begins it, waits and ends it. Several run at
once, and one may come again while it lasts.
"""

import asyncio
from collections.abc import Awaitable, Callable
import random
import signal
import time

from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import fleet as soak_fleet
from bergamotmill.bench.process_soak import proxy
from bergamotmill.standin.platform import store
from bergamotmill.util import registry

Fault = Callable[[soak_fleet.Fleet, random.Random], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")
# A router may need so long to start on a busy machine.
START_S = 3.0
ALL = "all"


def _router(fleet: soak_fleet.Fleet, rng: random.Random) -> soak_fleet.Router:
    return rng.choice(fleet.routers)


async def _kill(fleet, router, rng) -> None:
    router.send(signal.SIGCONT)
    router.send(signal.SIGKILL)
    if router.process is not None:
        await router.process.wait()
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    await router.start()


@FAULTS.register("kill")
async def kill(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Kills one router and starts it again."""
    router = _router(fleet, rng)
    fleet.seen.trouble("kill", router.name, START_S)
    await _kill(fleet, router, rng)


@FAULTS.register("kill_all")
async def kill_all(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Kills all routers at the same moment."""
    fleet.seen.trouble("kill", ALL, START_S)
    async with asyncio.TaskGroup() as group:
        for router in fleet.routers:
            group.create_task(_kill(fleet, router, rng))


@FAULTS.register("end")
async def end(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Asks one router to end, and starts it again."""
    router = _router(fleet, rng)
    if not router.running or router.expected_end:
        return
    fleet.seen.trouble("asked to end", router.name, const.GRACE_S + START_S)
    process = router.process
    # Before it serves, it just ends.
    allowed = {0, -signal.SIGKILL}
    if time.monotonic() - router.started_at < START_S:
        allowed.add(-signal.SIGTERM)
    router.send(signal.SIGTERM)
    began = fleet.now()
    try:
        async with asyncio.timeout(const.GRACE_S):
            await process.wait()
    except TimeoutError:
        # A process that another fault stopped meanwhile has that much longer.
        await _wait_paused(fleet, router, process, began)
    status = process.returncode
    if status is None:
        fleet.seen.ends.append(f"{router.name} did not end in time")
        router.send(signal.SIGKILL)
        await process.wait()
    elif status not in allowed:
        fleet.seen.ends.append(f"{router.name} ended with {status}")
    await router.start()


async def _wait_paused(fleet, router, process, began: float) -> None:
    """Waits for an end as long as the process was stopped since."""
    paused_s = sum(
        item.ended - max(began, item.began)
        for item in fleet.seen.troubles
        if item.kind == "pause"
        and item.target == router.name
        and item.ended > began
    )
    try:
        async with asyncio.timeout(paused_s):
            await process.wait()
    except TimeoutError:
        return


@FAULTS.register("end_in_turn")
async def end_in_turn(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Asks several routers to end, one after another and overlapping."""
    async with asyncio.TaskGroup() as group:
        for _ in range(2):
            group.create_task(end(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 1.0))


@FAULTS.register("pause")
async def pause(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Stops a process for a while."""
    router = _router(fleet, rng)
    seconds = rng.uniform(0.3, 5.0)
    fleet.seen.trouble("pause", router.name, seconds)
    process = router.process
    router.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    if router.process is process:
        router.send(signal.SIGCONT)


@FAULTS.register("reload")
async def reload(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Changes a settings file, with or without a signal."""
    router = _router(fleet, rng)
    rng.shuffle(router.settings["seeds"])
    router.write_settings()
    if rng.random() < 0.7:
        router.send(signal.SIGHUP)


async def _leg(fleet, rng, name: str, kind: str) -> None:
    """Does something to the connections of one proxy for a while."""
    near: proxy.Proxy | None = fleet.proxies.get(name)
    if near is None:
        return
    seconds = rng.uniform(0.5, 4.0)
    how = rng.choice(("delay", "reset", "cut_to", "cut_from", "silence"))
    fleet.seen.trouble(kind, f"{name} {how}", seconds)
    if how == "delay":
        near.leg.delay_s = rng.uniform(0.02, 0.4)
    elif how == "reset":
        near.reset()
        near.leg.refusing = rng.random() < 0.5
    elif how == "silence":
        near.silence()
    else:
        setattr(near.leg, how, True)
    await asyncio.sleep(seconds)
    near.leg = proxy.Leg()


@FAULTS.register("store_leg")
async def store_leg(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Harms the way between one router and the store."""
    name = f"store:{_router(fleet, rng).name}"
    await _leg(fleet, rng, name, "store")


@FAULTS.register("replica_leg")
async def replica_leg(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Harms the way to one replica."""
    name = rng.choice(sorted(fleet.replicas))
    await _leg(fleet, rng, name, "way to a replica")


@FAULTS.register("store_away")
async def store_away(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """The store refuses, resets or is silent, or loses answers."""
    seconds = rng.uniform(0.5, 6.0)
    fleet.seen.trouble("store", "away", seconds)
    if rng.random() < 0.3:
        fleet.store.lost_answer_fraction = rng.uniform(0.3, 1.0)
    else:
        away = [mode for mode in store.Mode if mode is not store.Mode.SERVING]
        fleet.store.mode = rng.choice(away)
    await asyncio.sleep(seconds)
    fleet.store.mode = store.Mode.SERVING
    fleet.store.lost_answer_fraction = 0.0


@FAULTS.register("history_lost")
async def history_lost(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """The store forgets its history of changes."""
    del rng
    fleet.seen.trouble("store", "history", 1.0)
    fleet.store.memory.compact()


@FAULTS.register("replica_fails")
async def replica_fails(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """A replica loses answers, fails, cuts streams or answers twice."""
    standin = fleet.replicas[rng.choice(sorted(fleet.replicas))]
    seconds = rng.uniform(0.5, 4.0)
    fleet.seen.trouble("replica", standin.name, seconds)
    faults = standin.faults
    name, value = rng.choice(
        (
            ("lose_answers", True),
            ("mute", True),
            ("errors", True),
            ("cut_after", rng.randrange(1, 30)),
            ("extra_after_s", rng.choice((0.0, 0.001, 0.03))),
            ("order_delay_s", rng.uniform(0.3, 2.0)),
        )
    )
    usual = getattr(faults, name)
    setattr(faults, name, value)
    await asyncio.sleep(seconds)
    setattr(faults, name, usual)


@FAULTS.register("replica_lost")
async def replica_lost(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """A replica crashes; another one starts."""
    name = rng.choice(sorted(fleet.replicas))
    engine = bool(fleet.replicas[name].model)
    fleet.seen.trouble("replica", name, 4.0)
    await fleet.end_replica(name, crash=True)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    await fleet.remove_entry(name)
    await fleet.start_replica(engine)


@FAULTS.register("replica_leaves")
async def replica_leaves(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """A replica leaves as planned, or its entry merely vanishes."""
    name = rng.choice(sorted(fleet.replicas))
    standin = fleet.replicas[name]
    if standin.state != "ready":
        return
    await fleet.start_replica(bool(standin.model))
    standin.state = "draining"
    fleet.seen.trouble("replica", name, const.DRAIN_S)
    if rng.random() < 0.7:
        await standin.register()
    else:
        await standin.deregister()
    fleet.seen.leaving[name] = fleet.now()
    await asyncio.sleep(const.DRAIN_S + rng.uniform(1.0, 3.0))
    if name in fleet.replicas:
        await fleet.remove_entry(name)
        await fleet.end_replica(name, crash=True)


@FAULTS.register("configure")
async def configure(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Writes configurations, sometimes in quick succession."""
    for _ in range(rng.choice((1, 1, 1, 4))):
        await fleet.configure({})
        await asyncio.sleep(rng.uniform(0.0, 0.3))


@FAULTS.register("weights")
async def weights(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Names new weights, sometimes twice."""
    for _ in range(rng.choice((1, 1, 2))):
        await fleet.name_weights(fleet.weights + 1)
        await asyncio.sleep(rng.uniform(0.1, 1.0))


async def series(
    fleet: soak_fleet.Fleet, rng: random.Random, seconds: float
) -> None:
    """Starts faults for so long; they overlap. Waits until all have ended."""
    names = FAULTS.names()
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < until:
            for _ in range(rng.choice((1, 1, 2, 3))):
                fault = FAULTS.get(rng.choice(names))
                group.create_task(fault(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 2.0))


async def each_once(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Starts every fault once, close together; waits until all have ended."""
    async with asyncio.TaskGroup() as group:
        for name in FAULTS.names():
            group.create_task(FAULTS.get(name)(fleet, rng))
            await asyncio.sleep(rng.uniform(0.0, 0.3))
