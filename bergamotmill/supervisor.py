"""Supervision of background tasks: failed tasks are restarted with backoff."""

import asyncio
from collections.abc import Awaitable, Callable
import random

import loguru

from bergamotmill.util import backoff

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 10.0
# A child that ran longer than this restarts with the shortest delay again.
BACKOFF_RESET_AFTER_S = 30.0

Child = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs child tasks, restarts those that fail, and stops them on close.

    A child that returns has ended and is not restarted.
    """

    def __init__(self, name: str, rng: random.Random):
        self._name = name
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._restarts = 0

    @property
    def restarts(self) -> int:
        """Number of times that a child was restarted after a failure."""
        return self._restarts

    def start_child(self, name: str, child: Child) -> None:
        """Starts a child.

        Raises:
            ValueError: a child of that name exists already.
        """
        if name in self._tasks:
            raise ValueError(f"{self._name}: child {name!r} already exists")
        task = asyncio.create_task(self._run_child(name, child))
        self._tasks[name] = task

    async def stop_child(self, name: str) -> None:
        """Cancels a child and waits until it has ended."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def close(self) -> None:
        """Stops all children, the last started first."""
        for name in reversed(list(self._tasks)):
            await self.stop_child(name)

    async def _run_child(self, name: str, child: Child) -> None:
        delay = backoff.Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S, self._rng)
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
            if loop.time() - started > BACKOFF_RESET_AFTER_S:
                delay.reset()
            await asyncio.sleep(delay.next_delay())
