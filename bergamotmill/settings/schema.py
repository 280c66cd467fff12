"""JSON schema of the settings file, and types shared with other schemas."""

from typing import Any

from bergamotmill.settings import const

ADDRESS = {"type": "string", "pattern": r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$"}
NAME = {"type": "string", "pattern": r"^[a-z0-9][a-z0-9._-]{0,62}$"}
DIGEST = {"type": "string", "pattern": r"^[0-9a-f]{64}$"}
POSITIVE = {"type": "number", "exclusiveMinimum": 0}
NOT_NEGATIVE = {"type": "number", "minimum": 0}


def strict_object(
    properties: dict[str, Any], required: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Returns the schema of an object that allows only the keys given."""
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


_ROUTER = strict_object(
    {
        "name": NAME,
        "data_centre": NAME,
        "region": NAME,
        "front": ADDRESS,
        "operators": ADDRESS,
        "peer": ADDRESS,
    },
    ("name", "data_centre", "region", "front", "operators", "peer"),
)
_KEY_VALUE = strict_object(
    {
        "driver": {"type": "string"},
        "addresses": {"type": "array", "items": ADDRESS, "minItems": 1},
        "prefix": {"type": "string"},
    },
    ("driver", "addresses"),
)
_VM_LIST = strict_object(
    {"driver": {"type": "string"}, "address": ADDRESS},
    ("driver", "address"),
)
_ROUTING = strict_object(
    {
        "policy": {"type": "string"},
        "latency_weight": NOT_NEGATIVE,
        "waste_weight": NOT_NEGATIVE,
        "bytes_per_piece": {"type": "integer", "minimum": 256},
        "tokens_per_piece": {"type": "integer", "minimum": 64},
    }
)

SCHEMA = strict_object(
    {
        const.CONF_ROUTER: _ROUTER,
        const.CONF_PLATFORM: strict_object(
            {"key_value": _KEY_VALUE, "vm_list": _VM_LIST},
            ("key_value", "vm_list"),
        ),
        const.CONF_FLEET_KEY: {"type": "string", "minLength": 16},
        const.CONF_OPERATORS: {
            "type": "object",
            "additionalProperties": DIGEST,
            "minProperties": 1,
        },
        const.CONF_ROUTING: _ROUTING,
        const.CONF_ORDERS: strict_object(
            {"max_loading": {"type": "integer", "minimum": 1}}
        ),
        const.CONF_STATSD: strict_object({"address": ADDRESS}),
        const.CONF_LOG: strict_object(
            {
                "format": {"enum": ["text", "json"]},
                "level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
            }
        ),
        const.CONF_SHUTDOWN: strict_object(
            {"deadline_s": POSITIVE, "address_lifetime_s": POSITIVE}
        ),
    },
    (
        const.CONF_ROUTER,
        const.CONF_PLATFORM,
        const.CONF_FLEET_KEY,
        const.CONF_OPERATORS,
    ),
)
