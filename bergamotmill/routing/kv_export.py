"""Selects the prefixes that are exported to the KV offload store.

An export is useful when the prefix is requested again, but so rarely that the
replica will have evicted it by then. Exports are rate-limited, and a prefix
is not exported again within REEXPORT_AFTER_S, unless more than
MAX_REMEMBERED_EXPORTS others followed.
"""

from bergamotmill.routing import chain as prefix_chain
from bergamotmill.routing import const
from bergamotmill.routing import popularity as prefix_popularity
from bergamotmill.util import token_bucket

REEXPORT_AFTER_S = 300.0
MAX_REMEMBERED_EXPORTS = 10_000


class ExportPolicy:
    """Selects the prefixes of answered prompts to export."""

    def __init__(
        self, popularity: prefix_popularity.PrefixPopularity, now: float
    ):
        self._popularity = popularity
        self._bucket = token_bucket.TokenBucket(
            const.EXPORTS_PER_S, const.EXPORT_BURST, now
        )
        self._exported_at: dict[int, float] = {}

    def pick(
        self, chain: prefix_chain.PrefixChain, retention_s: float, now: float
    ) -> tuple[int, ...]:
        """Returns the digests to export, shortest prefix first."""
        depth = self._export_depth(chain, retention_s, now)
        if depth < const.MIN_EXPORT_BLOCKS:
            return ()
        deepest = chain.digests[depth - 1]
        if (
            now - self._exported_at.get(deepest, -REEXPORT_AFTER_S)
            < REEXPORT_AFTER_S
        ):
            return ()
        if not self._bucket.try_take(1.0, now):
            return ()
        self._exported_at[deepest] = now
        if len(self._exported_at) > MAX_REMEMBERED_EXPORTS:
            del self._exported_at[next(iter(self._exported_at))]
        return chain.digests[:depth]

    def _export_depth(
        self, chain: prefix_chain.PrefixChain, retention_s: float, now: float
    ) -> int:
        """Returns the number of leading blocks to export."""
        depth = 0
        for index, digest in enumerate(chain.digests):
            if self._popularity.request_count(digest) < 2:
                break
            rate = self._popularity.rate(digest, now)
            if rate * retention_s < 1.0:
                depth = index + 1
        return depth
