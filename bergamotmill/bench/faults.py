"""Faults that the soak draws; each mends itself after a while."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import random

from bergamotmill.standin import cluster as standin_cluster
from bergamotmill.standin import engine
from bergamotmill.storage.vm_list import const as vm_const
from bergamotmill.util import registry

Inject = Callable[["Faults"], Awaitable[None]]
FAULTS: registry.Registry[Inject] = registry.Registry("fault")


class Faults:
    """Injects faults into one cluster, one of a kind and place at a time."""

    def __init__(self, cluster: standin_cluster.Cluster, rng: random.Random):
        self.cluster = cluster
        self.rng = rng
        self._busy: set[str] = set()
        self.versions = 1

    async def inject(self, kind: str) -> None:
        """Brings about a fault and mends it after a while."""
        await FAULTS.get(kind)(self)

    def claim(self, place: str) -> bool:
        """Takes a place for a fault unless it already has one."""
        if place in self._busy:
            return False
        self._busy.add(place)
        return True

    def release(self, place: str) -> None:
        """Gives a place free."""
        self._busy.discard(place)

    def host(self) -> str:
        """Draws any host."""
        sizes = self.cluster.sizes
        hosts = [standin_cluster.router_host(i) for i in range(sizes.routers)]
        hosts += [standin_cluster.engine_host(i) for i in range(sizes.engines)]
        hosts += [
            standin_cluster.service_host(i) for i in range(sizes.services)
        ]
        return self.rng.choice(
            [*hosts, standin_cluster.KEY_VALUE_HOST, "10.0.9.9"]
        )

    async def heal_all(self) -> None:
        """Mends what does not mend itself."""
        self.cluster.network.heal()
        self.cluster.key_value.set_down(False)


@FAULTS.register("crash_router")
async def _crash_router(faults: Faults) -> None:
    index = faults.rng.randrange(faults.cluster.sizes.routers)
    place = f"router-{index}"
    if not faults.claim(place):
        return
    await faults.cluster.crash_router(index)
    await asyncio.sleep(faults.rng.uniform(0.2, 6.0))
    await faults.cluster.start_router(index)
    faults.release(place)


@FAULTS.register("restart_herd")
async def _restart_herd(faults: Faults) -> None:
    indices = range(faults.cluster.sizes.routers)
    taken = [i for i in indices if faults.claim(f"router-{i}")]
    for index in taken:
        await faults.cluster.crash_router(index)
    await asyncio.sleep(faults.rng.uniform(0.2, 2.0))
    await asyncio.gather(*(faults.cluster.start_router(i) for i in taken))
    for index in taken:
        faults.release(f"router-{index}")


@FAULTS.register("crash_engine")
async def _crash_engine(faults: Faults) -> None:
    index = faults.rng.randrange(faults.cluster.sizes.engines)
    place = f"engine-{index}"
    if not faults.claim(place):
        return
    await faults.cluster.crash_engine(index)
    await asyncio.sleep(faults.rng.uniform(0.2, 5.0))
    await faults.cluster.start_engine(index, {})
    faults.release(place)


@FAULTS.register("silence")
async def _silence(faults: Faults) -> None:
    faults.cluster.network.blackhole(faults.host(), faults.host())


@FAULTS.register("cut")
async def _cut(faults: Faults) -> None:
    if not faults.claim("cut"):
        return
    for _ in range(faults.rng.randint(1, 3)):
        faults.cluster.network.partition(faults.host(), faults.host())
    await asyncio.sleep(faults.rng.uniform(0.5, 6.0))
    faults.cluster.network.heal()
    faults.release("cut")


@FAULTS.register("key_value_down")
async def _key_value_down(faults: Faults) -> None:
    if not faults.claim("key-value"):
        return
    faults.cluster.key_value.set_down(True)
    await asyncio.sleep(faults.rng.uniform(0.5, 15.0))
    faults.cluster.key_value.set_down(False)
    faults.release("key-value")


@FAULTS.register("key_value_slow")
async def _key_value_slow(faults: Faults) -> None:
    if not faults.claim("key-value"):
        return
    faults.cluster.key_value.delay_s = faults.rng.uniform(0.1, 3.0)
    await asyncio.sleep(faults.rng.uniform(1.0, 6.0))
    faults.cluster.key_value.delay_s = 0.0
    faults.release("key-value")


@FAULTS.register("key_value_lost_answers")
async def _key_value_lost_answers(faults: Faults) -> None:
    faults.cluster.key_value.lose_answers += faults.rng.randint(1, 3)


@FAULTS.register("service_lost_answers")
async def _service_lost_answers(faults: Faults) -> None:
    standin = faults.rng.choice(list(faults.cluster.services.values()))
    standin.lose_answers += faults.rng.randint(1, 2)


@FAULTS.register("service_hangs")
async def _service_hangs(faults: Faults) -> None:
    standin = faults.rng.choice(list(faults.cluster.services.values()))
    standin.hang = True
    await asyncio.sleep(faults.rng.uniform(0.5, 3.0))
    standin.hang = False


@FAULTS.register("service_crossed")
async def _service_crossed(faults: Faults) -> None:
    standin = faults.rng.choice(list(faults.cluster.services.values()))
    standin.crossed = True
    await asyncio.sleep(faults.rng.uniform(0.2, 1.0))
    standin.crossed = False


@FAULTS.register("service_slow")
async def _service_slow(faults: Faults) -> None:
    standin = faults.rng.choice(list(faults.cluster.services.values()))
    standin.delay_s = faults.rng.uniform(0.5, 7.0)
    await asyncio.sleep(faults.rng.uniform(0.5, 3.0))
    standin.delay_s = 0.0


@FAULTS.register("engine_crossed")
async def _engine_crossed(faults: Faults) -> None:
    engines = list(faults.cluster.engines.values())
    if not engines:
        return
    standin = faults.rng.choice(engines)
    standin.faults = dataclasses.replace(standin.faults, crossed_answers=True)
    await asyncio.sleep(faults.rng.uniform(0.2, 1.5))
    standin.faults = engine.Faults()


@FAULTS.register("engine_leaves")
async def _engine_leaves(faults: Faults) -> None:
    index = faults.rng.randrange(faults.cluster.sizes.engines)
    name = f"engine-{index}"
    vm_list = faults.cluster.vm_list
    if not faults.claim("leaving"):
        return
    vm_list.set_state(name, vm_const.STATE_LEAVING)
    await asyncio.sleep(faults.rng.uniform(1.0, 6.0))
    vm_list.set_state(name, vm_const.STATE_LIVE)
    faults.release("leaving")


@FAULTS.register("version_switch")
async def _version_switch(faults: Faults) -> None:
    if not faults.claim("version"):
        return
    routers = sorted(faults.cluster.routers)
    if routers:
        faults.versions += 1
        version = f"v{faults.versions}"
        note = {
            "title": f"to {version}",
            "changed": {"models": {"drafter": {"version": version}}},
        }
        router = faults.cluster.routers[routers[0]]
        checked = router.release_manager.check(note, "note")
        if checked.is_ok():
            host = standin_cluster.router_host(routers[0])
            await faults.cluster.run_as_host(
                host, router.release_manager.publish(checked.ok(), "soak")
            )
    await asyncio.sleep(4.0)
    faults.release("version")
