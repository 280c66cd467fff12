"""Decides which requests a router that is shutting down still takes.

The process ends at a fixed time. A request that still runs then is cut, and a
caller cannot tell whether it has run; a request that is refused can be sent to
another router at once. So a request is taken if its time limit ends before the
process does. If no other router serves, refusing costs more, and what requests
of its route took lately decides instead.
"""

import dataclasses

# Time to send a response before the process ends, in seconds.
RESPONSE_MARGIN_S = 0.1
# A request may take this many times as long as the longest recent one.
LONGEST_FACTOR = 1.5
# The longest durations of the present and of the previous period count.
PERIOD_S = 60.0
# Routes whose durations are remembered at most.
MAX_ROUTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """What is known of a request when it may have to be refused.

    Attributes:
        limit_s: time until the request's time limit ends, in seconds.
        longest_s: the longest duration of recent requests of its route, in
            seconds; None if there were none.
        may_repeat: whether a caller may send it again after it was cut.
        others_serve: whether other routers take requests.
    """

    limit_s: float
    longest_s: float | None
    may_repeat: bool
    others_serve: bool


def may_complete(prospect: Prospect, exit_s: float) -> bool:
    """Whether to take a request.

    Args:
        prospect: what is known of the request.
        exit_s: time until the process ends, in seconds; infinite if it does
            not.
    """
    left_s = exit_s - RESPONSE_MARGIN_S
    if prospect.limit_s <= left_s:
        return True
    if prospect.others_serve or left_s <= 0:
        return False
    if prospect.longest_s is None:
        return prospect.may_repeat
    return prospect.longest_s * LONGEST_FACTOR <= left_s


@dataclasses.dataclass(slots=True)
class _Longest:
    """The longest durations of a route in two periods, in seconds."""

    began_at: float
    present_s: float = 0.0
    previous_s: float = 0.0


class LongestDurations:
    """Remembers how long the longest recent requests of each route took."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Longest] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Records the duration of a request that ended at `now`."""
        longest = self._by_route.get(route)
        if longest is None:
            if len(self._by_route) >= MAX_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            longest = self._by_route[route] = _Longest(now)
        if now - longest.began_at > PERIOD_S:
            longest.began_at = now
            longest.previous_s, longest.present_s = longest.present_s, 0.0
        longest.present_s = max(longest.present_s, seconds)

    def longest_s(self, route: str) -> float | None:
        """Returns the longest duration of a route; None if it is unknown."""
        longest = self._by_route.get(route)
        if longest is None:
            return None
        return max(longest.present_s, longest.previous_s)
