"""Finds the requests, and parts of prompts, that crash replicas.

A replica that ends while an attempt on it has no event yet is evidence against
each part of that attempt's prompt, and against the request as a whole, known by
its fingerprint; after the first event it is evidence against the request only.
An answer speaks for each of its parts and for the request. The parts with the
least in their favour are quarantined, else the request: no request that
contains them all is sent any more, except for rare trials. Nothing here
performs I/O; `control.quarantine` shares evidence and entries between routers.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import itertools

import xxhash

from bergamotmill.routing import request_fingerprint

# Time after which a crash is no longer evidence, and an answer no longer speaks
# for a part.
EVIDENCE_WINDOW_S = 30.0
# Time for which a part is remembered as answered at some time.
MEMORY_WINDOW_S = 600.0
# Crashes that make a part or a request suspect: one that was never answered,
# one that was not answered within the evidence window, and one that was. The
# last also needs more crashes than answers.
MIN_CRASHES_UNANSWERED = 2
MIN_CRASHES_NOT_LATELY = 3
MIN_CRASHES_ANSWERED = 4
# The same for a request that was never answered if it had been given up before
# some of the crashes: they may have another cause.
MIN_CRASHES_ABANDONED = 3
# A customer with this many entries crashes replicas with ever new parts or
# requests; one crash is enough for those of them that were never answered.
# Contested entries do not count against requests.
MAX_ENTRIES_PER_CUSTOMER = 4
# Pause before the first trial, the second and so on; the last one repeats.
TRIAL_PAUSES_S = (30.0, 120.0, 600.0, 3600.0)
# The same for an entry whose crashes another entry explains as well: the first
# pause is drawn from the range, so that the trials of the two do not meet, and
# each trial that fails doubles the next one.
CONTESTED_TRIAL_PAUSES_S = (0.5, 4.0)
# Crashes of replicas that end together, such as those of a data centre, are
# this close to each other. They count as one against what was answered before.
SAME_MOMENT_S = 0.01
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

# Model and name of a part, or fingerprint of a request; without a model for
# requests to plain services.
Part = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What of a request may crash replicas.

    Attributes:
        model: the request's model; empty at plain services.
        parts: names of the parts of its prompt that other requests may have,
            too; their order does not matter.
        customer: name of the request's customer.
        fingerprints: names that only the same request has, sent again.
    """

    model: str
    parts: frozenset[str]
    customer: str = ""
    fingerprints: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """Names of the parts, and the fingerprints."""
        return self.parts | self.fingerprints

    def parts_only(self) -> "Prompt":
        """Returns the prompt without the request as a whole."""
        return dataclasses.replace(self, fingerprints=frozenset())

    def whole_only(self) -> "Prompt":
        """Returns the request as a whole, without its prompt's parts."""
        return dataclasses.replace(self, parts=frozenset())


def make_prompt(
    model: str,
    parts: Iterable[str],
    customer: str = "",
    fingerprints: Iterable[str] = (),
) -> Prompt:
    """Returns the prompt with the given parts.

    Args:
        model: the request's model.
        parts: names of the parts that other requests may have, too.
        customer: name of the request's customer.
        fingerprints: names of the request as a whole.
    """
    names = frozenset(_shortened(name) for name in parts)
    return Prompt(_shortened(model), names, customer, frozenset(fingerprints))


