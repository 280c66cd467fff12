"""A router is stopped; later, filings of some seconds still come to it."""

import asyncio
import pathlib
import signal

from bergamotmill.standin.platform import replica
from review import rig

FOLDER = pathlib.Path(__file__).parent
ROUTERS = 2
# The operators let a filing take this long.
TIMEOUT_S = 10.0
# Time that a replica works on a filing.
WORK_S = 4.6
CALLERS = 6
# The filings come this long after SIGTERM: later than the 3 s up to which the
# rule excuses those that are at work at the end.
FIRST_S = 3.2
PERIOD_S = 0.1
# From SIGTERM until 1 s after the grace period.
PLANNED_WORK_S = 9.0
# A channel that ends within this time of the last byte may not have been read.
LOSS_SLACK_S = 0.2


class Filing:
    """One filing, and how it ended.

    Attributes:
        status: status of the answer; 0 if the channel ended without one.
        seconds: from the last byte of the request to the end.
    """

    def __init__(self, name: str, caller: rig.Caller):
        self.name = name
        self.status = -1
        self.seconds = 0.0
        self._caller = caller

    async def run(self, record: rig.Record) -> None:
        """Sends the filing and waits for the answer."""
        loop = asyncio.get_running_loop()
        headers = rig.request_headers(self.name, TIMEOUT_S)
        record.write(f"sent {self.name}")
        sent_at = loop.time()
        try:
            self.status, _ = await self._caller.send(
                "POST", "/filing/x", headers, b"a certified record"
            )
        except (OSError, EOFError) as err:
            self.status = 0
            record.write(f"channel of {self.name} ended: {err!r}")
        else:
            record.write(f"answered {self.name}: {self.status}")
        self.seconds = loop.time() - sent_at


def timeouts(configuration: dict) -> list[dict]:
    """Returns the routes with the operators' time-out."""
    routes = configuration["routes"]
    return [
        {**route, "timeoutMs": TIMEOUT_S * 1000}
        if route["name"] == "filing"
        else route
        for route in routes
    ]


async def scenario(record: rig.Record, folder: str) -> bool | None:
    """Runs the filings; returns whether the rule held."""
    deployment = rig.Deployment(ROUTERS, 1, 4, folder)
    try:
        await deployment.start()
        routes = timeouts(rig.platform_fleet.configuration())
        await deployment.publish_configuration({"routes": routes})
        await deployment.wait_until_ready()
        # The deployment is calm for longer than contactMs.
        await asyncio.sleep(4.0)
        router = deployment.routers[0]
        # They keep these channels, as callers of an address do until it has
        # gone.
        callers = [rig.Caller(router.address("front")) for _ in range(CALLERS)]
        for number, caller in enumerate(callers):
            status, _ = await caller.send(
                "GET",
                "/lookup/x",
                rig.request_headers(f"first-{number}", 1.5),
            )
            record.write(f"answered first-{number}: {status}")
            if status != 200:
                return None
        if rig.has_trouble():
            record.write(f"SIGTERM to {router.name}")
            router.send_signal(signal.SIGTERM)
        stopped_at = asyncio.get_running_loop().time()
        await asyncio.sleep(FIRST_S)
        filings = [
            Filing(f"filing-{number}", caller)
            for number, caller in enumerate(callers)
        ]
        tasks = []
        for filing in filings:
            tasks.append(asyncio.create_task(filing.run(record)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)
        record.write(
            f"all ended {asyncio.get_running_loop().time() - stopped_at:.2f} s "
            "after the stop began"
        )
        runs = {
            run.request_id: run.outcome or "cut"
            for standin in deployment.replicas.values()
            for run in standin.runs
        }
    finally:
        await deployment.close()
    lost = []
    for filing in filings:
        record.write(
            f"{filing.name}: status {filing.status} after {filing.seconds:.2f} "
            f"s; at the replica: {runs.get(filing.name, 'never')}"
        )
        if (
            filing.status == 0
            and filing.name in runs
            and filing.seconds > LOSS_SLACK_S
        ):
            lost.append(filing.name)
    record.write(f"lost: {lost}")
    return not lost


async def work_for_long(standin, exchange, run) -> None:
    """Answers a filing after the time that it takes."""
    if exchange.request.method == "POST":
        await asyncio.sleep(WORK_S)
    run.outcome = "ok"
    exchange.respond(200, b"recorded", standin._success_headers(exchange))


if __name__ == "__main__":
    replica.ReplicaStandIn._run_plain = work_for_long
    rig.run(scenario, FOLDER)
