"""Test client that resumes broken streams at other routers."""

import asyncio
import dataclasses
import json
from typing import Any

from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.streams import assemble
from bergamotmill.streams import events as sse

READ_TIMEOUT_S = 8.0
MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.3


@dataclasses.dataclass(frozen=True)
class StreamResult:
    """The outcome of a streamed request.

    Attributes:
        text: text received over all attempts.
        whole: whether the stream ended with its final event.
        resumes: attempts that continued after the last event received.
        reruns: repeated attempts that started from the beginning.
        error: why the last attempt failed; empty for a complete stream.
    """

    text: str
    whole: bool
    resumes: int
    reruns: int
    error: str = ""


class Caller:
    """A client of one customer that tries the routers in turn."""

    def __init__(self, key: str, addresses: list[str]):
        self._headers = [
            (b"authorization", f"Bearer {key}".encode()),
            (b"content-type", b"application/json"),
        ]
        self._addresses = addresses
        self._pool = http_client.Pool()

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    async def get_json(self, target: str, index: int = 0) -> Any:
        """Sends a GET request to one router and returns its JSON."""
        _, body = await http_client.fetch(
            self._pool, self._addresses[index], "GET", target, self._headers
        )
        return json.loads(body)

    async def stream(
        self, body: dict[str, Any], first: int = 0, headers=()
    ) -> StreamResult:
        """Streams an answer; resumes a broken stream at the next router."""
        events: list[bytes] = []
        resumes = reruns = 0
        error = ""
        for attempt in range(MAX_ATTEMPTS):
            address = self._addresses[(first + attempt) % len(self._addresses)]
            request_headers = [*self._headers, *headers]
            if events:
                resumes += 1
                request_headers.append(
                    (b"last-event-id", _last_event_id(events))
                )
            elif attempt:
                reruns += 1
            whole, error = await self._stream_once(
                address, body, request_headers, events
            )
            if whole:
                text, _ = assemble.concatenate_text(events)
                return StreamResult(text, True, resumes, reruns)
            if error.startswith("final"):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        text, _ = assemble.concatenate_text(events)
        return StreamResult(text, False, resumes, reruns, error)

    async def _stream_once(
        self, address, body, request_headers, events
    ) -> tuple[bool, str]:
        try:
            conn = await self._pool.acquire(address, fresh=True)
        except http_errors.HttpError as err:
            return False, repr(err)
        splitter = sse.EventSplitter()
        try:
            head = await conn.request(
                "POST",
                "/v1/chat/completions",
                request_headers,
                json.dumps(body).encode(),
                read_timeout_s=READ_TIMEOUT_S,
            )
            if head.status != 200:
                answer = await conn.read_all(1 << 20)
                code = json.loads(answer)["error"]["code"]
                final = head.status in (400, 404, 410)
                return False, f"{'final' if final else 'refused'} {code}"
            while data := await conn.read():
                for event in splitter.feed(data):
                    if sse.is_comment(event):
                        continue
                    if b'"error"' in event:
                        return False, f"event {event!r}"
                    events.append(event)
            return bool(events) and sse.is_done(events[-1]), "cut"
        except http_errors.HttpError as err:
            return False, repr(err)
        finally:
            conn.close()

    async def post(
        self, index: int, target: str, key: str, body: bytes, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        """Posts a filing once; the status is 0 when no answer came."""
        request_headers = [
            *self._headers,
            (b"idempotency-key", key.encode()),
            (b"x-request-class", b"filing"),
        ]
        address = self._addresses[index % len(self._addresses)]
        try:
            head, answer = await http_client.fetch(
                self._pool,
                address,
                "POST",
                target,
                request_headers,
                body,
                timeout_s,
                fresh=True,
            )
        except (http_errors.HttpError, TimeoutError):
            return 0, {}
        return head.status, json.loads(answer)


def _last_event_id(events: list[bytes]) -> bytes:
    for event in reversed(events):
        if event.startswith(b"id: "):
            return event.split(b"\n", 1)[0][4:]
    raise AssertionError("no event has an id")
