"""Sends a few requests through the system and prints what came."""

import argparse
import asyncio
import json
import sys
import time

from bergamotmill.helpers import http_client
from bergamotmill.streams import assemble
from bergamotmill.streams import events as sse

RULES = "The association's style rules, as every reviewer knows them. " * 600


class Caller:
    """A caller as a customer would write it."""

    def __init__(self, address: str, key: str):
        self._address = address
        self._headers = [
            (b"authorization", f"Bearer {key}".encode()),
            (b"content-type", b"application/json"),
        ]
        self._pool = http_client.Pool()
        self._token = ""

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    async def find_address(self) -> None:
        """Asks which routers to use and takes the first."""
        _, body = await http_client.fetch(
            self._pool, self._address, "GET", "/v1/addresses", self._headers
        )
        answer = json.loads(body)
        self._address = answer["addresses"][0]
        self._token = answer["filing_token"]
        print(f"addresses: {', '.join(answer['addresses'])}")

    async def chat(self, question: str) -> None:
        """Streams one answer about the long shared prompt."""
        body = {
            "model": "drafter",
            "stream": True,
            "max_tokens": 12,
            "stream_options": {"include_usage": True},
            "messages": [
                {"role": "system", "content": RULES},
                {"role": "user", "content": question},
            ],
        }
        started = time.monotonic()
        conn = await self._pool.acquire(self._address)
        head = await conn.request(
            "POST",
            "/v1/chat/completions",
            self._headers,
            json.dumps(body).encode(),
        )
        splitter = sse.EventSplitter()
        events: list[bytes] = []
        first = 0.0
        while data := await conn.read():
            found = splitter.feed(data)
            if not first and not all(map(sse.is_comment, found)):
                first = time.monotonic() - started
            events += found
        self._pool.release(conn)
        if head.status != 200:
            raise RuntimeError(f"status {head.status}: {events}")
        whole = assemble.assemble(events)
        usage = whole["usage"]
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        text = whole["choices"][0]["message"]["content"]
        replica = _replica_of(events)
        print(
            f"chat: {text!r} from {replica}, {cached} of "
            f"{usage['prompt_tokens']} prompt tokens cached, "
            f"first token after {first * 1000:.0f} ms"
        )

    async def call(self, method: str, target: str, body: bytes = b"") -> None:
        """Calls the plain service; a POST is a filing under a key."""
        headers = list(self._headers)
        if method == "POST":
            key = f"{self._token}.{time.time_ns()}"
            headers.append((b"idempotency-key", key.encode()))
        for attempt in ("first", "repeated"):
            head, answer = await http_client.fetch(
                self._pool, self._address, method, target, headers, body
            )
            print(f"{method} {target} ({attempt}): {head.status} {answer!r}")
            if method != "POST":
                return


def _replica_of(events: list[bytes]) -> str:
    """Returns the replica that the first event id names."""
    numbered = next(event for event in events if event.startswith(b"id: "))
    return numbered.split(b"~")[3].decode()


async def _run(arguments: argparse.Namespace) -> None:
    caller = Caller(arguments.address, arguments.key)
    try:
        await caller.find_address()
        for number in range(3):
            await caller.chat(f"Does entry {number} follow the rules?")
        await caller.call("GET", "/services/registry/records/17")
        await caller.call(
            "POST", "/services/registry/records", b'{"record": 18}'
        )
    finally:
        caller.close()


def main() -> int:
    """Runs the demonstration."""
    parser = argparse.ArgumentParser(prog="bergamotmill.cli.demo")
    parser.add_argument("--address", required=True)
    parser.add_argument("--key", required=True)
    asyncio.run(_run(parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
