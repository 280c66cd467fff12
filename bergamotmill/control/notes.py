"""Release notes: what is added, changed and withdrawn.

A note is checked as a whole against the configuration in force before
anything is written. Once numbered it never changes; each carries the digest
of the one before it.
"""

from collections.abc import Iterator, Mapping
import dataclasses
import json
from typing import Any

import result

from bergamotmill import core
from bergamotmill.control import note_schema
from bergamotmill.helpers import findings
from bergamotmill.helpers import integrations
from bergamotmill.upstream import drivers

Entries = Mapping[str, Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """A note as an operator writes it."""

    title: str
    added: Entries
    changed: Entries
    withdrawn: Mapping[str, list[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A numbered note."""

    number: int
    previous: str
    author: str
    at: float
    operation: str
    draft: Draft

    def encode(self) -> bytes:
        """Returns the one stored form."""
        return core.canonical_json(
            {
                "number": self.number,
                "previous": self.previous,
                "author": self.author,
                "at": self.at,
                "operation": self.operation,
                "title": self.draft.title,
                "added": self.draft.added,
                "changed": self.draft.changed,
                "withdrawn": self.draft.withdrawn,
            }
        )

    def digest(self) -> str:
        """Returns the digest that the next note carries."""
        return core.content_digest(self.encode())


def decode(data: bytes) -> Note:
    """Reads the stored form."""
    value = json.loads(data)
    draft = Draft(
        value["title"], value["added"], value["changed"], value["withdrawn"]
    )
    return Note(
        value["number"],
        value["previous"],
        value["author"],
        value["at"],
        value["operation"],
        draft,
    )


def parse_draft(
    value: Any, source: str
) -> result.Result[Draft, list[findings.Finding]]:
    """Checks the form of an operator's note."""
    found = findings.check(note_schema.NOTE, value, source)
    if found:
        return result.Err(found)
    return result.Ok(
        Draft(
            value["title"],
            value.get("added", {}),
            value.get("changed", {}),
            value.get("withdrawn", {}),
        )
    )


def apply(
    configuration: core.Configuration, note: Note
) -> result.Result[core.Configuration, str]:
    """Returns the next configuration, when the note follows this one."""
    if note.number != configuration.number + 1:
        return result.Err(f"note {note.number} does not follow")
    if note.previous != configuration.digest:
        return result.Err(f"note {note.number} follows another chain")
    return result.Ok(
        configuration.replace(
            note.number,
            note.digest(),
            merge_entries(configuration, note.draft),
            note.draft.withdrawn,
        )
    )


def merge_entries(configuration: core.Configuration, draft: Draft) -> Entries:
    """Returns the whole entries that a draft adds or changes.

    A change names only the fields that differ; they replace those of the
    entry in force.
    """
    whole: dict[str, dict[str, Any]] = {}
    for kind, entries in draft.added.items():
        whole.setdefault(kind, {}).update(entries)
    for kind, entries in draft.changed.items():
        for name, fields in entries.items():
            old = json.loads(configuration.entries_json(kind).get(name, b"{}"))
            entry = {**old, **fields}
            if kind == core.KIND_MODELS:
                _keep_serving(old, fields, entry)
            whole.setdefault(kind, {})[name] = entry
    return whole


def _keep_serving(
    old: Mapping[str, Any], fields: Mapping[str, Any], entry: dict[str, Any]
) -> None:
    """Keeps the old version in service until the new one is ready."""
    if "serving" in fields or "version" not in fields:
        return
    served = old.get("serving") or old.get("version", "")
    if served and served != entry["version"]:
        entry["serving"] = served
    else:
        entry.pop("serving", None)


def check(
    configuration: core.Configuration, draft: Draft, source: str
) -> list[findings.Finding]:
    """Returns all findings of a draft against what is in force."""
    found = list(_name_findings(configuration, draft, source))
    if found:
        return found
    result_of = configuration.replace(
        configuration.number + 1,
        "",
        merge_entries(configuration, draft),
        draft.withdrawn,
    )
    return list(_reference_findings(result_of, draft, source))


def _name_findings(
    configuration: core.Configuration, draft: Draft, source: str
) -> Iterator[findings.Finding]:
    for kind, entries in draft.added.items():
        for name in entries:
            if name in configuration.entries_json(kind):
                yield findings.Finding(
                    f"{source}: added.{kind}.{name}",
                    "exists already",
                    "a new name, or 'changed'",
                )
    for part in ("changed", "withdrawn"):
        for kind, names in getattr(draft, part).items():
            for name in names:
                if name not in configuration.entries_json(kind):
                    yield findings.Finding(
                        f"{source}: {part}.{kind}.{name}",
                        "does not exist",
                        "a name in force",
                    )


def _reference_findings(
    after: core.Configuration, draft: Draft, source: str
) -> Iterator[findings.Finding]:
    yield from _customer_findings(after, draft, source)
    yield from _model_findings(after, source)
    yield from _driver_findings(after, source)
    yield from _key_findings(after, draft, source)


def _customer_findings(after, draft, source):
    gone = set(draft.withdrawn.get(core.KIND_CLASSES, ()))
    for name in after.entries_json(core.KIND_CUSTOMERS):
        touched = any(
            name in part.get(core.KIND_CUSTOMERS, {})
            for part in (draft.added, draft.changed)
        )
        if not touched and not gone:
            continue
        customer = after.customer(name)
        used = [*customer.limits]
        if customer.default_class:
            used.append(customer.default_class)
        for used_class in used:
            if used_class not in after.classes:
                yield findings.Finding(
                    f"{source}: customers.{name}",
                    f"uses class {used_class!r}",
                    "a class that exists",
                )


def _driver_findings(after, source):
    integrations.load("bergamotmill.upstream")
    for kind, entries, known in (
        ("replicas", after.replicas, drivers.ENGINES),
        ("services", after.services, drivers.SERVICES),
    ):
        for entry in entries.values():
            if entry.driver not in known.names():
                yield findings.Finding(
                    f"{source}: {kind}.{entry.name}.driver",
                    repr(entry.driver),
                    f"one of {known.names()}",
                )


def _model_findings(after, source):
    for replica in after.replicas.values():
        for model in replica.models:
            if model not in after.models:
                yield findings.Finding(
                    f"{source}: replicas.{replica.name}",
                    f"holds model {model!r}",
                    "a model that exists",
                )
    for model in after.models.values():
        able = [
            replica.name
            for replica in after.replicas.values()
            if model.name in replica.models and "prefill" in replica.roles
        ]
        if len(able) < model.min_ready:
            yield findings.Finding(
                f"{source}: models.{model.name}",
                f"{len(able)} replicas may hold it",
                f"at least {model.min_ready}",
            )


def _key_findings(after, draft, source):
    for part in (draft.added, draft.changed):
        for name, entry in part.get(core.KIND_CUSTOMERS, {}).items():
            for key in entry.get("key_digests", ()):
                owner = after.owner_of_key_digest(key)
                if owner != name:
                    yield findings.Finding(
                        f"{source}: customers.{name}.key_digests",
                        f"the key is also {owner}'s",
                        "a key of one customer",
                    )


def diff(configuration: core.Configuration, draft: Draft) -> list[str]:
    """Returns what a draft would change, a line each."""
    lines = []
    whole = merge_entries(configuration, draft)
    for kind, entries in sorted(whole.items()):
        for name, entry in sorted(entries.items()):
            old = json.loads(configuration.entries_json(kind).get(name, b"{}"))
            sign = "~" if old else "+"
            for key in sorted({*old, *entry}):
                if old.get(key) != entry.get(key):
                    before = json.dumps(old.get(key))
                    after = json.dumps(entry.get(key))
                    lines.append(
                        f"{sign} {kind}.{name}.{key}: {before} -> {after}"
                    )
            if not old and not entry:
                lines.append(f"+ {kind}.{name}")
    for kind, names in sorted(draft.withdrawn.items()):
        lines.extend(f"- {kind}.{name}" for name in sorted(names))
    return lines
