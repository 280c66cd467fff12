"""Tells whether two requests are the same request, sent again."""

from collections.abc import Iterable

import xxhash

# Separates a fingerprint from names of prompt parts.
_PREFIX = "request:"


def fingerprint(fields: Iterable[str], body: bytes = b"") -> str:
    """Returns a name that requests with equal contents share.

    It holds no content of the request and may go into messages and logs.

    Args:
        fields: what identifies the request besides its body, such as method,
            route, path with query, customer and the contents of a prompt; not
            what changes each time, such as ids and time limits.
        body: the request's body.
    """
    digest = xxhash.xxh3_128()
    for field in fields:
        data = field.encode()
        digest.update(b"%d:" % len(data))
        digest.update(data)
    digest.update(body)
    return f"{_PREFIX}{digest.hexdigest()}"


def is_fingerprint(name: str) -> bool:
    """Whether a name is a fingerprint, not that of a prompt part."""
    return name.startswith(_PREFIX)
