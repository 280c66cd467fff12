"""Asks the nearest store what it holds, and has engines export to it."""

from collections.abc import Callable, Mapping
import json

import loguru

from bergamotmill import core
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.routing import chain as prefix_chain
from bergamotmill.upstream.kept import config
from bergamotmill.upstream.kept import const
from bergamotmill.util import tasks as background


class KeptStoreCoordinator:
    """Owns the connection to the store that is used here."""

    def __init__(self, links: Mapping[str, object], now: Callable[[], float]):
        self._links = links
        self._now = now
        self._store: core.Store | None = None
        self._pool = http_client.Pool()
        self._paused_until = 0.0
        self._exports = background.Tasks()

    @property
    def address(self) -> str:
        """The store's address; empty without a store."""
        return "" if self._store is None else self._store.address

    def adopt(self, stores: Mapping[str, core.Store], data_centre: str) -> None:
        """Takes the store of this data centre, or else the first."""
        ordered = sorted(
            stores.values(),
            key=lambda store: (store.data_centre != data_centre, store.name),
        )
        self._store = ordered[0] if ordered else None

    def close(self) -> None:
        """Stops exports and closes connections."""
        self._exports.cancel()
        self._pool.close()

    async def look_up(
        self, chain: prefix_chain.PrefixChain
    ) -> config.KeptPrefix:
        """Returns what the store holds; nothing when it does not answer."""
        store = self._store
        if store is None or len(chain.digests) < const.MIN_PIECES:
            return config.NOTHING_KEPT
        if self._now() < self._paused_until:
            return config.NOTHING_KEPT
        try:
            head, body = await http_client.fetch(
                self._pool,
                store.address,
                "POST",
                const.PATH_HAS,
                body=json.dumps({"chain": chain.digests}).encode(),
                timeout_s=const.LOOK_UP_TIMEOUT_S,
            )
            if head.status != 200:
                raise ValueError(f"status {head.status}")
            depth = int(json.loads(body)["depth"])
        except (
            http_errors.HttpError,
            TimeoutError,
            ValueError,
            KeyError,
        ):
            self._pool.close_idle(store.address)
            self._paused_until = self._now() + const.PAUSE_S
            return config.NOTHING_KEPT
        if not 0 < depth <= len(chain.digests):
            return config.NOTHING_KEPT
        return config.KeptPrefix(chain.tokens[depth - 1], store.tokens_per_s)

    def export(self, replica: str, digests: tuple[int, ...]) -> None:
        """Has an engine copy a prefix to the store, in the background."""
        link = self._links.get(replica)
        if self._store is None or link is None:
            return
        if len(self._exports) >= const.EXPORTS_AT_ONCE:
            return
        self._exports.spawn(
            self._export(link, replica, self._store.address, digests)
        )

    async def _export(self, link, replica, address, digests) -> None:
        done = await link.export(address, digests)
        if done.is_err():
            loguru.logger.debug("kept: {} no export: {}.", replica, done.err())
