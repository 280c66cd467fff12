"""Callers of a soak, which send requests and record the answers."""

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

# Route: method, time limit in seconds, whether a request may run twice.
ROUTES = {
    "review": ("POST", 15.0, False),
    "check": ("POST", 3.0, True),
    "filing": ("POST", 1.5, False),
    "lookup": ("GET", 1.5, True),
}
PLAIN_ROUTES = ("filing", "lookup")
ROUTE_WEIGHTS = (3, 4, 4, 2)
CUSTOMER_KEYS = tuple(platform_fleet.CUSTOMER_BY_KEY)


class Caller:
    """One caller that reuses its connection while requests succeed."""

    def __init__(self, name: str, fleet: soak_fleet.Fleet, rng: random.Random):
        self._name = name
        self._fleet = fleet
        self._rng = rng
        # Half of the callers keep their address until an exchange fails; an
        # error status is not a failure here.
        self._keeps_address = rng.random() < 0.5
        self._pool = http_client.Pool(connect_timeout_s=1.0)
        self._addresses: list[str] = []
        self._resolved_at = float("-inf")
        self._avoided_until: dict[str, float] = {}
        self._address = ""
        self._request_count = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            await self._send_request()
            pause = const.CALLER_PAUSE_S * self._rng.uniform(0.3, 1.7)
            await asyncio.sleep(pause)

    async def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    async def _resolve(self) -> None:
        """Updates the addresses from the first directory that answers."""
        now = time.monotonic()
        if now - self._resolved_at < const.DIRECTORY_CACHE_S:
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
            addresses = _parse_addresses(data) if head.status == 200 else []
            if addresses:
                self._addresses = addresses
                self._resolved_at = now
                return

    async def _choose_address(self) -> str:
        if self._keeps_address and self._address:
            return self._address
        await self._resolve()
        now = time.monotonic()
        usable = [
            address
            for address in self._addresses
            if self._avoided_until.get(address, 0.0) < now
        ]
        if self._address in usable and self._rng.random() < 0.8:
            return self._address
        return self._rng.choice(usable) if usable else ""

    async def _send_request(self) -> None:
        address = await self._choose_address()
        if not address:
            return
        route = self._rng.choices(list(ROUTES), ROUTE_WEIGHTS)[0]
        method, timeout_s, repeatable = ROUTES[route]
        self._request_count += 1
        request = observations.Request(
            f"{self._name}-{self._request_count}",
            route,
            repeatable,
            self._rng.choice(CUSTOMER_KEYS),
            address,
            timeout_s,
            time.monotonic(),
        )
        self._fleet.observed.requests.append(request)
        event_count = self._rng.choice((5, 40, 120))
        body = request.request_id.encode() * 3 if method == "POST" else b""
        crashing_bodies = self._fleet.sent_crashing_bodies
        if (
            crashing_bodies
            and route in PLAIN_ROUTES
            and self._rng.random() < const.CRASHING_REQUEST_FRACTION
        ):
            # The same request each time: method, customer and body agree.
            method, body = "POST", self._rng.choice(crashing_bodies)
            request.key = CUSTOMER_KEYS[0]
        headers = self._headers_of(request, event_count)
        try:
            async with asyncio.timeout(timeout_s + 2.0):
                await self._exchange(
                    request, method, headers, body, event_count
                )
        except (http_errors.HttpError, TimeoutError):
            self._address = ""
            self._avoided_until[address] = (
                time.monotonic() + const.ADDRESS_AVOID_S
            )
        else:
            self._address = address
        request.ended = time.monotonic()

    def _headers_of(
        self, request, event_count: int
    ) -> list[tuple[bytes, bytes]]:
        headers = {
            platform_const.HEADER_REQUEST_ID: request.request_id,
            platform_const.HEADER_KEY: request.key,
            platform_const.HEADER_DEADLINE: str(int(request.timeout_s * 1000)),
        }
        if request.route in ("review", "check"):
            shared_file = self._rng.randrange(3)
            prefix = f"sys:512,file{shared_file}:4870,{request.request_id}:1000"
            crashing_parts = self._fleet.sent_crashing_parts
            if crashing_parts and self._rng.random() < const.CRASHING_FRACTION:
                part = self._rng.choice(crashing_parts)
                prefix = f"sys:512,{part}:4870,{request.request_id}:1000"
            headers[platform_const.HEADER_MODEL] = soak_fleet.MODEL
            headers[platform_const.HEADER_TOKEN_COUNTS] = f"6382,{event_count}"
            headers[platform_const.HEADER_PROMPT_PREFIX] = prefix
        return [(k.encode(), v.encode()) for k, v in headers.items()]

    async def _exchange(
        self, request, method, headers, body, event_count
    ) -> None:
        conn = await self._pool.acquire(request.router)
        request.connected = True
        try:
            target = f"/{request.route}/x?a=1"
            head = await conn.request(
                method, target, headers, body, host=platform_fleet.HOST
            )
            data = b""
            while chunk := await conn.read():
                data += chunk
        except BaseException:
            conn.close()
            raise
        request.status = head.status
        request.complete = True
        if head.status == 200:
            request.content_error = _content_error(
                request, head, data, body, event_count
            )
        self._pool.release(conn)


