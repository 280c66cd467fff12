"""Random workloads of the two deployments, reproducible from a seed.

Prompts consist of nested prefixes: a customer's rules, then a publication or
sector, then a file or profile, and last the request's own question. Popularity
is skewed among customers and among groups.
"""

from collections.abc import Iterator
import dataclasses
import random

import xxhash

from bergamotmill.routing import chain as prefix_chain
from bergamotmill.standin import engine_model

BLOCK_TOKENS = 2000
ZIPF_EXPONENT = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class and the shape of its prompts.

    Attributes:
        target_s: seconds until the first token is due.
        rate_per_s: requests per second over all customers at full load, at
            which replicas under the oracle policy prefill 90% of the time.
        blocks_per_level: blocks of each nested prefix, the outermost first.
        requests_per_case: requests that share the innermost prefix; 0 if
            requests of this class do not form cases.
        mean_case_pause_s: mean seconds between the requests of a case.
        own_tokens: prompt tokens that no other request shares.
    """

    name: str
    priority: int
    worth: float
    target_s: float
    rate_per_s: float
    blocks_per_level: tuple[int, ...]
    requests_per_case: int
    mean_case_pause_s: float
    own_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """A deployment with its size and request classes.

    Attributes:
        near_s: latency in seconds to replicas in the same data centre.
        far_s: latency in seconds to replicas in other data centres.
        oracle_pressure: increase of the oracle's waste cost factor per second
            of mean wait; the value at which the oracle does best on this
            workload, so that policies are compared with its best results.
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
    classes: tuple[RequestClass, ...]


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
        RequestClass("review", 1, 3.0, 2.0, 6.65, (2, 3, 6), 8, 3.0, 2400, 240),
        RequestClass("check", 5, 1.0, 0.5, 13.3, (2,), 0, 0.0, 500, 12),
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
        RequestClass(
            "comparison", 1, 2.0, 4.0, 5.2, (2, 4, 8), 5, 4.0, 2400, 300
        ),
        RequestClass("lookup", 5, 1.0, 0.5, 15.6, (2, 4), 0, 0.0, 400, 16),
    ),
)

WORKLOADS = {item.name: item for item in (ASSOCIATION, FJORDTAKST)}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a workload."""

    name: str
    arrival_s: float
    customer: str
    case: str
    request_class: RequestClass
    chain: prefix_chain.PrefixChain


def _draw_zipf_index(rng: random.Random, count: int) -> int:
    weights = [1.0 / (index + 1) ** ZIPF_EXPONENT for index in range(count)]
    return rng.choices(range(count), weights)[0]


def _digest(*parts: object) -> int:
    return xxhash.xxh3_64_intdigest("/".join(map(str, parts)).encode())


def _make_chain(
    request_class: RequestClass, path: tuple[str, ...], name: str
) -> prefix_chain.PrefixChain:
    digests: list[int] = []
    for level, block_count in enumerate(request_class.blocks_per_level):
        prefix = path[: level + 1]
        digests += [_digest(*prefix, index) for index in range(block_count)]
    own_blocks = request_class.own_tokens // BLOCK_TOKENS
    digests += [_digest(*path, name, index) for index in range(own_blocks)]
    shared_tokens = sum(request_class.blocks_per_level) * BLOCK_TOKENS
    tokens = tuple(BLOCK_TOKENS * (n + 1) for n in range(len(digests)))
    return prefix_chain.PrefixChain(
        tuple(digests), tokens, shared_tokens + request_class.own_tokens
    )


def generate_requests(
    workload: Workload, seed: int, seconds: float, load: float, shift_s: float
) -> Iterator[Request]:
    """Yields the requests of a run in order of arrival.

    Args:
        workload: the deployment.
        seed: random seed.
        seconds: length of the run in seconds.
        load: factor on all rates.
        shift_s: seconds after which other customers and groups become popular;
            0 for never.
    """
    requests: list[Request] = []
    for request_class in workload.classes:
        rng = random.Random(f"{seed}/{request_class.name}")
        requests += _generate_class(
            workload, request_class, rng, seconds, load, shift_s
        )
    requests.sort(key=lambda request: request.arrival_s)
    yield from requests


def _generate_class(workload, request_class, rng, seconds, load, shift_s):
    requests_per_case = max(1, request_class.requests_per_case)
    rate_per_s = request_class.rate_per_s * load / requests_per_case
    case_arrival_s = 0.0
    case_number = 0
    while True:
        case_arrival_s += rng.expovariate(rate_per_s)
        if case_arrival_s >= seconds:
            return
        case_number += 1
        shift_index = int(case_arrival_s / shift_s) if shift_s else 0
        customer_index = (
            _draw_zipf_index(rng, workload.customers) + 3 * shift_index
        ) % workload.customers
        group = (
            _draw_zipf_index(rng, workload.groups) + 5 * shift_index
        ) % workload.groups
        customer = f"customer-{customer_index}"
        path = (
            customer,
            f"group-{group}",
            f"case-{request_class.name}-{case_number}",
        )
        request_arrival_s = case_arrival_s
        for index in range(requests_per_case):
            name = f"{request_class.name}-{case_number}-{index}"
            if request_arrival_s < seconds:
                chain = _make_chain(request_class, path, name)
                yield Request(
                    name,
                    request_arrival_s,
                    customer,
                    path[2],
                    request_class,
                    chain,
                )
            if request_class.mean_case_pause_s:
                request_arrival_s += rng.expovariate(
                    1.0 / request_class.mean_case_pause_s
                )
