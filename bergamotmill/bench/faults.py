"""Random faults of the soak test; most end on their own after a few seconds."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import random

from bergamotmill.standin import cluster as standin_cluster
from bergamotmill.standin import engine
from bergamotmill.storage.vm_list import const as vm_const
from bergamotmill.util import registry

InjectFault = Callable[["FaultInjector"], Awaitable[None]]
FAULTS: registry.Registry[InjectFault] = registry.Registry("fault")


class FaultInjector:
    """Injects faults into a cluster.

    Faults that claim the same target exclude each other; others can overlap.
    """

    def __init__(self, cluster: standin_cluster.Cluster, rng: random.Random):
        self.cluster = cluster
        self.rng = rng
        self._claimed_targets: set[str] = set()
        self.model_version = 1

    async def inject(self, kind: str) -> None:
        """Runs a fault of this kind to its end."""
        await FAULTS.get(kind)(self)

    def claim(self, target: str) -> bool:
        """Claims a target for a fault, or returns False if it is claimed."""
        if target in self._claimed_targets:
            return False
        self._claimed_targets.add(target)
        return True

    def release(self, target: str) -> None:
        """Releases a claimed target."""
        self._claimed_targets.discard(target)

    def random_host(self) -> str:
        """Returns a random host of the cluster or the host of the callers."""
        sizes = self.cluster.sizes
        hosts = [standin_cluster.router_host(i) for i in range(sizes.routers)]
        hosts += [standin_cluster.engine_host(i) for i in range(sizes.engines)]
        hosts += [
            standin_cluster.service_host(i) for i in range(sizes.services)
        ]
        # 10.0.9.9 is the host of the callers.
        return self.rng.choice(
            [*hosts, standin_cluster.KEY_VALUE_HOST, "10.0.9.9"]
        )

    async def heal_all(self) -> None:
        """Ends all network partitions and outages of the key-value store."""
        self.cluster.network.heal()
        self.cluster.key_value.set_down(False)


@FAULTS.register("crash_router")
async def _crash_router(injector: FaultInjector) -> None:
    index = injector.rng.randrange(injector.cluster.sizes.routers)
    target = f"router-{index}"
    if not injector.claim(target):
        return
    await injector.cluster.crash_router(index)
    await asyncio.sleep(injector.rng.uniform(0.2, 6.0))
    await injector.cluster.start_router(index)
    injector.release(target)


@FAULTS.register("restart_herd")
async def _restart_herd(injector: FaultInjector) -> None:
    indices = range(injector.cluster.sizes.routers)
    claimed = [i for i in indices if injector.claim(f"router-{i}")]
    for index in claimed:
        await injector.cluster.crash_router(index)
    await asyncio.sleep(injector.rng.uniform(0.2, 2.0))
    await asyncio.gather(*(injector.cluster.start_router(i) for i in claimed))
    for index in claimed:
        injector.release(f"router-{index}")


@FAULTS.register("crash_engine")
async def _crash_engine(injector: FaultInjector) -> None:
    index = injector.rng.randrange(injector.cluster.sizes.engines)
    target = f"engine-{index}"
    if not injector.claim(target):
        return
    await injector.cluster.crash_engine(index)
    await asyncio.sleep(injector.rng.uniform(0.2, 5.0))
    await injector.cluster.start_engine(index, {})
    injector.release(target)


@FAULTS.register("silence")
async def _silence(injector: FaultInjector) -> None:
    injector.cluster.network.blackhole(
        injector.random_host(), injector.random_host()
    )


@FAULTS.register("cut")
async def _cut(injector: FaultInjector) -> None:
    if not injector.claim("cut"):
        return
    for _ in range(injector.rng.randint(1, 3)):
        injector.cluster.network.partition(
            injector.random_host(), injector.random_host()
        )
    await asyncio.sleep(injector.rng.uniform(0.5, 6.0))
    injector.cluster.network.heal()
    injector.release("cut")


@FAULTS.register("key_value_down")
async def _key_value_down(injector: FaultInjector) -> None:
    if not injector.claim("key-value"):
        return
    injector.cluster.key_value.set_down(True)
    await asyncio.sleep(injector.rng.uniform(0.5, 15.0))
    injector.cluster.key_value.set_down(False)
    injector.release("key-value")


@FAULTS.register("key_value_slow")
async def _key_value_slow(injector: FaultInjector) -> None:
    if not injector.claim("key-value"):
        return
    injector.cluster.key_value.delay_s = injector.rng.uniform(0.1, 3.0)
    await asyncio.sleep(injector.rng.uniform(1.0, 6.0))
    injector.cluster.key_value.delay_s = 0.0
    injector.release("key-value")


@FAULTS.register("key_value_lost_answers")
async def _key_value_lost_answers(injector: FaultInjector) -> None:
    injector.cluster.key_value.lose_answers += injector.rng.randint(1, 3)


@FAULTS.register("service_lost_answers")
async def _service_lost_answers(injector: FaultInjector) -> None:
    standin = injector.rng.choice(list(injector.cluster.services.values()))
    standin.lose_answers += injector.rng.randint(1, 2)


@FAULTS.register("service_hangs")
async def _service_hangs(injector: FaultInjector) -> None:
    standin = injector.rng.choice(list(injector.cluster.services.values()))
    standin.hang = True
    await asyncio.sleep(injector.rng.uniform(0.5, 3.0))
    standin.hang = False


@FAULTS.register("service_crossed")
async def _service_crossed(injector: FaultInjector) -> None:
    standin = injector.rng.choice(list(injector.cluster.services.values()))
    standin.crossed = True
    await asyncio.sleep(injector.rng.uniform(0.2, 1.0))
    standin.crossed = False


@FAULTS.register("service_slow")
async def _service_slow(injector: FaultInjector) -> None:
    standin = injector.rng.choice(list(injector.cluster.services.values()))
    standin.delay_s = injector.rng.uniform(0.5, 7.0)
    await asyncio.sleep(injector.rng.uniform(0.5, 3.0))
    standin.delay_s = 0.0


@FAULTS.register("engine_crossed")
async def _engine_crossed(injector: FaultInjector) -> None:
    engines = list(injector.cluster.engines.values())
    if not engines:
        return
    standin = injector.rng.choice(engines)
    standin.faults = dataclasses.replace(standin.faults, crossed_answers=True)
    await asyncio.sleep(injector.rng.uniform(0.2, 1.5))
    standin.faults = engine.Faults()


@FAULTS.register("engine_leaves")
async def _engine_leaves(injector: FaultInjector) -> None:
    index = injector.rng.randrange(injector.cluster.sizes.engines)
    name = f"engine-{index}"
    vm_list = injector.cluster.vm_list
    if not injector.claim("leaving"):
        return
    vm_list.set_state(name, vm_const.STATE_LEAVING)
    await asyncio.sleep(injector.rng.uniform(1.0, 6.0))
    vm_list.set_state(name, vm_const.STATE_LIVE)
    injector.release("leaving")


@FAULTS.register("version_switch")
async def _version_switch(injector: FaultInjector) -> None:
    if not injector.claim("version"):
        return
    routers = sorted(injector.cluster.routers)
    if routers:
        injector.model_version += 1
        version = f"v{injector.model_version}"
        note = {
            "title": f"to {version}",
            "changed": {"models": {"drafter": {"version": version}}},
        }
        router = injector.cluster.routers[routers[0]]
        checked = router.release_manager.check(note, "note")
        if checked.is_ok():
            host = standin_cluster.router_host(routers[0])
            await injector.cluster.run_as_host(
                host, router.release_manager.publish(checked.ok(), "soak")
            )
    await asyncio.sleep(4.0)
    injector.release("version")
