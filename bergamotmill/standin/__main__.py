"""Runs one stand-in as a process: `python -m bergamotmill.standin KIND`."""

import argparse
import asyncio
import json
import signal
import sys

from bergamotmill.standin import engine
from bergamotmill.standin import engine_model
from bergamotmill.standin import key_value
from bergamotmill.standin import service
from bergamotmill.standin import vm_list
from bergamotmill.storage.vm_list import config as vm_config

KINDS = ("key-value", "vm-list", "engine", "service", "kept")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="bergamotmill.standin")
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--address", required=True, help="IP:PORT")
    parser.add_argument("--name", default="standin")
    parser.add_argument("--models", default="{}", help="JSON: name to version")
    parser.add_argument("--vms", default="[]", help="JSON list of VMs")
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--token-ms", type=float, default=20.0)
    return parser


def _make_standin(arguments: argparse.Namespace):
    if arguments.kind == "key-value":
        return key_value.KeyValueStandIn(arguments.address)
    if arguments.kind == "vm-list":
        vms = [vm_config.Vm(**vm) for vm in json.loads(arguments.vms)]
        return vm_list.VmListStandIn(arguments.address, vms)
    if arguments.kind == "engine":
        return engine.EngineStandIn(
            arguments.address,
            json.loads(arguments.models),
            engine_model.Speed(
                token_s=arguments.token_ms / 1000.0, slots=arguments.slots
            ),
        )
    if arguments.kind == "kept":
        return service.OffloadStoreStandIn(arguments.address)
    return service.ServiceStandIn(arguments.address, arguments.name)


async def _serve(arguments: argparse.Namespace) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    standin = _make_standin(arguments)
    await standin.start()
    await stop.wait()
    await standin.close()


def main() -> int:
    """Runs the stand-in until SIGTERM or SIGINT."""
    asyncio.run(_serve(_parser().parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
