"""The work that is queued at one engine, and its KV memory; performs no I/O.

Engines compute prompts one after the other. Each prompt therefore has a time at
which it is expected to be done; its first byte, which a router reports, shows
when it was. Later prompts are expected earlier or later by the same time. A
prompt that is overdue delays all others, so that an engine that stops
responding is avoided before any request has failed.
"""

import dataclasses

from bergamotmill.engine_load import speed

# Time by which a report of a first byte may arrive later than expected: two
# messages, the batch that it waits for, and a step of the engine.
REPORT_MARGIN_S = 0.04
# A prompt whose report is missing for this time, after later ones were
# reported, is taken for done; so is one that is overdue for MAX_OVERDUE_S.
MISSING_REPORT_S = 0.5
MAX_OVERDUE_S = 1.0
# An engine that has to respond to a single request gets one that cannot be
# repeated only if it has had none for this time: it would be lost there.
LAST_TRIAL_S = 5.0
# A load that no owner has used for this time no longer counts: another router
# places the requests, and sends notices of them.
UNUSED_S = 5.0

# A request counts as running this long after its caller's deadline, if no
# router reports its end.
END_MARGIN_S = 1.0

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    """A request that has not ended.

    Attributes:
        held_tokens: KV memory that it holds, in tokens.
        expires_at: when it has ended at the latest.
    """

    held_tokens: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Prompt:
    """A prompt that was sent and has no first byte yet.

    Attributes:
        work_s: predicted time for which it occupies the engine.
        due_at: when it is expected to be done.
        is_copied: whether a part of it was to be copied from another engine.
    """

    work: speed.Work
    work_s: float
    sent_at: float
    due_at: float
    is_copied: bool


