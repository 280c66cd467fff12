"""`bergamotmill-router`: runs one router as a process."""

import argparse
import asyncio
import os
import random
import signal
import sys
import time

import loguru

import bergamotmill
from bergamotmill import router as bergamotmill_router
from bergamotmill.helpers import logs
from bergamotmill.settings import config
from bergamotmill.settings import drivers
from bergamotmill.storage import key_value
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.util import clock as clocks

EXIT_OK = 0
EXIT_FORCED = 1
EXIT_INVALID_SETTINGS = 2


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="bergamotmill-router",
        description="Runs one router until SIGTERM or SIGINT. The first "
        "signal starts a graceful shutdown, a second one stops it at once.",
    )
    parser.add_argument(
        "--settings", required=True, help="settings file, JSON with comments"
    )
    parser.add_argument(
        "--version", action="version", version=bergamotmill.__version__
    )
    return parser


async def _serve(settings: config.Settings) -> int:
    store = key_value.DRIVERS.get(settings.key_value.driver)(settings.key_value)
    vms = vm_config.DRIVERS.get(settings.vm_list.driver)(settings.vm_list)
    router = bergamotmill_router.Router(
        settings,
        store,
        vms,
        clocks.SystemClock(),
        random.Random(),
        # The incarnation: the start time in milliseconds.
        time.time_ns() // 1_000_000,
    )
    shutdown_requested = asyncio.Event()
    immediate_stop_requested = asyncio.Event()

    def on_signal() -> None:
        if shutdown_requested.is_set():
            immediate_stop_requested.set()
        shutdown_requested.set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    await router.start()
    await shutdown_requested.wait()
    loguru.logger.info("router: shutting down gracefully.")
    shutdown_task = asyncio.create_task(router.shut_down())
    immediate_stop_task = asyncio.create_task(immediate_stop_requested.wait())
    await asyncio.wait(
        {shutdown_task, immediate_stop_task},
        return_when=asyncio.FIRST_COMPLETED,
    )
    completed = shutdown_task.done() and shutdown_task.exception() is None
    completed = completed and shutdown_task.result()
    shutdown_task.cancel()
    immediate_stop_task.cancel()
    await router.close()
    loguru.logger.info(
        "router: {}.",
        "stopped after all requests ended"
        if completed
        else "stopped before all requests ended",
    )
    return EXIT_OK if completed else EXIT_FORCED


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


def main(argv: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    arguments = _make_parser().parse_args(argv)
    loaded = config.load(arguments.settings)
    findings = loaded.err() or []
    if loaded.is_ok():
        findings = drivers.check(loaded.ok(), arguments.settings)
    if findings:
        for finding in findings:
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = loaded.ok()
    logs.configure(settings.log.format, settings.log.level)
    with asyncio.Runner(loop_factory=_loop_factory()) as runner:
        return runner.run(_serve(settings))


if __name__ == "__main__":
    sys.exit(main())
