"""Release notes: entries that are added, changed and withdrawn.

A note is checked as a whole against the configuration in force before
anything is written. A numbered note is immutable and contains the digest of
its predecessor, so that the notes form a hash chain.
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
from bergamotmill.helpers import json_text
from bergamotmill.upstream import drivers

Entries = Mapping[str, Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """A note as written by an operator, without a number."""

    title: str
    added: Entries
    changed: Entries
    withdrawn: Mapping[str, list[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A numbered note.

    Attributes:
        number: release number.
        previous: digest of the preceding note.
        author: operator who published it.
        at: time of publication, in seconds since the epoch.
        operation: unique id of the attempt to publish it.
        draft: the operator's note.
    """

    number: int
    previous: str
    author: str
    at: float
    operation: str
    draft: Draft

    def encode(self) -> bytes:
        """Returns the canonical stored form."""
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
        """Returns the digest of the stored form, for the next note."""
        return core.content_digest(self.encode())


def decode(data: bytes) -> Note:
    """Decodes the stored form of a note."""
    value = json_text.loads(data)
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
    """Validates an operator's note against the schema."""
    schema_findings = findings.validate(note_schema.NOTE, value, source)
    if schema_findings:
        return result.Err(schema_findings)
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
    """Returns the configuration after a note, which must be the next one."""
    if note.number != configuration.number + 1:
        return result.Err(f"note {note.number} is not the next one")
    if note.previous != configuration.digest:
        return result.Err(
            f"note {note.number} does not follow the release in force"
        )
    return result.Ok(
        configuration.replace(
            note.number,
            note.digest(),
            merge_entries(configuration, note.draft),
            note.draft.withdrawn,
        )
    )


def merge_entries(configuration: core.Configuration, draft: Draft) -> Entries:
    """Returns the complete entries that a draft adds or changes.

    A changed entry in a draft has only the fields that differ; they replace
    the fields of the entry in force.
    """
    merged: dict[str, dict[str, Any]] = {}
    for kind, entries in draft.added.items():
        merged.setdefault(kind, {}).update(entries)
    for kind, entries in draft.changed.items():
        for name, fields in entries.items():
            old = json_text.loads(
                configuration.entries_json(kind).get(name, b"{}")
            )
            entry = {**old, **fields}
            if kind == core.KIND_MODELS:
                _keep_serving(old, fields, entry)
            merged.setdefault(kind, {})[name] = entry
    return merged


def _keep_serving(
    old: Mapping[str, Any], fields: Mapping[str, Any], entry: dict[str, Any]
) -> None:
    """Keeps the current version serving until the new one is ready."""
    if "serving" in fields or "version" not in fields:
        return
    serving = old.get("serving") or old.get("version", "")
    if serving and serving != entry["version"]:
        entry["serving"] = serving
    else:
        entry.pop("serving", None)


def check(
    configuration: core.Configuration, draft: Draft, source: str
) -> list[findings.Finding]:
    """Returns the findings of a draft against the configuration in force.

    References between entries are checked only once all names are valid.
    """
    name_findings = list(_name_findings(configuration, draft, source))
    if name_findings:
        return name_findings
    next_configuration = configuration.replace(
        configuration.number + 1,
        "",
        merge_entries(configuration, draft),
        draft.withdrawn,
    )
    return list(_reference_findings(next_configuration, draft, source))


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
    for section in ("changed", "withdrawn"):
        for kind, names in getattr(draft, section).items():
            for name in names:
                if name not in configuration.entries_json(kind):
                    yield findings.Finding(
                        f"{source}: {section}.{kind}.{name}",
                        "does not exist",
                        "a name in force",
                    )


def _reference_findings(
    next_configuration: core.Configuration, draft: Draft, source: str
) -> Iterator[findings.Finding]:
    yield from _customer_findings(next_configuration, draft, source)
    yield from _model_findings(next_configuration, source)
    yield from _driver_findings(next_configuration, source)
    yield from _key_findings(next_configuration, draft, source)


def _customer_findings(next_configuration, draft, source):
    withdrawn_classes = set(draft.withdrawn.get(core.KIND_CLASSES, ()))
    for name in next_configuration.entries_json(core.KIND_CUSTOMERS):
        is_edited = any(
            name in section.get(core.KIND_CUSTOMERS, {})
            for section in (draft.added, draft.changed)
        )
        if not is_edited and not withdrawn_classes:
            continue
        customer = next_configuration.customer(name)
        used = [*customer.limits]
        if customer.default_class:
            used.append(customer.default_class)
        for used_class in used:
            if used_class not in next_configuration.classes:
                yield findings.Finding(
                    f"{source}: customers.{name}",
                    f"uses class {used_class!r}",
                    "a class that exists",
                )


def _driver_findings(next_configuration, source):
    integrations.load("bergamotmill.upstream")
    for kind, entries, known in (
        ("replicas", next_configuration.replicas, drivers.ENGINES),
        ("services", next_configuration.services, drivers.SERVICES),
    ):
        for entry in entries.values():
            if entry.driver not in known.names():
                yield findings.Finding(
                    f"{source}: {kind}.{entry.name}.driver",
                    repr(entry.driver),
                    f"one of {known.names()}",
                )


def _model_findings(next_configuration, source):
    for replica in next_configuration.replicas.values():
        for model in replica.models:
            if model not in next_configuration.models:
                yield findings.Finding(
                    f"{source}: replicas.{replica.name}",
                    f"holds model {model!r}",
                    "a model that exists",
                )
    for model in next_configuration.models.values():
        capable = [
            replica.name
            for replica in next_configuration.replicas.values()
            if model.name in replica.models and "prefill" in replica.roles
        ]
        if len(capable) < model.min_ready:
            yield findings.Finding(
                f"{source}: models.{model.name}",
                f"{len(capable)} replicas may hold it",
                f"at least {model.min_ready}",
            )


def _key_findings(next_configuration, draft, source):
    for section in (draft.added, draft.changed):
        for name, entry in section.get(core.KIND_CUSTOMERS, {}).items():
            for key in entry.get("key_digests", ()):
                owner = next_configuration.owner_of_key_digest(key)
                if owner != name:
                    yield findings.Finding(
                        f"{source}: customers.{name}.key_digests",
                        f"the key is also {owner}'s",
                        "a key of one customer",
                    )


def diff(configuration: core.Configuration, draft: Draft) -> list[str]:
    """Returns the changes that a draft would make, one per line."""
    lines = []
    merged = merge_entries(configuration, draft)
    for kind, entries in sorted(merged.items()):
        for name, entry in sorted(entries.items()):
            old = json_text.loads(
                configuration.entries_json(kind).get(name, b"{}")
            )
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
