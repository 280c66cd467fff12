"""Finds the parts of prompts that crash replicas, and holds them back.

A replica that ends while an attempt on it has no event yet is evidence against
each part of that attempt's prompt; an answer speaks for each of its parts. The
parts with the least in their favour are quarantined: no request that contains
them all is sent any more, except for rare trials. Nothing here performs I/O;
`control.quarantine` shares evidence and entries between routers.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses

import xxhash

# Time after which a crash is no longer evidence, and an answer no longer speaks
# for a part.
EVIDENCE_WINDOW_S = 30.0
# Time for which a part is remembered as answered at some time.
MEMORY_WINDOW_S = 600.0
# Crashes that make a part suspect: one that was never answered, one that was
# not answered within the evidence window, and one that was. The last also needs
# more crashes than answers.
MIN_CRASHES_UNANSWERED = 2
MIN_CRASHES_NOT_LATELY = 3
MIN_CRASHES_ANSWERED = 4
# A customer with this many entries crashes replicas with ever new parts; one
# crash is enough for its parts that were never answered.
MAX_ENTRIES_PER_CUSTOMER = 4
# Pause before the first trial, the second and so on; the last one repeats.
TRIAL_PAUSES_S = (30.0, 120.0, 600.0, 3600.0)
# The same for an entry whose crashes another entry explains as well: the first
# pause is drawn from the range, so that the trials of the two do not meet, and
# each trial that fails doubles the next one.
CONTESTED_TRIAL_PAUSES_S = (0.5, 4.0)
# Oldest are dropped first. A crash leaves evidence against the parts of at most
# 64 prompts, the slots of a replica.
MAX_ENTRIES = 256
MAX_CLEARED = 1024
MAX_PARTS_WITH_CRASHES = 4096
MAX_PARTS_ANSWERED = 16384
MAX_CRASHES_PER_ENTRY = 16
MS_PER_S = 1000
# An entry that nobody has asked for is dropped this long after its next trial
# was due.
IDLE_EXPIRY_S = 86_400.0
# Longer names of models and parts, which callers choose, are replaced by
# digests, so that messages stay small.
MAX_NAME_LENGTH = 64

# Model and name of a part.
Part = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The parts of a request's prompt that other requests may have, too.

    Attributes:
        parts: names of the parts; their order does not matter.
        customer: name of the request's customer.
    """

    model: str
    parts: frozenset[str]
    customer: str = ""


def make_prompt(model: str, parts: Iterable[str], customer: str = "") -> Prompt:
    """Returns the prompt with the given parts.

    Args:
        model: the request's model.
        parts: names of the parts that other requests may have, too.
        customer: name of the request's customer.
    """
    names = frozenset(_shortened(name) for name in parts)
    return Prompt(_shortened(model), names, customer)


