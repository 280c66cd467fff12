"""Workloads of the two deployments, drawn from a seed.

Prompts are nested: a customer's rules, a publication or sector below them, a
file or profile below that, and the request's own question. Popularity is
skewed at each level.
"""

from collections.abc import Iterator
import dataclasses
import random

import xxhash

from bergamotmill.routing import chain as prefix_chain
from bergamotmill.standin import engine_model

PIECE_TOKENS = 2000
SKEW = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class ClassShape:
    """A request class and the shape of its prompts.

    Attributes:
        rate: requests a second over all customers at full load, which is
            where the oracle's replicas prefill for 0.9 of the time.
        pieces: pieces of each nested level, the shallowest first.
        per_case: requests that share the deepest shared level; 0 when the
            class has no level of its own kind.
        case_pause_s: mean pause between the requests of one case.
        own_tokens: tokens that only this request has.
    """

    name: str
    priority: int
    worth: float
    target_s: float
    rate: float
    pieces: tuple[int, ...]
    per_case: int
    case_pause_s: float
    own_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """A deployment: its sizes and its classes.

    Attributes:
        oracle_pressure: the pressure with which the oracle does best here,
            so that it is compared with at its strongest.
    """

    name: str
    data_centres: int
    replicas: int
    customers: int
    groups: int
    latency_weight: float
    waste_weight: float
    near_s: float
    far_s: float
    oracle_pressure: float
    speed: engine_model.Speed
    classes: tuple[ClassShape, ...]


ASSOCIATION = Workload(
    name="association",
    data_centres=4,
    replicas=6,
    customers=8,
    groups=6,
    latency_weight=1.0,
    waste_weight=0.3,
    near_s=0.0005,
    far_s=0.001,
    oracle_pressure=4.0,
    speed=engine_model.Speed(slots=48, cache_blocks=64),
    classes=(
        ClassShape("review", 1, 3.0, 2.0, 6.65, (2, 3, 6), 8, 3.0, 2400, 240),
        ClassShape("check", 5, 1.0, 0.5, 13.3, (2,), 0, 0.0, 500, 12),
    ),
)

FJORDTAKST = Workload(
    name="fjordtakst",
    data_centres=3,
    replicas=9,
    customers=8,
    groups=10,
    latency_weight=0.7,
    waste_weight=1.0,
    near_s=0.0005,
    far_s=0.0015,
    oracle_pressure=0.0,
    speed=engine_model.Speed(slots=64, cache_blocks=64),
    classes=(
        ClassShape(
            "comparison", 1, 2.0, 4.0, 5.2, (2, 4, 8), 5, 4.0, 2400, 300
        ),
        ClassShape("lookup", 5, 1.0, 0.5, 15.6, (2, 4), 0, 0.0, 400, 16),
    ),
)

WORKLOADS = {item.name: item for item in (ASSOCIATION, FJORDTAKST)}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a workload."""

    name: str
    at: float
    customer: str
    case: str
    shape: ClassShape
    chain: prefix_chain.PrefixChain


def _pick(rng: random.Random, count: int) -> int:
    weights = [1.0 / (index + 1) ** SKEW for index in range(count)]
    return rng.choices(range(count), weights)[0]


def _digest(*parts: object) -> int:
    return xxhash.xxh3_64_intdigest("/".join(map(str, parts)).encode())


def _chain(
    shape: ClassShape, path: tuple[str, ...], name: str
) -> prefix_chain.PrefixChain:
    digests: list[int] = []
    for level, pieces in enumerate(shape.pieces):
        prefix = path[: level + 1]
        digests += [_digest(*prefix, index) for index in range(pieces)]
    own_pieces = shape.own_tokens // PIECE_TOKENS
    digests += [_digest(*path, name, index) for index in range(own_pieces)]
    shared = sum(shape.pieces) * PIECE_TOKENS
    tokens = tuple(PIECE_TOKENS * (n + 1) for n in range(len(digests)))
    return prefix_chain.PrefixChain(
        tuple(digests), tokens, shared + shape.own_tokens
    )


def draw(
    workload: Workload, seed: int, seconds: float, load: float, shift_s: float
) -> Iterator[Request]:
    """Gives requests in order of time.

    Args:
        workload: the deployment.
        seed: of the drawing.
        seconds: length of the run.
        load: factor on all rates.
        shift_s: the hot customers and groups change this often; 0 is never.
    """
    requests: list[Request] = []
    for shape in workload.classes:
        rng = random.Random(f"{seed}/{shape.name}")
        requests += _draw_class(workload, shape, rng, seconds, load, shift_s)
    requests.sort(key=lambda request: request.at)
    yield from requests


def _draw_class(workload, shape, rng, seconds, load, shift_s):
    cases = max(1, shape.per_case)
    rate = shape.rate * load / cases
    at = 0.0
    number = 0
    while True:
        at += rng.expovariate(rate)
        if at >= seconds:
            return
        number += 1
        turn = int(at / shift_s) if shift_s else 0
        who = (_pick(rng, workload.customers) + 3 * turn) % workload.customers
        group = (_pick(rng, workload.groups) + 5 * turn) % workload.groups
        customer = f"customer-{who}"
        path = (customer, f"group-{group}", f"case-{shape.name}-{number}")
        moment = at
        for index in range(cases):
            name = f"{shape.name}-{number}-{index}"
            if moment < seconds:
                chain = _chain(shape, path, name)
                yield Request(name, moment, customer, path[2], shape, chain)
            if shape.case_pause_s:
                moment += rng.expovariate(1.0 / shape.case_pause_s)
