"""The store turns some routers away; a route is removed meanwhile."""

import asyncio
import itertools
import pathlib
from typing import Any

from bergamotmill.dispatch import readers
from bergamotmill.util import rendezvous
from review import rig

FOLDER = pathlib.Path(__file__).parent
ROUTERS = 20
# The largest share of machines in the site files is 0.35.
TURNED_AWAY = 7
CONFIG_APPLY_S = 2.0
CALM_S = 6.0
CHANGE_DELAY_S = 0.05
OBSERVED_S = 6.0
REQUEST_PERIOD_S = 0.1


class OneDataCentre(rig.Deployment):
    """A deployment whose routers are all in one data centre."""

    def _router_settings(self, index: int, routers: int) -> dict[str, Any]:
        settings = super()._router_settings(index, routers)
        settings["router"]["data_centre"] = "dc-0"
        return settings


class Lookups:
    """Sends one request after the other through a router.

    Attributes:
        sent_at: when each request was sent, by its id.
    """

    def __init__(self, name: str, address: str):
        self._name = name
        self._address = address
        self.sent_at: dict[str, float] = {}

    async def run(self, record: rig.Record) -> None:
        """Sends requests until cancelled."""
        loop = asyncio.get_running_loop()
        caller = rig.Caller(self._address)
        before = 0
        try:
            for number in itertools.count():
                request_id = f"{self._name}/{number}"
                self.sent_at[request_id] = loop.time()
                headers = rig.request_headers(request_id, 1.5)
                status, _ = await caller.send("GET", "/lookup/x", headers)
                if status != before:
                    record.write(f"answered {request_id}: {status}")
                before = status
                await asyncio.sleep(REQUEST_PERIOD_S)
        finally:
            caller.close()


def without_route(name: str) -> dict[str, Any]:
    """Returns a change of the configuration that removes a route."""
    routes = rig.platform_fleet.configuration()["routes"]
    return {"routes": [route for route in routes if route["name"] != name]}


async def scenario(record: rig.Record, folder: str) -> bool | None:
    """Returns whether all routers in touch applied the change in time."""
    deployment = OneDataCentre(ROUTERS, 1, 2, folder)
    loop = asyncio.get_running_loop()
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(CALM_S)
        names = {router.name for router in deployment.routers}
        # The first in the order in which routers become readers of the store.
        turned_away = rendezvous.top(readers.RENDEZVOUS_KEY, names, TURNED_AWAY)
        lookups = [
            Lookups(router.name, router.address("front"))
            for router in deployment.routers
            if router.name not in turned_away
        ]
        tasks = [asyncio.create_task(item.run(record)) for item in lookups]
        await asyncio.sleep(1.0)
        if rig.has_trouble():
            for name in turned_away:
                link = deployment.proxies[f"store:{name}"].link_faults
                link.cut_to = link.cut_from = True
            record.write(f"the store is silent for {turned_away}")
        await asyncio.sleep(CHANGE_DELAY_S)
        await deployment.publish_configuration(without_route("lookup"))
        acked_at = loop.time()
        record.write("the store has acked a version without the route")
        await asyncio.sleep(OBSERVED_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        runs = {
            run.request_id
            for standin in deployment.replicas.values()
            for run in standin.runs
        }
    finally:
        await deployment.close()
    late = []
    for item in lookups:
        for request_id, sent_at in item.sent_at.items():
            after_s = sent_at - acked_at
            if request_id in runs and after_s > CONFIG_APPLY_S:
                late.append(request_id)
                record.write(f"ran {request_id}, sent {after_s:.3f} s after it")
    routers = sorted({name.partition("/")[0] for name in late})
    record.write(f"{len(late)} by the older version, at {routers}")
    return not late if runs else None


if __name__ == "__main__":
    rig.run(scenario, FOLDER)
