"""Splits a configuration into pages, which are stored under their digests.

Customers are distributed over a fixed number of pages, so that a change of one
customer rewrites one page, and each page stays far below the maximum value
size of the key-value service.
"""

from collections.abc import Mapping
import zlib

import xxhash

from bergamotmill import core
from bergamotmill.control import const
from bergamotmill.helpers import json_text


def page_name(kind: str, name: str) -> str:
    """Returns the name of the page that contains an entry."""
    if kind != core.KIND_CUSTOMERS:
        return kind
    index = xxhash.xxh3_64_intdigest(name.encode()) % const.CUSTOMER_PAGES
    return f"{kind}-{index}"


def build(configuration: core.Configuration) -> dict[str, bytes]:
    """Returns all pages that are not empty, by page name."""
    return build_selected(configuration, None)


def build_selected(
    configuration: core.Configuration, wanted: set[str] | None
) -> dict[str, bytes]:
    """Returns the pages named in `wanted`, or all pages if it is None."""
    pages: dict[str, dict[str, dict[str, str]]] = {}
    for kind in core.KINDS:
        for name, text in configuration.entries_json(kind).items():
            page = page_name(kind, name)
            if wanted is None or page in wanted:
                entries = pages.setdefault(page, {}).setdefault(kind, {})
                entries[name] = text.decode()
    return {page: encode(kinds) for page, kinds in pages.items()}


def encode(kinds: Mapping[str, Mapping[str, str]]) -> bytes:
    """Returns the stored form of a page."""
    return zlib.compress(core.canonical_json(kinds), 6)


def decode(pages: list[bytes]) -> dict[str, dict[str, bytes]]:
    """Returns the entries of some pages, by kind and name."""
    raw: dict[str, dict[str, bytes]] = {kind: {} for kind in core.KINDS}
    for page in pages:
        for kind, entries in json_text.loads(zlib.decompress(page)).items():
            for name, text in entries.items():
                raw[kind][name] = text.encode()
    return raw


def changed_pages(
    added: Mapping[str, Mapping[str, object]],
    withdrawn: Mapping[str, list[str]],
) -> set[str]:
    """Returns the names of the pages that a release rewrites."""
    names = set()
    for kind, entries in added.items():
        names.update(page_name(kind, name) for name in entries)
    for kind, withdrawn_names in withdrawn.items():
        names.update(page_name(kind, name) for name in withdrawn_names)
    return names
