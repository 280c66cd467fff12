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
EXIT_SETTINGS = 2

MakeDialect = Callable[[router_settings.Settings], daemon.Dialect]
MakeStore = Callable[[router_settings.Settings], key_value.RevisionedStore]


async def _serve(
    settings: router_settings.Settings,
    make_dialect: MakeDialect,
    make_store: MakeStore,
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
    loop.add_signal_handler(
        signal.SIGHUP, lambda: decisions.record("reload_asked")
    )
    await router.start()
    await stop.wait()
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


def run(path: str, make_dialect: MakeDialect, make_store: MakeStore) -> int:
    """Runs a router until a signal ends it; returns the exit status."""
    loaded = router_settings.load(path)
    if loaded.is_err():
        for finding in loaded.err():
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.ok()
    logs.configure_decisions(settings.log.level, settings.router.name)
    gc.freeze()
    with asyncio.Runner(loop_factory=_loop_factory()) as runner:
        return runner.run(_serve(settings, make_dialect, make_store))
