"""Demonstrates routers on the stand-in platform with a few requests.

Everything runs in memory in this process, on a virtual clock.
"""

import random
import sys

import loguru

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from bergamotmill.util import memory_network

REQUESTS = (
    ("review", "POST", b"a long file"),
    ("review", "POST", b"the same file, another question"),
    ("check", "POST", b"one entry"),
    ("filing", "POST", b"a certified record"),
    ("lookup", "GET", b""),
)


async def _run_demo(network: memory_network.MemoryNetwork) -> int:
    demo = fleet.PlatformFleet(network, random.Random(1))
    await demo.start()
    failed = 0
    for index, (route, method, body) in enumerate(REQUESTS):
        answer = await demo.call(
            route,
            router=index % demo.sizes.routers,
            method=method,
            body=body,
            parts=f"system:512,file:4870,own{index}:900",
        )
        served = answer.headers.get(const.HEADER_ANSWERED_BY.encode(), b"?")
        events = len(answer.events())
        print(
            f"{route:8} status {answer.status} by {served.decode():3} "
            f"in {answer.seconds * 1000:6.1f} ms, {events} events"
        )
        failed += not (answer.status == 200 and answer.whole)
    await demo.close()
    return 1 if failed else 0


def main() -> int:
    """Runs the demonstration; returns 0 when all requests succeeded."""
    loguru.logger.remove()
    network = memory_network.MemoryNetwork(random.Random(1))
    return memory_network.run(network, _run_demo(network))


if __name__ == "__main__":
    sys.exit(main())
