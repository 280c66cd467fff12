"""Runs one dispatching router, a `dispatch.daemon.Daemon`, as a process."""

import asyncio
from collections.abc import Callable
import gc
import os
import random
import signal
import sys
import time

from bergamotmill.dispatch import daemon
from bergamotmill.dispatch import dialect
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.helpers import allocator
from bergamotmill.helpers import decisions
from bergamotmill.helpers import logs
from bergamotmill.storage import key_value
from bergamotmill.util import clock as clocks

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2

DialectFactory = Callable[[router_settings.Settings], dialect.Dialect]
StoreFactory = Callable[[router_settings.Settings], key_value.RevisionedStore]

# The settings file may change without a SIGHUP, so its modification time and
# size are also polled.
SETTINGS_POLL_INTERVAL_S = 2.0


class SettingsWatch:
    """Reloads the settings file when it changes."""

    def __init__(
        self,
        path: str,
        settings: router_settings.Settings,
        on_change: Callable[[router_settings.Settings], None],
    ):
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._file_stamp = self._read_file_stamp()

    def _read_file_stamp(self) -> tuple[int, int]:
        try:
            file_status = os.stat(self._path)
        except OSError as err:
            decisions.record("settings_missing", detail=repr(err))
            return (0, 0)
        return (file_status.st_mtime_ns, file_status.st_size)

    async def run(self) -> None:
        """Polls the file forever and reloads it when it has changed."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            file_stamp = self._read_file_stamp()
            if file_stamp != self._file_stamp:
                self._file_stamp = file_stamp
                self.reload()

    def reload(self) -> None:
        """Reloads the file; invalid settings are logged and not applied."""
        loaded = router_settings.load(self._path)
        if loaded.is_err():
            decisions.record(
                "settings_refused",
                findings=[str(finding) for finding in loaded.err()],
            )
            return
        if loaded.ok() != self._settings:
            self._settings = loaded.ok()
            self._on_change(loaded.ok())


async def _serve(
    path: str,
    settings: router_settings.Settings,
    make_dialect: DialectFactory,
    make_store: StoreFactory,
) -> int:
    router = daemon.Daemon(
        settings,
        make_store(settings),
        make_dialect(settings),
        clocks.SystemClock(),
        random.Random(),
        # The incarnation: the start time in milliseconds.
        time.time_ns() // 1_000_000,
    )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    settings_watch = SettingsWatch(path, settings, router.reload)
    loop.add_signal_handler(signal.SIGHUP, settings_watch.reload)
    await router.start()
    watch_task = asyncio.create_task(settings_watch.run())
    await stop_requested.wait()
    watch_task.cancel()
    await router.shut_down()
    await router.close()
    return EXIT_OK


def _loop_factory():
    """Returns uvloop's event loop factory, or None if it is not installed.

    Also disables io_uring in libuv, on which uvloop is built.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        import uvloop
    except ImportError:
        return None
    return uvloop.new_event_loop


def run(
    path: str, make_dialect: DialectFactory, make_store: StoreFactory
) -> int:
    """Runs a router until SIGTERM or SIGINT and returns the exit status."""
    loaded = router_settings.load(path)
    if loaded.is_err():
        for finding in loaded.err():
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = loaded.ok()
    logs.configure_decisions(settings.log.level, settings.router.name)
    allocator.return_freed_buffers()
    # Excludes the objects created so far from all later garbage collections.
    gc.freeze()
    with asyncio.Runner(loop_factory=_loop_factory()) as runner:
        return runner.run(_serve(path, settings, make_dialect, make_store))
