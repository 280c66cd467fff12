"""LOST: the last router in service takes streams that it has to cut."""

import asyncio
import collections
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig3  # noqa: E402

# An engine as on the sheet of fjordtakst-prod.
STEP_S = 0.00337
# "The more requests run, the more slowly each token is produced."
SLOWDOWN_S = 0.0005
CHUNK_TOKENS = 2048
CHUNK_S = CHUNK_TOKENS / 61200
GRACE_S = 8.0
# Requests that were sent by then after SIGTERM may be cut.
EXCUSED_S = 3.0
SHARED = "5c1e07a2:512,91bd3f06:4870"
# Tokens of prompt and output: the means of the sheet, and its maxima.
ORDINARY = (6610, 76)
LARGE = (54600, 224)
# Two machines are stopped in turn before the one under test.
GAP_S = 1.3
RESTART_S = 0.5
ROUTERS = 3
TARGET = 1
PERIOD_S = 0.8
STEADY_S = 8.0
# Router that large streams are sent to, and when, after the SIGTERM of the
# router under test.
LAST = (
    (TARGET, 3.2),
    (TARGET, 3.25),
    (2, 3.3),
    (TARGET, 3.4),
    (TARGET, 3.5),
    (TARGET, 3.6),
    (2, 3.7),
    # Router 0 is back.
    (0, 4.2),
    (0, 4.6),
    (0, 5.0),
    (0, 5.4),
    (0, 5.8),
    (0, 6.2),
    (0, 6.6),
)


class Engine(rig3.Replica):
    """Prefills prompts in chunks between the tokens of other requests."""

    def __init__(self, store, name):
        super().__init__(store, name, "engines", "m")
        self._cached = set()
        self._waiting = collections.deque()
        self._streams = set()
        self._step = asyncio.Event()
        self._task = asyncio.create_task(self._run_steps())

    async def _run_steps(self):
        while True:
            duration_s = STEP_S + SLOWDOWN_S * len(self._streams)
            if self._waiting:
                duration_s += CHUNK_S
            await asyncio.sleep(duration_s)
            if self._waiting:
                prompt = self._waiting[0]
                prompt["left"] -= CHUNK_TOKENS
                if prompt["left"] <= 0:
                    self._waiting.popleft()
                    self._streams.add(prompt["id"])
            self.queued, self.active = len(self._waiting), len(self._streams)
            self._step.set()
            self._step = asyncio.Event()

    async def run(self, run, headers, writer, base):
        """Runs a stream, one event a token."""
        parts = [p.split(":") for p in headers["prompt-prefix"].split(",")]
        left = sum(int(n) for i, n in parts if i not in self._cached)
        self._cached.update(i for i, _ in parts)
        count = int(headers["token-count"].split(",")[1])
        self._waiting.append({"id": run["id"], "left": left})
        run["events"] = 0
        try:
            while run["id"] not in self._streams:
                await self._step.wait()
            writer.write(
                rig3.response(
                    200,
                    {
                        **base,
                        "Response-Seal": f"seal.{run['id']}",
                        "Weight-Versions": self.version,
                        "content-type": "text/event-stream",
                        "transfer-encoding": "chunked",
                    },
                )
            )
            for number in range(1, count + 1):
                data = b"id: %d\ndata: t%d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                run["events"] = number
                await self._step.wait()
            writer.write(b"0\r\n\r\n")
        finally:
            self._streams.discard(run["id"])


async def send(rig, size, router, sent):
    """Sends a stream and records its answer."""
    prompt, output = size
    at = time.monotonic()
    own = f"{rig.next_id + 0x1_0000_0000:x}:{prompt}"
    request_id, answer, seconds = await rig.call(
        "review", router=router, output=output, parts=f"{SHARED},{own}"
    )
    status, _, body, whole = answer
    sent.append((at, router, size, request_id, status, whole, seconds, body))


async def roll(rig, index, marks):
    """Asks a router to end, and starts it again once it has ended."""
    router = rig.routers[index]
    marks[index] = time.monotonic()
    router.process.send_signal(signal.SIGTERM)
    rig.note(f"SIGTERM to router {index}")
    while router.process.poll() is None:
        if time.monotonic() - marks[index] > GRACE_S:
            router.process.kill()
        await asyncio.sleep(0.02)
    rig.note(
        f"router {index} has ended after "
        f"{time.monotonic() - marks[index]:.2f} s"
    )
    await asyncio.sleep(RESTART_S)
    router.start()


async def scenario(rig, trouble):
    """Rolls the routers; returns whether a stream was cut."""
    await rig.start(routers=ROUTERS, engines=0, services=1)
    await rig.add(Engine(rig.store, "e0"))
    await asyncio.sleep(1.0)
    sent, tasks = [], []
    began = time.monotonic()
    while time.monotonic() < began + STEADY_S:
        for index in range(ROUTERS):
            tasks.append(asyncio.create_task(send(rig, ORDINARY, index, sent)))
            await asyncio.sleep(PERIOD_S / ROUTERS)
    marks, rolls = {}, []
    for index in range(ROUTERS):
        if trouble:
            rolls.append(asyncio.create_task(roll(rig, index, marks)))
        elif index == TARGET:
            marks[TARGET] = time.monotonic()
        if index < ROUTERS - 1:
            await asyncio.sleep(GAP_S)
    for router, seconds in LAST:
        due = marks[TARGET] + seconds
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(send(rig, LARGE, router, sent)))
    await asyncio.wait(tasks)
    await asyncio.gather(*rolls)
    runs = {run["id"]: run["events"] for run in rig.runs()}
    lost = 0
    for at, router, size, request_id, status, whole, seconds, body in sent:
        after = at - marks[TARGET]
        if size == ORDINARY:
            continue
        is_lost = (
            router == TARGET
            and after > EXCUSED_S
            and request_id in runs
            and not (status and whole)
        )
        lost += is_lost
        rig.note(
            f"{after:.2f} s after the SIGTERM, router {router}, {size}:",
            f"status {status}, complete: {whole}, {body.count(b'data')} events",
            f"in {seconds:.2f} s, passed on: {request_id in runs}",
        )
    ordinary = collections.Counter(
        (status, whole)
        for _, _, size, _, status, whole, _, _ in sent
        if size == ORDINARY
    )
    longest = max(s for _, _, size, _, _, _, s, _ in sent if size == ORDINARY)
    rig.note(f"ordinary streams: {dict(ordinary)}, longest {longest:.2f} s")
    rig.note(f"streams that were taken, passed on and cut: {lost}")
    return lost > 0


rig3.run_case(scenario, FOLDER)
