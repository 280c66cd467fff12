"""Brings each release to every router, and never an older one.

A few routers of each data centre, the first in an order that all compute
alike, watch the head in the key-value service. They pass a new note down a
tree over the data centre's routers. Probes carry release numbers, and a router
that hears of a higher one pulls what it lacks, which repairs any loss.
"""

import asyncio
from collections.abc import Callable
import random

import loguru

from bergamotmill import core
from bergamotmill.control import const
from bergamotmill.control import membership as fleet_membership
from bergamotmill.control import notes
from bergamotmill.control import pages as config_pages
from bergamotmill.control import peers as peer_links
from bergamotmill.control import release_store
from bergamotmill.proto import peer_pb2
from bergamotmill.storage import key_value
from bergamotmill.util import backoff
from bergamotmill.util import rendezvous
from bergamotmill.util import tasks as background


class Distribution:
    """Owns the configuration in force at this router."""

    def __init__(
        self,
        releases: release_store.ReleaseStore,
        store: key_value.KeyValueStore,
        membership: fleet_membership.Membership,
        peers: peer_links.PeerClient,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._releases = releases
        self._store = store
        self._membership = membership
        self._peers = peers
        self._rng = rng
        self._now = now
        self._configuration = core.empty_configuration()
        self._recent: dict[int, bytes] = {}
        self._in_force_at: dict[int, float] = {}
        self._listeners: list[Callable[[core.Configuration], None]] = []
        self._is_reader = False
        self._wanted: tuple[str, int] = ("", 0)
        self._pull_now = asyncio.Event()
        self._tasks = background.Tasks()
        membership.on_newer_release(self._on_newer)

    @property
    def configuration(self) -> core.Configuration:
        """The configuration in force here."""
        return self._configuration

    @property
    def number(self) -> int:
        """The release number in force here."""
        return self._configuration.number

    @property
    def is_reader(self) -> bool:
        """Whether this router watches the head for its data centre."""
        return self._is_reader

    def in_force_at(self, number: int) -> float:
        """Returns when a recent release came into force here, or 0."""
        return self._in_force_at.get(number, 0.0)

    def listen(self, listener: Callable[[core.Configuration], None]) -> None:
        """Calls the listener with each new configuration."""
        self._listeners.append(listener)

    async def bootstrap(self) -> bool:
        """Gets a first configuration from whoever answers first."""
        sources = [self._boot_from_store(), self._boot_from_peers()]
        tasks = [asyncio.create_task(source) for source in sources]
        try:
            for done in asyncio.as_completed(tasks):
                found = await done
                if found is not None and found.number > 0:
                    self._adopt_whole(found)
                    return True
        finally:
            for task in tasks:
                task.cancel()
        return False

    async def _boot_from_store(self) -> core.Configuration | None:
        # Peers protect the service when many routers restart together.
        if len(self._membership.known) > 1:
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        latest = await self._releases.latest()
        if latest.is_err():
            return None
        loaded = await self._releases.load(latest.ok())
        return loaded.ok()

    async def _boot_from_peers(self) -> core.Configuration | None:
        names = [
            name
            for name in self._membership.known
            if name != self._membership.own.name
        ]
        self._rng.shuffle(names)
        for name in names[: const.JOIN_PROBES]:
            found = await self._pull_whole(name)
            if found is not None and found.number > 0:
                return found
        return None

    async def _pull_whole(self, name: str) -> core.Configuration | None:
        answer = await self._peers.call(
            name,
            "Pull",
            peer_pb2.PullRequest(after_number=0),
            const.PULL_TIMEOUT_S,
        )
        if answer.is_err() or not answer.ok().pages:
            return None
        return _whole_of(answer.ok())

    async def run_bootstrap(self) -> None:
        """Tries to boot until there is a configuration."""
        pause = backoff.Backoff(
            const.BOOT_PAUSE_FIRST_S, const.BOOT_PAUSE_LAST_S, self._rng
        )
        while self.number == 0:
            if await self.bootstrap():
                return
            await asyncio.sleep(pause.next())

    async def run_reader(self) -> None:
        """Watches the head while this router is one of the readers."""
        pause = backoff.Backoff(
            const.WATCH_PAUSE_FIRST_S, const.WATCH_PAUSE_LAST_S, self._rng
        )
        while True:
            self._is_reader = self._is_selected_reader()
            if not self._is_reader:
                await asyncio.sleep(1.0)
                continue
            if await self._check_head():
                pause.reset()
                await self._watch_a_while()
            else:
                await asyncio.sleep(pause.next())

    def _is_selected_reader(self) -> bool:
        own = self._membership.own
        alive = self._membership.alive(own.data_centre)
        names = {member.name for member in alive} | {own.name}
        first = rendezvous.top(
            own.data_centre, names, const.READERS_PER_DATA_CENTRE
        )
        return own.name in first

    async def _watch_a_while(self) -> None:
        """Watches until the connection ends or another look is due."""
        due = self._now() + const.HEAD_CHECK_S * self._rng.uniform(0.8, 1.2)
        changes = self._store.watch(self._releases.latest_key)
        try:
            async with asyncio.timeout(due - self._now()):
                async for _ in changes:
                    await self._check_head()
        except TimeoutError:
            pass
        finally:
            await changes.aclose()

    async def _check_head(self) -> bool:
        read = await self._releases.latest()
        if read.is_err():
            return False
        latest = read.ok()
        if latest.number <= self.number:
            return True
        chain = await self._releases.notes_after(self._configuration, latest)
        if chain.is_err():
            return False
        for note in chain.ok():
            self._adopt_note(note, note.encode(), "")
        if self.number < latest.number:
            loaded = await self._releases.load(latest)
            if loaded.is_err():
                return False
            self._adopt_whole(loaded.ok())
        return True

    def apply_published(self, note: notes.Note) -> None:
        """Takes a note that this router has just published."""
        self._adopt_note(note, note.encode(), "")

    def _adopt_note(self, note: notes.Note, data: bytes, root: str) -> bool:
        """Applies a note that follows, and passes it on from `root`."""
        applied = notes.apply(self._configuration, note)
        if applied.is_err():
            return False
        self._recent[note.number] = data
        if len(self._recent) > const.KEPT_NOTES:
            del self._recent[next(iter(self._recent))]
        self._set(applied.ok())
        self._push(note.number, data, root)
        return True

    def _adopt_whole(self, configuration: core.Configuration) -> None:
        if configuration.number <= self.number:
            return
        self._recent.clear()
        self._set(configuration)

    def _set(self, configuration: core.Configuration) -> None:
        if configuration.number <= self._configuration.number:
            raise AssertionError("a release must never be reverted")
        self._configuration = configuration
        self._in_force_at[configuration.number] = self._now()
        if len(self._in_force_at) > const.KEPT_NOTES:
            del self._in_force_at[next(iter(self._in_force_at))]
        loguru.logger.info("releases: {} is in force.", configuration.number)
        for listener in self._listeners:
            listener(configuration)

    def _push(self, number: int, data: bytes, root: str) -> None:
        root = root or self._membership.own.name
        release = peer_pb2.Release(
            number=number, digest=self._configuration.digest, note=data
        )
        request = peer_pb2.PushRequest(sender=root, release=release)
        receivers = dict.fromkeys(self._children(root))
        receivers.update(dict.fromkeys(self._drawn()))
        for name in receivers:
            self._tasks.spawn(self._push_to(name, request))

    def _children(self, root: str) -> list[str]:
        """Returns the next routers in the tree that starts at `root`."""
        own = self._membership.own
        near = self._membership.reachable(own.data_centre)
        names = {member.name for member in near} | {own.name, root}
        order = rendezvous.rank(own.data_centre, names)
        turn = order.index(root)
        order = order[turn:] + order[:turn]
        place = order.index(own.name)
        first = place * const.RELAY_FANOUT + 1
        return order[first : first + const.RELAY_FANOUT]

    def _drawn(self) -> list[str]:
        """Returns some routers of the data centre at random."""
        own = self._membership.own
        names = [
            member.name
            for member in self._membership.reachable(own.data_centre)
            if member.name != own.name
        ]
        count = min(const.RANDOM_PUSHES, len(names))
        return self._rng.sample(names, count)

    async def _push_to(self, name: str, request: peer_pb2.PushRequest) -> None:
        for _ in range(const.PUSH_TRIES):
            pushed = await self._peers.call(
                name, "Push", request, const.PUSH_TIMEOUT_S
            )
            if pushed.is_ok():
                return

    async def on_push(
        self, request: peer_pb2.PushRequest
    ) -> peer_pb2.PushReply:
        """Takes a note from the tree and passes it on when it is new."""
        release = request.release
        if release.number > self.number:
            applied = False
            if core.content_digest(release.note) == release.digest:
                note = notes.decode(release.note)
                applied = self._adopt_note(note, release.note, request.sender)
            if not applied:
                self._on_newer(request.sender, release.number)
        return peer_pb2.PushReply(release_number=self.number)

    async def on_pull(
        self, request: peer_pb2.PullRequest
    ) -> peer_pb2.PullReply:
        """Gives the notes a peer lacks, or the whole state."""
        after = request.after_number
        reply = peer_pb2.PullReply(
            number=self.number, digest=self._configuration.digest
        )
        if after >= self.number:
            return reply
        wanted = range(after + 1, self.number + 1)
        if after > 0 and all(number in self._recent for number in wanted):
            for number in wanted:
                data = self._recent[number]
                reply.notes.append(
                    peer_pb2.Release(
                        number=number,
                        digest=core.content_digest(data),
                        note=data,
                    )
                )
            return reply
        reply.pages.extend(config_pages.build(self._configuration).values())
        return reply

    def _on_newer(self, name: str, number: int) -> None:
        if number <= self.number:
            return
        if number >= self._wanted[1]:
            self._wanted = (name, number)
        self._pull_now.set()

    async def run_puller(self) -> None:
        """Pulls from a peer that is known to have a newer release."""
        while True:
            await self._pull_now.wait()
            self._pull_now.clear()
            name, number = self._wanted
            if number <= self.number:
                continue
            if not await self._pull(name):
                self._wanted = ("", 0)
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))

    async def _pull(self, name: str) -> bool:
        # Missing notes are small; the whole state may take its time.
        timeout = const.PULL_NOTES_TIMEOUT_S
        if self.number == 0:
            timeout = const.PULL_TIMEOUT_S
        answer = await self._peers.call(
            name,
            "Pull",
            peer_pb2.PullRequest(after_number=self.number),
            timeout,
        )
        if answer.is_err():
            return False
        reply = answer.ok()
        for release in reply.notes:
            if core.content_digest(release.note) != release.digest:
                return False
            note = notes.decode(release.note)
            self._adopt_note(note, release.note, "")
        if reply.pages and reply.number > self.number:
            self._adopt_whole(_whole_of(reply))
        if reply.number > self.number:
            whole = await self._pull_whole(name)
            if whole is None:
                return False
            self._adopt_whole(whole)
        return True

    async def close(self) -> None:
        """Stops what is under way."""
        await self._tasks.close()


def _whole_of(reply: peer_pb2.PullReply) -> core.Configuration:
    raw = config_pages.decode(list(reply.pages))
    return core.Configuration(reply.number, reply.digest, raw)
