"""Remembers attempts that were given up before their upstream answered.

A request may crash its upstream after the router has given the attempt up: it
was silent for too long, its deadline passed, or its caller left. When the
upstream is found to have ended soon after, these attempts are evidence, too.
"""

import collections
from collections.abc import Callable
import dataclasses

from bergamotmill.routing import prompt_quarantine

# Time after which the end of an upstream says nothing of an attempt. An entry
# in the store lapses within four seconds after the end.
MEMORY_S = 6.0
# Attempts that are remembered at most, of one upstream and of all.
MAX_PER_UPSTREAM = 64
MAX_UPSTREAMS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """An attempt that was given up at a monotonic time."""

    prompt: prompt_quarantine.Prompt
    at: float


class AbandonedAttempts:
    """The attempts that were given up lately, by upstream."""

    def __init__(self, now: Callable[[], float]):
        """Makes an empty record.

        Args:
            now: the monotonic clock.
        """
        self._now = now
        self._attempts: collections.OrderedDict[
            prompt_quarantine.Crash, collections.deque[_Attempt]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return sum(map(len, self._attempts.values()))

    def add(
        self,
        incarnation: prompt_quarantine.Crash,
        prompt: prompt_quarantine.Prompt,
    ) -> None:
        """Records an attempt that was given up.

        Args:
            incarnation: the upstream that it was sent to.
            prompt: the request; only its fingerprints count, as parts of
                prompts wait long at a busy engine.
        """
        attempts = self._attempts.setdefault(
            incarnation, collections.deque(maxlen=MAX_PER_UPSTREAM)
        )
        attempts.append(_Attempt(prompt.whole_only(), self._now()))
        self._attempts.move_to_end(incarnation)
        if len(self._attempts) > MAX_UPSTREAMS:
            self._attempts.popitem(last=False)

    def has(self, incarnation: prompt_quarantine.Crash) -> bool:
        """Whether attempts at an upstream were given up lately."""
        attempts = self._attempts.get(incarnation)
        return bool(attempts) and self._is_recent(attempts[-1])

    def take(
        self, incarnation: prompt_quarantine.Crash
    ) -> list[prompt_quarantine.Prompt]:
        """Forgets the attempts at an upstream, and returns the recent ones."""
        attempts = self._attempts.pop(incarnation, ())
        recent = {item.prompt for item in attempts if self._is_recent(item)}
        return sorted(recent, key=lambda item: sorted(item.fingerprints))

    def _is_recent(self, attempt: _Attempt) -> bool:
        return self._now() - attempt.at <= MEMORY_S
