"""Releases in the platform's key-value service.

The note and the pages it rewrites are written first, under names that hold
their digests, so that nobody's write spoils another's. Then the head moves by
compare-and-swap: that is the moment at which a release is accepted. A lost
answer is settled by reading the head back.
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
from bergamotmill.storage import key_value
from bergamotmill.util import ids as id_source


@dataclasses.dataclass(frozen=True, slots=True)
class LatestRelease:
    """The latest accepted release."""

    number: int
    digest: str
    pages: dict[str, str]
    revision: int


NO_RELEASE = LatestRelease(0, core.EMPTY_DIGEST, {}, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseConflict:
    """Another operator's release came first."""

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
        """The key that moves with each release."""
        return self._prefix + const.LATEST_KEY

    def _note_key(self, number: int, digest: str) -> str:
        return f"{self._prefix}{const.NOTES_PREFIX}{number:010d}-{digest}"

    def _page_key(self, digest: str) -> str:
        return f"{self._prefix}{const.PAGES_PREFIX}{digest}"

    async def latest(
        self,
    ) -> result.Result[LatestRelease, key_value.Unavailable]:
        """Reads the head."""
        found = await self._store.get(self.latest_key)
        return found.map(
            lambda entry: NO_RELEASE if entry is None else _decode_latest(entry)
        )

    async def note(
        self, number: int, digest: str
    ) -> result.Result[notes.Note | None, key_value.Unavailable]:
        """Reads one note."""
        found = await self._store.get(self._note_key(number, digest))
        return found.map(
            lambda entry: None if entry is None else notes.decode(entry.value)
        )

    async def notes_after(
        self, configuration: core.Configuration, latest: LatestRelease
    ) -> result.Result[list[notes.Note], key_value.Unavailable]:
        """Returns the notes between a configuration and the head.

        The list is empty when the chain cannot be followed; the whole state
        has to be read then.
        """
        missing = latest.number - configuration.number
        if not 0 < missing <= const.KEPT_NOTES:
            return result.Ok([])
        chain: list[notes.Note] = []
        number, digest = latest.number, latest.digest
        while number > configuration.number:
            found = await self.note(number, digest)
            if found.is_err():
                return found
            note = found.ok()
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
        """Reads the whole state of a head."""
        if latest.number == 0:
            return result.Ok(core.empty_configuration())
        loaded = []
        for digest in latest.pages.values():
            found = await self._store.get(self._page_key(digest))
            if found.is_err():
                return found
            if found.ok() is None:
                return result.Err(
                    key_value.Unavailable(f"page {digest} is gone")
                )
            loaded.append(found.ok().value)
        raw = config_pages.decode(loaded)
        return result.Ok(core.Configuration(latest.number, latest.digest, raw))

    async def publish(
        self,
        configuration: core.Configuration,
        draft: notes.Draft,
        author: str,
        source: str,
    ) -> result.Result[notes.Note, PublishError]:
        """Checks a draft and makes it the next release."""
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
            return await self._raced(latest)
        found = notes.check(configuration, draft, source)
        if found:
            return result.Err(found)
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
        whole = notes.merge_entries(configuration, draft)
        after = notes.apply(configuration, note).unwrap()
        changed = config_pages.touched(whole, draft.withdrawn)
        built = config_pages.build_some(after, changed)
        names = {
            name: digest
            for name, digest in latest.pages.items()
            if name not in changed
        }
        writes = [(self._note_key(note.number, note.digest()), note.encode())]
        for name, data in built.items():
            names[name] = core.content_digest(data)
            writes.append((self._page_key(names[name]), data))
        for key, value in writes:
            written = await self._store.put(key, value, None)
            if written.is_err():
                return written
        return await self._move_head(latest, note, names)

    async def _move_head(
        self, latest: LatestRelease, note: notes.Note, names: dict[str, str]
    ) -> result.Result[notes.Note, PublishError]:
        value = core.canonical_json(
            {"number": note.number, "digest": note.digest(), "pages": names}
        )
        written = await key_value.put_settled(
            self._store, self.latest_key, value, latest.revision
        )
        if written.is_ok():
            await self._clean(latest, note, names)
            return result.Ok(note)
        if isinstance(written.err(), key_value.Conflict):
            current = written.err().current
            if current is None:
                return result.Err(ReleaseConflict(None))
            return await self._overtaken(_decode_latest(current), note)
        return written

    async def _overtaken(
        self, latest: LatestRelease, note: notes.Note
    ) -> result.Result[notes.Note, PublishError]:
        """Tells a lost race from an accepted note that others followed.

        The answer to our write may have been lost, and another release may
        have come after it; our note is then on the head's chain.
        """
        number, digest = latest.number, latest.digest
        while number > note.number:
            found = await self.note(number, digest)
            if found.is_err():
                return found
            if found.ok() is None:
                break
            number, digest = number - 1, found.ok().previous
        if digest == note.digest():
            return result.Ok(note)
        return await self._raced(latest)

    async def _raced(
        self, latest: LatestRelease
    ) -> result.Result[notes.Note, PublishError]:
        found = await self.note(latest.number, latest.digest)
        return result.Err(
            ReleaseConflict(found.ok() if found.is_ok() else None)
        )

    async def _clean(
        self, latest: LatestRelease, note: notes.Note, names: dict[str, str]
    ) -> None:
        """Deletes an old note and pages that were replaced a while ago.

        What a page replaced is listed under the release's number and
        deleted some releases later, when nobody reads it any more.
        """
        replaced = sorted(set(latest.pages.values()) - set(names.values()))
        prefix = f"{self._prefix}/replaced/"
        await self._store.put(
            f"{prefix}{note.number:010d}", json.dumps(replaced).encode(), None
        )
        due = f"{prefix}{note.number - const.PAGE_DELAY_NOTES:010d}"
        listed = await self._store.get(due)
        if listed.is_ok() and listed.ok() is not None:
            in_use = set(names.values())
            for digest in json.loads(listed.ok().value):
                if digest not in in_use:
                    await self._store.delete(self._page_key(digest), None)
            await self._store.delete(due, None)
        old = note.number - const.STORED_NOTES
        if old > 0:
            stale = f"{self._prefix}{const.NOTES_PREFIX}{old:010d}-"
            for entry in (await self._store.scan(stale)).unwrap_or([]):
                await self._store.delete(entry.key, None)

    async def log(
        self, count: int
    ) -> result.Result[list[notes.Note], key_value.Unavailable]:
        """Returns the latest notes on the chain, the newest first."""
        read = await self.latest()
        if read.is_err():
            return read
        found: list[notes.Note] = []
        number, digest = read.ok().number, read.ok().digest
        while number > 0 and len(found) < count:
            note = await self.note(number, digest)
            if note.is_err():
                return note
            if note.ok() is None:
                break
            found.append(note.ok())
            number, digest = number - 1, note.ok().previous
        return result.Ok(found)


def _decode_latest(entry: key_value.Entry) -> LatestRelease:
    value = json.loads(entry.value)
    return LatestRelease(
        value["number"], value["digest"], value["pages"], entry.revision
    )
