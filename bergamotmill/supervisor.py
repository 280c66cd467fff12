"""A supervisor: children that run for ever are restarted with backoff."""

import asyncio
from collections.abc import Awaitable, Callable
import random

import loguru

from bergamotmill.util import backoff

FIRST_PAUSE_S = 0.1
LAST_PAUSE_S = 10.0
STEADY_S = 30.0

Child = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs children, restarts those that fail, and closes them all."""

    def __init__(self, name: str, rng: random.Random):
        self._name = name
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._restarts = 0

    @property
    def restarts(self) -> int:
        """How often a child had to be started again."""
        return self._restarts

    def start_child(self, name: str, child: Child) -> None:
        """Starts a child under a name of its own."""
        if name in self._tasks:
            raise ValueError(f"{self._name}: child {name!r} already runs")
        task = asyncio.create_task(self._keep(name, child))
        self._tasks[name] = task

    async def stop_child(self, name: str) -> None:
        """Stops one child and waits for its end."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def close(self) -> None:
        """Stops all children, the youngest first."""
        for name in reversed(list(self._tasks)):
            await self.stop_child(name)

    async def _keep(self, name: str, child: Child) -> None:
        pause = backoff.Backoff(FIRST_PAUSE_S, LAST_PAUSE_S, self._rng)
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                await child()
                return
            except Exception as err:
                self._restarts += 1
                loguru.logger.opt(exception=err).error(
                    "{}: child {} failed: {!r}.", self._name, name, err
                )
            if loop.time() - started > STEADY_S:
                pause.reset()
            await asyncio.sleep(pause.next_delay())
