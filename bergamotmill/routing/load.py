"""Estimated queues of replicas, corrected for the lag of their reports."""

import collections
import math

from bergamotmill.routing import const
from bergamotmill.upstream.engine import config


class ReplicaLoad:
    """An estimate of one replica's queue.

    A load report is already old when it arrives. The estimate adds the
    tokens dispatched since then by this router or by routers that sent it a
    notice. It also adds tokens of dispatches that this router does not know
    of, at a rate derived from the replica's counter of accepted tokens. It
    subtracts the tokens that the replica has processed in the meantime.
    """

    def __init__(self):
        self._latest_report: config.LoadReport | None = None
        # Time, priority and tokens of each dispatch, oldest first.
        self._dispatched: collections.deque[tuple[float, int, float]] = (
            collections.deque()
        )
        self._untracked_tokens_per_s = 0.0
        self._mean_service_s = 5.0

    @property
    def report(self) -> config.LoadReport | None:
        """The latest report."""
        return self._latest_report

    @property
    def untracked_tokens_per_s(self) -> float:
        """Tokens per second of dispatches that this router does not know of."""
        return max(0.0, self._untracked_tokens_per_s)

    def on_report(self, report: config.LoadReport) -> None:
        """Replaces the latest report, unless the new one is older."""
        old = self._latest_report
        if old is not None and old.incarnation == report.incarnation:
            if report.as_of < old.as_of:
                return
            dispatched_tokens = self._drop_reported(report.as_of)
            if report.as_of > old.as_of:
                self._update_untracked_rate(old, report, dispatched_tokens)
        else:
            self._drop_reported(report.as_of)
            self._untracked_tokens_per_s = 0.0
        self._latest_report = report

    def _drop_reported(self, as_of: float) -> float:
        """Drops dispatches that a report includes; returns their tokens."""
        tokens = 0.0
        while self._dispatched and self._dispatched[0][0] <= as_of:
            tokens += self._dispatched.popleft()[2]
        return tokens

    def _update_untracked_rate(
        self,
        old: config.LoadReport,
        new: config.LoadReport,
        dispatched_tokens: float,
    ) -> None:
        seconds = new.as_of - old.as_of
        rate = (
            new.accepted_tokens - old.accepted_tokens - dispatched_tokens
        ) / seconds
        weight = 1.0 - math.exp(-seconds / const.UNTRACKED_RATE_WINDOW_S)
        self._untracked_tokens_per_s += weight * (
            rate - self._untracked_tokens_per_s
        )

    def add_dispatched(self, tokens: float, priority: int, now: float) -> None:
        """Records tokens dispatched by this router or named in a notice."""
        self._dispatched.append((now, priority, tokens))

    def record_service_time(self, seconds: float) -> None:
        """Records the duration of a completed request."""
        self._mean_service_s += 0.1 * (seconds - self._mean_service_s)

    def predicted_wait_s(self, priority: int, now: float) -> float:
        """Returns the predicted wait in seconds before prefill starts."""
        report = self._latest_report
        if report is None:
            return 0.0
        rate = report.prefill_tokens_per_s
        tokens = sum(
            queued
            for queued_priority, queued in report.queued_tokens.items()
            if queued_priority >= priority
        )
        # The queue is computed dispatch by dispatch and never falls below zero,
        # as an idle replica cannot process work in advance.
        queue_growth_per_s = self.untracked_tokens_per_s - rate
        at = report.as_of
        for sent_at, sent_priority, sent_tokens in self._dispatched:
            if sent_at > at:
                tokens = max(0.0, tokens + queue_growth_per_s * (sent_at - at))
                at = sent_at
            if sent_priority >= priority:
                tokens += sent_tokens
        tokens = max(0.0, tokens + queue_growth_per_s * max(0.0, now - at))
        return tokens / rate + self._slot_wait_s(report, len(self._dispatched))

    def _slot_wait_s(self, report: config.LoadReport, dispatched: int) -> float:
        excess = report.running + dispatched - report.slots
        if excess < 0:
            return 0.0
        return (excess + 1) * self._mean_service_s / max(1, report.slots)

    def wait_uncertainty_s(self, now: float) -> float:
        """Returns the possible error in seconds of the predicted wait.

        The error grows with the age of the latest report.
        """
        report = self._latest_report
        if report is None:
            return 0.1
        age = min(now - report.as_of, const.MAX_UNCERTAINTY_AGE_S)
        return age * self.untracked_tokens_per_s / report.prefill_tokens_per_s
