"""Routers are stopped in turn; one takes streams that it cannot finish."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2

FOLDER = str(pathlib.Path(__file__).resolve().parent)
# Without the disruption, for comparison, if TROUBLE is 0.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = rig2.BOUNDS["graceS"]
# Time between the stops, and from the end of a process to its next start.
GAP_S = 1.3
RESTART_S = 0.5
# Output tokens of a stream: as many as the sheet names on average, and at most.
USUAL_TOKENS = 76
MOST_TOKENS = 224
TOKEN_S = 0.021
# When streams with the most tokens are sent, after SIGTERM; the rule excuses
# those that were sent within 3 s after it.
SENT_S = (3.2, 3.3, 3.4, 3.5, 3.6)
ROUTE = {
    "name": "review",
    "host": rig2.HOST,
    "prefix": "/review/",
    "kind": "stream",
    "timeoutMs": 15000,
    "targetLatencyMs": 800,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 1,
    "anonymous": True,
    "sessionAffinity": True,
    "resumable": False,
    "targetGapMs": 400,
}
SERVICES = [
    {
        "name": "engines",
        "healthPath": "/health",
        "maxConnections": 360,
        "engine": {
            "slots": 64,
            "kvCapacityTokens": 259523,
            "kvTokenBytes": 163840,
            "models": [{"name": rig2.MODEL}],
        },
    }
]


class Engine(rig2.Replica):
    """An engine whose streams take a fixed time for each token."""

    async def run(
        self, request: rig2.Request, run: rig2.Run, writer: rig2.Writer
    ) -> None:
        """Writes the events of a stream, in chunks."""
        seal = {"Response_Seal": f"seal.{self.name}", **self.headers(request)}
        rig2.start_chunks(writer, Weight_Versions=str(self.version), **seal)
        tokens = int(request.headers["token-count"].split(",")[1])
        for number in range(1, tokens + 1):
            await asyncio.sleep(TOKEN_S)
            rig2.write_chunk(writer, b"id: %d\ndata: t\n\n" % number)
        run.done = True
        rig2.write_chunk(writer, b"")


def prepare() -> rig2.Deployment:
    """Returns three routers and two engines."""
    deployment = rig2.Deployment(FOLDER, TROUBLE)
    for index in range(2):
        deployment.add_replica(f"e-{index}", "engines", Engine, version=1)
    return deployment


async def scenario(deployment: rig2.Deployment) -> bool:
    """Returns whether the second router cut no stream that it had taken."""
    record = deployment.record
    deployment.store.write(
        f"op/version/{rig2.MODEL}", {"model": rig2.MODEL, "version": 1}
    )
    await deployment.start(routes=[ROUTE], services=SERVICES, limits={})
    async with asyncio.TaskGroup() as group:
        for index in range(30):
            router = deployment.routers[index % len(deployment.routers)]
            group.create_task(send(deployment, router, USUAL_TOKENS))
            await asyncio.sleep(0.1)
    stops = []
    if deployment.trouble:
        stops = [
            asyncio.create_task(stop(deployment, router, index * GAP_S))
            for index, router in enumerate(deployment.routers)
        ]
    second = deployment.routers[1]
    await asyncio.sleep(GAP_S)
    stopped_at = record.now()
    calls = []
    for after_s in SENT_S:
        await asyncio.sleep(after_s - (record.now() - stopped_at))
        calls.append(asyncio.create_task(send(deployment, second, MOST_TOKENS)))
    answers = await asyncio.gather(*calls)
    await asyncio.gather(*stops)
    lost = []
    for item in answers:
        sent_s = item.sent_at - stopped_at
        events = item.body.count(b"id: ")
        record.add(
            f"{item.request_id} sent {sent_s:.2f} s after SIGTERM: status"
            f" {item.status}, {events} events, ended"
            f" {item.ended_at - stopped_at:.2f} s after SIGTERM,"
            f" {'whole' if item.whole else 'not whole'}"
        )
        ran = any(
            run.request_id == item.request_id
            for replica in deployment.replicas.values()
            for run in replica.runs
        )
        if ran and not item.whole:
            lost.append(item.request_id)
    record.add(f"LOST: {len(lost)} streams were taken, passed on and cut")
    return not lost


async def send(
    deployment: rig2.Deployment, router: rig2.Router, tokens: int
) -> rig2.Answer:
    """Sends a request for a stream to a router."""
    return await rig2.call(
        deployment.record,
        router.front,
        "/review/x",
        Model=rig2.MODEL,
        Token_Count=f"5900,{tokens}",
        Prompt_Prefix=f"5c1e07a2:800,91bd3f06:4100,{rig2.new_id()}:1000",
        Deadline_Ms="15000",
    )


async def stop(
    deployment: rig2.Deployment, router: rig2.Router, after_s: float
) -> None:
    """Stops a router as the platform does, and starts it again."""
    await asyncio.sleep(after_s)
    deployment.record.add(f"{router.name} gets SIGTERM")
    router.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await router.process.wait()
    except TimeoutError:
        router.send(signal.SIGKILL)
        await router.process.wait()
    deployment.record.add(f"{router.name} has ended")
    await asyncio.sleep(RESTART_S)
    await router.start()
    await deployment.wait_ready(router)
    deployment.record.add(f"{router.name} is ready again")


if __name__ == "__main__":
    sys.exit(rig2.main(scenario, prepare))
