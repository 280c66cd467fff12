"""Background tasks of one owner that are cancelled together."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class Tasks:
    """Holds references to running tasks until they finish."""

    def __init__(self):
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task and keeps a reference until it finishes."""
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._discard)
        return task

    def _discard(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)

    async def drain(self) -> None:
        """Waits for the tasks that are running now."""
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    def cancel(self) -> None:
        """Requests cancellation of all tasks, in the order they started."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Cancels all tasks and yields once so that they can react."""
        self.cancel()
        await asyncio.sleep(0)
