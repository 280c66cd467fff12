"""Answers of the directory and of the readiness check."""

from collections.abc import Callable

from bergamotmill.dispatch import directory
from bergamotmill.helpers import http_server
from bergamotmill.platform import const


class DirectoryHandler:
    """Answers where callers are to connect."""

    def __init__(self, book: directory.Directory):
        self._book = book

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one question."""
        request = exchange.request
        if request.path != const.PATH_RESOLVE:
            exchange.respond(404, b"")
            return
        found = self._book.addresses(request.query.get("zone", ""))
        exchange.respond_json(
            200, {"addresses": found, "ttlS": directory.ADDRESS_LIFETIME_S}
        )


class ReadinessHandler:
    """Answers whether new callers are to be sent here."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one question."""
        if exchange.request.path != const.PATH_READY:
            exchange.respond(404, b"")
            return
        exchange.respond(200 if self._is_ready() else 503, b"")
