"""Callers of a soak: they resolve, keep connections and count answers."""

import asyncio
import json
import random
import time

from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import fleet as soak_fleet
from bergamotmill.bench.process_soak import observations
from bergamotmill.helpers import http_client
from bergamotmill.helpers import http_errors
from bergamotmill.platform import const as platform_const
from bergamotmill.standin.platform import fleet as platform_fleet
from bergamotmill.util import tasks as background

# Route: method, time limit in seconds, whether it may be repeated.
ROUTES = {
    "review": ("POST", 15.0, False),
    "check": ("POST", 3.0, True),
    "filing": ("POST", 1.5, False),
    "lookup": ("GET", 1.5, True),
}
WEIGHTS = (3, 4, 4, 2)
MANY_KEYS = tuple(platform_fleet.CUSTOMER_BY_KEY)


class Caller:
    """One caller with a connection that it keeps while it can."""

    def __init__(self, name: str, fleet: soak_fleet.Fleet, rng: random.Random):
        self._name = name
        self._fleet = fleet
        self._rng = rng
        # Half of the callers stay with a connection whatever is answered.
        self._clings = rng.random() < 0.5
        self._pool = http_client.Pool(connect_timeout_s=1.0)
        self._addresses: list[str] = []
        self._resolved_at = float("-inf")
        self._avoided: dict[str, float] = {}
        self._address = ""
        self._number = 0

    async def run(self) -> None:
        """Sends requests for ever."""
        while True:
            await self._one()
            pause = const.CALLER_PAUSE_S * self._rng.uniform(0.3, 1.7)
            await asyncio.sleep(pause)

    async def close(self) -> None:
        """Closes its connections."""
        self._pool.close()

    async def _resolve(self) -> None:
        now = time.monotonic()
        if now - self._resolved_at < const.RESOLVED_S:
            return
        for router in self._rng.sample(
            self._fleet.routers, min(3, len(self._fleet.routers))
        ):
            try:
                head, data = await http_client.fetch(
                    self._pool,
                    router.address("directory"),
                    "GET",
                    f"{platform_const.PATH_RESOLVE}"
                    f"?name={platform_fleet.HOST}&region=region&zone=dc-0",
                    timeout_s=1.0,
                )
            except (http_errors.HttpError, TimeoutError):
                continue
            found = _addresses_of(data) if head.status == 200 else []
            if found:
                self._addresses = found
                self._resolved_at = now
                return

    async def _pick(self) -> str:
        if self._clings and self._address:
            return self._address
        await self._resolve()
        now = time.monotonic()
        usable = [
            address
            for address in self._addresses
            if self._avoided.get(address, 0.0) < now
        ]
        if self._address in usable and self._rng.random() < 0.8:
            return self._address
        return self._rng.choice(usable) if usable else ""

    async def _one(self) -> None:
        address = await self._pick()
        if not address:
            return
        route = self._rng.choices(list(ROUTES), WEIGHTS)[0]
        method, limit_s, repeatable = ROUTES[route]
        self._number += 1
        request = observations.Request(
            f"{self._name}-{self._number}",
            route,
            repeatable,
            self._rng.choice(MANY_KEYS),
            address,
            limit_s,
            time.monotonic(),
        )
        self._fleet.seen.requests.append(request)
        output = self._rng.choice((5, 40, 120))
        lines = self._lines_of(request, output)
        body = request.request_id.encode() * 3 if method == "POST" else b""
        try:
            async with asyncio.timeout(limit_s + 2.0):
                await self._exchange(request, method, lines, body, output)
        except (http_errors.HttpError, TimeoutError):
            self._address = ""
            self._avoided[address] = time.monotonic() + const.AVOID_S
        else:
            self._address = address
        request.ended = time.monotonic()

    def _lines_of(self, request, output: int) -> list[tuple[bytes, bytes]]:
        lines = {
            platform_const.HEADER_REQUEST_ID: request.request_id,
            platform_const.HEADER_KEY: request.key,
            platform_const.HEADER_DEADLINE: str(int(request.timeout_s * 1000)),
        }
        if request.route in ("review", "check"):
            shared = self._rng.randrange(3)
            parts = f"sys:512,file{shared}:4870,{request.request_id}:1000"
            lines[platform_const.HEADER_MODEL] = soak_fleet.MODEL
            lines[platform_const.HEADER_TOKEN_COUNTS] = f"6382,{output}"
            lines[platform_const.HEADER_PROMPT_PREFIX] = parts
        return [(k.encode(), v.encode()) for k, v in lines.items()]

    async def _exchange(self, request, method, lines, body, output) -> None:
        conn = await self._pool.acquire(request.router)
        try:
            target = f"/{request.route}/x?a=1"
            head = await conn.request(
                method, target, lines, body, host=platform_fleet.HOST
            )
            data = b""
            while part := await conn.read():
                data += part
        except BaseException:
            conn.close()
            raise
        request.status = head.status
        request.whole = True
        if head.status == 200:
            request.wrong = _wrong(request, head, data, body, output)
        self._pool.release(conn)


