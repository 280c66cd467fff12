"""Distributes releases to all routers, which never go back to older ones.

A few routers of each data centre, the readers, watch the latest-release
pointer in the key-value service. All routers select the same readers by
rendezvous hashing. The readers and the publishing router push a new note down
a relay tree over the routers of their data centre. Probes carry release
numbers, and a router that sees a higher number than its own pulls the missing
releases from that peer, which repairs lost pushes.
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
    """Keeps the configuration that is in force at this router up to date."""

    def __init__(
        self,
        releases: release_store.ReleaseStore,
        store: key_value.KeyValueStore,
        membership: fleet_membership.Membership,
        peers: peer_links.PeerClient,
        rng: random.Random,
        now: Callable[[], float],
        wall: Callable[[], float],
    ):
        """Makes a distribution without a configuration.

        Args:
            releases: the releases in the store.
            store: the store, whose watches tell of new releases.
            membership: the other routers.
            peers: client for calls to them.
            rng: source of random delays and receivers.
            now: the monotonic clock.
            wall: the wall clock, by which readers take turns.
        """
        self._releases = releases
        self._store = store
        self._membership = membership
        self._peers = peers
        self._rng = rng
        self._now = now
        self._wall = wall
        self._configuration = core.empty_configuration()
        self._recent_notes: dict[int, bytes] = {}
        self._in_force_at: dict[int, float] = {}
        self._listeners: list[Callable[[core.Configuration], None]] = []
        self._is_reader = False
        self._newest_known: tuple[str, int] = ("", 0)
        self._pull_requested = asyncio.Event()
        self._tasks = background.Tasks()
        membership.set_newer_release_callback(self._on_newer_release)

    @property
    def configuration(self) -> core.Configuration:
        """The configuration in force at this router."""
        return self._configuration

    @property
    def number(self) -> int:
        """The number of the release in force at this router."""
        return self._configuration.number

    @property
    def is_reader(self) -> bool:
        """Whether this router watches the store for its data centre."""
        return self._is_reader

    def in_force_at(self, number: int) -> float:
        """Returns when a recent release came into force here; 0 if unknown."""
        return self._in_force_at.get(number, 0.0)

    def listen(self, listener: Callable[[core.Configuration], None]) -> None:
        """Registers a listener that is called with each new configuration."""
        self._listeners.append(listener)

    async def bootstrap(self) -> bool:
        """Loads a first configuration from the store or a peer.

        Both are tried at the same time, and the first result is used.
        """
        sources = [self._bootstrap_from_store(), self._bootstrap_from_peers()]
        tasks = [asyncio.create_task(source) for source in sources]
        try:
            for done in asyncio.as_completed(tasks):
                snapshot = await done
                if snapshot is not None and snapshot.number > 0:
                    self._adopt_snapshot(snapshot)
                    return True
        finally:
            for task in tasks:
                task.cancel()
        return False

    async def _bootstrap_from_store(self) -> core.Configuration | None:
        # Give peers time to reply first, to limit the load on the key-value
        # service when many routers restart together.
        if len(self._membership.known) > 1:
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        latest = await self._releases.latest()
        if latest.is_err():
            return None
        loaded = await self._releases.load(latest.ok())
        return loaded.ok()

    async def _bootstrap_from_peers(self) -> core.Configuration | None:
        names = [
            name
            for name in self._membership.known
            if name != self._membership.own.name
        ]
        self._rng.shuffle(names)
        for name in names[: const.JOIN_PEERS]:
            snapshot = await self._pull_snapshot(name)
            if snapshot is not None and snapshot.number > 0:
                return snapshot
        return None

    async def _pull_snapshot(self, name: str) -> core.Configuration | None:
        pulled = await self._peers.call(
            name,
            "Pull",
            peer_pb2.PullRequest(after_number=0),
            const.PULL_SNAPSHOT_TIMEOUT_S,
        )
        if pulled.is_err() or not pulled.ok().pages:
            return None
        return _decode_snapshot(pulled.ok())

    async def run_bootstrap(self) -> None:
        """Retries `bootstrap` until there is a configuration."""
        retry = backoff.Backoff(
            const.BOOTSTRAP_BACKOFF_MIN_S,
            const.BOOTSTRAP_BACKOFF_MAX_S,
            self._rng,
        )
        while self.number == 0:
            if await self.bootstrap():
                return
            await asyncio.sleep(retry.next_delay())

    async def run_reader(self) -> None:
        """Watches the latest-release pointer while this router is a reader."""
        retry = backoff.Backoff(
            const.WATCH_BACKOFF_MIN_S, const.WATCH_BACKOFF_MAX_S, self._rng
        )
        while True:
            self._is_reader = self._is_selected_reader()
            if not self._is_reader:
                await asyncio.sleep(1.0)
                continue
            if await self._poll_latest():
                retry.reset()
                await self._watch_until_poll()
            else:
                await asyncio.sleep(retry.next_delay())

    def _is_selected_reader(self) -> bool:
        own = self._membership.own
        return own.name in self._readers_of(own.data_centre)

    def _readers_of(self, data_centre: str) -> list[str]:
        own = self._membership.own
        alive = self._membership.alive(data_centre)
        names = {member.name for member in alive}
        if own.data_centre == data_centre:
            names.add(own.name)
        return rendezvous.top(data_centre, names, const.READERS_PER_DATA_CENTRE)

    def _time_to_poll_s(self) -> float:
        """Returns when it is this router's turn to poll, in seconds.

        The readers of all data centres take turns, so that a release that no
        watch reports is found by one of them soon, and pushed to all.
        """
        own = self._membership.own
        alive = self._membership.alive()
        data_centres = {m.data_centre for m in alive} | {own.data_centre}
        readers = sorted(
            {
                name
                for data_centre in data_centres
                for name in self._readers_of(data_centre)
            }
            | {own.name}
        )
        period_s = min(const.LATEST_POLL_S, const.MAX_POLL_GAP_S * len(readers))
        turn_s = period_s * readers.index(own.name) / len(readers)
        wait_s = (turn_s - self._wall()) % period_s
        # A turn that has just been taken is not taken again.
        return wait_s if wait_s > const.POLL_TURN_S else wait_s + period_s

    async def _watch_until_poll(self) -> None:
        """Watches until the watch ends or the next poll is due."""
        due = self._now() + self._time_to_poll_s()
        changes = self._store.watch(self._releases.latest_key)
        try:
            async with asyncio.timeout(due - self._now()):
                async for _ in changes:
                    await self._poll_latest()
        except TimeoutError:
            pass
        finally:
            await changes.aclose()

    async def _poll_latest(self) -> bool:
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
            self._apply_note(note, note.encode(), "")
        if self.number < latest.number:
            loaded = await self._releases.load(latest)
            if loaded.is_err():
                return False
            self._adopt_snapshot(loaded.ok())
        return True

    def apply_published(self, note: notes.Note) -> None:
        """Applies a note that this router has just published."""
        self._apply_note(note, note.encode(), "")

    def _apply_note(self, note: notes.Note, encoded: bytes, root: str) -> bool:
        """Applies the next note and pushes it on.

        Args:
            note: the note; it is refused unless it directly follows the
                release in force.
            encoded: its stored form.
            root: the root of the relay tree; empty for this router.

        Returns:
            Whether the note was applied.
        """
        applied = notes.apply(self._configuration, note)
        if applied.is_err():
            return False
        self._recent_notes[note.number] = encoded
        if len(self._recent_notes) > const.RECENT_NOTES:
            del self._recent_notes[next(iter(self._recent_notes))]
        self._activate(applied.ok())
        self._push(note.number, encoded, root)
        return True

    def _adopt_snapshot(self, configuration: core.Configuration) -> None:
        if configuration.number <= self.number:
            return
        self._recent_notes.clear()
        self._activate(configuration)

    def _activate(self, configuration: core.Configuration) -> None:
        if configuration.number <= self._configuration.number:
            raise AssertionError("a release must never be reverted")
        self._configuration = configuration
        self._in_force_at[configuration.number] = self._now()
        if len(self._in_force_at) > const.RECENT_NOTES:
            del self._in_force_at[next(iter(self._in_force_at))]
        loguru.logger.info(
            "releases: release {} is in force.", configuration.number
        )
        for listener in self._listeners:
            listener(configuration)

    def _push(self, number: int, encoded: bytes, root: str) -> None:
        root = root or self._membership.own.name
        release = peer_pb2.Release(
            number=number, digest=self._configuration.digest, note=encoded
        )
        request = peer_pb2.PushRequest(sender=root, release=release)
        receivers = dict.fromkeys(self._relay_targets(root))
        receivers.update(dict.fromkeys(self._random_targets()))
        for name in receivers:
            self._tasks.spawn(self._push_to(name, request))

    def _relay_targets(self, root: str) -> list[str]:
        """Returns this router's children in the relay tree of `root`."""
        own = self._membership.own
        reachable = self._membership.reachable(own.data_centre)
        names = {member.name for member in reachable} | {own.name, root}
        ranked = rendezvous.rank(own.data_centre, names)
        root_index = ranked.index(root)
        ranked = ranked[root_index:] + ranked[:root_index]
        own_index = ranked.index(own.name)
        first_child = own_index * const.RELAY_FANOUT + 1
        return ranked[first_child : first_child + const.RELAY_FANOUT]

    def _random_targets(self) -> list[str]:
        """Returns some random routers of this data centre."""
        own = self._membership.own
        names = [
            member.name
            for member in self._membership.reachable(own.data_centre)
            if member.name != own.name
        ]
        count = min(const.RANDOM_PUSHES, len(names))
        return self._rng.sample(names, count)

    async def _push_to(self, name: str, request: peer_pb2.PushRequest) -> None:
        for _ in range(const.PUSH_ATTEMPTS):
            pushed = await self._peers.call(
                name, "Push", request, const.PUSH_TIMEOUT_S
            )
            if pushed.is_ok():
                return

    async def on_push(
        self, request: peer_pb2.PushRequest
    ) -> peer_pb2.PushReply:
        """Applies a pushed note if it is new, and pushes it on.

        A note that cannot be applied triggers a pull from the sender.
        """
        release = request.release
        if release.number > self.number:
            applied = False
            if core.content_digest(release.note) == release.digest:
                note = notes.decode(release.note)
                applied = self._apply_note(note, release.note, request.sender)
            if not applied:
                self._on_newer_release(request.sender, release.number)
        return peer_pb2.PushReply(release_number=self.number)

    async def on_pull(
        self, request: peer_pb2.PullRequest
    ) -> peer_pb2.PullReply:
        """Returns the notes that a peer lacks, or a snapshot of all pages.

        Notes are returned only if all of them are still in memory.
        """
        after = request.after_number
        reply = peer_pb2.PullReply(
            number=self.number, digest=self._configuration.digest
        )
        if after >= self.number:
            return reply
        missing = range(after + 1, self.number + 1)
        if after > 0 and all(
            number in self._recent_notes for number in missing
        ):
            for number in missing:
                encoded = self._recent_notes[number]
                reply.notes.append(
                    peer_pb2.Release(
                        number=number,
                        digest=core.content_digest(encoded),
                        note=encoded,
                    )
                )
            return reply
        reply.pages.extend(config_pages.build(self._configuration).values())
        return reply

    def _on_newer_release(self, name: str, number: int) -> None:
        if number <= self.number:
            return
        if number >= self._newest_known[1]:
            self._newest_known = (name, number)
        self._pull_requested.set()

    async def run_puller(self) -> None:
        """Pulls releases whenever a peer is known to have a newer one."""
        while True:
            await self._pull_requested.wait()
            self._pull_requested.clear()
            name, number = self._newest_known
            if number <= self.number:
                continue
            if not await self._pull(name):
                self._newest_known = ("", 0)
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))

    async def _pull(self, name: str) -> bool:
        # Notes are small; a first snapshot may need the longer timeout.
        timeout = const.PULL_NOTES_TIMEOUT_S
        if self.number == 0:
            timeout = const.PULL_SNAPSHOT_TIMEOUT_S
        pulled = await self._peers.call(
            name,
            "Pull",
            peer_pb2.PullRequest(after_number=self.number),
            timeout,
        )
        if pulled.is_err():
            return False
        reply = pulled.ok()
        for release in reply.notes:
            if core.content_digest(release.note) != release.digest:
                return False
            note = notes.decode(release.note)
            self._apply_note(note, release.note, "")
        if reply.pages and reply.number > self.number:
            self._adopt_snapshot(_decode_snapshot(reply))
        if reply.number > self.number:
            snapshot = await self._pull_snapshot(name)
            if snapshot is None:
                return False
            self._adopt_snapshot(snapshot)
        return True

    async def close(self) -> None:
        """Cancels pushes that are under way."""
        await self._tasks.close()


def _decode_snapshot(reply: peer_pb2.PullReply) -> core.Configuration:
    raw = config_pages.decode(list(reply.pages))
    return core.Configuration(reply.number, reply.digest, raw)
