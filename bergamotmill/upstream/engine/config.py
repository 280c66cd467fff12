"""Data sent to and received from engines."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any


class ModelState(enum.Enum):
    """Whether an engine can serve a model."""

    READY = "ready"
    LOADING = "loading"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """Model that an engine has loaded or is loading.

    Attributes:
        version: version of the weights.
        adapters: version of each loaded adapter, by adapter name.
    """

    name: str
    version: str
    state: ModelState
    adapters: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by an engine; token counts exclude cached tokens.

    Attributes:
        incarnation: number that increases with each start of the engine.
        as_of: time of the report in seconds on the receiver's monotonic clock.
        queued_tokens: tokens waiting for prefill, by priority.
        running: number of requests being run.
        slots: number of requests that the engine can run at once.
        accepted_tokens: tokens accepted for prefill since the engine started.
        prefill_tokens_per_s: prefill rate.
        models: loaded models by name.
        draining: whether the engine accepts no more requests.
        roles: phases of a request that the engine serves.
    """

    incarnation: int
    as_of: float
    queued_tokens: Mapping[int, float]
    running: int
    slots: int
    accepted_tokens: float
    prefill_tokens_per_s: float
    models: Mapping[str, LoadedModel]
    draining: bool = False
    roles: tuple[str, ...] = ("prefill", "decode")


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Block that was stored in or evicted from an engine's KV cache.

    Attributes:
        sequence: number of the event, counted since the engine started.
        stored: whether the block was stored; False when it was evicted.
        digest: digest of the prefix that ends with the block.
    """

    sequence: int
    stored: bool
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateCall:
    """Request to be sent to an engine.

    Attributes:
        incarnation: incarnation of the engine that the request is meant for.
        version: version of the weights that the request is meant for.
        chain: digests of the prompt's nested prefixes, shortest first.
        import_store_address: address of the KV offload store from which the
            engine imports cached blocks; empty for no import.
        silence_s: longest time without data, in seconds; 0 for the default.
    """

    request_id: str
    path: str
    body: bytes
    priority: int
    incarnation: int
    version: str
    chain: tuple[int, ...] = ()
    import_store_address: str = ""
    silence_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """Response headers of a stream.

    Attributes:
        report: load report in the headers, when there is a valid one.
    """

    incarnation: int
    version: str
    request_id: str
    report: LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Target state of one model on one engine.

    Attributes:
        fencing: fencing token; the engine refuses an outdated one.
        adapters: target version of each adapter, by adapter name.
    """

    kind: str
    model: str
    version: str
    fencing: int
    adapters: Mapping[str, str] = dataclasses.field(default_factory=dict)
    role: str = ""


def report_from_json(value: Mapping[str, Any], now: float) -> LoadReport:
    """Parses a load report.

    Args:
        value: decoded JSON from the engine.
        now: current time on the receiver's monotonic clock.
    """
    models = {
        name: LoadedModel(
            name,
            model["version"],
            ModelState(model["state"]),
            model.get("adapters", {}),
        )
        for name, model in value["models"].items()
    }
    queued = {
        int(priority): float(tokens)
        for priority, tokens in value["queued_tokens"].items()
    }
    return LoadReport(
        incarnation=int(value["incarnation"]),
        as_of=now - float(value.get("age_s", 0.0)),
        queued_tokens=queued,
        running=int(value["running"]),
        slots=int(value["slots"]),
        accepted_tokens=float(value["accepted_tokens"]),
        prefill_tokens_per_s=float(value["prefill_tokens_per_s"]),
        models=models,
        draining=bool(value.get("draining", False)),
        roles=tuple(value.get("roles", ("prefill", "decode"))),
    )