def _addresses_of(data: bytes) -> list[str]:
    """Reads the directory's answer; a broken one names nobody."""
    try:
        return json.loads(data)["addresses"]
    except (ValueError, KeyError, TypeError):
        return []


def _wrong(request, head, data: bytes, body: bytes, output: int) -> str:
    """Returns what is wrong with a success; empty for nothing."""
    if head.get_header(platform_const.HEADER_REQUEST_ID) != request.request_id:
        return "bears another request's id"
    if not head.get_header(platform_const.HEADER_RESPONSE_SEAL):
        return "bears no receipt"
    if request.route in ("filing", "lookup"):
        wanted = b"done:" + request.request_id.encode() + body
        return "" if data == wanted else f"another body, {data[:40]!r}"
    events = [
        int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")
    ]
    if events != list(range(1, output + 1)):
        return f"{len(events)} events of {output}, or out of order"
    return ""


class Traffic:
    """All callers, and probes of the configuration in force."""

    def __init__(
        self, fleet: soak_fleet.Fleet, callers: int, rng: random.Random
    ):
        self._fleet = fleet
        self._callers = [
            Caller(f"c{number}", fleet, random.Random(rng.random()))
            for number in range(callers)
        ]
        self._pool = http_client.Pool(connect_timeout_s=1.0)
        self._tasks = background.Tasks()

    def start(self) -> None:
        """Starts all callers."""
        for caller in self._callers:
            self._tasks.spawn(caller.run())

    async def probe(self) -> None:
        """Asks every router which versions it serves, for ever."""
        while True:
            async with asyncio.TaskGroup() as group:
                for router in self._fleet.routers:
                    if router.running:
                        group.create_task(self._probe_one(router))
            await asyncio.sleep(const.PROBE_PERIOD_S)

    async def _probe_one(self, router: soak_fleet.Router) -> None:
        """Notes the highest version whose own route a router knows."""
        life = f"{router.name} life {router.lives}"
        began = time.monotonic()
        for version in range(self._fleet.version, 0, -1):
            known = await self._knows(router, version)
            if known is None:
                return
            if known:
                # A router that was replaced meanwhile may have answered.
                if life == f"{router.name} life {router.lives}":
                    self._fleet.seen.in_force.append((life, began, version))
                return

    async def _knows(self, router, version: int) -> bool | None:
        """Whether a version's route is known; none when it is not told."""
        lines = [(platform_const.HEADER_KEY.encode(), b"no-such-key")]
        try:
            head, _ = await http_client.fetch(
                self._pool,
                router.address("front"),
                "GET",
                f"/v{version}/x",
                headers=lines,
                timeout_s=const.PROBE_TIMEOUT_S,
                fresh=True,
                host=platform_fleet.HOST,
            )
        except (http_errors.HttpError, TimeoutError):
            return None
        return {401: True, 404: False}.get(head.status)

    async def close(self) -> None:
        """Stops all callers."""
        await self._tasks.close()
        for caller in self._callers:
            await caller.close()
        self._pool.close()
