"""Runs one dispatching router as a process."""

import asyncio
from collections.abc import Callable
import gc
import os
import random
import signal
import sys
import time

from bergamotmill.dispatch import daemon
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.helpers import decisions
from bergamotmill.helpers import logs
from bergamotmill.storage import key_value
from bergamotmill.util import clock as clocks

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2

DialectFactory = Callable[[router_settings.Settings], daemon.Dialect]
StoreFactory = Callable[[router_settings.Settings], key_value.RevisionedStore]


# The file may change without a signal; it is looked at so often, in seconds.
SETTINGS_PERIOD_S = 2.0


class SettingsWatch:
    """Reads the settings file again when it has changed."""

    def __init__(
        self,
        path: str,
        settings: router_settings.Settings,
        adopt: Callable[[router_settings.Settings], None],
    ):
        self._path = path
        self._settings = settings
        self._adopt = adopt
        self._stamp = self._look()

    def _look(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError as err:
            decisions.record("settings_missing", detail=repr(err))
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    async def run(self) -> None:
        """Looks for ever."""
        while True:
            await asyncio.sleep(SETTINGS_PERIOD_S)
            stamp = self._look()
            if stamp != self._stamp:
                self._stamp = stamp
                self.reload()

    def reload(self) -> None:
        """Reads the file; bad settings are reported and not taken."""
        loaded = router_settings.load(self._path)
        if loaded.is_err():
            decisions.record(
                "settings_refused",
                findings=[str(item) for item in loaded.err()],
            )
            return
        if loaded.ok() != self._settings:
            self._settings = loaded.ok()
            self._adopt(loaded.ok())


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
        time.time_ns() // 1_000_000,
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    watch = SettingsWatch(path, settings, router.reload)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    await router.start()
    watching = asyncio.create_task(watch.run())
    await stop.wait()
    watching.cancel()
    await router.shut_down()
    await router.close()
    return EXIT_OK


def _loop_factory():
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        import uvloop
    except ImportError:
        return None
    return uvloop.new_event_loop


def run(
    path: str, make_dialect: DialectFactory, make_store: StoreFactory
) -> int:
    """Runs a router until a signal ends it; returns the exit status."""
    loaded = router_settings.load(path)
    if loaded.is_err():
        for finding in loaded.err():
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = loaded.ok()
    logs.configure_decisions(settings.log.level, settings.router.name)
    gc.freeze()
    with asyncio.Runner(loop_factory=_loop_factory()) as runner:
        return runner.run(_serve(path, settings, make_dialect, make_store))
