"""Background tasks of one owner, ended together."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class Tasks:
    """Keeps tasks until they end; `close` cancels the rest in order."""

    def __init__(self):
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task."""
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)

    async def drain(self) -> None:
        """Waits for the tasks there are now."""
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    def cancel(self) -> None:
        """Asks all tasks to end."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Asks all tasks to end and lets them see it."""
        self.cancel()
        await asyncio.sleep(0)
