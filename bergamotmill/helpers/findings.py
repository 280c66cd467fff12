"""Validation findings, each with the place where it occurs."""

from collections.abc import Iterable
import dataclasses
import difflib
from typing import Any

import jsonschema


@dataclasses.dataclass(frozen=True)
class Finding:
    """One validation error.

    Attributes:
        place: file or source name with the line or key path of the error.
        found: description of the invalid value.
        expected: description of a valid value.
    """

    place: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.found}; expected {self.expected}"


def format_path(parts: Iterable[Any]) -> str:
    """Formats a key path such as `router.peer` or `a.b[2]`."""
    text = ""
    for part in parts:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else str(part)
    return text or "(top)"


def validate(schema: dict[str, Any], value: Any, source: str) -> list[Finding]:
    """Validates a value against a JSON schema and returns all findings."""
    validator = jsonschema.Draft202012Validator(schema)
    all_findings: list[Finding] = []
    for error in validator.iter_errors(value):
        all_findings.extend(_findings_from_error(error, source))
    return sorted(all_findings, key=lambda finding: finding.place)


def _findings_from_error(
    error: jsonschema.ValidationError, source: str
) -> list[Finding]:
    key_path = format_path(error.absolute_path)
    if error.validator == "additionalProperties":
        return _unknown_key_findings(error, source)
    if error.validator == "required":
        missing = [
            key for key in error.validator_value if key not in error.instance
        ]
        return [
            Finding(f"{source}: {key_path}", f"{key!r} is missing", f"{key!r}")
            for key in missing[:1]
        ]
    expected = f"{error.validator} {error.validator_value}"
    return [
        Finding(
            f"{source}: {key_path}", f"{_shorten(error.instance)}", expected
        )
    ]


def _unknown_key_findings(
    error: jsonschema.ValidationError, source: str
) -> list[Finding]:
    known_keys = list(error.schema.get("properties", {}))
    unknown_key_findings = []
    for key in error.instance:
        if key in known_keys:
            continue
        matches = difflib.get_close_matches(key, known_keys, 1)
        expected = (
            f"{matches[0]!r}" if matches else f"one of {sorted(known_keys)}"
        )
        key_path = format_path([*error.absolute_path, key])
        unknown_key_findings.append(
            Finding(f"{source}: {key_path}", "unknown key", expected)
        )
    return unknown_key_findings


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
