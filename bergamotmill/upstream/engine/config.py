"""Data that goes to and comes from engines."""

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
    """A model as an engine holds it."""

    name: str
    version: str
    state: ModelState
    adapters: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own account of its load; tokens are uncached tokens.

    Attributes:
        incarnation: grows with each start of the engine.
        as_of: seconds on the receiver's monotonic clock.
        queued_tokens: tokens waiting for prefill, by priority.
        accepted_tokens: tokens ever accepted for prefill.
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
    """A block that was stored or evicted."""

    sequence: int
    stored: bool
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateCall:
    """One request as it goes to an engine."""

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
    """What the engine said before the first event."""

    incarnation: int
    version: str
    request_id: str
    report: LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A wanted end state of one model on one engine."""

    kind: str
    model: str
    version: str
    fencing: int
    adapters: Mapping[str, str] = dataclasses.field(default_factory=dict)
    role: str = ""


def report_from_json(value: Mapping[str, Any], now: float) -> LoadReport:
    """Makes a report of an engine's JSON."""
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
