"""Follows the platform's store, and peers while the store is away.

One waiting call covers all keys. A few processes of each data centre make it,
the readers, and tell the others beside them what changed, so that calls on
the store do not grow with the fleet. Each key is adopted forward only, by its
revision. A process that misses something, or that the store turns away, asks
a peer that is ahead of it; one that has just started asks both.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
import dataclasses
import random
from typing import Protocol

import result

from bergamotmill.control import peers as peer_links
from bergamotmill.dispatch import const
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.storage import key_value
from bergamotmill.util import backoff
from bergamotmill.util import clock as clocks
from bergamotmill.util import tasks as background

SOURCE_STORE = "store"
# Before everything has been read once.
NEEDS_SNAPSHOT = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A key's latest known state; no value means that it is gone."""

    key: str
    revision: int
    value: bytes | None


Listener = Callable[[Document, str], None]


class WeightsAges(Protocol):
    """Ages of what stands in documents, which the store does not tell."""

    def known_ages(self) -> list[peer_pb2.WeightsAge]:
        """Returns the ages that this process knows for sure."""

    def merge_ages(
        self, source: str, ages: Iterable[peer_pb2.WeightsAge]
    ) -> None:
        """Takes the ages that a peer knows."""


class StoreReaders(Protocol):
    """Who reads the store, and whom readers tell."""

    def is_reader(self) -> bool:
        """Whether this process follows the store itself."""

    def publish_targets(self) -> Sequence[str]:
        """Returns the names of those that this reader tells."""

    def poll_interval_s(self) -> float:
        """Returns how long a reader waits before it asks again."""


