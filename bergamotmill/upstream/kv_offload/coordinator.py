"""Looks up prompts in a KV offload store and has engines export to it."""

from collections.abc import Callable, Mapping
import json

import loguru

from bergamotmill import core
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.helpers import json_text
from bergamotmill.routing import chain as prefix_chain
from bergamotmill.upstream.kv_offload import config
from bergamotmill.upstream.kv_offload import const
from bergamotmill.util import tasks as background


class OffloadStoreCoordinator:
    """Owns the connections to the store that this router uses."""

    def __init__(self, clients: Mapping[str, object], now: Callable[[], float]):
        self._clients = clients
        self._now = now
        self._store: core.Store | None = None
        self._pool = http_client.Pool()
        self._paused_until = 0.0
        self._exports = background.Tasks()

    @property
    def address(self) -> str:
        """The store's address; empty when no store is configured."""
        return "" if self._store is None else self._store.address

    def adopt(self, stores: Mapping[str, core.Store], data_centre: str) -> None:
        """Selects a store of this data centre, else the first store by name."""
        ordered = sorted(
            stores.values(),
            key=lambda store: (store.data_centre != data_centre, store.name),
        )
        self._store = ordered[0] if ordered else None

    def close(self) -> None:
        """Cancels exports and closes connections."""
        self._exports.cancel()
        self._pool.close()

    async def look_up(
        self, chain: prefix_chain.PrefixChain
    ) -> config.OffloadedPrefix:
        """Returns the longest prefix that the store holds.

        The prefix is empty when the store fails to respond, as a request does
        not depend on the store.
        """
        store = self._store
        if store is None or len(chain.digests) < const.MIN_BLOCKS:
            return config.NOTHING_OFFLOADED
        if self._now() < self._paused_until:
            return config.NOTHING_OFFLOADED
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
            depth = int(json_text.loads(body)["depth"])
        except (
            http_errors.HttpError,
            TimeoutError,
            ValueError,
            KeyError,
        ):
            self._pool.close_idle(store.address)
            self._paused_until = self._now() + const.PAUSE_AFTER_FAILURE_S
            return config.NOTHING_OFFLOADED
        if not 0 < depth <= len(chain.digests):
            return config.NOTHING_OFFLOADED
        return config.OffloadedPrefix(
            chain.tokens[depth - 1], store.tokens_per_s
        )

    def export(self, replica: str, digests: tuple[int, ...]) -> None:
        """Has an engine copy a prefix to the store, in the background.

        The export is skipped when too many are already running.
        """
        client = self._clients.get(replica)
        if self._store is None or client is None:
            return
        if len(self._exports) >= const.MAX_CONCURRENT_EXPORTS:
            return
        self._exports.spawn(
            self._export(client, replica, self._store.address, digests)
        )

    async def _export(self, client, replica, address, digests) -> None:
        exported = await client.request_export(address, digests)
        if exported.is_err():
            loguru.logger.debug(
                "KV export from {} failed: {}.", replica, exported.err()
            )
