"""Polls the VM list and stores the latest version."""

import asyncio
from collections.abc import Callable
import random

import loguru
import result

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import json_text
from bergamotmill.storage.vm_list import config
from bergamotmill.storage.vm_list import const


class HttpVmListSource:
    """Reads the list over HTTP as a JSON array."""

    def __init__(self, address: str):
        self._address = address
        self._pool = http_client.Pool()

    async def fetch(self) -> result.Result[list[config.Vm], str]:
        """Reads the whole list."""
        try:
            head, body = await http_client.fetch(
                self._pool,
                self._address,
                "GET",
                const.PATH,
                timeout_s=const.CALL_TIMEOUT_S,
                max_body_bytes=const.MAX_LIST_BYTES,
            )
            if head.status != 200:
                return result.Err(f"status {head.status}")
            return result.Ok([config.Vm(**vm) for vm in json_text.loads(body)])
        except (
            http_errors.HttpError,
            TimeoutError,
            ValueError,
            TypeError,
        ) as err:
            self._pool.close_idle(self._address)
            return result.Err(repr(err))

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()


@config.DRIVERS.register(const.DRIVER)
def make_source(settings) -> config.VmListSource:
    """Creates a source that reads from the address in the settings."""
    return HttpVmListSource(settings.address)


class VmListCoordinator:
    """Stores the latest list and notifies listeners after each read."""

    def __init__(self, source: config.VmListSource, rng: random.Random):
        self._source = source
        self._rng = rng
        self._vms: tuple[config.Vm, ...] = ()
        self._listeners: list[Callable[[], None]] = []
        self._failing = False

    @property
    def vms(self) -> tuple[config.Vm, ...]:
        """Latest list; empty before the first successful read."""
        return self._vms

    def leaving(self) -> frozenset[str]:
        """Names of VMs that are leaving."""
        return frozenset(
            vm.name for vm in self._vms if vm.state == const.STATE_LEAVING
        )

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each successful read."""
        self._listeners.append(listener)

    async def refresh(self) -> bool:
        """Reads the list once; False if that failed."""
        fetched = await self._source.fetch()
        if fetched.is_err():
            if not self._failing:
                loguru.logger.warning(
                    "vm list: could not read the list: {}.", fetched.err()
                )
            self._failing = True
            return False
        self._failing = False
        self._vms = tuple(fetched.ok())
        for listener in self._listeners:
            listener()
        return True

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(
                const.POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            )

    def close(self) -> None:
        """Releases the source."""
        self._source.close()
