"""Decodes and encodes the documents in the platform's store."""

import json
import re
from typing import Any

import result

from bergamotmill.dispatch import config
from bergamotmill.dispatch import fleet
from bergamotmill.dispatch import upstreams
from bergamotmill.helpers import json_text
from bergamotmill.platform import const

_REQUEST_KINDS = {
    "stream": config.RequestKind.STREAM,
    "idempotent": config.RequestKind.IDEMPOTENT,
    "non_idempotent": config.RequestKind.NON_IDEMPOTENT,
}
_UPSTREAM_STATES = {
    "ready": upstreams.UpstreamState.READY,
    "draining": upstreams.UpstreamState.LEAVING,
}
_DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    # The text of another error that contains a nested value.
    RecursionError,
)
# The unit of limits in tokens; any other means requests.
_UNIT_TOKENS = "tokens"
_MAX_DELAY_MS = 86_400_000
_MAX_PORT = 65535
_HOST = re.compile(r"[A-Za-z0-9._-]{1,253}")
_PORT = re.compile(r"[0-9]{1,5}")


class Decoder:
    """Decodes the documents of this platform."""

    def decode(
        self, key: str, value: bytes
    ) -> result.Result[fleet.Decoded | None, str]:
        """Decodes a document; None if the router does not use its key."""
        try:
            if key == const.KEY_CONFIGURATION:
                return result.Ok(parse_catalog(json_text.loads(value)))
            if key.startswith(const.PREFIX_WEIGHTS):
                return result.Ok(_parse_target_weights(json_text.loads(value)))
            if key.startswith(const.PREFIX_REPLICAS):
                name = self.upstream_of(key)
                return result.Ok(
                    parse_upstream_entry(name, json_text.loads(value))
                )
            if key.startswith(const.PREFIX_ROUTERS):
                return result.Ok(_parse_router_entry(json_text.loads(value)))
        except _DECODE_ERRORS as err:
            return result.Err(f"{key}: {err!r}")
        return result.Ok(None)

    def operator_version(self, key: str, value: bytes) -> int:
        """Returns the version that operators gave a document; 0 for none."""
        is_numbered = key == const.KEY_CONFIGURATION or key.startswith(
            const.PREFIX_WEIGHTS
        )
        if not is_numbered:
            return 0
        try:
            return _typed_field(json_text.loads(value), int, "version")
        except _DECODE_ERRORS:
            # Logged when the document is decoded as a whole.
            return 0

    def upstream_of(self, key: str) -> str:
        """Returns the upstream that a key belongs to; empty if none."""
        if not key.startswith(const.PREFIX_REPLICAS):
            return ""
        return key[len(const.PREFIX_REPLICAS) :]

    def router_of(self, key: str) -> str:
        """Returns the router that a key belongs to; empty if none."""
        if not key.startswith(const.PREFIX_ROUTERS):
            return ""
        return key[len(const.PREFIX_ROUTERS) :]


def _typed_field(
    value: Any, expected_type: type | tuple[type, ...], name: str
) -> Any:
    """Returns a field of the expected type; a bool does not pass as a number.

    Raises:
        KeyError, TypeError: the field is missing or has another type.
        ValueError: it is a number out of range, or no proper text.
    """
    field = value[name]
    if not isinstance(field, expected_type) or isinstance(field, bool):
        raise TypeError(f"{name} has the wrong type: {type(field).__name__}")
    if isinstance(field, str):
        json_text.text(field)
    elif isinstance(field, int):
        json_text.count(field)
    return field


def _parse_address(value: Any, name: str) -> str:
    """Returns a field that holds HOST:PORT.

    Raises:
        KeyError, TypeError, ValueError: the field is missing or invalid.
    """
    address = _typed_field(value, str, name)
    host, _, port = address.rpartition(":")
    if (
        not _HOST.fullmatch(host)
        or not _PORT.fullmatch(port)
        or not 0 < int(port) <= _MAX_PORT
    ):
        raise ValueError(f"{name} {address[:80]!r} is not HOST:PORT")
    return address


def parse_upstream_entry(name: str, value: Any) -> upstreams.UpstreamEntry:
    """Decodes the state that a replica reports of itself.

    Raises:
        ValueError, KeyError, TypeError: a field is missing or invalid.
    """
    if not name or not name.isascii() or not name.isprintable():
        raise ValueError("the name is not printable ASCII")
    delay_ms = _typed_field(value, (int, float), "coldLeftMs")
    if not 0 <= delay_ms <= _MAX_DELAY_MS:
        raise ValueError("coldLeftMs is out of range")
    return upstreams.UpstreamEntry(
        name=name,
        service=_typed_field(value, str, "service"),
        address=_parse_address(value, "address"),
        data_centre=_typed_field(value, str, "zone"),
        state=_UPSTREAM_STATES[_typed_field(value, str, "state")],
        slots=_typed_field(value, int, "slots"),
        born=_typed_field(value, int, "born"),
        sequence=_typed_field(value, int, "sequence"),
        cold_left_s=delay_ms / 1000.0,
        weights=parse_held_weights(value.get("models") or ()),
    )


def parse_held_weights(models: Any) -> dict[str, int]:
    """Decodes the version that a replica holds of each model's weights."""
    return {
        _typed_field(model, str, "name"): _typed_field(model, int, "version")
        for model in models
    }


def _parse_target_weights(value: Any) -> fleet.TargetWeights:
    return fleet.TargetWeights(
        _typed_field(value, str, "model"), _typed_field(value, int, "version")
    )


