"""Takes operators' notes: checks, publishes, and keeps the audit trail."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
from typing import Any

import result

from bergamotmill import core
from bergamotmill.control import const
from bergamotmill.control import distribution as release_distribution
from bergamotmill.control import history as fleet_history
from bergamotmill.control import membership as fleet_membership
from bergamotmill.control import notes
from bergamotmill.control import release_store
from bergamotmill.helpers import findings
from bergamotmill.storage import key_value
from bergamotmill.util import tasks as background

IN_FORCE_CHECK_S = 0.25
IN_FORCE_WAIT_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class AuditLine:
    """Who changed what, when, and when it was in force."""

    number: int
    at: float
    author: str
    title: str
    changes: int
    in_force_at: float
    routers: int
    of_routers: int


class ReleaseManager:
    """The operators' way to the configuration."""

    def __init__(
        self,
        releases: release_store.ReleaseStore,
        store: key_value.KeyValueStore,
        prefix: str,
        distribution: release_distribution.Distribution,
        membership: fleet_membership.Membership,
        history: fleet_history.History,
        wall: Callable[[], float],
    ):
        self._releases = releases
        self._store = store
        self._prefix = prefix
        self._distribution = distribution
        self._membership = membership
        self._history = history
        self._wall = wall
        self._tasks = background.Tasks()

    def check(
        self, value: Any, source: str
    ) -> result.Result[notes.Draft, list[findings.Finding]]:
        """Checks a note's form and its fit to what is in force."""
        parsed = notes.parse_draft(value, source)
        if parsed.is_err():
            return parsed
        found = notes.check(
            self._distribution.configuration, parsed.ok(), source
        )
        return result.Err(found) if found else parsed

    def diff(self, draft: notes.Draft) -> list[str]:
        """Returns what a note would change, a line each."""
        return notes.diff(self._distribution.configuration, draft)

    async def publish(
        self, draft: notes.Draft, author: str, source: str = "note"
    ) -> result.Result[notes.Note, release_store.PublishError]:
        """Makes a note the next release and notes when it is in force."""
        published = await self._releases.publish(
            self._distribution.configuration, draft, author, source
        )
        if published.is_err():
            return published
        note = published.ok()
        self._distribution.apply_published(note)
        self._history.add(
            "release", f"{note.number} by {author}: {draft.title}"
        )
        self._tasks.spawn(self._audit(note))
        return published

    async def _audit(self, note: notes.Note) -> None:
        """Waits until the release is in force, and writes that down."""
        end = self._wall() + IN_FORCE_WAIT_S
        while True:
            ready, of = self._in_force(note.number)
            if ready == of or self._wall() >= end:
                break
            await asyncio.sleep(IN_FORCE_CHECK_S)
        line = {
            "number": note.number,
            "in_force_at": self._wall() if ready == of else 0.0,
            "routers": ready,
            "of_routers": of,
        }
        key = f"{self._prefix}{const.AUDIT_PREFIX}{note.number:010d}"
        await self._store.put(key, core.canonical_json(line), None)
        old = note.number - const.STORED_NOTES
        if old > 0:
            stale = f"{self._prefix}{const.AUDIT_PREFIX}{old:010d}"
            await self._store.delete(stale, None)

    def _in_force(self, number: int) -> tuple[int, int]:
        own = self._membership.own.name
        alive = {member.name for member in self._membership.alive()} | {own}
        heard = self._membership.release_numbers
        ready = sum(
            1 for name in alive if name == own or heard.get(name, 0) >= number
        )
        return ready, len(alive)

    async def audit(
        self, count: int
    ) -> result.Result[list[AuditLine], key_value.Unavailable]:
        """Returns the trail of the latest releases, the newest first."""
        logged = await self._releases.log(count)
        if logged.is_err():
            return logged
        kept = await self._store.scan(f"{self._prefix}{const.AUDIT_PREFIX}")
        forces = {}
        for entry in kept.unwrap_or([]):
            line = json.loads(entry.value)
            forces[line["number"]] = line
        return result.Ok(
            [_audit_line(note, forces.get(note.number)) for note in logged.ok()]
        )

    async def close(self) -> None:
        """Stops waiting for releases to be in force."""
        await self._tasks.close()


def _audit_line(note: notes.Note, force: dict[str, Any] | None) -> AuditLine:
    draft = note.draft
    changes = sum(
        len(entries)
        for part in (draft.added, draft.changed, draft.withdrawn)
        for entries in part.values()
    )
    force = force or {"in_force_at": 0.0, "routers": 0, "of_routers": 0}
    return AuditLine(
        note.number,
        note.at,
        note.author,
        draft.title,
        changes,
        force["in_force_at"],
        force["routers"],
        force["of_routers"],
    )
