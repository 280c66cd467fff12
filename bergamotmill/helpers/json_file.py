"""Reads JSON with comments."""

import pathlib
import re
from typing import Any

import pyjson5
import result

from bergamotmill.helpers import findings

_ERROR_OFFSET = re.compile(r"near (\d+)")


def parse(text: str, source: str) -> result.Result[Any, list]:
    """Parses JSON with comments; errors name the line."""
    try:
        return result.Ok(pyjson5.decode(text))
    except pyjson5.Json5Exception as err:
        line_number = _line_number(text, str(err))
        finding = findings.Finding(
            f"{source}:{line_number}", str(err.args[0]), "JSON with comments"
        )
        return result.Err([finding])


def read(path: str) -> result.Result[Any, list]:
    """Reads and parses a JSON file."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        finding = findings.Finding(path, str(err), "a readable file in UTF-8")
        return result.Err([finding])
    return parse(text, path)


def _line_number(text: str, message: str) -> int:
    match = _ERROR_OFFSET.search(message)
    offset = int(match.group(1)) if match else 0
    return text.count("\n", 0, offset) + 1
