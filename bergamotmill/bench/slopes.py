"""`bench slopes`: costs that grow with the prompt size and the fleet size."""

import argparse
from collections.abc import Callable
import gc
import json
import random
import time
import tracemalloc
from typing import Any

from bergamotmill import core
from bergamotmill.control import members as fleet_members
from bergamotmill.control import membership as fleet_membership
from bergamotmill.front import addresses
from bergamotmill.routing import chain as prefix_chain
from bergamotmill.routing import locations as prefix_locations
from bergamotmill.streams import body as engine_body

PATH = "/v1/chat/completions"
PROMPT_SIZES_KB = (16, 96, 400)
FLEET_SIZES = (7, 340, 3400)
LOCATION_COUNT = 100_000
REPLICA_COUNT = 526


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--repeats", type=int, default=50)


def _time_us(action: Callable[[], object], repeats: int) -> float:
    started = time.perf_counter()
    for _ in range(repeats):
        action()
    return (time.perf_counter() - started) / repeats * 1e6


def _body_us(size_kb: int, repeats: int) -> float:
    """Times parsing a body, hashing its prompt and serializing it again."""
    message = {"role": "user", "content": "word " * (size_kb * 200)}
    data = json.dumps({"model": "m", "messages": [message]}).encode()

    def handle() -> bytes:
        value = json.loads(data)
        text = engine_body.prompt_text(PATH, value)
        prefix_chain.build(text, b"salt", 8000, 2000)
        return json.dumps(value).encode()

    return _time_us(handle, repeats)


def _subset_us(routers: int, repeats: int) -> float:
    """Times the selection of a customer's routers after a fleet change."""
    alive = tuple(
        fleet_members.Member(
            f"vm-{index}",
            1,
            fleet_members.MemberState.ALIVE,
            0,
            "10.0.0.1:90",
            "10.0.0.1:80",
            "dc",
        )
        for index in range(routers)
    )
    address_book = addresses.RouterSelector(
        lambda: alive,
        lambda name: True,
        10.0,
        lambda name: "",
        random.Random(1),
    )
    customer = core.Customer("customer")

    def find() -> object:
        address_book.clear_cache()
        return address_book.routers_for(customer)

    return _time_us(find, repeats)


def _alive_us(routers: int, repeats: int) -> dict[str, float]:
    """Times the list of live routers, right after a change and when cached."""
    own = fleet_members.Member(
        "vm-0", 1, fleet_members.MemberState.ALIVE, 0, "a:1", "a:2", "dc"
    )
    membership = fleet_membership.Membership(
        own, None, random.Random(1), time.monotonic, lambda: 0
    )
    for index in range(1, routers):
        membership._store_member(
            fleet_members.Member(
                f"vm-{index}",
                1,
                fleet_members.MemberState.ALIVE,
                0,
                "a:1",
                "a:2",
                "dc",
            ),
            "vm-0",
        )

    def relist() -> object:
        membership._on_serving_changed()
        return membership.alive()

    return {
        "after_a_change_us": _time_us(relist, repeats),
        "between_us": _time_us(membership.alive, repeats),
    }


def _location_bytes() -> float:
    """Returns the bytes of memory for one known prefix location."""
    locations = prefix_locations.PrefixLocations(LOCATION_COUNT)
    names = [f"replica-{number}" for number in range(REPLICA_COUNT)]
    for name in names:
        locations.invalidate(name)
    rng = random.Random(1)
    gc.collect()
    tracemalloc.start()
    for number in range(LOCATION_COUNT):
        name = names[number % REPLICA_COUNT]
        locations.add_holder(
            "customer", rng.getrandbits(64), name, float(number)
        )
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes / LOCATION_COUNT


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures each cost for several sizes."""
    repeats = arguments.repeats
    return {
        "body_us_by_kb": {kb: _body_us(kb, repeats) for kb in PROMPT_SIZES_KB},
        "subset_us_by_routers": {
            routers: _subset_us(routers, repeats) for routers in FLEET_SIZES
        },
        "alive_by_routers": {
            routers: _alive_us(routers, repeats) for routers in FLEET_SIZES
        },
        "bytes_per_location": _location_bytes(),
    }


def show(result: dict[str, Any]) -> None:
    """Prints the figures."""
    for key, value in result.items():
        print(f"{key}: {value}")
