"""Checks and publishes operators' release notes and keeps the audit trail."""

import asyncio
from collections.abc import Callable
import dataclasses
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
from bergamotmill.helpers import json_text
from bergamotmill.storage import key_value
from bergamotmill.util import tasks as background

IN_FORCE_POLL_S = 0.25
IN_FORCE_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class AuditLine:
    """One release in the audit trail.

    Attributes:
        number: release number.
        at: time of publication, in seconds since the epoch.
        author: operator who published it.
        title: title of the note.
        changes: number of entries added, changed or withdrawn.
        in_force_at: time at which all routers were seen with the release; 0
            if that did not happen within IN_FORCE_TIMEOUT_S.
        routers: number of routers seen with the release.
        of_routers: number of routers that were alive.
    """

    number: int
    at: float
    author: str
    title: str
    changes: int
    in_force_at: float
    routers: int
    of_routers: int


class ReleaseManager:
    """Handles the operators' requests about releases."""

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
        """Checks a note's schema, and its changes against the configuration."""
        parsed = notes.parse_draft(value, source)
        if parsed.is_err():
            return parsed
        draft_findings = notes.check(
            self._distribution.configuration, parsed.ok(), source
        )
        return result.Err(draft_findings) if draft_findings else parsed

    def diff(self, draft: notes.Draft) -> list[str]:
        """Returns the changes that a note would make, one per line."""
        return notes.diff(self._distribution.configuration, draft)

    async def publish(
        self, draft: notes.Draft, author: str, source: str = "note"
    ) -> result.Result[notes.Note, release_store.PublishError]:
        """Publishes a note as the next release.

        A background task writes the audit line once the release is in force.
        """
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
        self._tasks.spawn(self._write_audit_line(note))
        return published

    async def _write_audit_line(self, note: notes.Note) -> None:
        """Writes the audit line when all routers have the release.

        Gives up waiting after IN_FORCE_TIMEOUT_S. Also deletes the audit line
        of the release STORED_NOTES before this one.
        """
        deadline = self._wall() + IN_FORCE_TIMEOUT_S
        while True:
            updated, total = self._count_in_force(note.number)
            if updated == total or self._wall() >= deadline:
                break
            await asyncio.sleep(IN_FORCE_POLL_S)
        line = {
            "number": note.number,
            "in_force_at": self._wall() if updated == total else 0.0,
            "routers": updated,
            "of_routers": total,
        }
        key = f"{self._prefix}{const.AUDIT_PREFIX}{note.number:010d}"
        await self._store.put(key, core.canonical_json(line), None)
        old = note.number - const.STORED_NOTES
        if old > 0:
            old_key = f"{self._prefix}{const.AUDIT_PREFIX}{old:010d}"
            await self._store.delete(old_key, None)

    def _count_in_force(self, number: int) -> tuple[int, int]:
        own = self._membership.own.name
        alive = {member.name for member in self._membership.alive()} | {own}
        release_numbers = self._membership.release_numbers
        updated = sum(
            1
            for name in alive
            if name == own or release_numbers.get(name, 0) >= number
        )
        return updated, len(alive)

    async def audit(
        self, count: int
    ) -> result.Result[list[AuditLine], key_value.Unavailable]:
        """Returns the audit lines of the latest releases, newest first."""
        latest_notes = await self._releases.log(count)
        if latest_notes.is_err():
            return latest_notes
        scanned = await self._store.scan(f"{self._prefix}{const.AUDIT_PREFIX}")
        in_force_lines = {}
        for entry in scanned.unwrap_or([]):
            line = json_text.loads(entry.value)
            in_force_lines[line["number"]] = line
        return result.Ok(
            [
                _audit_line(note, in_force_lines.get(note.number))
                for note in latest_notes.ok()
            ]
        )

    async def close(self) -> None:
        """Cancels audit tasks that are under way."""
        await self._tasks.close()


def _audit_line(note: notes.Note, in_force: dict[str, Any] | None) -> AuditLine:
    draft = note.draft
    changes = sum(
        len(entries)
        for section in (draft.added, draft.changed, draft.withdrawn)
        for entries in section.values()
    )
    in_force = in_force or {"in_force_at": 0.0, "routers": 0, "of_routers": 0}
    return AuditLine(
        note.number,
        note.at,
        note.author,
        draft.title,
        changes,
        in_force["in_force_at"],
        in_force["routers"],
        in_force["of_routers"],
    )