def _shortened(name: str) -> str:
    """Returns a name, or its digest if it is long."""
    if len(name) <= MAX_NAME_LENGTH:
        return name
    return f"{xxhash.xxh3_64_intdigest(name.encode()):016x}"


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of one incarnation of a replica."""

    replica: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """Answers on prompts with a part.

    Attributes:
        recent: number within the evidence window.
        ever: whether there was one within the memory window.
    """

    recent: int = 0
    ever: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Parts of prompts that are quarantined together.

    Attributes:
        parts: names of the parts; a request with all of them is held back.
        customer: customer of the request that led to the entry.
        since_ms: when it was made, in Unix milliseconds.
        crashes: the latest crashes that it explains.
        contested: whether other parts, alone or together, explain them as well.
        trials: number of trials begun.
        next_trial_at: when the next trial may begin, in Unix seconds.
    """

    model: str
    parts: frozenset[str]
    customer: str
    since_ms: int
    crashes: frozenset[Crash]
    contested: bool
    trials: int
    next_trial_at: float

    @property
    def key(self) -> str:
        """Identifies the parts, whoever made the entry."""
        text = "\0".join([self.model, *sorted(self.parts)])
        return f"{xxhash.xxh3_64_intdigest(text.encode()):016x}"

    def blocks(self, prompt: Prompt) -> bool:
        """Whether a prompt contains all parts of the entry."""
        return self.model == prompt.model and self.parts <= prompt.parts

    def after_trial(self, wall_s: float, contested: bool) -> "Entry":
        """Returns the entry as it is while a trial runs.

        Args:
            wall_s: present time in Unix seconds.
            contested: whether another entry still explains its crashes.
        """
        pause_s = _trial_pause_s(self.trials + 1)
        if contested:
            pause_s = min(pause_s, CONTESTED_TRIAL_PAUSES_S[1] * 2**self.trials)
        return dataclasses.replace(
            self, trials=self.trials + 1, next_trial_at=wall_s + pause_s
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """An entry that ends, and the smaller one that takes its place.

    Attributes:
        successor: entry of the parts that remain; None if none do.
    """

    entry: Entry
    successor: Entry | None = None


def _contested_pause_s(key: str) -> float:
    """Returns the pause before the first trial of a contested entry."""
    shortest, longest = CONTESTED_TRIAL_PAUSES_S
    fraction = int(key, 16) / (1 << 64)
    return shortest + (longest - shortest) * fraction


def _trial_pause_s(trials: int) -> float:
    return TRIAL_PAUSES_S[min(trials, len(TRIAL_PAUSES_S) - 1)]


class _AnsweredParts:
    """Counts answers by part over about one window, in two halves."""

    def __init__(self, window_s: float):
        self._half_s = window_s / 2
        self._halves: list[dict[Part, int]] = [{}, {}]
        self._began_at = 0.0

    def record(self, part: Part, now: float) -> None:
        """Counts one answer; new parts are left out while there are many."""
        self._rotate(now)
        newest = self._halves[-1]
        if part in newest or len(newest) < MAX_PARTS_ANSWERED // 2:
            newest[part] = newest.get(part, 0) + 1

    def count(self, part: Part, now: float) -> int:
        """Returns the number of answers within the window."""
        self._rotate(now)
        return sum(half.get(part, 0) for half in self._halves)

    def _rotate(self, now: float) -> None:
        age_s = now - self._began_at
        if age_s < self._half_s:
            return
        newest = self._halves[-1] if age_s < 2 * self._half_s else {}
        self._halves = [newest, {}]
        self._began_at = now


class _CrashesByPart:
    """The crashes that are evidence against each part."""

    def __init__(self):
        self._times: collections.OrderedDict[Part, dict[Crash, float]] = (
            collections.OrderedDict()
        )

    def record(self, part: Part, crash: Crash, now: float) -> None:
        """Records that a replica ended under an attempt with a part."""
        times = self._times.setdefault(part, {})
        times.setdefault(crash, now)
        self._times.move_to_end(part)
        if len(self._times) > MAX_PARTS_WITH_CRASHES:
            self._times.popitem(last=False)

    def of(self, part: Part, now: float) -> frozenset[Crash]:
        """Returns the crashes within the evidence window."""
        times = self._times.get(part, {})
        return frozenset(
            crash
            for crash, at in times.items()
            if now - at <= EVIDENCE_WINDOW_S
        )

    def parts(self) -> Iterable[Part]:
        """Returns the parts with evidence against them."""
        return self._times.keys()

    def expire(self, now: float) -> None:
        """Drops the parts without recent crashes."""
        while self._times:
            part, times = next(iter(self._times.items()))
            if now - max(times.values()) <= EVIDENCE_WINDOW_S:
                return
            del self._times[part]


class PromptQuarantine:
    """The evidence for and against parts of prompts, and the entries."""

    def __init__(self):
        self._recent = _AnsweredParts(EVIDENCE_WINDOW_S)
        self._ever = _AnsweredParts(MEMORY_WINDOW_S)
        self._crashes = _CrashesByPart()
        # What peers reported of parts with crashes, by part and peer.
        self._peer_answers: dict[Part, dict[str, tuple[Answers, float]]] = {}
        self._entries: dict[str, Entry] = {}
        self._keys_by_part: dict[Part, set[str]] = {}
        # Entries that have ended, and their trials, by key.
        self._cleared: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

    @property
    def entries(self) -> Mapping[str, Entry]:
        """The entries in force, by key."""
        return self._entries

    def blocking(self, prompt: Prompt) -> list[Entry]:
        """Returns the entries that hold a prompt back."""
        return [e for e in self._entries_with(prompt) if e.blocks(prompt)]

    def _entries_with(self, prompt: Prompt) -> list[Entry]:
        """Returns the entries that name any part of a prompt."""
        if not self._entries:
            return []
        keys = {
            key
            for name in prompt.parts
            for key in self._keys_by_part.get((prompt.model, name), ())
        }
        return [self._entries[key] for key in sorted(keys)]

    def record_answer(self, prompt: Prompt, now: float) -> list[Clearance]:
        """Records an answer, and returns the entries that it disproves."""
        for name in prompt.parts:
            self._recent.record((prompt.model, name), now)
            self._ever.record((prompt.model, name), now)
        clearances = []
        for entry in self._entries_with(prompt):
            remaining = entry.parts - prompt.parts
            successor = None
            if remaining:
                successor = dataclasses.replace(entry, parts=remaining)
            clearances.append(Clearance(entry, successor))
        return clearances

    def record_crash(self, prompt: Prompt, crash: Crash, now: float) -> None:
        """Records that a replica ended under an unanswered attempt."""
        self._crashes.expire(now)
        for name in prompt.parts:
            self._crashes.record((prompt.model, name), crash, now)
        if len(self._peer_answers) > MAX_PARTS_WITH_CRASHES:
            with_crashes = set(self._crashes.parts())
            for part in self._peer_answers.keys() - with_crashes:
                del self._peer_answers[part]

    def answers(self, part: Part, now: float) -> Answers:
        """Returns the answers that this router has seen on a part."""
        return Answers(
            self._recent.count(part, now), self._ever.count(part, now) > 0
        )

    def merge_answers(
        self, peer: str, part: Part, answers: Answers, now: float
    ) -> None:
        """Adds the answers that a peer has seen on a part with crashes."""
        if part in self._crashes.parts():
            self._peer_answers.setdefault(part, {})[peer] = (answers, now)

    def _fleet_answers(self, part: Part, now: float) -> Answers:
        own = self.answers(part, now)
        reports = [
            answers
            for answers, at in self._peer_answers.get(part, {}).values()
            if now - at <= EVIDENCE_WINDOW_S
        ]
        return Answers(
            own.recent + sum(item.recent for item in reports),
            own.ever or any(item.ever for item in reports),
        )

    def _open_crashes(self, part: Part, now: float) -> frozenset[Crash]:
        """Returns the crashes on a part that no entry of others explains."""
        model, name = part
        crashes = self._crashes.of(part, now)
        for entry in self._entries.values():
            is_own = entry.model == model and name in entry.parts
            if not is_own and not entry.contested:
                crashes -= entry.crashes
        return crashes

    def judge(self, prompt: Prompt, now: float, wall_s: float) -> Entry | None:
        """Returns a new entry if parts of a prompt probably crash replicas.

        Called after a crash under the prompt has been recorded. Of the suspect
        parts the entry names those with the fewest answers, and of these the
        ones with the most crashes.
        """
        if self.blocking(prompt):
            return None
        ranked: dict[tuple[int, int], list[str]] = {}
        crashes: dict[str, frozenset[Crash]] = {}
        min_unanswered = MIN_CRASHES_UNANSWERED
        if self._entry_count(prompt.customer) >= MAX_ENTRIES_PER_CUSTOMER:
            min_unanswered = 1
        for name in prompt.parts:
            part = (prompt.model, name)
            crashes[name] = self._open_crashes(part, now)
            answers = self._fleet_answers(part, now)
            if is_suspect(len(crashes[name]), answers, min_unanswered):
                rank = (answers.recent, -len(crashes[name]))
                ranked.setdefault(rank, []).append(name)
        if not ranked:
            return None
        accused = ranked[min(ranked)]
        explained = frozenset().union(*(crashes[name] for name in accused))
        contested = self._has_other_cause(prompt, explained, now)
        entry = Entry(
            prompt.model,
            frozenset(accused),
            prompt.customer,
            int(wall_s * MS_PER_S),
            explained,
            contested,
            0,
            wall_s,
        )
        previous = self._cleared.get(entry.key)
        trials = 0 if previous is None else previous.trials
        pause_s = _trial_pause_s(trials)
        if contested and not trials:
            pause_s = _contested_pause_s(entry.key)
        return dataclasses.replace(
            entry, trials=trials, next_trial_at=wall_s + pause_s
        )

    def _entry_count(self, customer: str) -> int:
        if not customer:
            return 0
        return sum(
            entry.customer == customer for entry in self._entries.values()
        )

    def _has_other_cause(
        self, prompt: Prompt, crashes: frozenset[Crash], now: float
    ) -> bool:
        """Whether parts that are not in the prompt explain all crashes."""
        unexplained = crashes
        for part in self._crashes.parts():
            if part[0] == prompt.model and part[1] in prompt.parts:
                continue
            others = unexplained & self._crashes.of(part, now)
            if others and not self._fleet_answers(part, now).ever:
                unexplained -= others
        return not unexplained

    def _rivals(self, entry: Entry) -> list[Entry]:
        """Returns entries of other parts that explain crashes of an entry."""
        return [
            other
            for other in self._entries.values()
            if other.model == entry.model
            and other.crashes & entry.crashes
            and not other.parts & entry.parts
        ]

    def is_contested(self, entry: Entry) -> bool:
        """Whether another entry explains crashes of a contested one."""
        return entry.contested and any(
            other.contested for other in self._rivals(entry)
        )

    def trial_at(self, entry: Entry) -> float:
        """Returns when the next trial of an entry may begin, in Unix seconds.

        The first one comes early if another entry explains the same crashes,
        also if its evidence arrived after the entry was made.
        """
        if entry.trials or not self._rivals(entry):
            return entry.next_trial_at
        since_s = entry.since_ms / MS_PER_S
        return min(entry.next_trial_at, since_s + _contested_pause_s(entry.key))

    def apply(self, entry: Entry) -> bool:
        """Puts an entry in force; False if nothing changes."""
        key = entry.key
        cleared = self._cleared.get(key)
        if cleared is not None and entry.since_ms <= cleared.since_ms:
            return False
        known = self._entries.get(key)
        if known is not None:
            entry = _merged(known, entry)
            if entry == known:
                return False
        self._entries[key] = entry
        for name in entry.parts:
            self._keys_by_part.setdefault((entry.model, name), set()).add(key)
        if len(self._entries) > MAX_ENTRIES:
            oldest = min(self._entries.values(), key=lambda item: item.since_ms)
            self.clear(oldest.key, oldest.since_ms)
        return True

    def idle(self, wall_s: float) -> list[Entry]:
        """Returns the entries that nobody has asked for in a long time."""
        return [
            entry
            for entry in self._entries.values()
            if wall_s - entry.next_trial_at > IDLE_EXPIRY_S
        ]

    def add_crash(self, entry: Entry, crash: Crash) -> Entry:
        """Returns an entry that explains one more crash.

        It stays contested while another entry may be the cause instead.
        """
        known = sorted(
            entry.crashes - {crash}, key=lambda item: item.incarnation
        )
        kept = known[-(MAX_CRASHES_PER_ENTRY - 1) :]
        return dataclasses.replace(
            entry,
            crashes=frozenset([*kept, crash]),
            contested=self.is_contested(entry),
        )

    def clear(self, key: str, since_ms: int) -> bool:
        """Ends an entry that was made by a time; False if there is none.

        Until it is made anew, its crashes count again as evidence.
        """
        entry = self._entries.get(key)
        if entry is not None and entry.since_ms > since_ms:
            return False
        if entry is not None:
            self._remove(entry)
            self._cleared[key] = entry
            if len(self._cleared) > MAX_CLEARED:
                self._cleared.popitem(last=False)
        return entry is not None

    def _remove(self, entry: Entry) -> None:
        key = entry.key
        del self._entries[key]
        for name in entry.parts:
            keys = self._keys_by_part[(entry.model, name)]
            keys.discard(key)
            if not keys:
                del self._keys_by_part[(entry.model, name)]


def is_suspect(
    crashes: int,
    answers: Answers,
    min_unanswered: int = MIN_CRASHES_UNANSWERED,
) -> bool:
    """Whether a part with some crashes and answers may be their cause."""
    if answers.recent:
        return crashes >= MIN_CRASHES_ANSWERED and crashes > answers.recent
    if answers.ever:
        return crashes >= MIN_CRASHES_NOT_LATELY
    return crashes >= min_unanswered


def _merged(known: Entry, other: Entry) -> Entry:
    """Returns an entry with what two routers know of the same parts."""
    return dataclasses.replace(
        known,
        since_ms=max(known.since_ms, other.since_ms),
        crashes=frozenset(
            sorted(
                known.crashes | other.crashes,
                key=lambda item: (item.incarnation, item.replica),
            )[-MAX_CRASHES_PER_ENTRY:]
        ),
        contested=known.contested and other.contested,
        trials=max(known.trials, other.trials),
        next_trial_at=max(known.next_trial_at, other.next_trial_at),
    )
