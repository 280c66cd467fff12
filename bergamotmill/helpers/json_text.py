"""Parses JSON that other systems, routers or callers have written."""

import json
import math
from typing import Any

# Numbers are passed on to other routers in 64 bits.
MAX_COUNT = 2**63 - 1


def loads(data: bytes | str) -> Any:
    """Returns the value of a JSON text.

    Raises:
        ValueError: it is not JSON, or nested too deeply to be parsed.
    """
    try:
        return json.loads(data)
    except RecursionError:
        # Without the cause, whose traceback has an entry for each level.
        raise ValueError("nested too deeply") from None


def count(value: Any, maximum: int = MAX_COUNT) -> int:
    """Returns a value as a whole number that is not negative.

    Raises:
        ValueError, TypeError, OverflowError: it is none, or above the maximum.
    """
    number = int(value)
    if not 0 <= number <= maximum:
        raise ValueError("a number is out of range")
    return number


def finite(value: Any) -> float:
    """Returns a value as a number.

    Raises:
        ValueError, TypeError, OverflowError: it is none, or not finite.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("a number is not finite")
    return number


def text(value: Any) -> str:
    """Returns a value as text.

    Raises:
        ValueError: it cannot be encoded, as with half a surrogate pair.
    """
    string = str(value)
    string.encode()
    return string
