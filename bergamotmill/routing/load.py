"""What waits at each replica, corrected for the lag of its reports."""

import collections
import math

from bergamotmill.routing import const
from bergamotmill.upstream.engine import config


class ReplicaLoad:
    """An estimate of one replica's queue.

    A report is old when it arrives. Added to it are the tokens that were
    sent since, as far as this router sent them or was told of them, and the
    share of other routers, whose rate follows from the replica's counter of
    accepted tokens; taken off is what the replica has worked through.
    """

    def __init__(self):
        self._report: config.LoadReport | None = None
        self._sent: collections.deque[tuple[float, int, float]] = (
            collections.deque()
        )
        self._untracked_tokens_per_s = 0.0
        self._service_s = 5.0

    @property
    def report(self) -> config.LoadReport | None:
        """The latest report."""
        return self._report

    @property
    def untracked_tokens_per_s(self) -> float:
        """Tokens a second that come without this router's knowledge."""
        return max(0.0, self._untracked_tokens_per_s)

    def on_report(self, report: config.LoadReport) -> None:
        """Takes a newer report."""
        old = self._report
        if old is not None and old.incarnation == report.incarnation:
            if report.as_of < old.as_of:
                return
            known = self._take_until(report.as_of)
            if report.as_of > old.as_of:
                self._learn_others(old, report, known)
        else:
            self._take_until(report.as_of)
            self._untracked_tokens_per_s = 0.0
        self._report = report

    def _take_until(self, as_of: float) -> float:
        """Drops what the report already shows; returns its tokens."""
        tokens = 0.0
        while self._sent and self._sent[0][0] <= as_of:
            tokens += self._sent.popleft()[2]
        return tokens

    def _learn_others(
        self, old: config.LoadReport, new: config.LoadReport, known: float
    ) -> None:
        seconds = new.as_of - old.as_of
        rate = (new.accepted_tokens - old.accepted_tokens - known) / seconds
        weight = 1.0 - math.exp(-seconds / const.OTHERS_WINDOW_S)
        self._untracked_tokens_per_s += weight * (
            rate - self._untracked_tokens_per_s
        )

    def add_dispatched(self, tokens: float, priority: int, now: float) -> None:
        """Notes tokens that this router, or one that told it, has sent."""
        self._sent.append((now, priority, tokens))

    def record_service_time(self, seconds: float) -> None:
        """Notes how long a whole answer took."""
        self._service_s += 0.1 * (seconds - self._service_s)

    def predicted_wait_s(self, priority: int, now: float) -> float:
        """Returns the predicted wait in seconds before prefill starts."""
        report = self._report
        if report is None:
            return 0.0
        rate = report.prefill_tokens_per_s
        tokens = sum(
            queued
            for level, queued in report.queued_tokens.items()
            if level >= priority
        )
        # Work is taken off as time passes, but never in advance: an idle
        # replica saves nothing up.
        net = self.untracked_tokens_per_s - rate
        at = report.as_of
        for sent_at, level, sent in self._sent:
            if sent_at > at:
                tokens = max(0.0, tokens + net * (sent_at - at))
                at = sent_at
            if level >= priority:
                tokens += sent
        tokens = max(0.0, tokens + net * max(0.0, now - at))
        return tokens / rate + self._slot_wait(report, len(self._sent))

    def _slot_wait(self, report: config.LoadReport, sent: int) -> float:
        over = report.running + sent - report.slots
        if over < 0:
            return 0.0
        return (over + 1) * self._service_s / max(1, report.slots)

    def wait_uncertainty_s(self, now: float) -> float:
        """Returns seconds of wait that the report's age leaves open."""
        report = self._report
        if report is None:
            return 0.1
        age = min(now - report.as_of, const.REPORT_STALE_S)
        return age * self.untracked_tokens_per_s / report.prefill_tokens_per_s