def prompt_with_names(model: str, names: Iterable[str]) -> Prompt:
    """Returns a prompt from names of parts and fingerprints together."""
    known = frozenset(names)
    whole = frozenset(filter(request_fingerprint.is_fingerprint, known))
    return Prompt(model, known - whole, "", whole)


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
        recent: number within the evidence window; for a request, since its
            first crash.
        ever: whether there was one within the memory window.
    """

    recent: int = 0
    ever: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Parts of prompts, or a request, that are quarantined together.

    Attributes:
        parts: names of the parts, or fingerprints; a request with all of them
            is held back.
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

    @property
    def is_whole_request(self) -> bool:
        """Whether it holds back one request, not the parts of a prompt."""
        return all(map(request_fingerprint.is_fingerprint, self.parts))

    def blocks(self, prompt: Prompt) -> bool:
        """Whether a prompt contains all parts of the entry."""
        return self.model == prompt.model and self.parts <= prompt.names

    def after_trial(self, wall_s: float, contested: bool) -> "Entry":
        """Returns the entry as it is while a trial runs.

        Args:
            wall_s: present time in Unix seconds.
            contested: whether another entry still explains its crashes.
        """
        pause_s = _trial_pause_s(self.trials + 1)
        if contested:
            pause_s = min(pause_s, _contested_repeat_s(self.trials))
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


def _contested_repeat_s(trials: int) -> float:
    """Returns the pause of a contested entry after so many failed trials."""
    return CONTESTED_TRIAL_PAUSES_S[1] * 2**trials


def _uncontested_delay_s(entry: Entry) -> float:
    """Returns by how much the pause grows once an entry is not contested."""
    short_s = _contested_pause_s(entry.key)
    if entry.trials:
        short_s = _contested_repeat_s(entry.trials - 1)
    return max(0.0, _trial_pause_s(entry.trials) - short_s)


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
        # Answers since the first of the crashes.
        self._answers_since: dict[Part, int] = {}
        # Crashes before which all attempts with the part had been given up.
        self._abandoned: dict[Part, set[Crash]] = {}

    def record(
        self, part: Part, crash: Crash, now: float, abandoned: bool
    ) -> None:
        """Records that a replica ended under an attempt with a part."""
        times = self._times.setdefault(part, {})
        if not abandoned:
            self._abandoned.get(part, set()).discard(crash)
        elif crash not in times:
            self._abandoned.setdefault(part, set()).add(crash)
        times.setdefault(crash, now)
        self._times.move_to_end(part)
        if len(self._times) > MAX_PARTS_WITH_CRASHES:
            dropped, _ = self._times.popitem(last=False)
            self._forget(dropped)

    def _forget(self, part: Part) -> None:
        self._answers_since.pop(part, None)
        self._abandoned.pop(part, None)

    def has_abandoned(self, part: Part, crashes: Iterable[Crash]) -> bool:
        """Whether attempts had been given up before some of the crashes."""
        return not self._abandoned.get(part, set()).isdisjoint(crashes)

    def record_answer(self, part: Part) -> None:
        """Counts an answer on a part that has crashes."""
        if part in self._times:
            since = self._answers_since
            since[part] = since.get(part, 0) + 1

    def answers_since(self, part: Part) -> int | None:
        """Returns the answers since the first crash; None without one."""
        if part not in self._times:
            return None
        return self._answers_since.get(part, 0)

    def of(self, part: Part, now: float) -> frozenset[Crash]:
        """Returns the crashes within the evidence window."""
        times = self._times.get(part, {})
        return frozenset(
            crash
            for crash, at in times.items()
            if now - at <= EVIDENCE_WINDOW_S
        )

    def count_moments(self, part: Part, crashes: Iterable[Crash]) -> int:
        """Counts crashes on a part, those at one moment as one."""
        times = self._times[part]
        at = sorted(times[crash] for crash in crashes)
        apart = (
            later - earlier > SAME_MOMENT_S
            for earlier, later in itertools.pairwise(at)
        )
        return sum(apart) + bool(at)

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
            self._forget(part)


class PromptQuarantine:
    """The evidence for and against parts of prompts, and the entries."""

    def __init__(self):
        self._recent = _AnsweredParts(EVIDENCE_WINDOW_S)
        self._ever = _AnsweredParts(MEMORY_WINDOW_S)
        # Most requests never come again, so that they would fill the tables of
        # the parts.
        self._recent_requests = _AnsweredParts(EVIDENCE_WINDOW_S)
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
            for name in prompt.names
            for key in self._keys_by_part.get((prompt.model, name), ())
        }
        return [self._entries[key] for key in sorted(keys)]

    def record_answer(self, prompt: Prompt, now: float) -> list[Clearance]:
        """Records an answer, and returns the entries that it disproves."""
        for name in prompt.parts:
            self._recent.record((prompt.model, name), now)
            self._ever.record((prompt.model, name), now)
        for name in prompt.fingerprints:
            self._recent_requests.record((prompt.model, name), now)
            self._crashes.record_answer((prompt.model, name))
        clearances = []
        for entry in self._entries_with(prompt):
            remaining = entry.parts - prompt.names
            successor = None
            if remaining:
                successor = dataclasses.replace(entry, parts=remaining)
            clearances.append(Clearance(entry, successor))
        return clearances

    def record_crash(
        self,
        prompt: Prompt,
        crash: Crash,
        now: float,
        abandoned: bool = False,
    ) -> None:
        """Records that a replica ended under an attempt.

        Args:
            prompt: what of the request may have crashed it.
            crash: the replica.
            now: the monotonic clock.
            abandoned: whether the attempt had been given up before.
        """
        self._crashes.expire(now)
        for name in prompt.names:
            self._crashes.record((prompt.model, name), crash, now, abandoned)
        if len(self._peer_answers) > MAX_PARTS_WITH_CRASHES:
            with_crashes = set(self._crashes.parts())
            for part in self._peer_answers.keys() - with_crashes:
                del self._peer_answers[part]

    def answers(self, part: Part, now: float) -> Answers:
        """Returns the answers that this router has seen on a part."""
        if request_fingerprint.is_fingerprint(part[1]):
            recent = self._recent_requests.count(part, now)
            since = self._crashes.answers_since(part)
            # One that was answered until it began to crash replicas may have
            # become harmful with a change at the replicas.
            return Answers(recent if since is None else since, recent > 0)
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
        """Returns the crashes on a part that no entry of others explains.

        A request that is held back explains nothing against parts: each request
        with the part at fault would.
        """
        model, name = part
        crashes = self._crashes.of(part, now)
        is_whole = request_fingerprint.is_fingerprint(name)
        for entry in self._entries.values():
            if entry.contested or crashes.isdisjoint(entry.crashes):
                continue
            is_own = entry.model == model and name in entry.parts
            if not is_own and (is_whole or not entry.is_whole_request):
                crashes -= entry.crashes
        return crashes

    def judge(self, prompt: Prompt, now: float, wall_s: float) -> Entry | None:
        """Returns a new entry if parts of a prompt probably crash replicas.

        Called after a crash under the prompt has been recorded. Of the suspect
        parts the entry names those with the fewest answers, and of these the
        ones with the most crashes. It names the request if no part is suspect.
        """
        if self.blocking(prompt):
            return None
        accused = self._accused(prompt, prompt.parts, now)
        if not accused:
            accused = self._accused(prompt, prompt.fingerprints, now)
        if not accused:
            return None
        explained = frozenset().union(*accused.values())
        entry = Entry(
            prompt.model,
            frozenset(accused),
            prompt.customer,
            int(wall_s * MS_PER_S),
            explained,
            False,
            0,
            wall_s,
        )
        contested = self._has_other_cause(prompt, entry, now)
        previous = self._cleared.get(entry.key)
        trials = 0 if previous is None else previous.trials
        pause_s = _trial_pause_s(trials)
        if contested and not trials:
            pause_s = _contested_pause_s(entry.key)
        return dataclasses.replace(
            entry,
            contested=contested,
            trials=trials,
            next_trial_at=wall_s + pause_s,
        )

    def _accused(
        self, prompt: Prompt, names: Iterable[str], now: float
    ) -> dict[str, frozenset[Crash]]:
        """Returns the most suspect of some names, with their crashes."""
        ranked: dict[tuple[int, int], dict[str, frozenset[Crash]]] = {}
        for name in names:
            part = (prompt.model, name)
            crashes = self._open_crashes(part, now)
            if not crashes:
                continue
            min_unanswered = MIN_CRASHES_UNANSWERED
            is_whole = request_fingerprint.is_fingerprint(name)
            entry_count = self._entry_count(prompt.customer, is_whole)
            if entry_count >= MAX_ENTRIES_PER_CUSTOMER:
                min_unanswered = 1
            if self._crashes.has_abandoned(part, crashes):
                min_unanswered = MIN_CRASHES_ABANDONED
            answers = self._fleet_answers(part, now)
            count = len(crashes)
            if answers.ever:
                count = self._crashes.count_moments(part, crashes)
            if is_suspect(count, answers, min_unanswered):
                rank = (answers.recent, -len(crashes))
                ranked.setdefault(rank, {})[name] = crashes
        return ranked[min(ranked)] if ranked else {}

    def _entry_count(self, customer: str, uncontested: bool) -> int:
        """Returns the number of entries of a customer that count."""
        if not customer:
            return 0
        return sum(
            entry.customer == customer and not (uncontested and entry.contested)
            for entry in self._entries.values()
        )

    def _has_other_cause(
        self, prompt: Prompt, entry: Entry, now: float
    ) -> bool:
        """Whether what is not in the prompt explains all crashes of an entry.

        Parts do so together; a request does so alone, and only against another
        request.
        """
        unexplained = entry.crashes
        for part in self._crashes.parts():
            if part[0] == prompt.model and part[1] in prompt.names:
                continue
            is_whole = request_fingerprint.is_fingerprint(part[1])
            if is_whole and not entry.is_whole_request:
                continue
            crashes = self._crashes.of(part, now)
            if is_whole and not entry.crashes <= crashes:
                continue
            others = unexplained & crashes
            if others and not self._fleet_answers(part, now).ever:
                unexplained -= others
        return not unexplained

    def _rivals(self, entry: Entry) -> list[Entry]:
        """Returns entries of other parts that explain crashes of an entry."""
        return [
            other
            for other in self._entries.values()
            if other.model == entry.model
            and not other.parts & entry.parts
            and _explains(other, entry)
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

    def explained_by(self, entry: Entry) -> list[Entry]:
        """Returns the requests held back whose crashes an entry explains."""
        if entry.contested:
            return []
        return [
            other
            for other in self._entries.values()
            if other.is_whole_request
            and other.contested
            and not other.parts & entry.parts
            and other.crashes <= entry.crashes
        ]

    def add_crash(self, entry: Entry, crash: Crash) -> Entry:
        """Returns an entry that explains one more crash.

        It stays contested while another entry may be the cause instead.
        """
        known = sorted(
            entry.crashes - {crash}, key=lambda item: item.incarnation
        )
        kept = known[-(MAX_CRASHES_PER_ENTRY - 1) :]
        changed = dataclasses.replace(entry, crashes=frozenset([*kept, crash]))
        contested = self.is_contested(changed)
        next_trial_at = entry.next_trial_at
        if entry.is_whole_request and entry.contested and not contested:
            next_trial_at += _uncontested_delay_s(entry)
        return dataclasses.replace(
            changed, contested=contested, next_trial_at=next_trial_at
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


def _explains(other: Entry, entry: Entry) -> bool:
    """Whether another entry explains crashes of an entry as well.

    A request explains only those of another request, and only all of them.
    """
    if not other.is_whole_request:
        return bool(other.crashes & entry.crashes)
    return entry.is_whole_request and other.crashes >= entry.crashes


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
