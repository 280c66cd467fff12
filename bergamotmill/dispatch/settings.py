"""Settings of a dispatching router, validated when they are loaded."""

from collections.abc import Mapping
import dataclasses
from typing import Any

import result

from bergamotmill.dispatch import const
from bergamotmill.engine_load import const as load_const
from bergamotmill.helpers import findings
from bergamotmill.helpers import json_file
from bergamotmill.helpers import memory_budget
from bergamotmill.settings import schema

CONF_ROUTER = "router"
CONF_STORE = "store"
CONF_SEEDS = "seeds"
CONF_RETRIES = "retries"
CONF_SHUTDOWN = "shutdown"
CONF_WEIGHTS = "weights"
CONF_STREAMS = "streams"
CONF_LOG = "log"
CONF_MEMORY = "memory"
CONF_PLACEMENT = "placement"
CONF_FLEET_KEY = "fleet_key"
CONF_CUSTOMER_LIMITS = "customer_limits"


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Identity and listen addresses of this router; addresses are IP:PORT.

    Attributes:
        name: unique name of the router.
        data_centre: data centre of the router.
        region: region of the data centre.
        front: address for callers.
        ready: address for readiness checks.
        directory: address at which callers look up routers.
        peer: address for gRPC calls of other routers.
        metrics: address for metrics.
        datagrams: UDP address for notices between routers, with the same port
            on every router; empty to send notices over gRPC.
        cpu_share: fraction of each core that the process may use; 0 if it is
            not known.
        cores: number of cores.
    """

    name: str
    data_centre: str
    region: str
    front: str
    ready: str
    directory: str
    peer: str
    metrics: str
    datagrams: str = ""
    cpu_share: float = 0.0
    cores: int = 1

    @property
    def processors(self) -> float:
        """Processor time that the process may use, in cores; 0 if unknown."""
        return self.cpu_share * self.cores


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address of the platform's store."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Retry budget of the whole fleet for each service.

    Attributes:
        ratio: retries allowed per request.
        slack: further retries that the whole fleet may make in a window.
        window_s: length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Settings of the graceful shutdown.

    Attributes:
        grace_s: time that a graceful shutdown may take, in seconds.
    """

    grace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsSettings:
    """Time limits for changes of model weights.

    Attributes:
        deadline_ms: time after a newer target version was set from which no
            request may start on an older one, in milliseconds.
        turn_ms: minimum time between orders of two routers to the same engine,
            in milliseconds.
    """

    deadline_ms: float = 8000.0
    turn_ms: float = 3000.0

    @property
    def old_weights_max_age_s(self) -> float:
        """Seconds for which old weights are used after newer ones are set."""
        return self.deadline_ms / 1000.0 - const.OLD_WEIGHTS_MARGIN_S

    @property
    def min_order_gap_s(self) -> float:
        """Seconds kept between orders of two routers to the same engine."""
        return self.turn_ms / 1000.0 + const.HOLDER_GAP_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSettings:
    """Settings of streams that cannot be retried.

    Attributes:
        keep_copies: whether a second engine keeps a copy of the KV cache of
            long streams. Copies displace cached prompts, so this pays off
            where memory is ample and engines are lost often.
    """

    keep_copies: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of the log.

    Attributes:
        level: lowest level that is written.
    """

    level: str = "INFO"


@dataclasses.dataclass(frozen=True, slots=True)
class MemorySettings:
    """Memory that the process may use.

    Attributes:
        limit_mb: memory above which the platform ends the process, in MiB.
    """

    limit_mb: float = memory_budget.DEFAULT_MEMORY_BYTES / memory_budget.MIB

    @property
    def limit_bytes(self) -> int:
        """The limit in bytes."""
        return int(self.limit_mb * memory_budget.MIB)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of the choice of engines.

    Attributes:
        load_model: how the load of engines is known.
    """

    load_model: load_const.LoadModel = load_const.LoadModel.DATA_SHEET


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerLimitSettings:
    """By how much the limits of customers may be exceeded.

    Attributes:
        window_s: length of the window in seconds.
        excess: fraction of what a limit allows in a window.
        slack: further units in a window, whatever the limit.
    """

    window_s: float
    excess: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one dispatching router.

    Attributes:
        router: identity and listen addresses.
        store: address of the platform's store.
        retries: retry budget.
        shutdown: graceful shutdown.
        fleet_key: secret shared by the routers of the fleet.
        seeds: peer addresses from which a starting router pulls documents
            while the store does not answer.
        weights: time limits for changes of model weights.
        streams: streams that cannot be retried.
        log: log level.
        memory: memory that the process may use.
        placement: choice of engines.
        customer_limits: how the limits of customers are enforced; None if
            they are not.
    """

    router: RouterSettings
    store: StoreSettings
    retries: RetrySettings
    shutdown: ShutdownSettings
    fleet_key: str
    seeds: tuple[str, ...] = ()
    weights: WeightsSettings = WeightsSettings()
    streams: StreamSettings = StreamSettings()
    log: LogSettings = LogSettings()
    memory: MemorySettings = MemorySettings()
    placement: PlacementSettings = PlacementSettings()
    customer_limits: CustomerLimitSettings | None = None


def restart_needed(old: Settings, new: Settings) -> list[str]:
    """Returns the changed settings that take effect only at the next start."""
    sections = {
        CONF_ROUTER: old.router != new.router,
        CONF_FLEET_KEY: old.fleet_key != new.fleet_key,
        CONF_WEIGHTS: old.weights != new.weights,
        CONF_STREAMS: old.streams != new.streams,
        CONF_LOG: old.log != new.log,
        CONF_MEMORY: old.memory != new.memory,
        CONF_PLACEMENT: old.placement != new.placement,
        CONF_CUSTOMER_LIMITS: old.customer_limits != new.customer_limits,
        f"{CONF_RETRIES}.window_s": (
            old.retries.window_s != new.retries.window_s
        ),
    }
    return sorted(name for name, changed in sections.items() if changed)


_ADDRESS_KEYS = ("front", "ready", "directory", "peer", "metrics")
_NAME_KEYS = ("name", "data_centre", "region")
SCHEMA = schema.strict_object(
    {
        CONF_ROUTER: schema.strict_object(
            {
                **dict.fromkeys(_NAME_KEYS, schema.NAME),
                **dict.fromkeys(_ADDRESS_KEYS, schema.ADDRESS),
                "datagrams": schema.ADDRESS,
                "cpu_share": schema.NOT_NEGATIVE,
                "cores": {"type": "integer", "minimum": 1},
            },
            (*_NAME_KEYS, *_ADDRESS_KEYS),
        ),
        CONF_STORE: schema.strict_object(
            {"address": schema.ADDRESS}, ("address",)
        ),
        CONF_SEEDS: {"type": "array", "items": schema.ADDRESS},
        CONF_RETRIES: schema.strict_object(
            {
                "ratio": schema.NOT_NEGATIVE,
                "slack": schema.NOT_NEGATIVE,
                "window_s": schema.POSITIVE,
            },
            ("ratio", "slack", "window_s"),
        ),
        CONF_SHUTDOWN: schema.strict_object(
            {"grace_s": schema.POSITIVE}, ("grace_s",)
        ),
        CONF_WEIGHTS: schema.strict_object(
            {"deadline_ms": schema.POSITIVE, "turn_ms": schema.POSITIVE}
        ),
        CONF_STREAMS: schema.strict_object(
            {"keep_copies": {"type": "boolean"}}
        ),
        CONF_LOG: schema.strict_object(
            {"level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]}}
        ),
        CONF_MEMORY: schema.strict_object({"limit_mb": schema.POSITIVE}),
        CONF_PLACEMENT: schema.strict_object(
            {
                "load_model": {
                    "enum": [model.value for model in load_const.LoadModel]
                }
            }
        ),
        CONF_CUSTOMER_LIMITS: schema.strict_object(
            {
                "window_s": schema.POSITIVE,
                "excess": schema.NOT_NEGATIVE,
                "slack": schema.NOT_NEGATIVE,
            },
            ("window_s", "excess", "slack"),
        ),
        CONF_FLEET_KEY: {"type": "string", "minLength": 16},
    },
    (CONF_ROUTER, CONF_STORE, CONF_RETRIES, CONF_SHUTDOWN, CONF_FLEET_KEY),
)


def from_mapping(
    value: Any, source: str
) -> result.Result[Settings, list[findings.Finding]]:
    """Validates a parsed settings file and returns all findings at once."""
    schema_findings = findings.validate(SCHEMA, value, source)
    if schema_findings:
        return result.Err(schema_findings)
    return result.Ok(_build_settings(value))


def _build_settings(value: Mapping[str, Any]) -> Settings:
    customer_limits = value.get(CONF_CUSTOMER_LIMITS)
    return Settings(
        router=RouterSettings(**value[CONF_ROUTER]),
        store=StoreSettings(**value[CONF_STORE]),
        retries=RetrySettings(**value[CONF_RETRIES]),
        shutdown=ShutdownSettings(**value[CONF_SHUTDOWN]),
        fleet_key=value[CONF_FLEET_KEY],
        seeds=tuple(value.get(CONF_SEEDS, ())),
        weights=WeightsSettings(**value.get(CONF_WEIGHTS, {})),
        streams=StreamSettings(**value.get(CONF_STREAMS, {})),
        log=LogSettings(**value.get(CONF_LOG, {})),
        memory=MemorySettings(**value.get(CONF_MEMORY, {})),
        placement=_build_placement(value.get(CONF_PLACEMENT, {})),
        customer_limits=(
            None
            if customer_limits is None
            else CustomerLimitSettings(**customer_limits)
        ),
    )


def _build_placement(value: Mapping[str, Any]) -> PlacementSettings:
    default = PlacementSettings()
    return PlacementSettings(
        load_const.LoadModel(value.get("load_model", default.load_model.value))
    )


def load(path: str) -> result.Result[Settings, list[findings.Finding]]:
    """Reads and validates a settings file."""
    return json_file.read(path).and_then(
        lambda value: from_mapping(value, path)
    )
