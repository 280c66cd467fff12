"""A part of a retry budget that all processes share over sliding windows."""

import collections


class WindowBudget:
    """Allows repeats as a share of requests in a window, plus a slack.

    The fleet's bound holds for the sum over all processes, so that each
    takes its own requests' share and an equal part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def set_ratio(self, ratio: float) -> None:
        """Takes a changed ratio."""
        self._ratio = ratio

    def set_slack(self, slack: float) -> None:
        """Takes this process's part of the slack."""
        self._slack = slack

    def record_request(self, now: float) -> None:
        """Counts a request, however often it will be sent."""
        self._requests.append(now)
        self._forget(now)

    def remaining(self, now: float) -> float:
        """Returns how many repeats are allowed now."""
        self._forget(now)
        allowed = self._ratio * len(self._requests) + self._slack
        return allowed - len(self._repeats)

    def try_take(self, now: float) -> bool:
        """Takes one repeat when the budget allows it."""
        if self.remaining(now) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest:
                times.popleft()
