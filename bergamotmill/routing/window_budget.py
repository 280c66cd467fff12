"""One process's share of a fleet-wide retry budget in a sliding window."""

import collections


class WindowBudget:
    """Allows retries as a ratio of requests in a window, plus a slack.

    The bound applies to the sum over all processes of the fleet. Each process
    therefore applies the ratio to its own requests and uses an equal share of
    the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_ratio(self, ratio: float) -> None:
        """Sets the ratio of retries to requests."""
        self._ratio = ratio

    def set_slack(self, slack: float) -> None:
        """Sets this process's share of the slack."""
        self._slack = slack

    def record_request(self, now: float) -> None:
        """Records a request; to be called once, not for its retries."""
        self._requests.append(now)
        self._drop_expired(now)

    def remaining(self, now: float) -> float:
        """Returns the number of retries currently allowed."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + self._slack
        return allowed - len(self._retries)

    def try_take(self, now: float) -> bool:
        """Consumes one retry if the budget allows it."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        expired_before = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= expired_before:
                times.popleft()
