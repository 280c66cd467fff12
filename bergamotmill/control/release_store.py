"""Stores releases in the platform's key-value service.

The note and the pages that it changes are written first, under keys that
contain their digests, so that concurrent writers cannot overwrite each other's
data. Then the latest-release pointer is updated by compare-and-swap, which is
the moment at which the release is accepted. If the reply to that write is
lost, the pointer is read back.
"""

from collections.abc import Callable
import dataclasses
import json

import result

from bergamotmill import core
from bergamotmill.control import const
from bergamotmill.control import notes
from bergamotmill.control import pages as config_pages
from bergamotmill.helpers import findings
from bergamotmill.helpers import json_text
from bergamotmill.storage import key_value
from bergamotmill.util import ids as id_source


@dataclasses.dataclass(frozen=True, slots=True)
class LatestRelease:
    """The latest-release pointer, which names the latest accepted release.

    Attributes:
        number: release number.
        digest: digest of the release's note.
        pages: digests of the pages of the configuration, by page name.
        revision: revision of the pointer's key, for compare-and-swap.
    """

    number: int
    digest: str
    pages: dict[str, str]
    revision: int


NO_RELEASE = LatestRelease(0, core.EMPTY_DIGEST, {}, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseConflict:
    """Another release was accepted first.

    Attributes:
        note: note of that release; None if it cannot be read.
    """

    note: notes.Note | None


PublishError = list[findings.Finding] | key_value.Unavailable | ReleaseConflict


class ReleaseStore:
    """Reads and publishes releases."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        prefix: str,
        wall: Callable[[], float],
        ids: id_source.IdSource,
    ):
        self._store = store
        self._prefix = prefix
        self._wall = wall
        self._ids = ids

    @property
    def latest_key(self) -> str:
        """The key of the latest-release pointer."""
        return self._prefix + const.LATEST_KEY

    def _note_key(self, number: int, digest: str) -> str:
        return f"{self._prefix}{const.NOTES_PREFIX}{number:010d}-{digest}"

    def _page_key(self, digest: str) -> str:
        return f"{self._prefix}{const.PAGES_PREFIX}{digest}"

    async def latest(
        self,
    ) -> result.Result[LatestRelease, key_value.Unavailable]:
        """Reads the latest-release pointer."""
        read = await self._store.get(self.latest_key)
        return read.map(
            lambda entry: NO_RELEASE if entry is None else _decode_latest(entry)
        )

    async def note(
        self, number: int, digest: str
    ) -> result.Result[notes.Note | None, key_value.Unavailable]:
        """Reads one note."""
        read = await self._store.get(self._note_key(number, digest))
        return read.map(
            lambda entry: None if entry is None else notes.decode(entry.value)
        )

    async def notes_after(
        self, configuration: core.Configuration, latest: LatestRelease
    ) -> result.Result[list[notes.Note], key_value.Unavailable]:
        """Returns the notes after a configuration, up to the latest release.

        The list is empty if the chain of notes is broken or too long, in which
        case the caller has to load the whole configuration.
        """
        missing = latest.number - configuration.number
        if not 0 < missing <= const.RECENT_NOTES:
            return result.Ok([])
        chain: list[notes.Note] = []
        number, digest = latest.number, latest.digest
        while number > configuration.number:
            read = await self.note(number, digest)
            if read.is_err():
                return read
            note = read.ok()
            if note is None or note.digest() != digest:
                return result.Ok([])
            chain.append(note)
            number, digest = number - 1, note.previous
        if digest != configuration.digest:
            return result.Ok([])
        return result.Ok(chain[::-1])

    async def load(
        self, latest: LatestRelease
    ) -> result.Result[core.Configuration, key_value.Unavailable]:
        """Reads the whole configuration of a release."""
        if latest.number == 0:
            return result.Ok(core.empty_configuration())
        page_values = []
        for digest in latest.pages.values():
            read = await self._store.get(self._page_key(digest))
            if read.is_err():
                return read
            if read.ok() is None:
                return result.Err(
                    key_value.Unavailable(f"page {digest} is missing")
                )
            page_values.append(read.ok().value)
        raw = config_pages.decode(page_values)
        return result.Ok(core.Configuration(latest.number, latest.digest, raw))

    async def publish(
        self,
        configuration: core.Configuration,
        draft: notes.Draft,
        author: str,
        source: str,
    ) -> result.Result[notes.Note, PublishError]:
        """Checks a draft and publishes it as the next release.

        Args:
            configuration: the configuration that the draft was written for.
            draft: the operator's note.
            author: operator who publishes it.
            source: name of the note in findings.
        """
        read = await self.latest()
        if read.is_err():
            return read
        latest = read.ok()
        if latest.number < configuration.number:
            return result.Err(
                [
                    findings.Finding(
                        source,
                        f"the key-value service holds release {latest.number}",
                        f"release {configuration.number}, which is in force",
                    )
                ]
            )
        if latest.digest != configuration.digest:
            return await self._conflict_with(latest)
        draft_findings = notes.check(configuration, draft, source)
        if draft_findings:
            return result.Err(draft_findings)
        note = notes.Note(
            latest.number + 1,
            latest.digest,
            author,
            self._wall(),
            self._ids.new(),
            draft,
        )
        return await self._write(configuration, latest, note)

    async def _write(
        self,
        configuration: core.Configuration,
        latest: LatestRelease,
        note: notes.Note,
    ) -> result.Result[notes.Note, PublishError]:
        draft = note.draft
        merged = notes.merge_entries(configuration, draft)
        next_configuration = notes.apply(configuration, note).unwrap()
        changed = config_pages.changed_pages(merged, draft.withdrawn)
        new_pages = config_pages.build_selected(next_configuration, changed)
        page_digests = {
            name: digest
            for name, digest in latest.pages.items()
            if name not in changed
        }
        writes = [(self._note_key(note.number, note.digest()), note.encode())]
        for name, data in new_pages.items():
            page_digests[name] = core.content_digest(data)
            writes.append((self._page_key(page_digests[name]), data))
        for key, value in writes:
            written = await self._store.put(key, value, None)
            if written.is_err():
                return written
        return await self._advance_latest(latest, note, page_digests)

    async def _advance_latest(
        self,
        latest: LatestRelease,
        note: notes.Note,
        page_digests: dict[str, str],
    ) -> result.Result[notes.Note, PublishError]:
        value = core.canonical_json(
            {
                "number": note.number,
                "digest": note.digest(),
                "pages": page_digests,
            }
        )
        written = await key_value.put_with_read_back(
            self._store, self.latest_key, value, latest.revision
        )
        if written.is_ok():
            await self._delete_stale(latest, note, page_digests)
            return result.Ok(note)
        if isinstance(written.err(), key_value.Conflict):
            current = written.err().current
            if current is None:
                return result.Err(ReleaseConflict(None))
            return await self._resolve_conflict(_decode_latest(current), note)
        return written

    async def _resolve_conflict(
        self, latest: LatestRelease, note: notes.Note
    ) -> result.Result[notes.Note, PublishError]:
        """Determines whether the note was accepted despite the conflict.

        The reply to the write may have been lost and another release may have
        been published since. The note is then an ancestor of the latest one.
        """
        number, digest = latest.number, latest.digest
        while number > note.number:
            read = await self.note(number, digest)
            if read.is_err():
                return read
            if read.ok() is None:
                break
            number, digest = number - 1, read.ok().previous
        if digest == note.digest():
            return result.Ok(note)
        return await self._conflict_with(latest)

    async def _conflict_with(
        self, latest: LatestRelease
    ) -> result.Result[notes.Note, PublishError]:
        read = await self.note(latest.number, latest.digest)
        return result.Err(ReleaseConflict(read.ok() if read.is_ok() else None))

    async def _delete_stale(
        self,
        latest: LatestRelease,
        note: notes.Note,
        page_digests: dict[str, str],
    ) -> None:
        """Deletes an old note and pages that an earlier release replaced.

        The pages that a release replaced are listed under its number, and
        deleted PAGE_DELETION_DELAY_RELEASES releases later, so that routers
        that are still loading them can finish.
        """
        replaced = sorted(
            set(latest.pages.values()) - set(page_digests.values())
        )
        prefix = f"{self._prefix}/replaced/"
        await self._store.put(
            f"{prefix}{note.number:010d}", json.dumps(replaced).encode(), None
        )
        due_key = (
            f"{prefix}{note.number - const.PAGE_DELETION_DELAY_RELEASES:010d}"
        )
        due_list = await self._store.get(due_key)
        if due_list.is_ok() and due_list.ok() is not None:
            used_digests = set(page_digests.values())
            for digest in json_text.loads(due_list.ok().value):
                if digest not in used_digests:
                    await self._store.delete(self._page_key(digest), None)
            await self._store.delete(due_key, None)
        old = note.number - const.STORED_NOTES
        if old > 0:
            stale = f"{self._prefix}{const.NOTES_PREFIX}{old:010d}-"
            for entry in (await self._store.scan(stale)).unwrap_or([]):
                await self._store.delete(entry.key, None)

    async def log(
        self, count: int
    ) -> result.Result[list[notes.Note], key_value.Unavailable]:
        """Returns the latest notes of the chain, newest first."""
        read = await self.latest()
        if read.is_err():
            return read
        latest_notes: list[notes.Note] = []
        number, digest = read.ok().number, read.ok().digest
        while number > 0 and len(latest_notes) < count:
            note = await self.note(number, digest)
            if note.is_err():
                return note
            if note.ok() is None:
                break
            latest_notes.append(note.ok())
            number, digest = number - 1, note.ok().previous
        return result.Ok(latest_notes)


def _decode_latest(entry: key_value.Entry) -> LatestRelease:
    value = json_text.loads(entry.value)
    return LatestRelease(
        value["number"], value["digest"], value["pages"], entry.revision
    )
