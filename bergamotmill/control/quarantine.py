"""Shares the quarantine of prompt parts and requests between routers.

Crash reports and entries go to all routers as messages that may be lost.
Entries are also documents in the store, from which routers read them after a
restart and operators can list and remove them; and while there are entries,
each router repeats some to a few others, so that new routers and those that
were cut off learn of them while the store is away. A trial is begun by the
router that writes it to the store first.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
import dataclasses
import random

import result

from bergamotmill.control import quarantine_messages as codec
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import prompt_quarantine
from bergamotmill.storage import key_value
from bergamotmill.util import clock as clocks
from bergamotmill.util import rendezvous
from bergamotmill.util import tasks as background

# Time in which peers' answers to a crash report arrive.
EVIDENCE_WAIT_S = 0.05
# An event that arrived this shortly before its replica ended does not clear the
# prompt: the replica may have ended as it wrote the answer.
SETTLED_ANSWER_S = 0.05
MAINTENANCE_PERIOD_S = 1.0
# Routers to which a router repeats entries in each period. A router that gets
# three messages a period on average gets none in three periods once in 8,000.
GOSSIP_FANOUT = 3
# Entries that it repeats in one period: with three crashes each, they are
# 1.6 KB/s together.
GOSSIP_ENTRIES = 4
# Entries that a router gets at once from a peer that it asks for documents.
MAX_ENTRIES_FOR_PEER = 64
# Time by which a trial comes later while only one upstream of the service is
# usable: others are usually back by then, and a service that has only one must
# not hold a sound request back for ever.
LAST_UPSTREAM_DELAY_S = 300.0
# Shortest time after which callers are told to come back.
MIN_RETRY_AFTER_S = 1.0

SendMessage = Callable[[str, peer_pb2.NotifyRequest], None]
Listener = Callable[[prompt_quarantine.Entry], None]
EndListener = Callable[[prompt_quarantine.Crash], None]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineLinks:
    """How a router's quarantine reaches other routers and the store.

    Attributes:
        own_name: name of this router.
        send: sends a message, which may be lost, to a router.
        other_names: returns the names of the other routers.
        store: the store.
        key_prefix: prefix of the entries' keys in the store.
        revision: returns the revision of a key as last read; 0 if it has none.
        is_restored: whether the store came back from an older copy lately.
    """

    own_name: str
    send: SendMessage
    other_names: Callable[[], Sequence[str]]
    store: key_value.KeyValueStore
    key_prefix: str
    revision: Callable[[str], int]
    is_restored: Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may be sent as far as its prompt is concerned.

    Attributes:
        held_by: the entry that holds it back; None if it may be sent.
        trial_of: key of the entry in spite of which it is sent; empty for none.
    """

    held_by: prompt_quarantine.Entry | None = None
    trial_of: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt whose connection was lost.

    Attributes:
        crash: the replica and its incarnation.
        answered_s: seconds since its first event arrived; None without one.
        has_ended: finds out whether the replica refuses new connections.
    """

    crash: prompt_quarantine.Crash
    answered_s: float | None
    has_ended: Callable[[], Awaitable[bool]]


class Quarantine:
    """The quarantine of one router, synchronized with those of the others."""

    def __init__(
        self,
        links: QuarantineLinks,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._links = links
        self._clock = clock
        self._rng = rng
        self._state = prompt_quarantine.PromptQuarantine()
        self._listeners: list[Listener] = []
        self._end_listeners: list[EndListener] = []
        # Keys of entries that this router has to write or to remove.
        self._to_write: set[str] = set()
        self._to_remove: set[str] = set()
        # Parts that were reported for a crash, by crash and model.
        self._reported: dict[tuple[prompt_quarantine.Crash, str], set[str]] = {}
        self._tasks = background.Tasks()
        self._store_lock = asyncio.Lock()

    @property
    def entries(self) -> Mapping[str, prompt_quarantine.Entry]:
        """The entries in force, by key."""
        return self._state.entries

    @property
    def entry_count(self) -> int:
        """Number of entries in force."""
        return len(self._state.entries)

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener with each entry that gets uncontested in force.

        While an entry is contested, attempts under way may well be answered,
        which ends it.
        """
        self._listeners.append(listener)

    def add_end_listener(self, listener: EndListener) -> None:
        """Calls the listener with each end of a replica that a peer reports."""
        self._end_listeners.append(listener)

    def holding(
        self, prompt: prompt_quarantine.Prompt, trial_of: str = ""
    ) -> list[prompt_quarantine.Entry]:
        """Returns the entries that hold a prompt back.

        Args:
            prompt: the prompt.
            trial_of: key of an entry that does not count.
        """
        return [
            entry
            for entry in self._state.blocking(prompt)
            if entry.key != trial_of
        ]

    async def admit(
        self,
        prompt: prompt_quarantine.Prompt,
        may_be_trial: bool,
        trial_of: str = "",
        has_spare: bool = True,
    ) -> Admission:
        """Decides whether a request with a prompt may be sent.

        Args:
            prompt: its prompt.
            may_be_trial: whether it may be sent in spite of an entry whose next
                trial is due.
            trial_of: key of the entry of which it is the trial already.
            has_spare: whether its service keeps an upstream if it crashes one.
        """
        entries = self.holding(prompt, trial_of)
        if not entries:
            return Admission(None, trial_of)
        entry = entries[0]
        if (
            may_be_trial
            and self.may_try(entries, has_spare)
            and await self._begin_trial(entry)
        ):
            return Admission(None, entry.key)
        return Admission(entry)

    def may_try(
        self, entries: Sequence[prompt_quarantine.Entry], has_spare: bool = True
    ) -> bool:
        """Whether a request that entries hold back may be sent as a trial."""
        return len(entries) == 1 and self.is_trial_due(entries[0], has_spare)

    def is_trial_due(
        self, entry: prompt_quarantine.Entry, has_spare: bool = True
    ) -> bool:
        """Whether a request may be sent in spite of an entry, as a trial."""
        return self._time_to_trial_s(entry, has_spare) <= 0

    def retry_after_s(
        self, entry: prompt_quarantine.Entry, has_spare: bool = True
    ) -> float:
        """Returns after how many seconds a request held back may be tried."""
        return max(MIN_RETRY_AFTER_S, self._time_to_trial_s(entry, has_spare))

    def _time_to_trial_s(
        self, entry: prompt_quarantine.Entry, has_spare: bool
    ) -> float:
        delay_s = 0.0 if has_spare else LAST_UPSTREAM_DELAY_S
        return self._state.trial_at(entry) + delay_s - self._clock.wall()

    def note_answer(self, prompt: prompt_quarantine.Prompt) -> None:
        """Records that a replica answered a prompt."""
        clearances = self._state.record_answer(prompt, self._clock.monotonic())
        for item in clearances:
            self._end(item.entry, "answered")
            if item.successor is not None:
                self._put_in_force(item.successor)

    def clear(self, key: str, operator: str) -> bool:
        """Ends an entry as an operator asked; False if there is none."""
        entry = self._state.entries.get(key)
        if entry is None:
            return False
        self._end(entry, f"operator {operator}")
        return True

    def _end(self, entry: prompt_quarantine.Entry, reason: str) -> None:
        """Ends an entry, and tells peers and the store."""
        self._clear(entry, reason, self._links.own_name)
        self._to_remove.add(entry.key)
        self._broadcast_entry(entry, cleared=True)
        self._tasks.spawn(self._synchronize())

    async def note_loss(
        self, prompt: prompt_quarantine.Prompt, lost: LostAttempt
    ) -> bool:
        """Records what a lost connection says of a prompt.

        A connection can be lost while the replica goes on. If the prompt is
        suspect, returns when what peers know of it has been considered.

        Returns:
            Whether the replica ended.
        """
        if lost.answered_s is not None and lost.answered_s >= SETTLED_ANSWER_S:
            self.note_answer(prompt.parts_only())
            prompt = prompt.whole_only()
        if not await lost.has_ended():
            return False
        await self.note_crash(prompt, lost.crash)
        return True

    async def note_crash(
        self,
        prompt: prompt_quarantine.Prompt,
        crash: prompt_quarantine.Crash,
        abandoned: bool = False,
    ) -> None:
        """Records that a replica ended under a prompt.

        If the prompt is suspect, returns when what peers know of it has been
        considered.

        Args:
            prompt: the prompt.
            crash: the replica.
            abandoned: whether the attempt had been given up before.
        """
        blocking = self._state.blocking(prompt)
        if blocking:
            for entry in blocking:
                self._put_in_force(self._state.add_crash(entry, crash))
            return
        now = self._clock.monotonic()
        self._state.record_crash(prompt, crash, now, abandoned)
        self._report(prompt, crash, abandoned)
        judgement = self._tasks.spawn(self._judge_later(prompt))
        if self._state.judge(prompt, now, self._clock.wall()) is not None:
            await asyncio.wait({judgement})

    async def _judge_later(self, prompt: prompt_quarantine.Prompt) -> None:
        """Judges a prompt once peers have said what they know of it."""
        await asyncio.sleep(EVIDENCE_WAIT_S)
        entry = self._state.judge(
            prompt, self._clock.monotonic(), self._clock.wall()
        )
        if entry is not None:
            self._put_in_force(entry)

    def _report(
        self,
        prompt: prompt_quarantine.Prompt,
        crash: prompt_quarantine.Crash,
        abandoned: bool,
    ) -> None:
        """Reports a crash to all routers, each part of it once."""
        reported = self._reported.setdefault((crash, prompt.model), set())
        now = self._clock.monotonic()
        answers = {
            name: self._state.answers((prompt.model, name), now)
            for name in prompt.names - reported
        }
        reported |= prompt.names
        while len(self._reported) > prompt_quarantine.MAX_CLEARED:
            del self._reported[next(iter(self._reported))]
        for report in codec.encode_crash_report(
            self._links.own_name, prompt.model, crash, answers, abandoned
        ):
            self._broadcast(peer_pb2.NotifyRequest(crashes=[report]))

    def on_crash_report(self, message: peer_pb2.CrashReport) -> None:
        """Records a peer's crash report, and returns the answers seen here."""
        now = self._clock.monotonic()
        prompt = prompt_quarantine.prompt_with_names(
            message.model, message.parts
        )
        crash = codec.decode_crash(message.crash)
        self._state.record_crash(prompt, crash, now, message.abandoned)
        self._merge_answers(message)
        for listener in self._end_listeners:
            listener(crash)
        answers = {
            name: found
            for name in sorted(prompt.names)
            if (found := self._state.answers((prompt.model, name), now)).ever
        }
        if answers:
            report = codec.encode_answers(
                self._links.own_name, prompt.model, answers
            )
            self._links.send(
                message.sender, peer_pb2.NotifyRequest(answers=[report])
            )

    def on_answers_report(self, message: peer_pb2.AnswersReport) -> None:
        """Adds the answers that a peer has seen."""
        self._merge_answers(message)

    def _merge_answers(
        self, message: peer_pb2.CrashReport | peer_pb2.AnswersReport
    ) -> None:
        now = self._clock.monotonic()
        for name, answers in codec.decode_answers(message).items():
            self._state.merge_answers(
                message.sender, (message.model, name), answers, now
            )

    def on_notice(self, message: peer_pb2.QuarantineNotice) -> None:
        """Applies a peer's entry, or its end."""
        entry = codec.decode_notice(message)
        if message.cleared:
            self._clear(entry, "cleared", message.sender)
        else:
            self._apply(entry, message.sender)

    def add_to_reply(self, reply: peer_pb2.DocumentsReply) -> None:
        """Adds the newest entries, which the store may not have yet."""
        reply.quarantine.extend(self._newest_notices())

    def merge_reply(self, source: str, reply: peer_pb2.DocumentsReply) -> None:
        """Applies the entries in a peer's reply."""
        del source
        for notice in reply.quarantine:
            self.on_notice(notice)

    def _newest_notices(self) -> list[peer_pb2.QuarantineNotice]:
        """Returns messages with the newest entries, for a peer that starts."""
        entries = sorted(
            self._state.entries.values(), key=lambda item: -item.since_ms
        )
        return [
            codec.encode_notice(self._links.own_name, entry)
            for entry in entries[:MAX_ENTRIES_FOR_PEER]
        ]

    def on_document(
        self, key: str, value: bytes | None, revision: int, source: str
    ) -> None:
        """Applies a change in the store; ignores keys of other documents."""
        if not key.startswith(self._links.key_prefix):
            return
        if value is not None:
            self._apply_document(key, value, revision, source)
            return
        entry_key = key[len(self._links.key_prefix) :]
        entry = self._state.entries.get(entry_key)
        if entry is None or entry_key in self._to_write:
            return
        if self._links.is_restored():
            self._to_write.add(entry_key)
            return
        self._clear(entry, "removed", source)

    def _apply_document(
        self, key: str, value: bytes, revision: int, source: str
    ) -> prompt_quarantine.Entry | None:
        """Applies an entry from the store; None if it cannot be read."""
        decoded = codec.decode_document(value)
        if decoded.is_ok() and not key.endswith(f"/{decoded.ok().key}"):
            decoded = result.Err("the key is not that of the parts")
        if decoded.is_err():
            decisions.record(
                "document_unreadable",
                key=key,
                revision=key_value.format_revision(revision),
                source=source,
                detail=decoded.err(),
            )
            return None
        self._apply(decoded.ok(), source)
        return decoded.ok()

    async def _begin_trial(self, entry: prompt_quarantine.Entry) -> bool:
        """Whether this router may send one request in spite of an entry.

        Only one router of the fleet may, and only while the store answers.
        """
        key = self._links.key_prefix + entry.key
        revision = self._links.revision(key)
        if not revision:
            return False
        tried = entry.after_trial(
            self._clock.wall(), self._state.is_contested(entry)
        )
        written = await self._links.store.put(
            key, codec.encode_document(tried), revision
        )
        decisions.record(
            "part_trial",
            quarantine=entry.key,
            trials=tried.trials,
            granted=written.is_ok(),
        )
        if written.is_err():
            return False
        self._apply(tried, self._links.own_name)
        return True

    def _put_in_force(self, entry: prompt_quarantine.Entry) -> None:
        """Applies an entry of this router, and tells peers and the store."""
        if not self._apply(entry, self._links.own_name):
            return
        entry = self._state.entries[entry.key]
        for explained in self._state.explained_by(entry):
            self._end(explained, f"explained by {entry.key}")
        self._broadcast_entry(entry)
        self._to_write.add(entry.key)
        self._to_remove.discard(entry.key)
        self._tasks.spawn(self._synchronize())

    def _apply(self, entry: prompt_quarantine.Entry, source: str) -> bool:
        """Applies an entry from anywhere; False if it changes nothing."""
        known = self._state.entries.get(entry.key)
        if not self._state.apply(entry):
            return False
        entry = self._state.entries.get(entry.key, entry)
        if known is None or (known.contested and not entry.contested):
            decisions.record(
                "part_quarantined",
                quarantine=entry.key,
                model=entry.model,
                parts=sorted(entry.parts),
                customer=entry.customer,
                crashes=sorted(crash.replica for crash in entry.crashes),
                contested=entry.contested,
                trials=entry.trials,
                source=source,
            )
            if not entry.contested:
                for listener in self._listeners:
                    listener(entry)
        return True

    def _clear(
        self, entry: prompt_quarantine.Entry, reason: str, source: str
    ) -> None:
        if not self._state.clear(entry.key, entry.since_ms):
            return
        self._to_write.discard(entry.key)
        decisions.record(
            "part_cleared",
            quarantine=entry.key,
            model=entry.model,
            parts=sorted(entry.parts),
            reason=reason,
            source=source,
        )

    def _broadcast_entry(
        self, entry: prompt_quarantine.Entry, cleared: bool = False
    ) -> None:
        notice = codec.encode_notice(self._links.own_name, entry, cleared)
        self._broadcast(peer_pb2.NotifyRequest(quarantine=[notice]))

    def _broadcast(self, request: peer_pb2.NotifyRequest) -> None:
        for name in self._links.other_names():
            self._links.send(name, request)

    async def run(self) -> None:
        """Repeats entries to peers and writes them to the store, forever."""
        while True:
            await asyncio.sleep(
                MAINTENANCE_PERIOD_S * self._rng.uniform(0.8, 1.2)
            )
            self._expire()
            if self._state.entries:
                self._gossip()
            await self._synchronize()

    def _expire(self) -> None:
        """Drops entries that nobody has asked for in a long time."""
        names = {self._links.own_name, *self._links.other_names()}
        for entry in self._state.idle(self._clock.wall()):
            self._clear(entry, "idle", self._links.own_name)
            # One router is enough to remove the document.
            if rendezvous.top(entry.key, names, 1)[0] == self._links.own_name:
                self._to_remove.add(entry.key)

    def _gossip(self) -> None:
        names = list(self._links.other_names())
        receivers = self._rng.sample(names, min(GOSSIP_FANOUT, len(names)))
        entries = list(self._state.entries.values())
        for entry in self._rng.sample(
            entries, min(GOSSIP_ENTRIES, len(entries))
        ):
            notice = codec.encode_notice(self._links.own_name, entry)
            for name in receivers:
                self._links.send(
                    name, peer_pb2.NotifyRequest(quarantine=[notice])
                )

    async def _synchronize(self) -> None:
        """Writes and removes the documents that this router has to.

        What the store does not confirm is tried again later.
        """
        async with self._store_lock:
            for key in sorted(self._to_remove):
                removed = await self._links.store.delete(
                    self._links.key_prefix + key, None
                )
                if removed.is_ok():
                    self._to_remove.discard(key)
            for key in sorted(self._to_write):
                await self._write(key)

    async def _write(self, key: str) -> None:
        """Writes an entry unless the document has what it says already."""
        entry = self._state.entries.get(key)
        if entry is None:
            self._to_write.discard(key)
            return
        store_key = self._links.key_prefix + key
        written = await self._links.store.put(
            store_key,
            codec.encode_document(entry),
            self._links.revision(store_key),
        )
        stored = entry if written.is_ok() else None
        if written.is_err() and isinstance(written.err(), key_value.Conflict):
            stored = await self._merge_conflict(store_key, written.err())
        if stored == self._state.entries.get(key):
            self._to_write.discard(key)

    async def _merge_conflict(
        self, store_key: str, conflict: key_value.Conflict
    ) -> prompt_quarantine.Entry | None:
        """Applies what another router has written; returns it if readable."""
        current = conflict.current
        if current is None:
            read = await self._links.store.get(store_key)
            current = read.unwrap_or(None)
        if current is None:
            return None
        return self._apply_document(
            store_key, current.value, current.revision, "store"
        )

    async def close(self) -> None:
        """Cancels what is being written."""
        await self._tasks.close()
