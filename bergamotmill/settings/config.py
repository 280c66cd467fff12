"""Settings as frozen data classes."""

from collections.abc import Mapping
import dataclasses
from typing import Any

import result

from bergamotmill.helpers import findings
from bergamotmill.helpers import json_file
from bergamotmill.settings import const
from bergamotmill.settings import schema


@dataclasses.dataclass(frozen=True)
class RouterSettings:
    """Who this router is and where it listens."""

    name: str
    data_centre: str
    region: str
    front: str
    operators: str
    peer: str


@dataclasses.dataclass(frozen=True)
class KeyValueSettings:
    """How to reach the platform's key-value service."""

    driver: str
    addresses: tuple[str, ...]
    prefix: str = "/bergamotmill"


@dataclasses.dataclass(frozen=True)
class VmListSettings:
    """How to reach the platform's list of VMs."""

    driver: str
    address: str


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """How a replica is chosen."""

    policy: str = const.DEFAULT_POLICY
    latency_weight: float = const.DEFAULT_LATENCY_WEIGHT
    waste_weight: float = const.DEFAULT_WASTE_WEIGHT
    bytes_per_piece: int = const.DEFAULT_BYTES_PER_PIECE
    tokens_per_piece: int = const.DEFAULT_TOKENS_PER_PIECE


@dataclasses.dataclass(frozen=True)
class OrdersSettings:
    """Bounds on orders to engines."""

    max_loading: int = const.DEFAULT_MAX_LOADING


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """How logs are written."""

    format: str = "text"
    level: str = "INFO"


@dataclasses.dataclass(frozen=True)
class ShutdownSettings:
    """How long a graceful shutdown may take."""

    deadline_s: float = const.DEFAULT_SHUTDOWN_DEADLINE_S
    address_lifetime_s: float = const.DEFAULT_ADDRESS_LIFETIME_S


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one router."""

    router: RouterSettings
    key_value: KeyValueSettings
    vm_list: VmListSettings
    fleet_key: str
    operator_key_digests: Mapping[str, str]
    routing: RoutingSettings = RoutingSettings()
    orders: OrdersSettings = OrdersSettings()
    log: LogSettings = LogSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    statsd_address: str = ""


def from_mapping(
    value: Any, source: str
) -> result.Result[Settings, list[findings.Finding]]:
    """Checks a parsed settings file; all findings come together."""
    found = findings.validate(schema.SCHEMA, value, source)
    if found:
        return result.Err(found)
    platform = value[const.CONF_PLATFORM]
    key_value = dict(platform["key_value"])
    key_value["addresses"] = tuple(key_value["addresses"])
    settings = Settings(
        router=RouterSettings(**value[const.CONF_ROUTER]),
        key_value=KeyValueSettings(**key_value),
        vm_list=VmListSettings(**platform["vm_list"]),
        fleet_key=value[const.CONF_FLEET_KEY],
        operator_key_digests=dict(value[const.CONF_OPERATORS]),
        routing=RoutingSettings(**value.get(const.CONF_ROUTING, {})),
        orders=OrdersSettings(**value.get(const.CONF_ORDERS, {})),
        log=LogSettings(**value.get(const.CONF_LOG, {})),
        shutdown=ShutdownSettings(**value.get(const.CONF_SHUTDOWN, {})),
        statsd_address=value.get(const.CONF_STATSD, {}).get("address", ""),
    )
    return result.Ok(settings)


def load(path: str) -> result.Result[Settings, list[findings.Finding]]:
    """Reads and checks a settings file."""
    return json_file.read(path).and_then(
        lambda value: from_mapping(value, path)
    )
