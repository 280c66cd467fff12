"""Keeps each engine's latest report and hands on its cache events."""

import asyncio
from collections.abc import Callable, Mapping
import random
from typing import Protocol

from bergamotmill import core
from bergamotmill.upstream import drivers
from bergamotmill.upstream.engine import client as engine_client
from bergamotmill.upstream.engine import config
from bergamotmill.upstream.engine import const


class ReportListener(Protocol):
    """Who wants to know what engines say of themselves."""

    def on_report(self, replica: str, report: config.LoadReport) -> None:
        """Takes a new report."""

    def on_report_missing(self, replica: str) -> None:
        """Takes note that the engine did not answer."""

    def on_cache_events(
        self,
        replica: str,
        incarnation: int,
        events: list[config.CacheEvent],
        after: int,
    ) -> None:
        """Takes cache events that follow sequence number `after`."""


class EngineCoordinator:
    """Owns the links to all engines in the configuration."""

    def __init__(
        self,
        listener: ReportListener,
        rng: random.Random,
        client_factory: Callable[[core.Replica], engine_client.EngineClient]
        | None = None,
    ):
        self._listener = listener
        self._rng = rng
        self._make_client = client_factory or _make_client
        self._clients: dict[str, engine_client.EngineClient] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._started = False

    @property
    def clients(self) -> Mapping[str, engine_client.EngineClient]:
        """Links by replica name."""
        return self._clients

    def adopt(self, replicas: Mapping[str, core.Replica]) -> None:
        """Follows the configuration: adds, replaces and drops links."""
        for name in list(self._clients):
            if replicas.get(name) != self._clients[name].replica:
                self._drop(name)
        for name, replica in replicas.items():
            if name not in self._clients:
                self._clients[name] = self._make_client(replica)
                if self._started:
                    self._watch(name)

    async def start(self) -> None:
        """Starts reading reports and events."""
        self._started = True
        for name in self._clients:
            self._watch(name)

    async def close(self) -> None:
        """Stops reading and closes the links."""
        self._started = False
        for name in list(self._clients):
            self._drop(name)
        await asyncio.sleep(0)

    def _drop(self, name: str) -> None:
        for task in self._tasks.pop(name, []):
            task.cancel()
        self._clients.pop(name).close()

    def _watch(self, name: str) -> None:
        self._tasks[name] = [
            asyncio.create_task(self._read_reports(name)),
            asyncio.create_task(self._read_events(name)),
        ]

    async def _read_reports(self, name: str) -> None:
        client = self._clients[name]
        while True:
            answer = await client.fetch_load_report()
            period = report_period_s(len(self._clients))
            if answer.is_ok():
                self._listener.on_report(name, answer.ok())
                if not answer.ok().running:
                    period *= const.IDLE_FACTOR
            else:
                self._listener.on_report_missing(name)
            await self._pause(period)

    async def _read_events(self, name: str) -> None:
        client = self._clients[name]
        incarnation = 0
        after = 0
        while True:
            await self._pause(const.EVENTS_PERIOD_S)
            answer = await client.fetch_cache_events(after)
            if answer.is_err():
                continue
            found, events = answer.ok()
            if found != incarnation:
                incarnation = found
                after = 0
                continue
            self._listener.on_cache_events(name, found, events, after)
            if events:
                after = events[-1].sequence

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self._rng.uniform(0.8, 1.2))


def report_period_s(replicas: int) -> float:
    """Returns how often each engine's report is read, in seconds.

    The cost for a router is bounded; where there are many engines, the
    reports that come with answers carry most of the news.
    """
    return max(const.REPORT_PERIOD_MIN_S, replicas / const.REPORTS_PER_S)


def _make_client(replica: core.Replica) -> engine_client.EngineClient:
    return drivers.ENGINES.get(replica.driver)(replica)
