"""A caller's streamed answer as the place where events go."""

from bergamotmill.front import const
from bergamotmill.helpers import http_server
from bergamotmill.helpers import refusal
from bergamotmill.streams import events as sse


class ExchangeSink:
    """Starts the answer with the first event."""

    def __init__(self, exchange: http_server.Exchange, request_id: str):
        self._exchange = exchange
        self._request_id = request_id

    @property
    def started(self) -> bool:
        """Whether the caller has got anything."""
        return self._exchange.started

    @property
    def write_paused(self) -> bool:
        """Whether the caller's side is full."""
        return self._exchange.write_paused

    def write(self, data: bytes) -> None:
        """Writes whole events."""
        if not self._exchange.started:
            self._exchange.start(
                200,
                [
                    const.EVENT_STREAM,
                    const.NO_CACHE,
                    (const.HEADER_REQUEST_ID, self._request_id.encode()),
                ],
            )
        self._exchange.write(data)

    async def drain(self) -> None:
        """Waits for room."""
        await self._exchange.drain()

    def abort(self) -> None:
        """Cuts the connection."""
        self._exchange.abort()

    def fail(self, refused: refusal.Refusal) -> None:
        """Ends a started stream with an error event."""
        self._exchange.write(sse.encode(refused.as_json()))
        self._exchange.finish()

    def finish(self) -> None:
        """Ends a whole stream."""
        self._exchange.finish()
