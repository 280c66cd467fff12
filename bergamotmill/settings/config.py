"""Settings of a router as immutable data classes.

The field names are the keys of the settings file.
"""

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
    """Identity and listen addresses of this router; addresses are IP:PORT.

    Attributes:
        name: unique name of the router.
        data_centre: data centre of the router.
        region: region of the data centre.
        front: address for callers.
        operators: address for operators.
        peer: address for calls of other routers.
    """

    name: str
    data_centre: str
    region: str
    front: str
    operators: str
    peer: str


@dataclasses.dataclass(frozen=True)
class KeyValueSettings:
    """Access to the platform's key-value service.

    Attributes:
        driver: registered name of the driver.
        addresses: addresses of the service, as IP:PORT.
        prefix: prefix of all keys.
    """

    driver: str
    addresses: tuple[str, ...]
    prefix: str = "/bergamotmill"


@dataclasses.dataclass(frozen=True)
class VmListSettings:
    """Access to the platform's list of VMs.

    Attributes:
        driver: registered name of the driver.
        address: address of the list, as IP:PORT.
    """

    driver: str
    address: str


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """Choice of a replica for a request.

    Attributes:
        policy: registered name of the routing policy.
        latency_weight: weight of the predicted time to first token.
        waste_weight: weight of the time for recomputing a prefix that another
            replica has cached.
        bytes_per_piece: prompt bytes in one block, the unit of prefix
            matching.
        tokens_per_piece: estimated number of tokens in one block.
    """

    policy: str = const.DEFAULT_POLICY
    latency_weight: float = const.DEFAULT_LATENCY_WEIGHT
    waste_weight: float = const.DEFAULT_WASTE_WEIGHT
    bytes_per_piece: int = const.DEFAULT_BYTES_PER_PIECE
    tokens_per_piece: int = const.DEFAULT_TOKENS_PER_PIECE


@dataclasses.dataclass(frozen=True)
class OrdersSettings:
    """Limits on orders to engines.

    Attributes:
        max_loading: maximum number of replicas that load weights at once.
    """

    max_loading: int = const.DEFAULT_MAX_LOADING


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Format and level of the log.

    Attributes:
        format: "text" or "json".
        level: least severe level that is logged.
    """

    format: str = "text"
    level: str = "INFO"


@dataclasses.dataclass(frozen=True)
class ShutdownSettings:
    """Time limits of a graceful shutdown.

    Attributes:
        deadline_s: maximum time in seconds for running requests to finish.
        address_lifetime_s: time in seconds for which callers may cache the
            addresses from a lookup; a router that shuts down keeps serving
            for this time.
    """

    deadline_s: float = const.DEFAULT_SHUTDOWN_DEADLINE_S
    address_lifetime_s: float = const.DEFAULT_ADDRESS_LIFETIME_S


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one router.

    Attributes:
        router: identity and listen addresses.
        key_value: access to the platform's key-value service.
        vm_list: access to the platform's list of VMs.
        fleet_key: secret that all routers of the fleet share.
        operator_key_digests: SHA-256 digests of the operators' keys by
            operator name.
        routing: choice of a replica.
        orders: limits on orders to engines.
        log: format and level of the log.
        shutdown: time limits of a graceful shutdown.
        statsd_address: address for statsd metrics; empty to send none.
    """

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
    """Validates a parsed settings file and reports all findings at once."""
    problems = findings.validate(schema.SCHEMA, value, source)
    if problems:
        return result.Err(problems)
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
    """Reads and validates a settings file."""
    return json_file.read(path).and_then(
        lambda value: from_mapping(value, path)
    )
