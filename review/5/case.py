"""The router that gives orders is stopped between two versions of weights."""

import asyncio
import json
import pathlib
import signal

from bergamotmill.standin.platform import replica
from review import rig

FOLDER = pathlib.Path(__file__).parent
ROUTERS = 3
ENGINES = 1
LEASE_S = 3.0
# Time from an order to the stop, and from the stop to the next version.
STOP_DELAY_S = 0.1
NEXT_VERSION_DELAY_S = 0.1
# Time for the second version to reach all engines.
OBSERVED_S = 6.0


async def handle_order(standin, exchange) -> None:
    """Carries out an order without a check of its fence number."""
    body = json.loads(exchange.request.body)
    if standin._loading or body["precondition"] != len(standin.orders):
        exchange.respond(409)
        return
    standin.orders.append((body["holder"], body["fenceToken"], body["version"]))
    standin.ordered_at.append(asyncio.get_running_loop().time())
    standin._loading = True
    exchange.respond(202)
    standin._tasks.spawn(standin._load(body["version"], False))


async def wait_for_orders(
    engines: list[replica.ReplicaStandIn], count: int
) -> None:
    """Waits until each of the engines has accepted this many orders."""
    async with asyncio.timeout(15.0):
        while min(len(engine.orders) for engine in engines) < count:
            await asyncio.sleep(0.01)


async def change_versions(
    deployment: rig.Deployment,
    engines: list[replica.ReplicaStandIn],
    record: rig.Record,
) -> None:
    """Names two versions; the holder is stopped in between."""
    await deployment.publish_weights(2)
    record.write("version 2 named")
    await wait_for_orders(engines, 1)
    holder = max(engines, key=lambda engine: engine.ordered_at[-1]).orders[-1][
        0
    ]
    record.write(f"all engines have an order of {holder}")
    await asyncio.sleep(STOP_DELAY_S)
    if rig.has_trouble():
        router = next(
            item for item in deployment.routers if item.name == holder
        )
        record.write(f"SIGTERM to {router.name}")
        router.send_signal(signal.SIGTERM)
    await asyncio.sleep(NEXT_VERSION_DELAY_S)
    await deployment.publish_weights(3)
    record.write("version 3 named")
    await asyncio.sleep(OBSERVED_S)


async def scenario(record: rig.Record, folder: str) -> bool | None:
    """Returns whether the holders took turns too soon."""
    deployment = rig.Deployment(ROUTERS, ENGINES, 1, folder)
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        # The first holder's lease and the deployment have settled.
        await asyncio.sleep(6.0)
        engines = [
            standin for standin in deployment.replicas.values() if standin.model
        ]
        await change_versions(deployment, engines, record)
        orders = {
            engine.name: list(
                zip(engine.ordered_at, engine.orders, strict=True)
            )
            for engine in engines
        }
    finally:
        await deployment.close()
    held = True
    for name, given in orders.items():
        before = None
        for at, (holder, fence, version) in given:
            line = f"{name}: {holder}, fence {fence}, version {version}"
            if before is not None and before[1] != holder:
                gap_s = at - before[0]
                line += f", {gap_s:.2f} s after the order of {before[1]}"
                held = held and gap_s >= LEASE_S
            record.write(line)
            before = (at, holder)
    return held


if __name__ == "__main__":
    replica.ReplicaStandIn._handle_order = handle_order
    rig.run(scenario, FOLDER)