def _parse_router_entry(value: Any) -> fleet.RouterEntry:
    return fleet.RouterEntry(
        name=_typed_field(value, str, "name"),
        incarnation=_typed_field(value, int, "incarnation"),
        peer=_parse_address(value, "peer"),
        front=_parse_address(value, "front"),
        data_centre=_typed_field(value, str, "data_centre"),
        processors=_parse_processors(value),
    )


def _parse_processors(value: Any) -> float:
    """Decodes the processors of a router; earlier releases name none."""
    if "processors" not in value:
        return 0.0
    return float(_typed_field(value, (int, float), "processors"))


def router_value(entry: fleet.RouterEntry) -> bytes:
    """Encodes a router's registration."""
    return json.dumps(
        {
            "name": entry.name,
            "incarnation": entry.incarnation,
            "peer": entry.peer,
            "front": entry.front,
            "data_centre": entry.data_centre,
            "processors": entry.processors,
        }
    ).encode()


def parse_catalog(value: Any) -> config.Catalog:
    """Decodes the operators' configuration."""
    services = value["services"]
    return config.Catalog(
        version=_typed_field(value, int, "version"),
        routes=[_parse_route(route) for route in value["routes"]],
        services=[
            _parse_service(service)
            for service in services
            if "kvStoreAddr" not in service
        ],
        stores=[
            _parse_offload_store(service)
            for service in services
            if "kvStoreAddr" in service
        ],
        customers=_parse_customers(value.get("tenants")),
        limits=_parse_caller_limits(value.get("limits") or {}),
        isolated_customers=[
            tenant["name"]
            for tenant in value.get("tenants") or ()
            if tenant.get("isolated", False)
        ],
    )


def _parse_route(value: Any) -> config.Route:
    split = value.get("trafficSplit")
    if split:
        shares = tuple(
            config.Share(share["service"], float(share["weight"]))
            for share in split
        )
    else:
        shares = (config.Share(value["service"], 1.0),)
    return config.Route(
        name=value["name"],
        host=value["host"],
        prefix=value["prefix"],
        kind=_REQUEST_KINDS[value["kind"]],
        timeout_s=float(value["timeoutMs"]) / 1000.0,
        target_s=float(value["targetLatencyMs"]) / 1000.0,
        priority=int(value.get("priority", 0)),
        shares=shares,
        max_attempts=int(value.get("maxAttempts", 1)),
        anonymous=bool(value.get("anonymous", False)),
        resumable=bool(value.get("resumable", False)),
        max_event_gap_s=float(value.get("targetGapMs", 0)) / 1000.0,
    )


def _parse_service(value: Any) -> config.Service:
    engine = value.get("engine")
    return config.Service(
        name=value["name"],
        health_path=value.get("healthPath", ""),
        max_connections=int(value.get("maxConnections", 0)),
        engine=None if engine is None else _parse_engine_traits(engine),
    )


def _parse_engine_traits(value: Any) -> config.EngineTraits:
    return config.EngineTraits(
        slots=int(value.get("slots", 1)),
        memory_tokens=int(value.get("kvCapacityTokens", 0)),
        token_bytes=int(value.get("kvTokenBytes", 0)),
        max_cache_event_streams=int(value.get("maxInFlight", 0)),
        keeps_copies=bool(value.get("backups", False)),
        link_mbps=float(value.get("linkMbps", 0.0)),
    )


def _parse_offload_store(value: Any) -> config.KvOffloadStore:
    return config.KvOffloadStore(
        name=value["name"],
        address=value["kvStoreAddr"],
        data_centre=value.get("zone", ""),
        memory_tokens=int(value.get("kvCapacityTokens", 0)),
    )


def _parse_customers(tenants: Any) -> dict[str, config.Customer] | None:
    """Decodes customers by API key; None when requests need no key."""
    if tenants is None:
        return None
    customers = {}
    for tenant in tenants:
        priority = tenant.get("priority")
        customer = config.Customer(
            name=tenant["name"],
            priority=None if priority is None else int(priority),
            isolated=bool(tenant.get("isolated", False)),
            limit=_parse_customer_limit(tenant),
        )
        for key in tenant.get("apiKeys", ()):
            customers[key] = customer
    return customers


def _parse_customer_limit(tenant: Any) -> config.CustomerLimit | None:
    """Decodes the limit of a customer; None for no limit.

    Raises:
        TypeError, ValueError: a field is no number, or negative.
    """
    rate_per_s = _parse_quantity(tenant, "ratePerS")
    burst = _parse_quantity(tenant, "burst")
    plain_tokens = _parse_quantity(tenant, "plainTokens")
    if not rate_per_s:
        return None
    unit = config.LimitUnit.REQUESTS
    if tenant.get("unit") == _UNIT_TOKENS:
        unit = config.LimitUnit.TOKENS
    return config.CustomerLimit(rate_per_s, burst, unit, plain_tokens)


def _parse_quantity(value: Any, name: str) -> float:
    """Returns a field that holds a number; 0 if it is missing.

    Raises:
        TypeError, ValueError: it is no number, negative or not finite.
    """
    if value.get(name) is None:
        return 0.0
    number = json_text.finite(_typed_field(value, (int, float), name))
    if number < 0:
        raise ValueError(f"{name} is negative")
    return number


def _parse_caller_limits(value: Any) -> config.CallerLimits:
    default = config.CallerLimits()
    return config.CallerLimits(
        head_bytes=int(value.get("headerBytes", default.head_bytes)),
        body_bytes=int(value.get("bodyBytes", default.body_bytes)),
        head_timeout_s=value.get("headerTimeoutMs", 3000) / 1000.0,
        idle_timeout_s=value.get("idleTimeoutMs", 15000) / 1000.0,
    )
