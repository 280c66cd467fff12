"""JSON schemas of release notes and their entries."""

from typing import Any

from bergamotmill import core
from bergamotmill.settings import schema

_COUNT = {"type": "integer", "minimum": 0}
_NAMES = {"type": "array", "items": schema.NAME}
_VERSION = {"type": "string", "minLength": 1, "maxLength": 64}
_ADDRESS = schema.ADDRESS

CUSTOMER = schema.strict_object(
    {
        "key_digests": {"type": "array", "items": schema.DIGEST},
        "share": schema.POSITIVE,
        "spread": {"type": "integer", "minimum": 1},
        "generation": _COUNT,
        "default_class": schema.NAME,
        "limits": {
            "type": "object",
            "propertyNames": schema.NAME,
            "additionalProperties": schema.POSITIVE,
        },
    }
)
REQUEST_CLASS = schema.strict_object(
    {
        "priority": {"type": "integer", "minimum": 0, "maximum": 100},
        "worth": schema.POSITIVE,
        "deadline_s": schema.POSITIVE,
        "first_token_target_s": schema.POSITIVE,
        "idempotent": {"type": "boolean"},
        "queue": _COUNT,
    }
)
MODEL = schema.strict_object(
    {
        "version": _VERSION,
        "serving": {"type": "string", "maxLength": 64},
        "adapters": {
            "type": "object",
            "propertyNames": schema.NAME,
            "additionalProperties": _VERSION,
        },
        "min_ready": {"type": "integer", "minimum": 1},
    },
    ("version",),
)
REPLICA = schema.strict_object(
    {
        "address": _ADDRESS,
        "data_centre": schema.NAME,
        "driver": {"type": "string"},
        "models": _NAMES,
        "roles": {
            "type": "array",
            "items": {"enum": ["prefill", "decode"]},
            "minItems": 1,
        },
        "slots": {"type": "integer", "minimum": 1},
        "prefill_tokens_per_s": schema.POSITIVE,
        "fencing": {"type": "boolean"},
        "orders": {"type": "boolean"},
    },
    ("address", "data_centre", "models"),
)
_UPSTREAM = schema.strict_object(
    {
        "name": schema.NAME,
        "address": _ADDRESS,
        "data_centre": schema.NAME,
    },
    ("name", "address", "data_centre"),
)
SERVICE = schema.strict_object(
    {
        "upstreams": {"type": "array", "items": _UPSTREAM, "minItems": 1},
        "driver": {"type": "string"},
        "idempotent_methods": {
            "type": "array",
            "items": {"type": "string", "pattern": "^[A-Z]+$"},
        },
        "timeout_s": schema.POSITIVE,
    },
    ("upstreams",),
)
STORE = schema.strict_object(
    {
        "address": _ADDRESS,
        "data_centre": schema.NAME,
        "tokens_per_s": schema.POSITIVE,
    },
    ("address", "data_centre"),
)

ENTRIES: dict[str, dict[str, Any]] = {
    core.KIND_CUSTOMERS: CUSTOMER,
    core.KIND_CLASSES: REQUEST_CLASS,
    core.KIND_MODELS: MODEL,
    core.KIND_REPLICAS: REPLICA,
    core.KIND_SERVICES: SERVICE,
    core.KIND_STORES: STORE,
}


def _without_required(entry: dict[str, Any]) -> dict[str, Any]:
    return {**entry, "required": []}


def _entries(entries: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return schema.strict_object(
        {
            kind: {
                "type": "object",
                "propertyNames": schema.NAME,
                "additionalProperties": entry,
            }
            for kind, entry in entries.items()
        }
    )


# A changed entry has only the fields that differ, so that none is required.
_CHANGES = {kind: _without_required(entry) for kind, entry in ENTRIES.items()}

NOTE = schema.strict_object(
    {
        "title": {"type": "string", "minLength": 1, "maxLength": 200},
        "added": _entries(ENTRIES),
        "changed": _entries(_CHANGES),
        "withdrawn": schema.strict_object(dict.fromkeys(ENTRIES, _NAMES)),
    },
    ("title",),
)
