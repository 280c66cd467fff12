"""SWIM-style gossip membership of the routers.

In each round a router probes one other router, mostly in its own data centre;
membership updates are piggybacked on probes and their replies. A suspected
member refutes the suspicion with a higher sequence number. The cost per router
does not grow with the size of the fleet.

Which routers are alive is decided by `control/liveness.py`; the rounds here
repair what its messages have missed.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
import dataclasses
import math
import random

import loguru

from bergamotmill.control import const
from bergamotmill.control import members
from bergamotmill.control import peers as peer_links
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.storage.vm_list import const as vm_const

State = members.MemberState


class Membership:
    """One router's view of the fleet."""

    def __init__(
        self,
        own: members.Member,
        peers: peer_links.PeerClient,
        rng: random.Random,
        now: Callable[[], float],
        release_number: Callable[[], int],
    ):
        self._own = own
        self._peers = peers
        self._rng = rng
        self._now = now
        self._release_number = release_number
        self._members: dict[str, members.Member] = {own.name: own}
        self._suspected_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._reported_releases: dict[str, int] = {}
        self._updates = members.UpdateQueue()
        self._probe_queues: dict[str, list[str]] = {}
        self._alive_cache: dict[str, tuple[members.Member, ...]] = {}
        self._round_number = 0
        self._listed_names: set[str] = set()
        self._listed_leaving: frozenset[str] = frozenset()
        self._isolated = False
        self._alive_digest = own.digest()
        self._alive_digest_at = now()
        self._known_version = 0
        self._listeners: list[Callable[[], None]] = []
        self._change_callback: Callable[[members.Member], None] = (
            lambda member: None
        )
        self._contact_callback: Callable[[str], None] = lambda name: None
        self._verify: Callable[[str], Awaitable[bool]] | None = None
        self._difference_callback: Callable[[str], None] = lambda name: None
        self._newer_release_callback: Callable[[str, int], None] = (
            lambda name, number: None
        )

    @property
    def own(self) -> members.Member:
        """This router."""
        return self._own

    @property
    def known(self) -> Mapping[str, members.Member]:
        """All known routers by name, this one included."""
        return self._members

    @property
    def release_numbers(self) -> Mapping[str, int]:
        """The release number that each router last reported."""
        return self._reported_releases

    @property
    def known_version(self) -> int:
        """Number that changes with the known routers and who serves."""
        return self._known_version

    @property
    def own_release_number(self) -> int:
        """The release number of this router."""
        return self._release_number()

    def listen(self, listener: Callable[[], None]) -> None:
        """Registers a listener for changes of the set of serving routers."""
        self._listeners.append(listener)

    def set_newer_release_callback(
        self, callback: Callable[[str, int], None]
    ) -> None:
        """Registers the callback for a peer that reports a newer release."""
        self._newer_release_callback = callback

    def set_liveness_callbacks(
        self,
        on_change: Callable[[members.Member], None],
        on_contact: Callable[[str], None],
        verify: Callable[[str], Awaitable[bool]],
        on_difference: Callable[[str], None],
    ) -> None:
        """Connects the component that decides which routers are alive.

        Args:
            on_change: called with each member that starts or stops serving.
            on_contact: called with the name of each router that is heard.
            verify: checks a router that did not answer a probe; returns
                whether it is alive.
            on_difference: called with the name of a router that disagrees on
                who is alive, though nothing has changed for a time.
        """
        self._change_callback = on_change
        self._contact_callback = on_contact
        self._verify = verify
        self._difference_callback = on_difference

    def alive_digest(self) -> peer_pb2.AliveDigest:
        """Returns a digest of the members that count as alive."""
        age_s = self._now() - self._alive_digest_at
        return peer_pb2.AliveDigest(
            digest=self._alive_digest,
            age_ms=int(min(age_s, const.FORGET_DEAD_S) * 1000),
        )

    def compare_alive(self, name: str, other: peer_pb2.AliveDigest) -> None:
        """Compares another router's digest with the own one."""
        own = self.alive_digest()
        settled_ms = const.SETTLED_S * 1000
        if other.digest != own.digest and (
            min(own.age_ms, other.age_ms) >= settled_ms
        ):
            self._difference_callback(name)

    def set_isolated(self, isolated: bool) -> None:
        """Sets whether this router hears no other one.

        It cannot tell then whether the others are dead or it is cut off. None
        of them counts as alive, and none is suspected.
        """
        if isolated == self._isolated:
            return
        self._isolated = isolated
        decisions.record("isolated", isolated=isolated)
        self._on_serving_changed()

    def alive(self, data_centre: str = "") -> tuple[members.Member, ...]:
        """Returns the alive routers of one data centre, or of all.

        Suspect, dead and leaving routers are left out. The result is cached
        until it changes, because each request needs it.
        """
        serving = self._alive_cache.get(data_centre)
        if serving is None:
            serving = tuple(
                member
                for member in self._members.values()
                if member.is_serving
                and member.name not in self._listed_leaving
                and (not data_centre or member.data_centre == data_centre)
                and (not self._isolated or member.name == self._own.name)
            )
            self._alive_cache[data_centre] = serving
        return serving

    def reachable(self, data_centre: str) -> list[members.Member]:
        """Returns the alive and suspect routers of a data centre.

        Suspects are included: most suspicions are false, and a message to a
        dead router is lost without harm.
        """
        return [
            member
            for member in self._members.values()
            if member.state in (State.ALIVE, State.SUSPECT)
            and member.data_centre == data_centre
        ]

    def other_names(self) -> list[str]:
        """Returns all other routers that are not known to be dead or leaving.

        This includes routers that are listed but have not been probed yet.
        """
        return [
            member.name
            for member in self._members.values()
            if member.state in (State.ALIVE, State.SUSPECT)
            and member.name != self._own.name
        ]

    def peer_address(self, name: str) -> str:
        """Returns the address for peer calls; empty for an unknown router."""
        member = self._members.get(name)
        return "" if member is None else member.peer_address

    def apply_vm_list(self, vms: Iterable[vm_config.Vm]) -> None:
        """Applies the platform's list of VMs.

        Adds listed routers as members to probe, and removes members that have
        left and are no longer listed.
        """
        routers = [vm for vm in vms if vm.role == vm_const.ROLE_ROUTER]
        self._listed_names = {vm.name for vm in routers}
        leaving = frozenset(
            vm.name for vm in routers if vm.state == vm_const.STATE_LEAVING
        )
        for vm in routers:
            known = self._members.get(vm.name)
            if known is None or known.incarnation == 0:
                self._known_version += known is None
                self._members[vm.name] = members.Member(
                    vm.name,
                    0,
                    State.ALIVE,
                    0,
                    vm.peer,
                    vm.front,
                    vm.data_centre,
                )
        if leaving != self._listed_leaving:
            self._listed_leaving = leaving
            self._on_serving_changed()
        self._remove_departed()

    def leave(self) -> None:
        """Marks this router as leaving, which the next probes announce."""
        self._set_own_state(State.LEAVING)
        loguru.logger.info("membership: this router is leaving.")

    async def join(self) -> None:
        """Probes some known routers at once to exchange membership updates."""
        names = [name for name in self._members if name != self._own.name]
        self._rng.shuffle(names)
        await asyncio.gather(
            *(
                self.ping(name, all_members=index < const.SYNC_PEERS)
                for index, name in enumerate(names[: const.JOIN_PEERS])
            )
        )

    async def run(self) -> None:
        """Runs a probe round in each probe period, until cancelled."""
        while True:
            started = self._now()
            await self.run_round()
            spent = self._now() - started
            period = const.PROBE_PERIOD_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(max(0.01, period - spent))

    async def run_round(self) -> None:
        """Expires old suspicions and probes one router."""
        self._expire_suspicions()
        name = self._select_target()
        if not name or await self.ping(name):
            return
        member = self._members.get(name)
        is_serving = member is not None and member.is_serving
        if is_serving and self._verify is not None:
            await self._verify(name)

    def _select_target(self) -> str:
        self._round_number += 1
        group = "near"
        if self._round_number % const.UNREACHABLE_EVERY_ROUNDS == 0:
            group = "unreachable"
        elif self._round_number % const.OTHER_DATA_CENTRE_EVERY_ROUNDS == 0:
            group = "far"
        return (
            self._pop_target(group)
            or self._pop_target("near")
            or self._pop_target("far")
            or self._pop_target("unreachable")
        )

    def _pop_target(self, group: str) -> str:
        queue = self._probe_queues.setdefault(group, [])
        while queue:
            name = queue.pop()
            if name in self._members and self._probe_group(name) == group:
                return name
        queue.extend(
            name for name in self._members if self._probe_group(name) == group
        )
        self._rng.shuffle(queue)
        return queue.pop() if queue else ""

    def _probe_group(self, name: str) -> str:
        if name == self._own.name:
            return ""
        member = self._members[name]
        if member.state is State.DEAD or member.incarnation == 0:
            return "unreachable"
        if member.data_centre == self._own.data_centre:
            return "near"
        return "far"

    async def ping(
        self, name: str, relay_to: str = "", all_members: bool = False
    ) -> bool:
        """Probes a router, and exchanges membership updates.

        Args:
            name: the router to call.
            relay_to: the router to probe through it; empty for itself.
            all_members: whether to request all that it knows. Members that it
                does not know are verified.

        Returns:
            Whether the router that was to be probed has answered.
        """
        request = peer_pb2.PingRequest(
            sender=self._own.to_proto(),
            updates=self._next_updates(name),
            release_number=self._release_number(),
            relay_to=relay_to,
            all_members=all_members,
            alive=self.alive_digest(),
        )
        timeout = const.PROBE_TIMEOUT_S * (2 if relay_to else 1)
        pinged = await self._peers.call(name, "Ping", request, timeout)
        if pinged.is_err():
            return False
        reply = pinged.ok()
        self._record_contact(reply.sender, reply.release_number)
        self._merge_updates(
            reply.updates, reply.sender.name, spread=not all_members
        )
        if all_members:
            await self._verify_others(reply)
        else:
            self.compare_alive(reply.sender.name, reply.alive)
        return reply.relay_answered if relay_to else True

    async def _verify_others(self, reply: peer_pb2.PingReply) -> None:
        """Verifies the routers that count as alive only here."""
        if self._verify is None:
            return
        confirmed = {member.name for member in reply.updates}
        confirmed |= {self._own.name, reply.sender.name}
        await asyncio.gather(
            *(
                self._verify(name)
                for name, member in list(self._members.items())
                if member.is_serving and name not in confirmed
            )
        )

    async def on_ping(
        self, request: peer_pb2.PingRequest
    ) -> peer_pb2.PingReply:
        """Answers a probe, after probing `relay_to` if it is set."""
        self._record_contact(request.sender, request.release_number)
        self._merge_updates(request.updates, request.sender.name, True)
        if not request.all_members:
            self.compare_alive(request.sender.name, request.alive)
        relay_answered = False
        if request.relay_to:
            relay_answered = await self.ping(request.relay_to)
        updates = self._next_updates(request.sender.name)
        if request.all_members:
            updates = [
                member.to_proto()
                for member in self._members.values()
                if member.incarnation > 0
            ]
        return peer_pb2.PingReply(
            sender=self._own.to_proto(),
            updates=updates,
            release_number=self._release_number(),
            relay_answered=relay_answered,
            alive=self.alive_digest(),
        )

    def _record_contact(
        self, sender: peer_pb2.Member, release_number: int
    ) -> None:
        member = members.from_proto(sender)
        if member.name == self._own.name:
            return
        self.note_release(member.name, release_number)
        self._contact_callback(member.name)
        self.merge(member, member.name)

    def note_release(self, name: str, number: int) -> None:
        """Records the release number that a router reports."""
        self._reported_releases[name] = number
        if number > self._release_number():
            self._newer_release_callback(name, number)

    def merge(
        self, update: members.Member, source: str, spread: bool = True
    ) -> None:
        """Applies an update about a router, if it is news.

        Args:
            update: the update.
            source: the router that sent it.
            spread: whether others are told if it changes who is alive.
        """
        if update.name == self._own.name:
            self._refute_suspicion(update, source)
            return
        known = self._members.get(update.name)
        if known is None or update.precedence() > known.precedence():
            self._store_member(update, source, spread)

    def _merge_updates(
        self, updates: Iterable[peer_pb2.Member], source: str, spread: bool
    ) -> None:
        for update in updates:
            self.merge(members.from_proto(update), source, spread)

    def _refute_suspicion(self, update: members.Member, source: str) -> None:
        own = self._own
        if update.incarnation != own.incarnation or update.state is State.ALIVE:
            return
        if update.sequence >= own.sequence and update.state is not own.state:
            self._own = dataclasses.replace(own, sequence=update.sequence + 1)
            decisions.record(
                "suspicion_refuted",
                state=update.state.name.lower(),
                sequence=self._own.sequence,
                source=source,
            )
            self._store_member(self._own, own.name)
            self._change_callback(self._own)

    def _set_own_state(self, state: State) -> None:
        own = self._own
        self._own = dataclasses.replace(
            own, state=state, sequence=own.sequence + 1
        )
        self._store_member(self._own, own.name)

    def _store_member(
        self, member: members.Member, source: str, spread: bool = True
    ) -> None:
        known = self._members.get(member.name)
        self._note_replaced(known, member)
        if known is None or _serving_state(known) != _serving_state(member):
            decisions.record(
                "member",
                member=member.name,
                state=member.state.name.lower(),
                before="" if known is None else known.state.name.lower(),
                incarnation=member.incarnation,
                sequence=member.sequence,
                source=source,
            )
        self._members[member.name] = member
        if member.state is State.SUSPECT:
            self._suspected_since.setdefault(member.name, self._now())
        else:
            self._suspected_since.pop(member.name, None)
        if member.state is State.DEAD:
            self._dead_since.setdefault(member.name, self._now())
        else:
            self._dead_since.pop(member.name, None)
        factor = const.GOSSIP_FACTOR
        if member.state is State.ALIVE and member.sequence == 0:
            factor = const.JOIN_GOSSIP_FACTOR
        if spread:
            doublings = math.ceil(math.log2(len(self._members) + 1))
            self._updates.add(member.name, factor * doublings)
        if known is None or _serving_state(known) != _serving_state(member):
            self._on_serving_changed()
            if spread and (known is not None or member.is_serving):
                self._change_callback(member)

    def _note_replaced(
        self, known: members.Member | None, member: members.Member | None
    ) -> None:
        """Updates what is derived from all members, for one that changes."""
        before = known.digest() if known and known.is_serving else 0
        after = member.digest() if member and member.is_serving else 0
        if before != after:
            self._alive_digest ^= before ^ after
            self._alive_digest_at = self._now()
        if known is None or member is None or known.state is not member.state:
            self._known_version += 1

    def suspect(self, name: str, source: str) -> None:
        """Marks a router that cannot be reached as suspect."""
        member = self._members.get(name)
        if member is not None and member.is_serving:
            self._store_member(
                dataclasses.replace(member, state=State.SUSPECT), source
            )

    def _expire_suspicions(self) -> None:
        now = self._now()
        for name, since in list(self._suspected_since.items()):
            if now - since < const.SUSPECT_S:
                continue
            member = self._members.get(name)
            self._suspected_since.pop(name, None)
            if member is not None and member.state is State.SUSPECT:
                self._store_member(
                    dataclasses.replace(member, state=State.DEAD), "timeout"
                )

    def _remove_departed(self) -> None:
        now = self._now()
        for name, since in list(self._dead_since.items()):
            if (
                name not in self._listed_names
                and now - since > const.FORGET_DEAD_S
            ):
                self._remove(name)
        for name, member in list(self._members.items()):
            if member.incarnation == 0 and name not in self._listed_names:
                self._remove(name)
            if (
                member.state is State.LEAVING
                and name not in self._listed_names
                and name != self._own.name
            ):
                self._remove(name)

    def _remove(self, name: str) -> None:
        self._alive_cache.clear()
        self._note_replaced(self._members.pop(name, None), None)
        self._dead_since.pop(name, None)
        self._suspected_since.pop(name, None)
        self._reported_releases.pop(name, None)

    def _next_updates(self, receiver: str) -> list[peer_pb2.Member]:
        """Returns the updates for the next message to a router.

        A receiver that this router does not see as alive always gets the update
        about itself, so that it can refute a suspicion.
        """
        names = self._updates.next_names(const.UPDATES_PER_MESSAGE)
        known = self._members.get(receiver)
        suspected = known is not None and known.state is not State.ALIVE
        if suspected and receiver not in names:
            names.append(receiver)
        return [
            self._members[name].to_proto()
            for name in names
            if name in self._members
        ]

    def _on_serving_changed(self) -> None:
        self._alive_cache.clear()
        for listener in self._listeners:
            listener()


def _serving_state(member: members.Member) -> tuple[bool, int]:
    return member.is_serving, member.incarnation
