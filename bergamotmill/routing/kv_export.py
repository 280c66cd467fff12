"""When a prefix is copied to a store of kept KV cache.

A copy pays when the prefix is asked for again, but so seldom that its
replica will have evicted it by then. Copies are bounded by a rate, and one
prefix is copied once while the copy is remembered.
"""

from bergamotmill.routing import chain as prefix_chain
from bergamotmill.routing import const
from bergamotmill.routing import popularity as prefix_popularity
from bergamotmill.util import token_bucket

REMEMBER_S = 300.0
REMEMBER_MAX = 10_000


class ExportPolicy:
    """Picks the prefixes that are worth keeping."""

    def __init__(
        self, popularity: prefix_popularity.PrefixPopularity, now: float
    ):
        self._popularity = popularity
        self._bucket = token_bucket.TokenBucket(
            const.EXPORTS_PER_S, const.EXPORT_BURST, now
        )
        self._exported: dict[int, float] = {}

    def pick(
        self, chain: prefix_chain.PrefixChain, retention_s: float, now: float
    ) -> tuple[int, ...]:
        """Returns the digests to copy, the shallowest first."""
        depth = self._worth_keeping(chain, retention_s, now)
        if depth < const.KEPT_MIN_PIECES:
            return ()
        deepest = chain.digests[depth - 1]
        if now - self._exported.get(deepest, -REMEMBER_S) < REMEMBER_S:
            return ()
        if not self._bucket.try_take(1.0, now):
            return ()
        self._exported[deepest] = now
        if len(self._exported) > REMEMBER_MAX:
            del self._exported[next(iter(self._exported))]
        return chain.digests[:depth]

    def _worth_keeping(
        self, chain: prefix_chain.PrefixChain, retention_s: float, now: float
    ) -> int:
        depth = 0
        for index, digest in enumerate(chain.digests):
            if self._popularity.request_count(digest) < 2:
                break
            rate = self._popularity.rate(digest, now)
            if rate * retention_s < 1.0:
                depth = index + 1
        return depth