class EngineLoad:
    """What is known of the load of one incarnation of an engine."""

    def __init__(
        self,
        service_speed: speed.ServiceSpeed,
        copied_tokens_per_s: float,
        slots: int,
        memory_tokens: float,
        now: float,
    ):
        """Makes the load of an engine without known work.

        Args:
            service_speed: what was learned of the engines of its service.
            copied_tokens_per_s: rate at which KV cache is copied to it.
            slots: number of requests that it runs at once.
            memory_tokens: KV memory that requests may hold; 0 if unknown.
            now: present time.
        """
        self.copied_tokens_per_s = copied_tokens_per_s
        self._slots = slots
        self._memory_tokens = memory_tokens
        self._service_speed = service_speed
        self._factor = speed.EngineFactor(now)
        # Set after a failure, until a response has begun: the engine gets one
        # request at a time meanwhile.
        self._is_on_trial = False
        self._sent_at = now
        self._prompts: dict[Key, _Prompt] = {}
        self._running: dict[Key, _Running] = {}
        self._held_tokens = 0
        self._used_at = now
        self._free_at = now
        # When the latest known prompt was done, and its first byte came.
        self._done_at = now
        self._first_byte_at = now

    @property
    def latency_s(self) -> float:
        """Time to a first byte that does not occupy the engine."""
        return self._service_speed.latency_s

    @property
    def running_count(self) -> int:
        """Number of requests that were sent and have not ended."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Number of prompts that have no first byte yet."""
        return len(self._prompts)

    @property
    def held_tokens(self) -> int:
        """KV memory of the requests that have not ended, in tokens."""
        return self._held_tokens

    @property
    def used_at(self) -> float:
        """When a placement owner last used the load."""
        return self._used_at

    def touch(self, now: float) -> None:
        """Records that a placement owner uses the load."""
        self._used_at = now

    def is_used(self, now: float) -> bool:
        """Whether a placement owner has used the load lately."""
        return now - self._used_at <= UNUSED_S

    def has_room(
        self, held_tokens: int, now: float, repeatable: bool = True
    ) -> bool:
        """Whether there is a slot, and memory for a further request.

        A request that exceeds all memory has room where nothing else runs.

        Args:
            held_tokens: KV memory that the request holds, in tokens.
            now: present time.
            repeatable: whether it can be sent elsewhere after a failure.
        """
        if self._is_on_trial and not self._may_try(now, repeatable):
            return False
        if self._fits(held_tokens):
            return True
        self._drop_expired(now)
        return self._fits(held_tokens)

    def _may_try(self, now: float, repeatable: bool) -> bool:
        """Whether an engine that has failed gets a request."""
        if self._prompts:
            return False
        return repeatable or now - self._sent_at > LAST_TRIAL_S

    def _fits(self, held_tokens: int) -> bool:
        if not self._running:
            return True
        if len(self._running) >= self._slots:
            return False
        total_tokens = self._held_tokens + held_tokens
        return not self._memory_tokens or total_tokens <= self._memory_tokens

    def factor(self, now: float) -> float:
        """Returns how much slower than the mean of its service it is."""
        return self._factor.value(now)

    def work_s(self, work: speed.Work, now: float) -> float:
        """Returns for how long work occupies this engine."""
        return self._factor.value(now) * self._service_speed.work_s(work)

    def add(
        self,
        key: Key,
        work: speed.Work,
        held_tokens: int,
        deadline: float,
        now: float,
        is_copied: bool = False,
    ) -> None:
        """Records a request that is sent now.

        Args:
            key: identifies the request.
            work: what the engine computes before the first byte.
            held_tokens: KV memory that it holds until its end, in tokens.
            deadline: its caller's deadline.
            now: present time.
            is_copied: whether a part is copied from another engine first.
        """
        self.end(key)
        work_s = self.work_s(work, now)
        self._free_at = max(self._free_at, now) + work_s
        self._prompts[key] = _Prompt(
            work, work_s, now, self._free_at, is_copied
        )
        self._sent_at = now
        self._running[key] = _Running(held_tokens, deadline + END_MARGIN_S)
        self._held_tokens += held_tokens

    def _drop_expired(self, now: float) -> None:
        """Forgets requests of which no end was reported."""
        for key, running in list(self._running.items()):
            if running.expires_at <= now:
                self.end(key)

    def note_failure(self) -> None:
        """Records that a request could not be sent, or had no response."""
        self._is_on_trial = True

    def note_first_byte(
        self, key: Key, first_byte_s: float, now: float
    ) -> None:
        """Records when the response to a request began.

        Args:
            key: identifies the request.
            first_byte_s: time from sending it to its first byte.
            now: present time.
        """
        prompt = self._prompts.pop(key, None)
        self._is_on_trial = False
        if prompt is None:
            return
        done_at = min(now, prompt.sent_at + first_byte_s - self.latency_s)
        done_at = max(done_at, prompt.sent_at)
        if not prompt.is_copied:
            self._learn(prompt, first_byte_s, done_at, now)
        self._done_at = max(self._done_at, done_at)
        self._first_byte_at = max(
            self._first_byte_at, prompt.sent_at + first_byte_s
        )
        self._reschedule(prompt, done_at)

    def _learn(
        self,
        prompt: _Prompt,
        first_byte_s: float,
        done_at: float,
        now: float,
    ) -> None:
        if self._was_idle(prompt.sent_at):
            self._service_speed.record(prompt.work, first_byte_s)
        began_at = max(self._done_at, prompt.sent_at)
        if done_at > began_at:
            self._factor.record(
                done_at - began_at,
                self._service_speed.work_s(prompt.work),
                now,
            )

    def _was_idle(self, at: float) -> bool:
        """Whether all earlier prompts had a first byte at a time.

        The latency is not subtracted: if it were estimated too high, waits
        would be taken for latency, and the estimate would rise further.
        """
        return self._first_byte_at <= at and all(
            prompt.sent_at >= at for prompt in self._prompts.values()
        )

    def _reschedule(self, done: _Prompt, done_at: float) -> None:
        """Moves the times of the other prompts after one was done."""
        free_at = done_at
        for key, prompt in list(self._prompts.items()):
            if prompt.due_at <= done_at and prompt.sent_at <= done.sent_at:
                # Its report is expected at any moment.
                if prompt.due_at + MISSING_REPORT_S < done_at:
                    del self._prompts[key]
                continue
            free_at = max(free_at, prompt.sent_at) + prompt.work_s
            prompt.due_at = free_at
        self._free_at = free_at

    def end(self, key: Key) -> None:
        """Records that a request has ended, with or without a response."""
        running = self._running.pop(key, None)
        if running is not None:
            self._held_tokens -= running.held_tokens
        if self._prompts.pop(key, None) is None:
            return
        free_at = self._done_at
        for prompt in self._prompts.values():
            free_at = max(free_at, prompt.sent_at) + prompt.work_s
            prompt.due_at = free_at
        self._free_at = free_at

    def clear_queue(self) -> None:
        """Forgets the prompts that wait, as the engine has dropped them."""
        self._prompts.clear()
        self._free_at = min(self._free_at, self._done_at)

    def wait_s(self, now: float) -> float:
        """Returns the predicted time until a further prompt is begun.

        An engine that is behind is expected to be as late once more.
        """
        overdue_s = self._overdue_s(now)
        if overdue_s <= 0.0:
            return max(0.0, self._free_at - now)
        return self._free_at - self._first().due_at + overdue_s

    def _first(self) -> _Prompt:
        """Returns the prompt that was sent first."""
        return next(iter(self._prompts.values()))

    def _overdue_s(self, now: float) -> float:
        """Returns by how much the engine is behind what was expected.

        Prompts that are overdue for too long are forgotten, as their reports
        may be lost; the engine has to respond to a single request then.
        """
        while self._prompts:
            due_at = self._first().due_at
            overdue_s = now - due_at - self.latency_s - REPORT_MARGIN_S
            if overdue_s <= MAX_OVERDUE_S:
                return max(0.0, overdue_s)
            del self._prompts[next(iter(self._prompts))]
            self._is_on_trial = True
        return 0.0
