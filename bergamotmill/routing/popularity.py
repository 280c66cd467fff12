"""How often each prefix is asked for, and how wide it should be spread."""

import math

from bergamotmill.routing import const


class PrefixPopularity:
    """Rates of prefixes with exponential decay, in bounded memory."""

    def __init__(self, max_entries: int = const.MAX_POPULAR):
        self._max_entries = max_entries
        self._rates: dict[int, tuple[float, float, int]] = {}

    def record_request(self, digest: int, now: float) -> None:
        """Counts one request for a prefix."""
        rate, at, count = self._rates.pop(digest, (0.0, now, 0))
        rate *= math.exp((at - now) / const.POPULARITY_WINDOW_S)
        rate += 1.0 / const.POPULARITY_WINDOW_S
        self._rates[digest] = (rate, now, count + 1)
        if len(self._rates) > self._max_entries:
            del self._rates[next(iter(self._rates))]

    def rate(self, digest: int, now: float) -> float:
        """Returns requests a second for a prefix."""
        found = self._rates.get(digest)
        if found is None:
            return 0.0
        rate, at, _ = found
        return rate * math.exp((at - now) / const.POPULARITY_WINDOW_S)

    def request_count(self, digest: int) -> int:
        """Returns how often a prefix was asked for while remembered."""
        found = self._rates.get(digest)
        return 0 if found is None else found[2]


def owner_count(
    requests_per_s: float, tokens_per_request: float, prefill_rate: float
) -> int:
    """Returns over how many homes a prefix is to be spread."""
    load = requests_per_s * tokens_per_request
    wanted = math.ceil(load / (const.HOME_FILL * prefill_rate))
    return max(1, min(const.MAX_WIDTH, wanted))
