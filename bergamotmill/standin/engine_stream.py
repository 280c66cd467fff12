"""Resumable output stream of the stand-in engine."""

import asyncio
import json
from typing import Any

from bergamotmill.helpers import http_server
from bergamotmill.standin import engine_model

DEFAULT_TOKENS = 16
BYTES_PER_TOKEN = 4
CHAT_PATH = "/v1/chat/completions"


def prompt_tokens(body: dict[str, Any]) -> int:
    """Estimates the prompt's tokens from its length."""
    size = 0
    for item in body.get("messages", ()):
        size += len(str(item.get("content") or ""))
    size += len(str(body.get("prompt", "")))
    return max(1, size // BYTES_PER_TOKEN)


def requested_tokens(body: dict[str, Any]) -> int:
    """Returns how many output tokens the request asks for."""
    for key in ("max_completion_tokens", "max_tokens"):
        if body.get(key):
            return int(body[key])
    return DEFAULT_TOKENS


def continued_tokens(path: str, body: dict[str, Any]) -> int:
    """Counts the output tokens at the end of a prompt to be continued.

    The stand-in numbers its output tokens, `t0 t1 t2 ...`, so that tests
    detect a gap or a repetition in an answer.
    """
    if path == CHAT_PATH:
        if not body.get("continue_final_message"):
            return 0
        text = body["messages"][-1]["content"]
    else:
        text = str(body.get("prompt", "")).rpartition("\n")[2]
    words = text.split()
    count = 0
    for word in reversed(words):
        if not (word.startswith("t") and word[1:].isdecimal()):
            break
        count += 1
    return count


class ResumableStream:
    """The events of one request, buffered so that a reader can reconnect.

    Attributes:
        body: body of the request.
        complete: whether all events have been generated.
        has_reader: whether a reader is connected, or the first is awaited.
    """

    def __init__(
        self, request_id: str, path: str, body: dict[str, Any], version: str
    ):
        self.request_id = request_id
        self.version = version
        self._path = path
        self.body = body
        self._events: list[bytes] = []
        self._changed = asyncio.Event()
        self._reader_number = 0
        self._cancelled = False
        self.complete = False
        self.has_reader = True

    async def generate(
        self, ready: engine_model.Prefilled, token_s: float
    ) -> None:
        """Generates one token every `token_s` seconds."""
        count = requested_tokens(self.body)
        first_index = continued_tokens(self._path, self.body)
        for index in range(count):
            if self._cancelled:
                return
            last = index == count - 1
            self._write_json(self._chunk(f"t{first_index + index} ", last))
            await asyncio.sleep(token_s)
        self._write_json(self._usage(ready, count))
        self.complete = True
        self._write(b"data: [DONE]\n\n")

    def cancel(self) -> None:
        """Stops generating and disconnects the reader."""
        self._cancelled = True
        self._changed.set()

    def _write_json(self, value: dict[str, Any]) -> None:
        text = json.dumps(value, separators=(",", ":"))
        self._write(b"data: " + text.encode() + b"\n\n")

    def _write(self, event: bytes) -> None:
        self._events.append(event)
        self._changed.set()

    def _chunk(self, text: str, last: bool) -> dict[str, Any]:
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": "length" if last else None,
        }
        if self._path == CHAT_PATH:
            choice["delta"] = {"content": text}
            if not self._events:
                choice["delta"]["role"] = "assistant"
        else:
            choice["text"] = text
        return self._envelope([choice])

    def _envelope(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        kind = "text_completion"
        if self._path == CHAT_PATH:
            kind = "chat.completion.chunk"
        return {
            "id": f"chatcmpl-{self.request_id}",
            "object": kind,
            "created": 0,
            "model": self.body.get("model"),
            "choices": choices,
        }

    def _usage(
        self, ready: engine_model.Prefilled, count: int
    ) -> dict[str, Any]:
        value = self._envelope([])
        value["usage"] = {
            "prompt_tokens": ready.job.total_tokens,
            "completion_tokens": count,
            "total_tokens": ready.job.total_tokens + count,
            "prompt_tokens_details": {"cached_tokens": ready.cached_tokens},
        }
        return value

    async def serve(
        self, exchange: http_server.Exchange, seen: int, heartbeat_s: float
    ) -> None:
        """Writes events to a reader until a newer reader replaces it.

        Args:
            exchange: the reader's connection.
            seen: number of events that the reader already has.
            heartbeat_s: interval of heartbeats while no event is written.
        """
        self._reader_number += 1
        reader_number = self._reader_number
        self.has_reader = True
        exchange.on_close(self._changed.set)
        self._changed.set()
        while not exchange.disconnected:
            if reader_number != self._reader_number:
                exchange.write(b": moved\n\n")
                break
            if self._cancelled:
                exchange.abort()
                return
            while seen < len(self._events):
                exchange.write(self._events[seen])
                seen += 1
            if self.complete:
                break
            await exchange.drain()
            await self._wait_for_change(exchange, heartbeat_s)
        if reader_number == self._reader_number:
            self.has_reader = not exchange.disconnected
        exchange.finish()

    async def _wait_for_change(self, exchange, heartbeat_s: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(heartbeat_s):
                await self._changed.wait()
        except TimeoutError:
            exchange.write(b": heartbeat\n\n")
