"""Request rates of prefixes, and the number of owners they need."""

import math

from bergamotmill.routing import const


class PrefixPopularity:
    """Exponentially decaying request rates in bounded memory."""

    def __init__(self, max_entries: int = const.MAX_TRACKED_PREFIXES):
        self._max_entries = max_entries
        self._rates: dict[int, tuple[float, float, int]] = {}

    def record_request(self, digest: int, now: float) -> None:
        """Records one request for a prefix."""
        rate, updated_at, count = self._rates.pop(digest, (0.0, now, 0))
        rate *= math.exp((updated_at - now) / const.POPULARITY_WINDOW_S)
        rate += 1.0 / const.POPULARITY_WINDOW_S
        self._rates[digest] = (rate, now, count + 1)
        if len(self._rates) > self._max_entries:
            del self._rates[next(iter(self._rates))]

    def rate(self, digest: int, now: float) -> float:
        """Returns the requests per second for a prefix."""
        entry = self._rates.get(digest)
        if entry is None:
            return 0.0
        rate, updated_at, _ = entry
        return rate * math.exp((updated_at - now) / const.POPULARITY_WINDOW_S)

    def request_count(self, digest: int) -> int:
        """Returns the requests for a prefix since it was first tracked."""
        entry = self._rates.get(digest)
        return 0 if entry is None else entry[2]


def owner_count(
    requests_per_s: float, tokens_per_request: float, prefill_rate: float
) -> int:
    """Returns the number of ring owners that a prefix is spread over."""
    load = requests_per_s * tokens_per_request
    owners = math.ceil(load / (const.OWNER_PREFILL_FRACTION * prefill_rate))
    return max(1, min(const.MAX_OWNERS, owners))
