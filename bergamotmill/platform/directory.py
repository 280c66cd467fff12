"""Handlers of router address lookups and of readiness checks."""

from collections.abc import Callable

from bergamotmill.dispatch import directory
from bergamotmill.helpers import http_server
from bergamotmill.platform import const


class DirectoryHandler:
    """Returns the addresses of routers that callers may connect to."""

    def __init__(self, router_directory: directory.Directory):
        self._directory = router_directory

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one lookup."""
        request = exchange.request
        if request.path != const.PATH_RESOLVE:
            exchange.respond(404, b"")
            return
        addresses = self._directory.addresses(request.query.get("zone", ""))
        exchange.respond_json(
            200, {"addresses": addresses, "ttlS": directory.ADDRESS_LIFETIME_S}
        )


class ReadinessHandler:
    """Reports whether this router accepts new callers."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one check."""
        if exchange.request.path != const.PATH_READY:
            exchange.respond(404, b"")
            return
        exchange.respond(200 if self._is_ready() else 503, b"")
