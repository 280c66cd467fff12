"""Stream sink that writes server-sent events to a caller."""

from bergamotmill.front import const
from bergamotmill.helpers import http_server
from bergamotmill.helpers import refusal
from bergamotmill.streams import events as sse


class ExchangeSink:
    """Writes events to an exchange; the first write sends the response head."""

    def __init__(self, exchange: http_server.Exchange, request_id: str):
        self._exchange = exchange
        self._request_id = request_id

    @property
    def started(self) -> bool:
        """Whether the response head has been written."""
        return self._exchange.started

    @property
    def write_paused(self) -> bool:
        """Whether the write buffer to the caller is full."""
        return self._exchange.write_paused

    def write(self, data: bytes) -> None:
        """Writes one or more complete events."""
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
        """Waits until the write buffer has room."""
        await self._exchange.drain()

    def abort(self) -> None:
        """Aborts the connection to the caller."""
        self._exchange.abort()

    def fail(self, refused: refusal.Refusal) -> None:
        """Ends a started stream with an error event."""
        self._exchange.write(sse.encode(refused.as_json()))
        self._exchange.finish()

    def finish(self) -> None:
        """Ends the response after a complete stream."""
        self._exchange.finish()
