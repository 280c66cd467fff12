"""Keeps a local copy of the documents in the platform's store.

A watch covers all keys. It is a series of short calls, as a call that the store
has lost stays open and says nothing. Only a few routers of each data centre,
the store readers, call the store; they publish changes to the other routers
of the data centre, so that the load on the store does not grow with the fleet.
A document is only ever replaced by one with a higher revision, or with a higher
version if operators number it. A router that missed changes, or that cannot
reach the store, pulls them from a peer that has seen a higher revision; a
router that has just started uses both the store and peers.

The store may be restored from an older copy, which starts a new era of
revisions (see storage.key_value). Documents that operators number are then
carried over until the operators write them again, so that an older copy takes
no router back; a router that has started since gets them from its peers.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
import dataclasses
import math
import random
from typing import Protocol

import result

from bergamotmill.control import peers as peer_links
from bergamotmill.dispatch import const
from bergamotmill.dispatch import store_health
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.storage import key_value
from bergamotmill.util import backoff
from bergamotmill.util import clock as clocks
from bergamotmill.util import tasks as background

SOURCE_STORE = "store"
# Watch revision that stands for "read a snapshot before watching".
NEEDS_SNAPSHOT = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The latest known state of a key.

    Attributes:
        key: key in the store.
        revision: revision of the store to which this state belongs.
        value: value of the key; None if the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None


Listener = Callable[[Document, str], None]
# Returns the version that operators gave a document of a key and a value; 0 for
# documents that they do not number.
OperatorVersion = Callable[[str, bytes], int]


def _not_numbered(key: str, value: bytes) -> int:
    """Returns 0: operators number no document."""
    del key, value
    return 0


class PeerKnowledge(Protocol):
    """What routers know that the store does not tell, or not yet.

    They exchange it whenever one pulls documents from another.
    """

    def add_to_reply(self, reply: peer_pb2.DocumentsReply) -> None:
        """Adds what this router knows to its reply to a pull."""

    def merge_reply(self, source: str, reply: peer_pb2.DocumentsReply) -> None:
        """Takes over what a peer knows from its reply to a pull."""


class StoreReaders(Protocol):
    """Selects the routers that read the store directly."""

    def is_reader(self) -> bool:
        """Whether this router reads the store directly."""

    def publication_timeout_s(self) -> float:
        """Returns for how long a publication saves reading the store.

        0 for a router that always reads it.
        """

    def publish_targets(self) -> Sequence[str]:
        """Returns the routers to which a reader publishes changes."""

    def watch_wait_s(self) -> float:
        """Returns how long a watch of the store may wait for changes."""

    def note_answers(self, name: str, answers: bool) -> None:
        """Records whether a router gets answers from the store."""

    def poll_interval_s(self) -> float:
        """Returns the delay after a call to the store that returned changes."""


class DocumentFeed:
    """Holds the latest known state of all keys and keeps it up to date."""

    def __init__(
        self,
        store: key_value.RevisionedStore,
        prefix: str,
        peers: peer_links.PeerClient,
        readers: StoreReaders,
        own_name: str,
        clock: clocks.Clock,
        rng: random.Random,
        operator_version: OperatorVersion = _not_numbered,
    ):
        """Initializes the feed without reading anything.

        Args:
            store: the platform's store.
            prefix: prefix of the keys to read.
            peers: client for calls to other routers.
            readers: selects the routers that read the store.
            own_name: name of this router.
            clock: time source.
            rng: source of random delays.
            operator_version: returns the version that operators gave a
                document.
        """
        self._operator_version = operator_version
        self._rng = rng
        # Boot time when this process entered a later era of the store.
        self._restored_at = float("-inf")
        self._clock = clock
        # Boot time of the latest tick; infinite before the first one.
        self._last_tick_at = float("inf")
        # Length of the latest suspension, and the boot time at its end.
        self._suspension_s = 0.0
        self._suspension_ended_at = float("-inf")
        self._store_readers = readers
        self._own_name = own_name
        self._tasks = background.Tasks()
        # When the documents were last current, as publications say.
        self._published_at = float("-inf")
        # When this router last published.
        self._last_sent_at = float("-inf")
        # Whether this router has ever read a snapshot.
        self._has_snapshot = False
        self._store = store
        self._prefix = prefix
        self._peers = peers
        self._now = clock.monotonic
        self._backoff = backoff.Backoff(
            const.FEED_BACKOFF_MIN_S, const.FEED_BACKOFF_MAX_S, rng
        )
        self._documents: dict[str, Document] = {}
        self._listeners: list[Listener] = []
        self._peer_knowledge: list[PeerKnowledge] = []
        # When the present call to the store was sent; None between calls.
        self._called_at: float | None = None
        # Whether the store should have answered that call by now.
        self._overdue = False
        # Revision after which the next watch starts.
        self._watch_revision = NEEDS_SNAPSHOT
        # Highest revision seen, from the store or from peers.
        self._revision = 0
        self._store_ok = False
        self.health = store_health.StoreHealth(clock.boottime)
        self._confirmed_at = float("-inf")
        # Maximum age of changes in the snapshot that is being read; 0 once it
        # has been read.
        self._snapshot_delay_s = float("inf")
        # Since when changes may have been missed; infinite if none were.
        self._changes_missed_since = float("-inf")
        # Peers with a higher revision: that revision, and since when.
        self._peers_ahead: dict[str, tuple[int, float]] = {}

    @property
    def revision(self) -> int:
        """The highest revision seen."""
        return self._revision

    @property
    def store_ok(self) -> bool:
        """Whether the latest call to the store succeeded."""
        return self._store_ok

    @property
    def max_read_delay_s(self) -> float:
        """Maximum age of a change that is read now, in seconds.

        A change is read late after the store was unreachable or this process
        was suspended. A suspension shows as a gap in boot time since the
        latest tick, or was recorded by the tick that followed it.
        """
        now = self._clock.boottime()
        suspended_s = now - self._last_tick_at
        if suspended_s < const.MIN_SUSPENSION_S:
            suspended_s = 0.0
        since = now - self._suspension_ended_at
        if since < const.SUSPENSION_MEMORY_S:
            suspended_s = max(suspended_s, self._suspension_s + since)
        return max(self._snapshot_delay_s, suspended_s)

    @property
    def since_restore_s(self) -> float:
        """Seconds since the store may last have been restored from a copy.

        If it was restored before this process started, they count from then.
        """
        return self._clock.boottime() - self._restored_at

    async def run_suspension_detector(self) -> None:
        """Detects suspensions of this process, forever."""
        while True:
            self._tick()
            await asyncio.sleep(const.TICK_PERIOD_S)

    def _tick(self) -> None:
        now = self._clock.boottime()
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s >= const.MIN_SUSPENSION_S:
            self._suspension_s, self._suspension_ended_at = gap_s, now
            decisions.record("paused", seconds=round(gap_s, 2))

    def may_lack_entries(self) -> bool:
        """Whether entries of live upstreams may be missing in the store."""
        return (
            self.health.is_recovering
            or self.since_restore_s < store_health.UNSTABLE_S
        )

    def staleness_s(self) -> float:
        """Returns seconds since the documents were last known to be current."""
        return self._now() - self._confirmed_at

    def _age_ms(self) -> int | None:
        """Returns `staleness_s` in milliseconds; None if never current."""
        age_s = self.staleness_s()
        return store_health.to_ms(age_s) if math.isfinite(age_s) else None

    def call_wait_s(self) -> float:
        """Returns for how long the present call to the store has waited.

        0 between calls, and in a router that receives publications.
        """
        return 0.0 if self._called_at is None else self._now() - self._called_at

    def add_listener(self, listener: Listener) -> None:
        """Has the listener called with each change and the change's source.

        The source is "store", or the name or address of a peer.
        """
        self._listeners.append(listener)

    def add_peer_knowledge(self, knowledge: PeerKnowledge) -> None:
        """Has knowledge exchanged with peers on each pull."""
        self._peer_knowledge.append(knowledge)

    def document(self, key: str) -> Document | None:
        """Returns the latest known state of a key; None if it is unknown."""
        return self._documents.get(key)

    async def run(self) -> None:
        """Reads the store forever, except while readers publish to this router.

        Every router reads a snapshot first. A reader does so after a watch has
        failed, too.
        """
        is_new_reader = False
        while True:
            if self._may_rely_on_readers():
                await asyncio.sleep(self._publication_time_left_s())
                is_new_reader = True
                continue
            after_revision = self._revision
            is_watch = self._watch_revision != NEEDS_SNAPSHOT
            wait_s = self._store_readers.watch_wait_s() if is_watch else 0.0
            if is_new_reader:
                wait_s = min(wait_s, const.WATCH_WAIT_NEW_READER_S)
            is_new_reader = False
            began_at = self._now()
            if not await self._read_store(is_watch, wait_s):
                await asyncio.sleep(self._backoff.next_delay())
                continue
            if self._store_readers.is_reader():
                self._publish(after_revision)
            if not is_watch or self._now() - began_at < wait_s:
                # The next call returns the changes made during this delay.
                await asyncio.sleep(self._store_readers.poll_interval_s())

    async def _read_store(self, is_watch: bool, wait_s: float) -> bool:
        """Reads a snapshot or watches once; False if the call failed."""
        self._called_at = self._now()
        timer = asyncio.get_running_loop().call_later(
            wait_s + const.STORE_OVERDUE_S, self._on_overdue
        )
        try:
            if is_watch:
                return await self._watch_once(wait_s)
            return await self._read_snapshot()
        finally:
            timer.cancel()
            self._called_at = None
            self._overdue = False

    def _on_overdue(self) -> None:
        """Tells the routers that rely on this one that they should not.

        A router that is not a reader says so once, so that none relies on it.
        """
        self._overdue = True
        if self._store_ok or self._store_readers.is_reader():
            self._publish(self._revision)

    def _may_rely_on_readers(self) -> bool:
        """Whether this router may leave reading the store to readers."""
        if not self._has_snapshot or not self._receives_publications():
            return False
        return (
            self._watch_revision != NEEDS_SNAPSHOT
            or not self._store_readers.is_reader()
        )

    def _receives_publications(self) -> bool:
        """Whether readers of the data centre keep this router up to date."""
        timeout_s = self._store_readers.publication_timeout_s()
        return self._now() - self._published_at <= timeout_s

    def _publication_time_left_s(self) -> float:
        """Returns after what time to check whether publications have ended."""
        timeout_s = self._store_readers.publication_timeout_s()
        left_s = self._published_at + timeout_s - self._now()
        return min(
            max(left_s, const.READER_CHECK_MIN_S), const.READER_CHECK_PERIOD_S
        )

    def _is_replaced(self) -> bool:
        """Whether another reader has published answers of the store lately."""
        since_s = self._now() - self._published_at
        return since_s <= const.SECOND_READER_TIMEOUT_S

    async def run_heartbeats(self) -> None:
        """Repeats that a reader gets no answers from the store, forever.

        A reader that gets some publishes after each of them.
        """
        while True:
            due_s = self._last_sent_at + const.READER_HEARTBEAT_S - self._now()
            if due_s > 0:
                # Something has been published meanwhile.
                await asyncio.sleep(max(const.READER_CHECK_MIN_S, due_s))
                continue
            if (
                not self._store_answers
                and self._store_readers.is_reader()
                and not self._receives_publications()
            ):
                self._publish(self._revision)
            await asyncio.sleep(const.READER_HEARTBEAT_S)

    @property
    def _store_answers(self) -> bool:
        """Whether the store answers this router's calls in time."""
        return self._store_ok and not self._overdue

    def _publish(self, after_revision: int) -> None:
        """Sends other routers of the data centre what changed after a revision.

        Does nothing if every router of the data centre is a reader, or if this
        one has no answers from the store and another reader has.
        """
        names = self._store_readers.publish_targets()
        if not names:
            return
        store_answers = self._store_answers
        self._store_readers.note_answers(self._own_name, store_answers)
        if not store_answers and self._is_replaced():
            return
        self._last_sent_at = self._now()
        message = peer_pb2.Publication(
            sender=self._own_name,
            documents=self._documents_after(after_revision),
            after_revision=after_revision,
            revision=self._revision,
            store_answers=store_answers,
            age_ms=self._age_ms() or 0,
            store=self.health.report(),
        )
        for group in self._publish_groups(names):
            self._tasks.spawn(self._publish_to(group, message))

    def _publish_groups(self, names: Sequence[str]) -> list[list[str]]:
        """Divides receivers into groups, whose first member passes it on.

        Other ones are first each time, so that one that is dead does not cut
        the same routers off again.
        """
        if len(names) <= const.PUBLISH_DIRECT_MAX:
            return [[name] for name in names]
        shuffled = self._rng.sample(list(names), len(names))
        count = math.isqrt(len(names) - 1) + 1
        return [shuffled[first::count] for first in range(count)]

    async def _publish_to(
        self, group: Sequence[str], message: peer_pb2.Publication
    ) -> None:
        """Sends a publication to a group by its first, or else directly."""
        first, *others = group
        forwarded = peer_pb2.Publication()
        forwarded.CopyFrom(message)
        forwarded.forward_to.extend(others)
        reply = await self._peers.call(
            first, "Publish", forwarded, const.PULL_TIMEOUT_S
        )
        if reply.is_err():
            self._forward(others, message)

    def _forward(
        self, names: Iterable[str], message: peer_pb2.Publication
    ) -> None:
        """Sends a publication to routers that do not pass it on."""
        for name in names:
            self._tasks.spawn(
                self._peers.call(name, "Publish", message, const.PULL_TIMEOUT_S)
            )

    async def on_publish(
        self, message: peer_pb2.Publication
    ) -> peer_pb2.PublicationReply:
        """Handles a publication of a reader of the same data centre.

        If its changes start after this router's revision, some in between were
        missed: the sender counts as a peer that is ahead, to pull from.
        """
        if message.forward_to:
            passed_on = peer_pb2.Publication()
            passed_on.CopyFrom(message)
            passed_on.ClearField("forward_to")
            self._forward(message.forward_to, passed_on)
        self._store_readers.note_answers(message.sender, message.store_answers)
        if message.HasField("store"):
            self.health.merge(message.store)
        self._enter_era(message.revision)
        self._adopt_all(message.sender, message.documents)
        if self._revision >= message.after_revision:
            self._revision = max(self._revision, message.revision)
        else:
            self.note_peer_revision(message.sender, message.revision)
        is_reader = self._store_readers.is_reader()
        current_at = self._now() - message.age_ms / 1000
        is_complete = self._revision >= message.revision
        if message.store_answers and is_complete:
            self._published_at = max(self._published_at, current_at)
        elif is_reader and not message.store_answers and not self._overdue:
            # A reader takes over at once from one that cannot reach the store.
            self._published_at = float("-inf")
        may_rely = not is_reader or self._receives_publications()
        if may_rely and message.store_answers and is_complete:
            self._store_answered(current_at)
        return peer_pb2.PublicationReply()

    async def close(self) -> None:
        """Cancels messages that are being sent."""
        await self._tasks.close()

    async def _read_snapshot(self) -> bool:
        """Reads all keys; False if the store did not answer."""
        reading = await self._store.snapshot(self._prefix)
        if reading.is_err():
            self._store_failed(reading.err().reason)
            return False
        self._snapshot_delay_s = self._now() - self._changes_missed_since
        self._store_answered(self._now())
        snapshot = reading.ok()
        self._enter_era(snapshot.revision)
        present = set()
        for entry in snapshot.entries:
            present.add(entry.key)
            self._adopt(
                Document(entry.key, entry.revision, entry.value), SOURCE_STORE
            )
        for key, known in list(self._documents.items()):
            if key not in present and known.revision <= snapshot.revision:
                deleted = Document(key, snapshot.revision, None)
                if known.value is not None:
                    self._adopt(deleted, SOURCE_STORE)
        self._snapshot_delay_s = 0.0
        self._has_snapshot = True
        self._changes_missed_since = float("inf")
        self._watch_revision = snapshot.revision
        self._revision = max(self._revision, snapshot.revision)
        return True

    def _enter_era(self, revision: int) -> None:
        """Handles the first revision of a later era of the store."""
        era = key_value.era_of(revision)
        if era <= key_value.era_of(self._revision):
            return
        self._restored_at = self._clock.boottime()
        decisions.record(
            "store_restored",
            revision=key_value.format_revision(revision),
            before=key_value.format_revision(self._revision),
        )

    async def _watch_once(self, wait_s: float) -> bool:
        """Waits for changes and adopts them; False if the call failed."""
        reading = await self._store.changes(
            self._prefix, self._watch_revision, wait_s
        )
        if reading.is_err():
            return self._watch_failed(reading)
        self._store_answered(self._now())
        changes = reading.ok()
        for event in changes.events:
            entry = event.entry
            value = None if entry is None else entry.value
            revision = event.revision if entry is None else entry.revision
            self._adopt(Document(event.key, revision, value), SOURCE_STORE)
        self._watch_revision = max(self._watch_revision, changes.revision)
        self._revision = max(self._revision, self._watch_revision)
        return True

    def _watch_failed(self, reading: result.Result) -> bool:
        """Requires a snapshot; returns whether to read it without backoff."""
        error = reading.err()
        if isinstance(error, key_value.Compacted):
            decisions.record("history_lost", detail=error.reason)
            self._mark_changes_missed()
            self._watch_revision = NEEDS_SNAPSHOT
            return True
        self._store_failed(error.reason)
        # Changes made while no watch was open may have been dropped from the
        # store's history, and a watch from the old revision need not report
        # that.
        self._watch_revision = NEEDS_SNAPSHOT
        return False

    def _store_answered(self, current_at: float) -> None:
        """Records an answer of the store, to this router or to a reader.

        Args:
            current_at: when the documents that it gave were current.
        """
        self._confirmed_at = max(self._confirmed_at, current_at)
        age_s = self._now() - current_at
        self.health.note_answer(self._clock.boottime() - age_s)
        if not self._store_ok:
            self._store_ok = True
            self._backoff.reset()
            decisions.record(
                "store_back",
                revision=key_value.format_revision(self._revision),
            )

    def _mark_changes_missed(self) -> None:
        """Records that changes may have been missed until the next snapshot.

        A watch may have stopped delivering changes some time before it failed.
        """
        since = min(self._now() - const.WATCH_STALE_S, self._confirmed_at)
        self._changes_missed_since = min(self._changes_missed_since, since)

    def _store_failed(self, reason: str) -> None:
        self._mark_changes_missed()
        self.health.note_failure()
        if self._store_ok:
            decisions.record(
                "store_lost", detail=reason, age_s=round(self.staleness_s(), 2)
            )
        self._store_ok = False

    def _adopt(self, document: Document, source: str) -> None:
        """Stores a document if it is newer, and calls the listeners."""
        known = self._documents.get(document.key)
        if known is not None:
            order = self._compare_numbered(known, document)
            is_newer = document.revision > known.revision
            if order < 0 and is_newer:
                decisions.record(
                    "document_kept",
                    key=known.key,
                    revision=key_value.format_revision(known.revision),
                    offered=key_value.format_revision(document.revision),
                    source=source,
                )
            if order < 0 or (order == 0 and not is_newer):
                return
        self._documents[document.key] = document
        for listener in self._listeners:
            listener(document, source)

    def _compare_numbered(self, known: Document, other: Document) -> int:
        """Compares a document with the known one by the operators' versions.

        Returns:
            1 if the other one is newer, -1 if the known one is, 0 if their
            revisions decide.
        """
        if known.value is None:
            return 0
        known_version = self._operator_version(known.key, known.value)
        if not known_version:
            return 0
        if other.value is None:
            # Operators may remove a document; a restore only loses it.
            is_lost = key_value.era_of(other.revision) > key_value.era_of(
                known.revision
            )
            return -1 if is_lost else 0
        version = self._operator_version(other.key, other.value)
        if not version:
            return 0
        return (version > known_version) - (version < known_version)

    def _numbered_versions(self) -> dict[str, int]:
        """Returns the operators' versions of the documents they number."""
        return {
            document.key: version
            for document in self._documents.values()
            if document.value is not None
            and (
                version := self._operator_version(document.key, document.value)
            )
        }

    def note_peer_revision(self, name: str, revision: int) -> None:
        """Records that a peer has seen a higher revision."""
        known = self._peers_ahead.get(name)
        since = self._now() if known is None else known[1]
        self._peers_ahead[name] = (revision, since)

    async def run_pulls(self) -> None:
        """Pulls from peers that stay ahead of this router, forever."""
        while True:
            await asyncio.sleep(const.PULL_PERIOD_S)
            await self.pull_once()

    async def pull_once(self) -> None:
        """Pulls from the peer with the highest revision.

        Peers count only if they have been ahead for a while, or if this router
        has no documents yet: most changes arrive by a publication or a watch.
        """
        now = self._now()
        self._peers_ahead = {
            name: (revision, since)
            for name, (revision, since) in self._peers_ahead.items()
            if revision > self._revision
        }
        due = [
            (revision, name)
            for name, (revision, since) in self._peers_ahead.items()
            if now - since >= const.PULL_DELAY_S or self._revision == 0
        ]
        if due:
            await self.pull(max(due)[1])

    async def pull(self, name: str) -> None:
        """Pulls newer documents from a peer."""
        reply = await self._peers.call(
            name, "Documents", self._pull_request(), const.PULL_TIMEOUT_S
        )
        self._peers_ahead.pop(name, None)
        if reply.is_ok():
            self._merge_reply(name, reply.ok())

    async def pull_address(self, address: str) -> None:
        """Pulls newer documents from the router at an address."""
        reply = await self._peers.call_address(
            address, "Documents", self._pull_request(), const.PULL_TIMEOUT_S
        )
        if reply.is_ok():
            self._merge_reply(address, reply.ok())

    def _pull_request(self) -> peer_pb2.DocumentsRequest:
        """Returns the request for what changed after this router's revision.

        After a restore, the store may offer older versions of the documents
        that operators number under higher revisions.
        """
        request = peer_pb2.DocumentsRequest(after_revision=self._revision)
        if self.may_lack_versions:
            request.numbered.extend(
                peer_pb2.NumberedDocument(key=key, version=version)
                for key, version in self._numbered_versions().items()
            )
        return request

    @property
    def may_lack_versions(self) -> bool:
        """Whether peers may hold newer documents than the restored store."""
        return self.since_restore_s < const.RESTORE_QUERY_S

    def _merge_reply(self, name: str, reply: peer_pb2.DocumentsReply) -> None:
        self._enter_era(reply.revision)
        self._adopt_all(name, reply.documents)
        for knowledge in self._peer_knowledge:
            knowledge.merge_reply(name, reply)
        if reply.revision >= self._revision and reply.HasField("age_ms"):
            current_at = self._now() - reply.age_ms / 1000
            self._confirmed_at = max(self._confirmed_at, current_at)
        self._revision = max(self._revision, reply.revision)

    def _adopt_all(
        self, source: str, items: Iterable[peer_pb2.Document]
    ) -> None:
        for item in items:
            value = None if item.deleted else item.value
            self._adopt(Document(item.key, item.revision, value), source)

    async def on_documents(
        self, request: peer_pb2.DocumentsRequest
    ) -> peer_pb2.DocumentsReply:
        """Answers a peer's pull with what changed after its revision."""
        documents = self._documents_after(request.after_revision)
        if request.numbered:
            asked = {item.key: item.version for item in request.numbered}
            documents += [
                _to_proto(self._documents[key])
                for key, version in self._numbered_versions().items()
                if version > asked.get(key, 0)
                and self._documents[key].revision <= request.after_revision
            ]
        reply = peer_pb2.DocumentsReply(
            documents=documents,
            revision=self._revision,
            age_ms=self._age_ms(),
        )
        for knowledge in self._peer_knowledge:
            knowledge.add_to_reply(reply)
        return reply

    def _documents_after(self, revision: int) -> list[peer_pb2.Document]:
        """Returns the documents that changed after a revision."""
        return [
            _to_proto(document)
            for document in self._documents.values()
            if document.revision > revision
        ]


def _to_proto(document: Document) -> peer_pb2.Document:
    return peer_pb2.Document(
        key=document.key,
        revision=document.revision,
        value=document.value or b"",
        deleted=document.value is None,
    )
