"""Decides which requests a router that is shutting down still takes.

The process ends at a fixed time. A request that still runs then is cut, and a
caller cannot tell whether it has run; a request that is refused can be sent to
another router at once. So a request is taken if its time limit ends before the
process does. If no other router serves, refusing costs more, and what requests
of its route took lately decides instead. A plain response that is not complete
at the end is replaced by an error, but a stream that has begun can only be cut.
So a stream needs an upper bound on its own duration, from the most tokens that
it may generate.
"""

import dataclasses

# Time to send a response before the process ends, in seconds.
RESPONSE_MARGIN_S = 0.1
# A request may take this many times as long as the longest recent one.
LONGEST_FACTOR = 1.5
# A stream may take this many times as long for a token as the slowest recent
# one of its model.
SLOWEST_PACE_FACTOR = 1.05
# Streams with fewer events than this do not show the pace of a model.
MIN_PACE_EVENTS = 16
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
        is_stream: whether its response is forwarded while it is received.
        stream_s: upper bound on the duration of a stream, in seconds; None if
            nothing bounds it but its time limit.
    """

    limit_s: float
    longest_s: float | None
    may_repeat: bool
    others_serve: bool
    is_stream: bool = False
    stream_s: float | None = None


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
    if prospect.is_stream:
        return prospect.stream_s is not None and prospect.stream_s <= left_s
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
    """Remembers the longest recent duration of each kind, such as a route."""

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


class StreamDurations:
    """Bounds the duration of streams by how fast recent ones were.

    A stream takes a time until its first event, which depends on its route, and
    then at most as many events as it may generate tokens.
    """

    def __init__(self) -> None:
        self._starts = LongestDurations()
        self._paces = LongestDurations()

    def record(
        self,
        route: str,
        model: str,
        start_s: float,
        rest_s: float,
        events: int,
        now: float,
    ) -> None:
        """Records a stream that its caller read without pauses.

        Args:
            route: name of its route.
            model: name of its model.
            start_s: time until its first event, in seconds.
            rest_s: time from its first to its last event, in seconds.
            events: number of its events.
            now: the monotonic clock.
        """
        if events < MIN_PACE_EVENTS:
            start_s += rest_s
        else:
            self._paces.record(model, rest_s / (events - 1), now)
        self._starts.record(route, start_s, now)

    def bound_s(self, route: str, model: str, tokens: int) -> float | None:
        """Returns an upper bound on the duration of a stream, in seconds.

        Args:
            route: name of its route.
            model: name of its model.
            tokens: the most tokens that it may still generate; 0 if unknown.

        Returns:
            The bound; None if recent streams or its size do not show one.
        """
        start_s = self._starts.longest_s(route)
        if start_s is None or tokens <= 0:
            return None
        bound_s = LONGEST_FACTOR * start_s
        if tokens < MIN_PACE_EVENTS:
            return bound_s
        pace_s = self._paces.longest_s(model)
        if pace_s is None:
            return None
        return bound_s + SLOWEST_PACE_FACTOR * pace_s * tokens
