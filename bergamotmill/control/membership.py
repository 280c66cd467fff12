"""Which routers are alive, by probes among neighbours and passed-on news.

Each router probes one other at a time, mostly in its own data centre, and
asks others to probe on its behalf before it suspects anyone. News rides on
the probes. A member that hears of its own suspicion speaks against it with a
higher sequence number. The cost per router does not grow with the fleet.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import dataclasses
import math
import random

import loguru

from bergamotmill.control import const
from bergamotmill.control import members
from bergamotmill.control import peers as peer_links
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
        self._suspected_at: dict[str, float] = {}
        self._dead_at: dict[str, float] = {}
        self._releases: dict[str, int] = {}
        self._updates = members.UpdateQueue()
        self._rounds: dict[str, list[str]] = {}
        self._alive: dict[str, tuple[members.Member, ...]] = {}
        self._round = 0
        self._listed: set[str] = set()
        self._listed_leaving: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []
        self._behind: Callable[[str, int], None] = lambda name, number: None

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
        """The release number last heard of each router."""
        return self._releases

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls the listener when the set of serving routers changes."""
        self._listeners.append(listener)

    def on_newer_release(self, callback: Callable[[str, int], None]) -> None:
        """Calls back when a peer has a newer release."""
        self._behind = callback

    def alive(self, data_centre: str = "") -> tuple[members.Member, ...]:
        """Returns routers that answer and stay, of one data centre or all.

        It is asked for with each request, and computed when it changes.
        """
        found = self._alive.get(data_centre)
        if found is None:
            found = tuple(
                member
                for member in self._members.values()
                if member.state is State.ALIVE
                and member.incarnation > 0
                and member.name not in self._listed_leaving
                and (not data_centre or member.data_centre == data_centre)
            )
            self._alive[data_centre] = found
        return found

    def reachable(self, data_centre: str) -> list[members.Member]:
        """Returns routers of a data centre that may well be alive.

        Suspects count: most suspicions are false, and what is sent to a
        dead router is lost without harm.
        """
        return [
            member
            for member in self._members.values()
            if member.state in (State.ALIVE, State.SUSPECT)
            and member.data_centre == data_centre
        ]

    def peer_address(self, name: str) -> str:
        """Returns where a router takes peers' calls; empty if unknown."""
        member = self._members.get(name)
        return "" if member is None else member.peer_address

    def apply_vm_list(self, vms: Iterable[vm_config.Vm]) -> None:
        """Takes the platform's list: new names are probed, old ones go."""
        routers = [vm for vm in vms if vm.role == vm_const.ROLE_ROUTER]
        self._listed = {vm.name for vm in routers}
        leaving = frozenset(
            vm.name for vm in routers if vm.state == vm_const.STATE_LEAVING
        )
        for vm in routers:
            known = self._members.get(vm.name)
            if known is None or known.incarnation == 0:
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
            self._changed()
        self._forget()

    def leave(self) -> None:
        """Tells the fleet that this router is leaving."""
        self._set_own(State.LEAVING)
        loguru.logger.info("membership: leaving.")

    async def join(self) -> None:
        """Probes some listed routers at once, to be known and to know."""
        names = [name for name in self._members if name != self._own.name]
        self._rng.shuffle(names)
        await asyncio.gather(
            *(self.probe(name) for name in names[: const.JOIN_PROBES])
        )

    async def announce(self) -> None:
        """Tells all routers that may be alive of this one's state."""
        names = [
            member.name
            for member in self._members.values()
            if member.state in (State.ALIVE, State.SUSPECT)
            and member.name != self._own.name
        ]
        await asyncio.gather(
            *(self._ping(name, "") for name in names[: const.JOIN_PROBES])
        )

    async def run(self) -> None:
        """Probes for ever."""
        while True:
            started = self._now()
            await self.step()
            spent = self._now() - started
            period = const.PROBE_PERIOD_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(max(0.01, period - spent))

    async def step(self) -> None:
        """Probes one router and settles old suspicions."""
        self._settle_suspicions()
        name = self._next_target()
        if name:
            await self.probe(name)

    def _next_target(self) -> str:
        self._round += 1
        group = "near"
        if self._round % const.UNREACHABLE_EVERY == 0:
            group = "unreachable"
        elif self._round % const.OTHER_DATA_CENTRE_EVERY == 0:
            group = "far"
        return (
            self._next_of(group)
            or self._next_of("near")
            or self._next_of("far")
            or self._next_of("unreachable")
        )

    def _next_of(self, group: str) -> str:
        queue = self._rounds.setdefault(group, [])
        while queue:
            name = queue.pop()
            if name in self._members and self._group(name) == group:
                return name
        queue.extend(
            name for name in self._members if self._group(name) == group
        )
        self._rng.shuffle(queue)
        return queue.pop() if queue else ""

    def _group(self, name: str) -> str:
        if name == self._own.name:
            return ""
        member = self._members[name]
        if member.state is State.DEAD or member.incarnation == 0:
            return "unreachable"
        if member.data_centre == self._own.data_centre:
            return "near"
        return "far"

    async def probe(self, name: str) -> bool:
        """Probes a router, then through others; suspects it on silence."""
        for _ in range(const.PROBE_TRIES):
            if await self._ping(name, ""):
                return True
        member = self._members.get(name)
        if member is None or member.state is State.DEAD:
            return False
        helpers = [other.name for other in self.alive() if other.name != name]
        helpers = [item for item in helpers if item != self._own.name]
        self._rng.shuffle(helpers)
        answers = await asyncio.gather(
            *(
                self._ping(helper, name)
                for helper in helpers[: const.RELAYED_PROBES]
            )
        )
        if any(answers):
            return True
        self._suspect(name)
        return False

    async def _ping(self, name: str, relay_to: str) -> bool:
        request = peer_pb2.PingRequest(
            sender=self._own.to_proto(),
            updates=self._news_for(name),
            release_number=self._release_number(),
            relay_to=relay_to,
        )
        timeout = const.PROBE_TIMEOUT_S * (2 if relay_to else 1)
        answer = await self._peers.call(name, "Ping", request, timeout)
        if answer.is_err():
            return False
        reply = answer.ok()
        self._heard_from(reply.sender, reply.release_number)
        self._merge_all(reply.updates)
        return reply.relay_answered if relay_to else True

    async def on_ping(
        self, request: peer_pb2.PingRequest
    ) -> peer_pb2.PingReply:
        """Answers a probe, or passes it on."""
        self._heard_from(request.sender, request.release_number)
        self._merge_all(request.updates)
        answered = False
        if request.relay_to:
            answered = await self._ping(request.relay_to, "")
        return peer_pb2.PingReply(
            sender=self._own.to_proto(),
            updates=self._news_for(request.sender.name),
            release_number=self._release_number(),
            relay_answered=answered,
        )

    def _heard_from(self, sender: peer_pb2.Member, release_number: int) -> None:
        member = members.from_proto(sender)
        if member.name == self._own.name:
            return
        self._releases[member.name] = release_number
        known = self._members.get(member.name)
        if known is None or member.precedence() > known.precedence():
            self._put(member)
        if release_number > self._release_number():
            self._behind(member.name, release_number)

    def _merge_all(self, updates: Iterable[peer_pb2.Member]) -> None:
        for update in updates:
            self._merge(members.from_proto(update))

    def _merge(self, news: members.Member) -> None:
        if news.name == self._own.name:
            self._answer_suspicion(news)
            return
        known = self._members.get(news.name)
        if known is None:
            if news.state is State.ALIVE:
                self._put(news)
            return
        if news.precedence() > known.precedence():
            self._put(news)

    def _answer_suspicion(self, news: members.Member) -> None:
        own = self._own
        if news.incarnation != own.incarnation or news.state is State.ALIVE:
            return
        if news.sequence >= own.sequence and news.state is not own.state:
            self._own = dataclasses.replace(own, sequence=news.sequence + 1)
            self._put(self._own)

    def _set_own(self, state: State) -> None:
        own = self._own
        self._own = dataclasses.replace(
            own, state=state, sequence=own.sequence + 1
        )
        self._put(self._own)

    def _put(self, member: members.Member) -> None:
        known = self._members.get(member.name)
        self._members[member.name] = member
        if member.state is State.SUSPECT:
            self._suspected_at.setdefault(member.name, self._now())
        else:
            self._suspected_at.pop(member.name, None)
        if member.state is State.DEAD:
            self._dead_at.setdefault(member.name, self._now())
        else:
            self._dead_at.pop(member.name, None)
        factor = const.SPREAD_FACTOR
        if member.state is State.ALIVE and member.sequence == 0:
            factor = const.JOIN_SPREAD_FACTOR
        times = factor * math.ceil(math.log2(len(self._members) + 1))
        self._updates.add(member.name, times)
        if known is None or _serving(known) != _serving(member):
            self._changed()

    def _suspect(self, name: str) -> None:
        member = self._members.get(name)
        if member is None or member.state is not State.ALIVE:
            return
        if member.incarnation == 0:
            return
        self._put(dataclasses.replace(member, state=State.SUSPECT))

    def _settle_suspicions(self) -> None:
        now = self._now()
        for name, at in list(self._suspected_at.items()):
            if now - at < const.SUSPECT_S:
                continue
            member = self._members.get(name)
            self._suspected_at.pop(name, None)
            if member is not None and member.state is State.SUSPECT:
                loguru.logger.warning("membership: {} is gone.", name)
                self._put(dataclasses.replace(member, state=State.DEAD))

    def _forget(self) -> None:
        now = self._now()
        for name, at in list(self._dead_at.items()):
            if name not in self._listed and now - at > const.FORGET_S:
                self._remove(name)
        for name, member in list(self._members.items()):
            if member.incarnation == 0 and name not in self._listed:
                self._remove(name)
            if (
                member.state is State.LEAVING
                and name not in self._listed
                and name != self._own.name
            ):
                self._remove(name)

    def _remove(self, name: str) -> None:
        self._alive.clear()
        self._members.pop(name, None)
        self._dead_at.pop(name, None)
        self._suspected_at.pop(name, None)
        self._releases.pop(name, None)

    def _news_for(self, receiver: str) -> list[peer_pb2.Member]:
        """Returns news to send; a suspect always hears of its suspicion."""
        names = self._updates.take(const.UPDATES_PER_MESSAGE)
        known = self._members.get(receiver)
        suspected = known is not None and known.state is not State.ALIVE
        if suspected and receiver not in names:
            names.append(receiver)
        return [
            self._members[name].to_proto()
            for name in names
            if name in self._members
        ]

    def _changed(self) -> None:
        self._alive.clear()
        for listener in self._listeners:
            listener()


def _serving(member: members.Member) -> tuple[bool, int]:
    return member.state is State.ALIVE, member.incarnation
