"""The settings of a dispatching router, checked once and frozen."""

from collections.abc import Mapping
import dataclasses
from typing import Any

import result

from bergamotmill.dispatch import const
from bergamotmill.helpers import findings
from bergamotmill.helpers import json_file
from bergamotmill.settings import schema

CONF_ROUTER = "router"
CONF_STORE = "store"
CONF_SEEDS = "seeds"
CONF_RETRIES = "retries"
CONF_SHUTDOWN = "shutdown"
CONF_WEIGHTS = "weights"
CONF_STREAMS = "streams"
CONF_LOG = "log"
CONF_FLEET_KEY = "fleet_key"


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Who this router is and where it listens; addresses are IP:PORT.

    Attributes:
        datagrams: for short messages between routers over UDP, on the same
            port everywhere; empty to send them over gRPC.
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


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the platform's store listens."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """The fleet's budget of repeats for each service.

    Attributes:
        ratio: repeats for each request.
        slack: further repeats of the whole fleet in a window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """How long a graceful shutdown may take, in seconds."""

    grace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsSettings:
    """Bounds on the use of older weights, in milliseconds.

    Attributes:
        deadline_ms: so long after a newer version was named, nothing may
            begin on an older one.
        turn_ms: orders of two routers to one engine lie further apart.
    """

    deadline_ms: float = 8000.0
    turn_ms: float = 3000.0

    @property
    def old_weights_max_age_s(self) -> float:
        """For how long an older version may be used, in seconds."""
        return self.deadline_ms / 1000.0 - const.OLD_WEIGHTS_MARGIN_S

    @property
    def min_order_gap_s(self) -> float:
        """How far apart orders of two routers are kept, in seconds."""
        return self.turn_ms / 1000.0 + const.HOLDER_GAP_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSettings:
    """What is done for streams that may not be repeated.

    Attributes:
        keep_copies: whether another engine keeps a copy of the memory of
            long ones. Copies take the place of cached prompts: worth it
            where memory is ample and engines are lost often.
    """

    keep_copies: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Which lines are written."""

    level: str = "INFO"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one dispatching router.

    Attributes:
        seeds: peers to ask while the store does not answer.
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


_ADDRESSES = ("front", "ready", "directory", "peer", "metrics")
_NAMES = ("name", "data_centre", "region")
SCHEMA = schema.section(
    {
        CONF_ROUTER: schema.section(
            {
                **dict.fromkeys(_NAMES, schema.NAME),
                **dict.fromkeys(_ADDRESSES, schema.ADDRESS),
                "datagrams": schema.ADDRESS,
            },
            (*_NAMES, *_ADDRESSES),
        ),
        CONF_STORE: schema.section({"address": schema.ADDRESS}, ("address",)),
        CONF_SEEDS: {"type": "array", "items": schema.ADDRESS},
        CONF_RETRIES: schema.section(
            {
                "ratio": schema.NOT_NEGATIVE,
                "slack": schema.NOT_NEGATIVE,
                "window_s": schema.POSITIVE,
            },
            ("ratio", "slack", "window_s"),
        ),
        CONF_SHUTDOWN: schema.section(
            {"grace_s": schema.POSITIVE}, ("grace_s",)
        ),
        CONF_WEIGHTS: schema.section(
            {"deadline_ms": schema.POSITIVE, "turn_ms": schema.POSITIVE}
        ),
        CONF_STREAMS: schema.section({"keep_copies": {"type": "boolean"}}),
        CONF_LOG: schema.section(
            {"level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]}}
        ),
        CONF_FLEET_KEY: {"type": "string", "minLength": 16},
    },
    (CONF_ROUTER, CONF_STORE, CONF_RETRIES, CONF_SHUTDOWN, CONF_FLEET_KEY),
)


def from_mapping(
    value: Any, source: str
) -> result.Result[Settings, list[findings.Finding]]:
    """Checks a parsed settings file; all findings come together."""
    found = findings.check(SCHEMA, value, source)
    if found:
        return result.Err(found)
    return result.Ok(_settings_of(value))


def _settings_of(value: Mapping[str, Any]) -> Settings:
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
    )


def load(path: str) -> result.Result[Settings, list[findings.Finding]]:
    """Reads and checks a settings file."""
    return json_file.read(path).and_then(
        lambda value: from_mapping(value, path)
    )