class DocumentFeed:
    """Owns the latest known state of all keys."""

    def __init__(
        self,
        store: key_value.RevisionedStore,
        prefix: str,
        peers: peer_links.PeerClient,
        readers: StoreReaders,
        own_name: str,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._clock = clock
        self._ticked_at = float("inf")
        self._pause_s = 0.0
        self._pause_ended = float("-inf")
        self._store_readers = readers
        self._own_name = own_name
        self._tasks = background.Tasks()
        self._heard_at = float("-inf")
        self._store = store
        self._prefix = prefix
        self._peers = peers
        self._now = clock.monotonic
        self._pause = backoff.Backoff(
            const.FEED_BACKOFF_MIN_S, const.FEED_BACKOFF_MAX_S, rng
        )
        self._documents: dict[str, Document] = {}
        self._listeners: list[Listener] = []
        self._ages: WeightsAges | None = None
        self._position = NEEDS_SNAPSHOT
        self._revision = 0
        self._store_ok = False
        self._store_ok_since = -const.STORE_UNSTABLE_S
        self._confirmed_at = float("-inf")
        self._unseen_s = float("inf")
        self._blind_since = float("-inf")
        self._ahead: dict[str, tuple[int, float]] = {}

    @property
    def revision(self) -> int:
        """The highest revision that has been seen."""
        return self._revision

    @property
    def store_ok(self) -> bool:
        """Whether the latest call to the store succeeded."""
        return self._store_ok

    @property
    def max_read_delay_s(self) -> float:
        """For how long a change may have stood there before it was read.

        The store may have been out of sight, or this process suspended: a
        suspension shows in the clock that counts it, before or after the
        next tick.
        """
        now = self._clock.boottime()
        paused_s = now - self._ticked_at
        if paused_s < const.MIN_SUSPENSION_S:
            paused_s = 0.0
        since = now - self._pause_ended
        if since < const.SUSPENSION_MEMORY_S:
            paused_s = max(paused_s, self._pause_s + since)
        return max(self._unseen_s, paused_s)

    async def run_suspension_detector(self) -> None:
        """Notices suspensions of this process, for ever."""
        while True:
            self._tick()
            await asyncio.sleep(const.TICK_PERIOD_S)

    def _tick(self) -> None:
        now = self._clock.boottime()
        gap_s = now - self._ticked_at
        self._ticked_at = now
        if gap_s >= const.MIN_SUSPENSION_S:
            self._pause_s, self._pause_ended = gap_s, now
            decisions.record("paused", seconds=round(gap_s, 2))

    def recently_unavailable(self) -> bool:
        """Whether the store fails or came back only lately."""
        since = self._now() - self._store_ok_since
        return not self._store_ok or since < const.STORE_UNSTABLE_S

    def staleness_s(self) -> float:
        """Returns seconds since the state was last confirmed."""
        return self._now() - self._confirmed_at

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener with each change and where it came from."""
        self._listeners.append(listener)

    def set_weights_ages(self, ages: WeightsAges) -> None:
        """Has ages told to and taken from peers along with documents."""
        self._ages = ages

    def document(self, key: str) -> Document | None:
        """Returns what is known of a key."""
        return self._documents.get(key)

    async def run(self) -> None:
        """Follows the store for ever, while this process is a reader."""
        while True:
            if self._position != NEEDS_SNAPSHOT and self._is_told():
                await asyncio.sleep(const.READER_CHECK_PERIOD_S)
                continue
            before = self._revision
            if self._position == NEEDS_SNAPSHOT:
                done = await self._read_all()
            else:
                done = await self._follow()
            if done:
                self._publish(before)
                # What changes meanwhile comes with the next call.
                await asyncio.sleep(self._store_readers.poll_interval_s())
            else:
                await asyncio.sleep(self._pause.next())

    def _is_told(self) -> bool:
        """Whether readers beside this process tell it what changes."""
        if self._store_readers.is_reader():
            return False
        return self._now() - self._heard_at <= const.READER_TIMEOUT_S

    async def run_heartbeats(self) -> None:
        """Tells those beside a reader that it is there, for ever."""
        while True:
            await asyncio.sleep(const.READER_HEARTBEAT_S)
            if self._store_readers.is_reader():
                self._publish(self._revision)

    def _publish(self, before: int) -> None:
        """Tells the routers beside this one what came after a revision."""
        names = self._store_readers.publish_targets()
        if not names:
            return
        message = peer_pb2.Publication(
            sender=self._own_name,
            documents=self._since(before),
            after_revision=before,
            revision=self._revision,
            store_answers=self._store_ok,
        )
        for name in names:
            self._tasks.spawn(
                self._peers.call(name, "Publish", message, const.PULL_TIMEOUT_S)
            )

    async def on_publish(
        self, message: peer_pb2.Publication
    ) -> peer_pb2.PublicationReply:
        """Takes what a reader beside this router saw."""
        self._adopt_all(message.sender, message.documents)
        if self._revision >= message.after_revision:
            self._revision = max(self._revision, message.revision)
        else:
            self.note_peer_revision(message.sender, message.revision)
        if not self._store_readers.is_reader():
            self._heard_at = self._now()
            if message.store_answers:
                self._store_answered()
            else:
                self._store_failed(f"lost to {message.sender}")
        return peer_pb2.PublicationReply()

    async def close(self) -> None:
        """Stops what is under way."""
        await self._tasks.close()

    async def _read_all(self) -> bool:
        found = await self._store.snapshot(self._prefix)
        if found.is_err():
            self._store_failed(found.err().reason)
            return False
        self._unseen_s = self._now() - self._blind_since
        self._store_answered()
        snapshot = found.ok()
        present = set()
        for entry in snapshot.entries:
            present.add(entry.key)
            self._adopt(
                Document(entry.key, entry.revision, entry.value), SOURCE_STORE
            )
        for key, known in list(self._documents.items()):
            if key not in present and known.revision <= snapshot.revision:
                gone = Document(key, snapshot.revision, None)
                if known.value is not None:
                    self._adopt(gone, SOURCE_STORE)
        self._unseen_s = 0.0
        self._blind_since = float("inf")
        self._position = snapshot.revision
        self._revision = max(self._revision, snapshot.revision)
        return True

    async def _follow(self) -> bool:
        found = await self._store.changes(
            self._prefix, self._position, const.WATCH_WAIT_S
        )
        if found.is_err():
            return self._lost_watch(found)
        self._store_answered()
        changes = found.ok()
        for event in changes.events:
            entry = event.entry
            value = None if entry is None else entry.value
            revision = event.revision if entry is None else entry.revision
            self._adopt(Document(event.key, revision, value), SOURCE_STORE)
        self._position = max(self._position, changes.revision)
        self._revision = max(self._revision, self._position)
        return True

    def _lost_watch(self, found: result.Result) -> bool:
        error = found.err()
        if isinstance(error, key_value.Compacted):
            decisions.record("history_lost", detail=error.reason)
            self._lost_sight()
            self._position = NEEDS_SNAPSHOT
            return True
        self._store_failed(error.reason)
        # What came while nobody waited may have left the history since: a
        # waiting call that goes on from here need not notice.
        self._position = NEEDS_SNAPSHOT
        return False

    def _store_answered(self) -> None:
        now = self._now()
        self._confirmed_at = now
        if not self._store_ok:
            self._store_ok = True
            self._store_ok_since = now
            self._pause.reset()
            decisions.record("store_back", revision=self._revision)

    def _lost_sight(self) -> None:
        """Notes that changes may have gone unseen for a while."""
        since = self._now() - const.WATCH_STALE_S
        self._blind_since = min(self._blind_since, since)

    def _store_failed(self, reason: str) -> None:
        self._lost_sight()
        if self._store_ok:
            decisions.record(
                "store_lost", detail=reason, age_s=round(self.staleness_s(), 2)
            )
        self._store_ok = False

    def _adopt(self, document: Document, source: str) -> None:
        known = self._documents.get(document.key)
        if known is not None and document.revision <= known.revision:
            return
        self._documents[document.key] = document
        for listener in self._listeners:
            listener(document, source)

    def note_peer_revision(self, name: str, revision: int) -> None:
        """Notes that a peer has seen a higher revision."""
        found = self._ahead.get(name)
        since = self._now() if found is None else found[1]
        self._ahead[name] = (revision, since)

    async def run_pulls(self) -> None:
        """Asks peers that stay ahead, for ever."""
        while True:
            await asyncio.sleep(const.PULL_PERIOD_S)
            await self.pull_once()

    async def pull_once(self) -> None:
        """Asks the peer that is furthest ahead for what it has."""
        now = self._now()
        self._ahead = {
            name: (revision, since)
            for name, (revision, since) in self._ahead.items()
            if revision > self._revision
        }
        due = [
            (revision, name)
            for name, (revision, since) in self._ahead.items()
            if now - since >= const.PULL_DELAY_S or self._revision == 0
        ]
        if due:
            await self.pull(max(due)[1])

    async def pull(self, name: str) -> None:
        """Takes what one peer knows beyond this process."""
        request = peer_pb2.DocumentsRequest(after_revision=self._revision)
        answer = await self._peers.call(
            name, "Documents", request, const.PULL_TIMEOUT_S
        )
        self._ahead.pop(name, None)
        if answer.is_ok():
            self._take(name, answer.ok())

    async def pull_address(self, address: str) -> None:
        """Takes what whatever router listens on an address knows."""
        request = peer_pb2.DocumentsRequest(after_revision=self._revision)
        answer = await self._peers.call_address(
            address, "Documents", request, const.PULL_TIMEOUT_S
        )
        if answer.is_ok():
            self._take(address, answer.ok())

    def _take(self, name: str, reply: peer_pb2.DocumentsReply) -> None:
        self._adopt_all(name, reply.documents)
        if self._ages is not None:
            self._ages.merge_ages(name, reply.ages)
        if reply.revision >= self._revision:
            self._confirmed_at = self._now()
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
        """Tells a peer what changed after its revision."""
        return peer_pb2.DocumentsReply(
            documents=self._since(request.after_revision),
            revision=self._revision,
            ages=[] if self._ages is None else self._ages.known_ages(),
        )

    def _since(self, revision: int) -> list[peer_pb2.Document]:
        """Returns what changed after a revision."""
        return [
            peer_pb2.Document(
                key=document.key,
                revision=document.revision,
                value=document.value or b"",
                deleted=document.value is None,
            )
            for document in self._documents.values()
            if document.revision > revision
        ]
