"""A tenant becomes isolated; others go on using the KV cache that it made."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2

FOLDER = str(pathlib.Path(__file__).resolve().parent)
# Without the disruption, for comparison, if TROUBLE is 0.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_S = rig2.BOUNDS["configApplyMs"] / 1000
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
    "anonymous": False,
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
KEYS = {"firm": "key-of-the-firm", "other": "key-of-the-other"}
# Parts of a prompt, which requests share up to the last one.
SHARED = "5c1e07a2:800,91bd3f06:4100"


def tenants(isolated: bool) -> list[dict[str, object]]:
    """Returns the tenants of a configuration."""
    return [
        {
            "name": name,
            "apiKeys": [key],
            "priority": 1,
            "isolated": isolated and name == "firm",
        }
        for name, key in KEYS.items()
    ]


def prepare() -> rig2.Deployment:
    """Returns three routers and two engines."""
    deployment = rig2.Deployment(FOLDER, TROUBLE)
    for index in range(2):
        deployment.add_replica(f"e-{index}", "engines", version=1)
    return deployment


async def scenario(deployment: rig2.Deployment) -> bool:
    """Returns whether no request used KV cache across the wall."""
    record = deployment.record
    parts = {"routes": [ROUTE], "services": SERVICES, "limits": {}}
    deployment.store.write(
        f"op/version/{rig2.MODEL}", {"model": rig2.MODEL, "version": 1}
    )
    await deployment.start(tenants=tenants(False), **parts)
    # The firm, not isolated yet, has its file read.
    for index in range(6):
        await send(deployment, index, "firm")
    acked_at = record.now()
    if deployment.trouble:
        deployment.configure(tenants=tenants(True), **parts)
        acked_at = record.now()
    await asyncio.sleep(APPLY_S + 1.5)
    began = record.now()
    answers = [await send(deployment, index, "other") for index in range(6)]
    if any(item.status != 200 for item in answers):
        raise RuntimeError("a request was not served")
    # Whom the configuration in force isolates.
    isolated = {"firm"} if deployment.trouble else set()
    crossings = []
    for replica in deployment.replicas.values():
        for run in replica.runs:
            makers = {name for name in KEYS if f"<-{name}" in run.note}
            tenants_met = makers | {run.tenant}
            if run.at >= began and makers and len(tenants_met) > 1:
                record.add(f"{run.request_id} used parts of {sorted(makers)}")
                if tenants_met & isolated:
                    crossings.append(run)
    for run in crossings:
        record.add(
            f"WALL: {run.request_id}, {run.at - acked_at:.2f} s after"
            " the configuration that isolates 'firm', used parts that requests"
            f" of 'firm' made: {run.note}"
        )
    return not crossings


async def send(
    deployment: rig2.Deployment, index: int, tenant: str
) -> rig2.Answer:
    """Sends a request of a tenant to one router after the other."""
    router = deployment.routers[index % len(deployment.routers)]
    return await rig2.call(
        deployment.record,
        router.front,
        "/review/x",
        Key=KEYS[tenant],
        Model=rig2.MODEL,
        Token_Count="5900,3",
        Prompt_Prefix=f"{SHARED},{rig2.new_id()}:1000",
        Deadline_Ms="15000",
    )


if __name__ == "__main__":
    sys.exit(rig2.main(scenario, prepare))
