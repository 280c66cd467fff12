"""Sends a few requests through the system and prints the responses."""

import argparse
import asyncio
import json
import sys
import time

from bergamotmill.helpers import http_client
from bergamotmill.streams import assemble
from bergamotmill.streams import events as sse

SYSTEM_PROMPT = (
    "The association's style rules, as every reviewer knows them. " * 600
)


class DemoClient:
    """Example of a client that a customer might write."""

    def __init__(self, address: str, key: str):
        self._address = address
        self._headers = [
            (b"authorization", f"Bearer {key}".encode()),
            (b"content-type", b"application/json"),
        ]
        self._pool = http_client.Pool()
        self._token = ""

    def close(self) -> None:
        """Closes the pooled connections."""
        self._pool.close()

    async def discover_router(self) -> None:
        """Requests the addresses of the routers and switches to the first.

        The same response holds the token with which the idempotency keys of
        filings begin.
        """
        _, body = await http_client.fetch(
            self._pool, self._address, "GET", "/v1/addresses", self._headers
        )
        response_body = json.loads(body)
        self._address = response_body["addresses"][0]
        self._token = response_body["filing_token"]
        print(f"addresses: {', '.join(response_body['addresses'])}")

    async def chat(self, question: str) -> None:
        """Streams a completion that shares a long system prompt with others.

        Prints the number of cached prompt tokens and the time to first token.
        """
        body = {
            "model": "drafter",
            "stream": True,
            "max_tokens": 12,
            "stream_options": {"include_usage": True},
            "messages": [
                {"role": "system", "content": SYSTEM_PROMPT},
                {"role": "user", "content": question},
            ],
        }
        started_at = time.monotonic()
        conn = await self._pool.acquire(self._address)
        head = await conn.request(
            "POST",
            "/v1/chat/completions",
            self._headers,
            json.dumps(body).encode(),
        )
        splitter = sse.EventSplitter()
        events: list[bytes] = []
        first_token_s = 0.0
        while data := await conn.read():
            new_events = splitter.feed(data)
            if not first_token_s and not all(map(sse.is_comment, new_events)):
                first_token_s = time.monotonic() - started_at
            events += new_events
        self._pool.release(conn)
        if head.status != 200:
            raise RuntimeError(f"status {head.status}: {events}")
        completion = assemble.assemble(events)
        usage = completion["usage"]
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        text = completion["choices"][0]["message"]["content"]
        replica = _replica_name(events)
        print(
            f"chat: {text!r} from {replica}, {cached} of "
            f"{usage['prompt_tokens']} prompt tokens cached, "
            f"first token after {first_token_s * 1000:.0f} ms"
        )

    async def call_service(
        self, method: str, target: str, body: bytes = b""
    ) -> None:
        """Calls the HTTP service.

        A POST is a filing: it is sent twice with one idempotency key, to show
        that the second request does not run again.
        """
        headers = list(self._headers)
        if method == "POST":
            key = f"{self._token}.{time.time_ns()}"
            headers.append((b"idempotency-key", key.encode()))
        for attempt in ("first", "repeated"):
            head, response_body = await http_client.fetch(
                self._pool, self._address, method, target, headers, body
            )
            print(
                f"{method} {target} ({attempt}): {head.status} "
                f"{response_body!r}"
            )
            if method != "POST":
                return


def _replica_name(events: list[bytes]) -> str:
    """Returns the replica that the stream id in the first event id names."""
    event_with_id = next(event for event in events if event.startswith(b"id: "))
    # The fields of a stream id are listed in streams/stream_id.py.
    return event_with_id.split(b"~")[3].decode()


async def _run(arguments: argparse.Namespace) -> None:
    client = DemoClient(arguments.address, arguments.key)
    try:
        await client.discover_router()
        for number in range(3):
            await client.chat(f"Does entry {number} follow the rules?")
        await client.call_service("GET", "/services/registry/records/17")
        await client.call_service(
            "POST", "/services/registry/records", b'{"record": 18}'
        )
    finally:
        client.close()


def main() -> int:
    """Runs the demo and returns its exit status."""
    parser = argparse.ArgumentParser(prog="bergamotmill.cli.demo")
    parser.add_argument("--address", required=True)
    parser.add_argument("--key", required=True)
    asyncio.run(_run(parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
