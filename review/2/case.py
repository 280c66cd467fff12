"""One router loses the store; a replica leaves without a word meanwhile."""

import asyncio
import itertools
import pathlib
from typing import Any

from bergamotmill.control import const as control_const
from bergamotmill.dispatch import readers
from bergamotmill.util import rendezvous
from review import rig

FOLDER = pathlib.Path(__file__).parent
# With more than six routers in a data centre, only some read the store.
ROUTERS = 8
DRAIN_S = 2.0
CALM_S = 6.0
# From the cut to the removal of the replica's entry.
LEAVING_DELAY_S = 2.0
# The replica goes on for drainMs and a little longer, then it exits.
SERVES_ON_S = 2.3
OBSERVED_AFTER_S = 1.0
REQUEST_PERIOD_S = 0.02


class OneDataCentre(rig.Deployment):
    """A deployment whose routers are all in one data centre."""

    def _router_settings(self, index: int, routers: int) -> dict[str, Any]:
        settings = super()._router_settings(index, routers)
        settings["router"]["data_centre"] = "dc-0"
        return settings


def first_reader(names: list[str]) -> str:
    """Returns the router that reads the store for the data centre."""
    return rendezvous.top(
        readers.RENDEZVOUS_KEY,
        set(names),
        control_const.READERS_PER_DATA_CENTRE,
    )[0]


async def file_records(address: str, name: str, record: rig.Record) -> None:
    """Files one record after the other through a router."""
    caller = rig.Caller(address)
    statuses: dict[int, int] = {}
    try:
        for number in itertools.count():
            headers = rig.request_headers(f"{name}/{number}", 1.5)
            status, _ = await caller.send(
                "POST", "/filing/x", headers, b"a certified record"
            )
            if status != 200:
                record.write(f"answered {name}/{number}: {status}")
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(REQUEST_PERIOD_S)
    except asyncio.CancelledError:
        record.write(f"answers of {name} by status: {statuses}")
    finally:
        caller.close()


async def scenario(record: rig.Record, folder: str) -> bool | None:
    """Returns whether the replica was left alone in time."""
    deployment = OneDataCentre(ROUTERS, 1, 2, folder)
    loop = asyncio.get_running_loop()
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(CALM_S)
        cut_name = first_reader([item.name for item in deployment.routers])
        tasks = [
            asyncio.create_task(
                file_records(router.address("front"), router.name, record)
            )
            for router in deployment.routers
            if router.name != cut_name
        ]
        leaving = next(
            standin
            for standin in deployment.replicas.values()
            if not standin.model
        )
        if rig.has_trouble():
            link = deployment.proxies[f"store:{cut_name}"].link_faults
            link.cut_to = link.cut_from = True
            record.write(f"{cut_name} is cut off from the store")
        await asyncio.sleep(LEAVING_DELAY_S)
        await deployment.deregister_replica(leaving.name)
        left_at = loop.time()
        record.write(f"the store has acked that {leaving.name} is gone")
        await asyncio.sleep(SERVES_ON_S)
        runs = [(run.began, run.request_id) for run in leaving.runs]
        await deployment.stop_replica(leaving.name, crash=False)
        record.write(f"{leaving.name} has exited")
        await asyncio.sleep(OBSERVED_AFTER_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await deployment.close()
    late = []
    for began, request_id in runs:
        after_s = began - left_at
        if after_s > -0.5:
            record.write(f"ran {request_id} {after_s:.3f} s after the ack")
        if after_s > DRAIN_S:
            late.append(request_id)
    routers = sorted({name.partition("/")[0] for name in late})
    record.write(f"{len(late)} too late, from {routers}")
    return not late if runs else None


if __name__ == "__main__":
    rig.run(scenario, FOLDER)