def _parse_addresses(data: bytes) -> list[str]:
    """Returns the addresses in a directory's answer; none if malformed."""
    try:
        return json.loads(data)["addresses"]
    except (ValueError, KeyError, TypeError):
        return []


def _content_error(
    request, head, data: bytes, body: bytes, event_count: int
) -> str:
    """Returns what is wrong with a successful answer, or ""."""
    if head.get_header(platform_const.HEADER_REQUEST_ID) != request.request_id:
        return "carries another request's id"
    if not head.get_header(platform_const.HEADER_RESPONSE_SEAL):
        return "has no response seal"
    if request.route in PLAIN_ROUTES:
        expected = b"done:" + request.request_id.encode() + body
        return "" if data == expected else f"another body, {data[:40]!r}"
    events = [
        int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")
    ]
    if events != list(range(1, event_count + 1)):
        return f"{len(events)} of {event_count} events, or events out of order"
    return ""


class Traffic:
    """All callers, and the probes for the configuration in force."""

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

    async def probe_versions(self) -> None:
        """Probes the configuration version of every router periodically."""
        while True:
            async with asyncio.TaskGroup() as group:
                for router in self._fleet.routers:
                    if router.running:
                        group.create_task(self._probe_router(router))
            await asyncio.sleep(const.PROBE_PERIOD_S)

    async def probe_directories(self) -> None:
        """Asks all directories for routers, and records which are off."""
        observed = self._fleet.observed
        while True:
            async with asyncio.TaskGroup() as group:
                for router in self._fleet.routers:
                    observed.note_running(
                        router.name, router.running, time.monotonic()
                    )
                    if router.running:
                        group.create_task(self._ask_directory(router))
            await asyncio.sleep(const.PROBE_PERIOD_S)

    async def _ask_directory(self, router: soak_fleet.Router) -> None:
        at = time.monotonic()
        try:
            _, body = await http_client.fetch(
                self._pool,
                router.address("directory"),
                "GET",
                f"{platform_const.PATH_RESOLVE}?name=soak",
                timeout_s=const.PROBE_TIMEOUT_S,
                fresh=True,
            )
        except (http_errors.HttpError, TimeoutError):
            return
        observed = self._fleet.observed
        observed.directory_answers.append(
            observations.DirectoryAnswer(
                at,
                router.name,
                frozenset(
                    observed.router_names[address]
                    for address in json.loads(body)["addresses"]
                ),
            )
        )

    async def _probe_router(self, router: soak_fleet.Router) -> None:
        """Records the highest version whose own route a router serves."""
        start = f"{router.name} start {router.start_count}"
        began = time.monotonic()
        for version in range(self._fleet.configuration_version, 0, -1):
            has_route = await self._has_route(router, version)
            if has_route is None:
                return
            if has_route:
                # If the router restarted during the probe, it is unknown which
                # process answered.
                if start == f"{router.name} start {router.start_count}":
                    self._fleet.observed.probed_versions.append(
                        (start, began, version)
                    )
                return

    async def _has_route(self, router, version: int) -> bool | None:
        """Whether a router serves a version's route; None if unknown.

        The key is invalid, so that a router answers 401 on a route that it
        serves and 404 on any other.
        """
        headers = [(platform_const.HEADER_KEY.encode(), b"no-such-key")]
        try:
            head, _ = await http_client.fetch(
                self._pool,
                router.address("front"),
                "GET",
                f"/v{version}/x",
                headers=headers,
                timeout_s=const.PROBE_TIMEOUT_S,
                fresh=True,
                host=platform_fleet.HOST,
            )
        except (http_errors.HttpError, TimeoutError):
            return None
        return {401: True, 404: False}.get(head.status)

    async def close(self) -> None:
        """Stops all callers and closes their connections."""
        await self._tasks.close()
        for caller in self._callers:
            await caller.close()
        self._pool.close()
