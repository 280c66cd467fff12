"""Findings of a check, collected with their places."""

from collections.abc import Iterable
import dataclasses
import difflib
from typing import Any

import jsonschema


@dataclasses.dataclass(frozen=True)
class Finding:
    """One thing that is wrong, where, and what is expected."""

    place: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.found}; expected {self.expected}"


def format_path(parts: Iterable[Any]) -> str:
    """Returns a key path such as `router.peer` or `a.b[2]`."""
    text = ""
    for part in parts:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else str(part)
    return text or "(top)"


def validate(schema: dict[str, Any], value: Any, source: str) -> list[Finding]:
    """Returns all findings of a value against a JSON schema."""
    validator = jsonschema.Draft202012Validator(schema)
    found: list[Finding] = []
    for error in validator.iter_errors(value):
        found.extend(_findings_of(error, source))
    return sorted(found, key=lambda finding: finding.place)


def _findings_of(
    error: jsonschema.ValidationError, source: str
) -> list[Finding]:
    where = format_path(error.absolute_path)
    if error.validator == "additionalProperties":
        return _unknown_keys(error, source)
    if error.validator == "required":
        missing = [
            key for key in error.validator_value if key not in error.instance
        ]
        return [
            Finding(f"{source}: {where}", f"{key!r} is missing", f"{key!r}")
            for key in missing[:1]
        ]
    expected = f"{error.validator} {error.validator_value}"
    return [
        Finding(f"{source}: {where}", f"{_short(error.instance)}", expected)
    ]


def _unknown_keys(
    error: jsonschema.ValidationError, source: str
) -> list[Finding]:
    known = list(error.schema.get("properties", {}))
    found = []
    for key in error.instance:
        if key in known:
            continue
        close = difflib.get_close_matches(key, known, 1)
        expected = f"{close[0]!r}" if close else f"one of {sorted(known)}"
        where = format_path([*error.absolute_path, key])
        found.append(Finding(f"{source}: {where}", "unknown key", expected))
    return found


def _short(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
