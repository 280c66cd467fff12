"""Polls the engines' load reports and cache events."""

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
    """Receiver of the engines' load reports and cache events."""

    def on_report(self, replica: str, report: config.LoadReport) -> None:
        """Handles a new load report."""

    def on_report_missing(self, replica: str) -> None:
        """Handles a failed fetch of a load report."""

    def on_cache_events(
        self,
        replica: str,
        incarnation: int,
        events: list[config.CacheEvent],
        after: int,
    ) -> None:
        """Handles cache events that follow sequence number `after`."""


class EngineCoordinator:
    """Owns the clients of all engines in the configuration and polls them."""

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
        """Clients by replica name."""
        return self._clients

    def adopt(self, replicas: Mapping[str, core.Replica]) -> None:
        """Adds, replaces and removes clients to match the configuration."""
        for name in list(self._clients):
            if replicas.get(name) != self._clients[name].replica:
                self._remove(name)
        for name, replica in replicas.items():
            if name not in self._clients:
                self._clients[name] = self._make_client(replica)
                if self._started:
                    self._start_polling(name)

    async def start(self) -> None:
        """Starts polling all engines."""
        self._started = True
        for name in self._clients:
            self._start_polling(name)

    async def close(self) -> None:
        """Stops polling and closes the clients."""
        self._started = False
        for name in list(self._clients):
            self._remove(name)
        await asyncio.sleep(0)

    def _remove(self, name: str) -> None:
        for task in self._tasks.pop(name, []):
            task.cancel()
        self._clients.pop(name).close()

    def _start_polling(self, name: str) -> None:
        self._tasks[name] = [
            asyncio.create_task(self._poll_reports(name)),
            asyncio.create_task(self._poll_cache_events(name)),
        ]

    async def _poll_reports(self, name: str) -> None:
        client = self._clients[name]
        while True:
            report = await client.fetch_load_report()
            period_s = report_period_s(len(self._clients))
            if report.is_ok():
                self._listener.on_report(name, report.ok())
                if not report.ok().running:
                    period_s *= const.IDLE_PERIOD_FACTOR
            else:
                self._listener.on_report_missing(name)
            await self._sleep_jittered(period_s)

    async def _poll_cache_events(self, name: str) -> None:
        client = self._clients[name]
        incarnation = 0
        after = 0
        while True:
            await self._sleep_jittered(const.CACHE_EVENTS_PERIOD_S)
            fetched = await client.fetch_cache_events(after)
            if fetched.is_err():
                continue
            reported_incarnation, events = fetched.ok()
            if reported_incarnation != incarnation:
                # First poll, or the engine restarted and numbers its events
                # from the beginning again.
                incarnation = reported_incarnation
                after = 0
                continue
            self._listener.on_cache_events(
                name, reported_incarnation, events, after
            )
            if events:
                after = events[-1].sequence

    async def _sleep_jittered(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self._rng.uniform(0.8, 1.2))


def report_period_s(replicas: int) -> float:
    """Returns the seconds between fetches of one engine's load report.

    The period grows with the number of engines, which bounds a router's cost
    of polling. In a large fleet, most load updates come from the reports in
    response headers.
    """
    return max(const.MIN_REPORT_PERIOD_S, replicas / const.MAX_REPORTS_PER_S)


def _make_client(replica: core.Replica) -> engine_client.EngineClient:
    return drivers.ENGINES.get(replica.driver)(replica)
