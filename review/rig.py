"""What the scripts of the review share: a deployment, callers and a record.

Routers are real processes, started with the command of the deploy file. The
store and the replicas are the project's stand-ins, in the script's process.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
from typing import Any

import loguru

from bergamotmill.bench.process_soak import fleet
from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet as platform_fleet

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
START_LIMIT_S = 25.0
SCRIPT_LIMIT_S = 100.0
# Pieces in which a slow body is sent.
BODY_PIECES = 40
HOST = platform_fleet.HOST
KEY = "key-one"


def has_trouble() -> bool:
    """Whether the script is to cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file, with times."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line, with the seconds since the script began."""
        seconds = time.monotonic() - self.began_at
        self._file.write(f"{seconds:8.3f}  {text}\n")
        self._file.flush()


class Deployment(fleet.Fleet):
    """A small deployment, with the settings that the template renders."""

    def _router_settings(self, index: int, routers: int) -> dict[str, Any]:
        return {
            **super()._router_settings(index, routers),
            "weights": {"deadline_ms": 8000, "turn_ms": 3000},
        }

    async def wait_until_ready(self) -> None:
        """Waits until all routers are ready and have read the store.

        Raises:
            TimeoutError: a router did not get ready.
        """
        async with asyncio.timeout(START_LIMIT_S):
            for router in self.routers:
                while not await _is_ready(router.address("ready")):
                    await asyncio.sleep(0.1)


async def _is_ready(address: str) -> bool:
    caller = Caller(address)
    try:
        status, _ = await caller.send("GET", const.PATH_READY, {})
    except (OSError, EOFError):
        return False
    finally:
        caller.close()
    return status == 200


class Caller:
    """A caller with one channel, which it keeps for its requests."""

    def __init__(self, address: str):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, Any],
        body: bytes = b"",
        body_s: float = 0.0,
    ) -> tuple[int, bytes]:
        """Sends a request and returns status and body of the answer.

        Args:
            method: HTTP method.
            target: path.
            headers: headers.
            body: body.
            body_s: time over which the body is sent, in pieces.

        Raises:
            OSError, EOFError: the channel ended before the answer did.
        """
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode())
        await self._send_body(body, body_s)
        head = await self._reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        size = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.partition(b":")[2])
        return status, await self._reader.readexactly(size)

    async def _send_body(self, body: bytes, body_s: float) -> None:
        if not body_s:
            self._writer.write(body)
            await self._writer.drain()
            return
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        size = -(-len(body) // BODY_PIECES)
        for number in range(BODY_PIECES):
            self._writer.write(body[number * size : (number + 1) * size])
            await self._writer.drain()
            due_at = began_at + body_s * (number + 1) / BODY_PIECES
            await asyncio.sleep(max(0.0, due_at - loop.time()))

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            self._writer.transport.abort()


def request_headers(request_id: str, time_limit_s: float) -> dict[str, Any]:
    """Returns the headers of a caller's request."""
    return {
        const.HEADER_REQUEST_ID: request_id,
        const.HEADER_DEADLINE: int(time_limit_s * 1000),
        const.HEADER_KEY: KEY,
    }


def run(scenario, folder: pathlib.Path) -> None:
    """Runs a scenario, which returns whether the rule held, and exits."""
    loguru.logger.remove()
    record = Record(folder)
    record.write(f"TROUBLE={int(has_trouble())}")
    try:
        with tempfile.TemporaryDirectory() as temporary_folder:
            held = asyncio.run(
                asyncio.wait_for(
                    scenario(record, temporary_folder), SCRIPT_LIMIT_S
                )
            )
    except (OSError, EOFError, TimeoutError, ExceptionGroup) as err:
        record.write(f"could not run: {err!r}")
        sys.exit(EXIT_NOT_RUN)
    if held is None:
        record.write("could not run")
        sys.exit(EXIT_NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
