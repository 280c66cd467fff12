"""One process's part of a fleet-wide retry budget in a sliding window."""

import collections


class WindowBudget:
    """Allows repeats as a ratio of requests in a window, plus a slack.

    The bound applies to the sum over all processes of the fleet. Each process
    therefore uses the ratio of its own requests and an equal part of the
    slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def set_ratio(self, ratio: float) -> None:
        """Sets the ratio of repeats to requests."""
        self._ratio = ratio

    def set_slack(self, slack: float) -> None:
        """Sets this process's part of the slack."""
        self._slack = slack

    def record_request(self, now: float) -> None:
        """Records a request once, regardless of its repeats."""
        self._requests.append(now)
        self._drop_expired(now)

    def remaining(self, now: float) -> float:
        """Returns the number of repeats currently allowed."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + self._slack
        return allowed - len(self._repeats)

    def try_take(self, now: float) -> bool:
        """Consumes one repeat if the budget allows it."""
        if self.remaining(now) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        expired_before = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= expired_before:
                times.popleft()
