"""Faults of a soak, injected from outside the routers.

Each fault is a coroutine that injects the fault and, unless it is momentary,
waits and removes it. Faults overlap, and a fault may be injected again while
it lasts.
"""

import asyncio
from collections.abc import Awaitable, Callable
import random
import signal

from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import fleet as soak_fleet
from bergamotmill.bench.process_soak import observations
from bergamotmill.bench.process_soak import proxy
from bergamotmill.standin.platform import store
from bergamotmill.util import registry

Fault = Callable[[soak_fleet.Fleet, random.Random], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")
# Upper bound of the time that a router needs to start on a busy machine.
ROUTER_START_S = 3.0


def _random_router(
    fleet: soak_fleet.Fleet, rng: random.Random
) -> soak_fleet.Router:
    return rng.choice(fleet.routers)


async def _kill_and_restart(fleet, router, rng) -> None:
    router.send_signal(signal.SIGCONT)
    router.send_signal(signal.SIGKILL)
    if router.process is not None:
        await router.process.wait()
    await asyncio.sleep(rng.uniform(0.1, 1.5))
    await router.start()


@FAULTS.register("kill")
async def kill(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Kills and restarts one router."""
    router = _random_router(fleet, rng)
    fleet.observed.record_fault("kill", router.name, ROUTER_START_S)
    await _kill_and_restart(fleet, router, rng)


@FAULTS.register("remove")
async def remove(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Kills a router, which is off for longer than it may be named."""
    router = _random_router(fleet, rng)
    off_s = rng.uniform(6.0, 8.0)
    fleet.observed.record_fault("kill", router.name, off_s + ROUTER_START_S)
    router.send_signal(signal.SIGCONT)
    router.send_signal(signal.SIGKILL)
    if router.process is not None:
        await router.process.wait()
    await asyncio.sleep(off_s)
    await router.start()


@FAULTS.register("kill_all")
async def kill_all(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Kills all routers at once and restarts each after a random delay."""
    fleet.observed.record_fault(
        "kill", observations.ALL_ROUTERS, ROUTER_START_S
    )
    async with asyncio.TaskGroup() as group:
        for router in fleet.routers:
            group.create_task(_kill_and_restart(fleet, router, rng))


@FAULTS.register("end")
async def end(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Shuts one router down with SIGTERM and restarts it."""
    router = _random_router(fleet, rng)
    if not router.running or router.exit_expected:
        return
    fleet.observed.record_fault(
        "asked to end", router.name, const.SHUTDOWN_GRACE_S + ROUTER_START_S
    )
    process = router.process
    # Another fault may kill the process during its shutdown. A process that is
    # still starting may not handle SIGTERM yet, so the signal itself ends it.
    allowed_statuses = {0, -signal.SIGKILL}
    if not router.serving:
        allowed_statuses.add(-signal.SIGTERM)
    router.send_signal(signal.SIGTERM)
    began = fleet.now()
    try:
        async with asyncio.timeout(const.SHUTDOWN_GRACE_S):
            await process.wait()
    except TimeoutError:
        # If a `pause` fault suspended the process during its shutdown, the
        # limit is extended by the duration of the pause.
        await _wait_paused_time(fleet, router, process, began)
    status = process.returncode
    if status is None:
        fleet.observed.failures.append(
            f"{router.name} did not exit within its grace period"
        )
        router.send_signal(signal.SIGKILL)
        await process.wait()
    elif status not in allowed_statuses:
        fleet.observed.failures.append(
            f"{router.name} exited with status {status} after SIGTERM"
        )
    await router.start()


async def _wait_paused_time(fleet, router, process, began: float) -> None:
    """Waits for the exit, at most for the time of all pauses since `began`."""
    paused_s = sum(
        item.ended - max(began, item.began)
        for item in fleet.observed.fault_spans
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
    """Shuts two routers down in short succession, so that they overlap."""
    async with asyncio.TaskGroup() as group:
        for _ in range(2):
            group.create_task(end(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 1.0))


@FAULTS.register("pause")
async def pause(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Suspends a router with SIGSTOP for a while."""
    router = _random_router(fleet, rng)
    seconds = rng.uniform(0.3, 5.0)
    fleet.observed.record_fault("pause", router.name, seconds)
    process = router.process
    router.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    if router.process is process:
        router.send_signal(signal.SIGCONT)


@FAULTS.register("reload")
async def reload(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Shuffles the seeds in a settings file, usually followed by SIGHUP."""
    router = _random_router(fleet, rng)
    rng.shuffle(router.settings["seeds"])
    router.write_settings()
    if rng.random() < 0.7:
        router.send_signal(signal.SIGHUP)


async def _disturb_connections(fleet, rng, name: str, kind: str) -> None:
    """Disturbs the connections of one proxy at random for a while."""
    target: proxy.Proxy | None = fleet.proxies.get(name)
    if target is None:
        return
    seconds = rng.uniform(0.5, 4.0)
    effect = rng.choice(("delay", "reset", "cut_to", "cut_from", "silence"))
    fleet.observed.record_fault(kind, f"{name} {effect}", seconds)
    if effect == "delay":
        target.link_faults.delay_s = rng.uniform(0.02, 0.4)
    elif effect == "reset":
        target.reset()
        target.link_faults.refusing = rng.random() < 0.5
    elif effect == "silence":
        target.silence()
    else:
        setattr(target.link_faults, effect, True)
    await asyncio.sleep(seconds)
    target.link_faults = proxy.LinkFaults()


@FAULTS.register("store_leg")
async def store_leg(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Disturbs the connections between one router and the store."""
    name = f"store:{_random_router(fleet, rng).name}"
    await _disturb_connections(fleet, rng, name, "store")


@FAULTS.register("replica_leg")
async def replica_leg(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Disturbs the connections to one replica."""
    name = rng.choice(sorted(fleet.replicas))
    await _disturb_connections(fleet, rng, name, "replica connection")


@FAULTS.register("store_away")
async def store_away(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Makes the store refuse, reset or ignore calls, or lose answers."""
    seconds = rng.uniform(0.5, 6.0)
    fleet.observed.record_fault("store", "away", seconds)
    if rng.random() < 0.3:
        fleet.store.lost_answer_fraction = rng.uniform(0.3, 1.0)
        fleet.store.lose_watch_answers = True
    else:
        modes = [mode for mode in store.Mode if mode is not store.Mode.SERVING]
        fleet.store.mode = rng.choice(modes)
    await asyncio.sleep(seconds)
    fleet.store.mode = store.Mode.SERVING
    fleet.store.lost_answer_fraction = 0.0
    fleet.store.lose_watch_answers = False


@FAULTS.register("history_lost")
async def history_lost(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Makes the store discard its history of changes."""
    del rng
    fleet.observed.record_fault("store", "history", 1.0)
    fleet.store.memory.compact()


@FAULTS.register("replica_fails")
async def replica_fails(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Switches on one random fault of a replica for a while."""
    standin = fleet.replicas[rng.choice(sorted(fleet.replicas))]
    seconds = rng.uniform(0.5, 4.0)
    fleet.observed.record_fault("replica", standin.name, seconds)
    faults = standin.faults
    name, value = rng.choice(
        (
            ("lose_answers", True),
            ("mute", True),
            ("errors", True),
            ("unframed", True),
            ("cut_after", rng.randrange(1, 30)),
            ("extra_after_s", rng.choice((0.0, 0.001, 0.03))),
            ("order_delay_s", rng.uniform(0.3, 2.0)),
        )
    )
    previous = getattr(faults, name)
    setattr(faults, name, value)
    await asyncio.sleep(seconds)
    setattr(faults, name, previous)


@FAULTS.register("replica_limits")
async def replica_limits(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Has one replica, or all engines, name a limit for a while."""
    standins = [fleet.replicas[rng.choice(sorted(fleet.replicas))]]
    if rng.random() < 0.3:
        standins = [item for item in fleet.replicas.values() if item.model]
    standins = [item for item in standins if not item.faults.limit]
    seconds = rng.uniform(5.0, 9.0)
    now = fleet.now()
    for standin in standins:
        limit_per_s = round(rng.uniform(0.4, 4.0), 2)
        standin.faults.limit = str(limit_per_s)
        fleet.observed.record_fault("replica", standin.name, seconds)
        fleet.observed.limit_spans.append(
            observations.LimitSpan(
                standin.name, limit_per_s, now, now + seconds
            )
        )
    await asyncio.sleep(seconds)
    for standin in standins:
        standin.faults.limit = ""


@FAULTS.register("replica_lost")
async def replica_lost(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Crashes a replica and starts another one in its place."""
    name = rng.choice(sorted(fleet.replicas))
    fleet.observed.record_fault("replica", name, 4.0)
    await fleet.replace_replica(name, rng.uniform(0.5, 2.0))


@FAULTS.register("crashing_prompts")
async def crashing_prompts(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Has callers send prompts with a part that crashes engines."""
    seconds = rng.uniform(3.0, 8.0)
    part = fleet.add_crashing_part()
    fleet.observed.record_fault("replica", part, seconds + const.FAULT_SETTLE_S)
    fleet.sent_crashing_parts.append(part)
    await asyncio.sleep(seconds)
    fleet.sent_crashing_parts.remove(part)


@FAULTS.register("crashing_requests")
async def crashing_requests(
    fleet: soak_fleet.Fleet, rng: random.Random
) -> None:
    """Has callers send one request again and again that crashes replicas."""
    seconds = rng.uniform(3.0, 8.0)
    body = fleet.add_crashing_body()
    fleet.observed.record_fault(
        "replica", body.decode(), seconds + const.FAULT_SETTLE_S
    )
    fleet.sent_crashing_bodies.append(body)
    await asyncio.sleep(seconds)
    fleet.sent_crashing_bodies.remove(body)


@FAULTS.register("replica_leaves")
async def replica_leaves(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Drains a replica after starting its replacement.

    The replica either registers as draining, or its entry is deleted.
    """
    name = rng.choice(sorted(fleet.replicas))
    standin = fleet.replicas[name]
    if standin.state != "ready":
        return
    await fleet.start_replica(bool(standin.model))
    standin.state = "draining"
    fleet.observed.record_fault("replica", name, const.REPLICA_DRAIN_S)
    if rng.random() < 0.7:
        await standin.register()
    else:
        await standin.deregister()
    fleet.observed.leaving_since[name] = fleet.now()
    await asyncio.sleep(const.REPLICA_DRAIN_S + rng.uniform(1.0, 3.0))
    if name in fleet.replicas:
        await fleet.deregister_replica(name)
        await fleet.stop_replica(name, crash=True)


@FAULTS.register("configure")
async def configure(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Publishes one configuration, or four in quick succession."""
    for _ in range(rng.choice((1, 1, 1, 4))):
        await fleet.publish_configuration({})
        await asyncio.sleep(rng.uniform(0.0, 0.3))


@FAULTS.register("weights")
async def weights(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Publishes a new version of the weights, sometimes two."""
    for _ in range(rng.choice((1, 1, 2))):
        await fleet.publish_weights(fleet.weights_version + 1)
        await asyncio.sleep(rng.uniform(0.1, 1.0))


async def run_overlapping(
    fleet: soak_fleet.Fleet, rng: random.Random, seconds: float
) -> None:
    """Injects overlapping faults for some seconds, then awaits their end."""
    names = FAULTS.names()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < deadline:
            for _ in range(rng.choice((1, 1, 2, 3))):
                fault = FAULTS.get(rng.choice(names))
                group.create_task(fault(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 2.0))


async def run_each_once(fleet: soak_fleet.Fleet, rng: random.Random) -> None:
    """Injects every fault once in quick succession and awaits their end."""
    async with asyncio.TaskGroup() as group:
        for name in FAULTS.names():
            group.create_task(FAULTS.get(name)(fleet, rng))
            await asyncio.sleep(rng.uniform(0.0, 0.3))
