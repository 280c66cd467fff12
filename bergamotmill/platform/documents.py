"""Reads the store's documents into the product's types."""

import json
from typing import Any

import result

from bergamotmill.dispatch import config
from bergamotmill.dispatch import fleet
from bergamotmill.dispatch import upstreams
from bergamotmill.platform import const

_KINDS = {
    "stream": config.RequestKind.STREAM,
    "idempotent": config.RequestKind.IDEMPOTENT,
    "non_idempotent": config.RequestKind.NON_IDEMPOTENT,
}
_STATES = {
    "ready": upstreams.UpstreamState.READY,
    "draining": upstreams.UpstreamState.LEAVING,
}
_BAD = (ValueError, KeyError, TypeError, AttributeError)


class Decoder:
    """Reads the documents of this platform."""

    def decode(
        self, key: str, value: bytes
    ) -> result.Result[fleet.Decoded | None, str]:
        """Reads a document; none when the key is not ours to read."""
        try:
            if key == const.KEY_CONFIGURATION:
                return result.Ok(parse_catalog(json.loads(value)))
            if key.startswith(const.PREFIX_WEIGHTS):
                return result.Ok(_weights_of(json.loads(value)))
            if key.startswith(const.PREFIX_REPLICAS):
                name = self.upstream_of(key)
                return result.Ok(parse_upstream_entry(name, json.loads(value)))
            if key.startswith(const.PREFIX_ROUTERS):
                return result.Ok(_router_of(json.loads(value)))
        except _BAD as err:
            return result.Err(f"{key}: {err!r}")
        return result.Ok(None)

    def upstream_of(self, key: str) -> str:
        """Returns the upstream that a key describes; empty for none."""
        if not key.startswith(const.PREFIX_REPLICAS):
            return ""
        return key[len(const.PREFIX_REPLICAS) :]

    def router_of(self, key: str) -> str:
        """Returns the router that a key describes; empty for none."""
        if not key.startswith(const.PREFIX_ROUTERS):
            return ""
        return key[len(const.PREFIX_ROUTERS) :]


def _need(value: Any, kind: type | tuple[type, ...], name: str) -> Any:
    """Returns a field of the right type; a bool is no number."""
    found = value[name]
    if not isinstance(found, kind) or isinstance(found, bool):
        raise TypeError(f"{name} is {found!r}")
    return found


def parse_upstream_entry(name: str, value: Any) -> upstreams.UpstreamEntry:
    """Reads a replica's entry.

    Raises:
        ValueError, KeyError, TypeError: it is not a whole entry.
    """
    address = _need(value, str, "address")
    host, _, port = address.rpartition(":")
    if not name or not host or not port.isdigit():
        raise ValueError(f"address is {address!r}")
    return upstreams.UpstreamEntry(
        name=name,
        service=_need(value, str, "service"),
        address=address,
        data_centre=_need(value, str, "zone"),
        state=_STATES[_need(value, str, "state")],
        slots=_need(value, int, "slots"),
        born=_need(value, int, "born"),
        sequence=_need(value, int, "sequence"),
        cold_left_s=_need(value, (int, float), "coldLeftMs") / 1000.0,
        weights=parse_held_weights(value.get("models") or ()),
    )


def parse_held_weights(models: Any) -> dict[str, int]:
    """Reads which version of each model a replica holds."""
    return {
        _need(item, str, "name"): _need(item, int, "version") for item in models
    }


def _weights_of(value: Any) -> fleet.TargetWeights:
    return fleet.TargetWeights(
        _need(value, str, "model"), _need(value, int, "version")
    )


def _router_of(value: Any) -> fleet.RouterEntry:
    return fleet.RouterEntry(
        name=_need(value, str, "name"),
        incarnation=_need(value, int, "incarnation"),
        peer=_need(value, str, "peer"),
        front=_need(value, str, "front"),
        data_centre=_need(value, str, "data_centre"),
    )


def router_value(entry: fleet.RouterEntry) -> bytes:
    """Returns what stands under a router's key."""
    return json.dumps(
        {
            "name": entry.name,
            "incarnation": entry.incarnation,
            "peer": entry.peer,
            "front": entry.front,
            "data_centre": entry.data_centre,
        }
    ).encode()


def parse_catalog(value: Any) -> config.Catalog:
    """Reads the operators' configuration."""
    services = value["services"]
    return config.Catalog(
        version=_need(value, int, "version"),
        routes=[_route_of(item) for item in value["routes"]],
        services=[_service_of(i) for i in services if "kvStoreAddr" not in i],
        stores=[_store_of(i) for i in services if "kvStoreAddr" in i],
        customers=_customers_of(value.get("tenants")),
        limits=_limits_of(value.get("limits") or {}),
    )


def _route_of(item: Any) -> config.Route:
    split = item.get("trafficSplit")
    if split:
        shares = tuple(
            config.Share(part["service"], float(part["weight"]))
            for part in split
        )
    else:
        shares = (config.Share(item["service"], 1.0),)
    return config.Route(
        name=item["name"],
        host=item["host"],
        prefix=item["prefix"],
        kind=_KINDS[item["kind"]],
        timeout_s=float(item["timeoutMs"]) / 1000.0,
        target_s=float(item["targetLatencyMs"]) / 1000.0,
        priority=int(item.get("priority", 0)),
        shares=shares,
        max_attempts=int(item.get("maxAttempts", 1)),
        anonymous=bool(item.get("anonymous", False)),
        resumable=bool(item.get("resumable", False)),
        max_event_gap_s=float(item.get("targetGapMs", 0)) / 1000.0,
    )


def _service_of(item: Any) -> config.Service:
    engine = item.get("engine")
    return config.Service(
        name=item["name"],
        health_path=item.get("healthPath", ""),
        max_connections=int(item.get("maxConnections", 0)),
        engine=None if engine is None else _engine_of(engine),
    )


def _engine_of(item: Any) -> config.EngineTraits:
    return config.EngineTraits(
        slots=int(item.get("slots", 1)),
        memory_tokens=int(item.get("kvCapacityTokens", 0)),
        token_bytes=int(item.get("kvTokenBytes", 0)),
        max_cache_event_streams=int(item.get("maxInFlight", 0)),
        keeps_copies=bool(item.get("backups", False)),
    )


def _store_of(item: Any) -> config.KvOffloadStore:
    return config.KvOffloadStore(
        name=item["name"],
        address=item["kvStoreAddr"],
        data_centre=item.get("zone", ""),
        memory_tokens=int(item.get("kvCapacityTokens", 0)),
    )


def _customers_of(tenants: Any) -> dict[str, config.Customer] | None:
    """Reads customers by key; none when requests need no key."""
    if tenants is None:
        return None
    found = {}
    for item in tenants:
        priority = item.get("priority")
        customer = config.Customer(
            name=item["name"],
            priority=None if priority is None else int(priority),
            isolated=bool(item.get("isolated", False)),
        )
        for key in item.get("apiKeys", ()):
            found[key] = customer
    return found


def _limits_of(item: Any) -> config.CallerLimits:
    default = config.CallerLimits()
    return config.CallerLimits(
        head_bytes=int(item.get("headerBytes", default.head_bytes)),
        body_bytes=int(item.get("bodyBytes", default.body_bytes)),
        head_timeout_s=item.get("headerTimeoutMs", 3000) / 1000.0,
        idle_timeout_s=item.get("idleTimeoutMs", 15000) / 1000.0,
    )
