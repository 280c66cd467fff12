"""A configuration as pages named by their digests.

Customers are spread over a fixed number of pages, so that one change rewrites
one page and each stays far below the largest value of the key-value service.
"""

from collections.abc import Mapping
import json
import zlib

import xxhash

from bergamotmill import core
from bergamotmill.control import const


def page_name(kind: str, name: str) -> str:
    """Returns on which page an entry stands."""
    if kind != core.KIND_CUSTOMERS:
        return kind
    index = xxhash.xxh3_64_intdigest(name.encode()) % const.CUSTOMER_PAGES
    return f"{kind}-{index}"


def build(configuration: core.Configuration) -> dict[str, bytes]:
    """Returns all pages that hold any entry, by page name."""
    return build_some(configuration, None)


def build_some(
    configuration: core.Configuration, wanted: set[str] | None
) -> dict[str, bytes]:
    """Returns the wanted pages; None means all."""
    pages: dict[str, dict[str, dict[str, str]]] = {}
    for kind in core.KINDS:
        for name, text in configuration.entries_json(kind).items():
            page = page_name(kind, name)
            if wanted is None or page in wanted:
                entries = pages.setdefault(page, {}).setdefault(kind, {})
                entries[name] = text.decode()
    return {page: encode(kinds) for page, kinds in pages.items()}


def encode(kinds: Mapping[str, Mapping[str, str]]) -> bytes:
    """Returns a page's stored form."""
    return zlib.compress(core.canonical_json(kinds), 6)


def decode(pages: list[bytes]) -> dict[str, dict[str, bytes]]:
    """Returns all entries of some pages by kind and name."""
    raw: dict[str, dict[str, bytes]] = {kind: {} for kind in core.KINDS}
    for page in pages:
        for kind, entries in json.loads(zlib.decompress(page)).items():
            for name, text in entries.items():
                raw[kind][name] = text.encode()
    return raw


def touched(
    added: Mapping[str, Mapping[str, object]],
    withdrawn: Mapping[str, list[str]],
) -> set[str]:
    """Returns the names of the pages that a change rewrites."""
    names = set()
    for kind, entries in added.items():
        names.update(page_name(kind, name) for name in entries)
    for kind, gone in withdrawn.items():
        names.update(page_name(kind, name) for name in gone)
    return names
