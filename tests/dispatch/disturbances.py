"""Disturbances of a fleet on the stand-in platform, drawn at random."""

import asyncio

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store


class Disturbances:
    """Disturbances for a `tests.platform_case.PlatformCase`."""

    def draw_disturbances(self, rng):
        """Returns two or three of the disturbances."""
        return rng.sample(
            [
                self.silence_store,
                self.restart_some,
                self.restart_all,
                self.lose_messages,
                self.cut_data_centre,
                self.end_engines,
                self.change_weights,
            ],
            rng.randint(2, 3),
        )

    async def silence_store(self, rng):
        modes = [mode for mode in store.Mode if mode is not store.Mode.SERVING]
        self.fleet.store.mode = rng.choice(modes)
        await asyncio.sleep(rng.uniform(2.0, 7.0))
        self.fleet.store.mode = store.Mode.SERVING

    async def restart_some(self, rng):
        indices = sorted(self.fleet.routers)
        for index in rng.sample(indices, rng.randint(1, 3)):
            await self.restart(index, rng.uniform(0.2, 1.5))

    async def restart_all(self, rng):
        await asyncio.gather(
            *(
                self.restart(index, rng.uniform(0.2, 1.5))
                for index in sorted(self.fleet.routers)
            )
        )

    async def restart(self, index, pause_s):
        if index not in self.fleet.routers:
            return
        await self.fleet.crash_router(index)
        await asyncio.sleep(pause_s)
        await self.fleet.start_router(index)

    async def lose_messages(self, rng):
        self.fleet.bus.loss_rate = rng.uniform(0.1, 0.5)
        await asyncio.sleep(rng.uniform(2.0, 8.0))
        self.fleet.bus.loss_rate = 0.0

    async def cut_data_centre(self, rng):
        cut = rng.randrange(self.fleet.sizes.data_centres)
        for index in range(self.fleet.sizes.routers):
            if index % self.fleet.sizes.data_centres != cut:
                continue
            host = fleet.router_host(index)
            self.network.partition(host, fleet.STORE_HOST)
            for other in range(self.fleet.sizes.routers):
                if other % self.fleet.sizes.data_centres != cut:
                    self.network.partition(host, fleet.router_host(other))
        await asyncio.sleep(rng.uniform(2.0, 6.0))
        self.network.heal()

    async def end_engines(self, rng):
        for _ in range(rng.randint(1, 4)):
            engines = [s for s in self.fleet.replicas.values() if s.model]
            self.fleet.crash_for_a_time(rng.choice(engines))
            await asyncio.sleep(rng.uniform(0.0, 1.5))

    async def change_weights(self, rng):
        for version in (2, 3):
            await self.fleet.store.write(
                const.PREFIX_WEIGHTS + fleet.MODEL,
                {"model": fleet.MODEL, "version": version},
            )
            await asyncio.sleep(rng.uniform(0.5, 4.0))
