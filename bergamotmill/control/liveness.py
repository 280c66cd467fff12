"""Decides which routers are alive, and tells the others.

Each router checks a few others (`control/watch.py`). One that does not answer
is verified by a call and through other routers, and is suspected if none
reaches it. Changes of who is alive are sent at once to some routers, which
pass them on; the gossip of `control/membership.py` repairs what is lost.

A router names only those to callers that it knows to be alive: watched ones
have to be heard again and again, and what it knew before it was suspended or
cut off does not count until it is confirmed.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import math
import random
from typing import Protocol

from bergamotmill.control import const
from bergamotmill.control import members
from bergamotmill.control import membership as fleet_membership
from bergamotmill.control import watch
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2
from bergamotmill.util import tasks as background

State = members.MemberState
SendMessage = Callable[[str, peer_pb2.NotifyRequest], None]


class ChangeSpreader:
    """Sends changes of who is alive to some routers, which pass them on."""

    def __init__(
        self,
        membership: fleet_membership.Membership,
        send: SendMessage,
        rng: random.Random,
    ):
        """Makes a spreader.

        Args:
            membership: the members.
            send: sends a message, which may be lost, to a router by name.
            rng: selects the receivers.
        """
        self._membership = membership
        self._send = send
        self._rng = rng
        self._pending: dict[str, None] = {}
        self._timers: set[asyncio.TimerHandle] = set()

    def on_change(self, member: members.Member) -> None:
        """Queues a change of a member."""
        is_start = member.state is State.ALIVE and member.sequence == 0
        fleet_size = len(self._membership.known)
        if is_start and fleet_size > const.SPREAD_STARTS_MAX_ROUTERS:
            return
        if not self._pending:
            self._call_later(const.SPREAD_DELAY_S, self.flush)
        self._pending[member.name] = None

    def flush(self) -> None:
        """Sends the queued changes now, and once more after a time."""
        names = list(self._pending)
        self._pending.clear()
        if names:
            self._send_all(names)
            self._call_later(const.SPREAD_REPEAT_S, self._send_all, names)

    def _send_all(self, names: list[str]) -> None:
        for first in range(0, len(names), const.UPDATES_PER_MESSAGE):
            self._send_changes(names[first : first + const.UPDATES_PER_MESSAGE])

    def _send_changes(self, names: list[str]) -> None:
        known = self._membership.known
        changed = [known[name] for name in names if name in known]
        notice = peer_pb2.MembersNotice(
            sender=self._membership.own.name,
            members=[member.to_proto() for member in changed],
        )
        others = self._membership.other_names()
        receivers = dict.fromkeys(
            self._rng.sample(others, min(const.SPREAD_FANOUT, len(others)))
        )
        # A suspect that is alive refutes the suspicion.
        for member in changed:
            if member.state is State.SUSPECT:
                receivers[member.name] = None
        for name in receivers:
            self._send(name, peer_pb2.NotifyRequest(members=[notice]))

    def on_notice(self, notice: peer_pb2.MembersNotice) -> None:
        """Applies the changes that another router sends."""
        for member in notice.members:
            self._membership.merge(members.from_proto(member), notice.sender)

    def _call_later(self, delay_s: float, callback, *arguments) -> None:
        def call() -> None:
            self._timers.discard(timer)
            callback(*arguments)

        timer = asyncio.get_running_loop().call_later(delay_s, call)
        self._timers.add(timer)

    def close(self) -> None:
        """Drops what has not been sent."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()


class StoreReports(Protocol):
    """What routers tell each other of the platform's store."""

    def report(self) -> peer_pb2.StoreReport | None:
        """Returns what this router knows; None for nothing."""

    def merge(self, report: peer_pb2.StoreReport) -> None:
        """Adds what another router knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """Connections of the liveness monitor.

    Attributes:
        send: sends a message, which may be lost, to a router by name.
        checks_by_calls: whether routers are checked by calls, as there are no
            datagrams.
        store_reports: reports on the store, which checks carry; None for none.
    """

    send: SendMessage
    checks_by_calls: bool = False
    store_reports: StoreReports | None = None


class LivenessMonitor:
    """Checks some routers, and decides which ones are named to callers."""

    def __init__(
        self,
        membership: fleet_membership.Membership,
        links: Links,
        rng: random.Random,
        now: Callable[[], float],
    ):
        """Makes a monitor.

        Args:
            membership: the members, of which it keeps the states.
            links: how to reach other routers.
            rng: selects relays and receivers.
            now: a clock that also runs while this process is suspended.
        """
        self._membership = membership
        self._links = links
        self._rng = rng
        self._now = now
        terms = (
            watch.CALL_TERMS if links.checks_by_calls else watch.DATAGRAM_TERMS
        )
        self._terms = terms
        self._watch = watch.Watch(terms, now())
        self._spreader = ChangeSpreader(membership, links.send, rng)
        # Version of the known routers for which the watched ones were selected.
        self._selected_for = -1
        # Since when only routers that were heard are named; None if all that
        # count as alive are.
        self._unconfirmed_since: float | None = None
        self._ticked_at = now()
        self._isolated = False
        self._synced_at = -math.inf
        self._verifications: dict[str, asyncio.Task[bool]] = {}
        self._tasks = background.Tasks()
        membership.set_liveness_callbacks(
            self._spreader.on_change,
            self._on_contact,
            self.verify,
            self._on_difference,
        )

    def _on_contact(self, name: str) -> None:
        self._watch.note_heard(name, self._now())

    def _on_difference(self, name: str) -> None:
        """Requests all members of a router that knows of other ones."""
        now = self._now()
        if now - self._synced_at >= const.SYNC_PERIOD_S:
            self._synced_at = now
            decisions.record("members_requested", source=name)
            self._tasks.spawn(self._membership.ping(name, all_members=True))

    def may_name(self, name: str) -> bool:
        """Whether callers may be sent to a router that counts as alive."""
        if name == self._membership.own.name:
            return True
        now = self._now()
        if now - self._ticked_at > const.STALLED_S:
            return False
        if self._unconfirmed_since is not None:
            return self._watch.was_heard(name, self._unconfirmed_since)
        return self._watch.is_fresh(name, now)

    def named(self) -> list[members.Member]:
        """Returns the routers to which callers may be sent."""
        return [
            member
            for member in self._membership.alive()
            if self.may_name(member.name)
        ]

    async def run(self) -> None:
        """Checks the watched routers, until cancelled."""
        self._ticked_at = self._now()
        self._watch.note_start(self._ticked_at)
        while True:
            self.tick()
            await asyncio.sleep(const.WATCH_TICK_S)

    def tick(self) -> None:
        """Sends the checks that are due, and verifies who does not answer."""
        now = self._now()
        stalled = now - self._ticked_at > const.STALLED_S
        self._ticked_at = now
        if self._selected_for != self._membership.known_version:
            self._selected_for = self._membership.known_version
            self._select_targets(now)
        if stalled:
            self._doubt("suspended", now)
        self._update_isolation(now)
        for name in self._watch.due_checks(now):
            self._check(name)
        for name in self._watch.unanswered():
            member = self._membership.known.get(name)
            if member is not None and member.is_serving:
                self._start_verification(name)

    def _select_targets(self, now: float) -> None:
        own = self._membership.own
        fleet = [
            member
            for member in self._membership.known.values()
            if member.state is not State.LEAVING or member.name == own.name
        ]
        names = [
            member.name
            for member in watch.targets(own.name, fleet, self._terms.targets)
        ]
        self._watch.forget_unknown(self._membership.known)
        self._watch.set_targets(names, now)

    def _update_isolation(self, now: float) -> None:
        others = len(self._membership.known) > 1
        isolated = others and self._watch.is_isolated(now)
        if self._isolated and not isolated:
            self._doubt("isolated", now)
        self._isolated = isolated
        self._membership.set_isolated(isolated)

    def _doubt(self, reason: str, now: float) -> None:
        """Names only routers that are heard, until a peer confirms the rest."""
        if self._unconfirmed_since is None:
            self._tasks.spawn(self._confirm())
        self._unconfirmed_since = now
        decisions.record("members_doubted", reason=reason)

    async def _confirm(self) -> None:
        while True:
            since = self._unconfirmed_since or 0.0
            names = [
                name
                for name in self._membership.other_names()
                if self._watch.was_heard(name, since)
            ]
            self._rng.shuffle(names)
            answers = await asyncio.gather(
                *(
                    self._membership.ping(name, all_members=True)
                    for name in names[: const.SYNC_PEERS]
                )
            )
            alone = not self._membership.other_names()
            if since == self._unconfirmed_since and (any(answers) or alone):
                self._unconfirmed_since = None
                return
            await asyncio.sleep(const.SYNC_RETRY_S)

    def _check(self, name: str) -> None:
        if self._links.checks_by_calls:
            self._tasks.spawn(self._membership.ping(name))
        else:
            self._send_check(name, False)

    def _send_check(self, name: str, is_answer: bool) -> None:
        own = self._membership.own
        check = peer_pb2.Check(
            sender=own.name,
            incarnation=own.incarnation,
            state=int(own.state),
            sequence=own.sequence,
            release_number=self._membership.own_release_number,
            is_answer=is_answer,
            alive=self._membership.alive_digest(),
        )
        reports = self._links.store_reports
        if reports is not None and (report := reports.report()) is not None:
            check.store.CopyFrom(report)
        receiver = self._membership.known[name]
        if receiver.incarnation > 0 and not receiver.is_serving:
            check.receiver.CopyFrom(receiver.to_proto())
        self._links.send(name, peer_pb2.NotifyRequest(checks=[check]))

    def on_check(self, check: peer_pb2.Check) -> None:
        """Answers a check of another router, or takes its answer."""
        known = self._membership.known.get(check.sender)
        if known is None or check.incarnation < known.incarnation:
            # An unknown router verifies this one by a call, which introduces
            # it.
            return
        self._watch.note_heard(check.sender, self._now())
        if check.HasField("store") and self._links.store_reports is not None:
            self._links.store_reports.merge(check.store)
        self._membership.note_release(check.sender, check.release_number)
        update = dataclasses.replace(
            known,
            incarnation=check.incarnation,
            state=State(check.state),
            sequence=check.sequence,
        )
        self._membership.merge(update, check.sender)
        if check.HasField("receiver"):
            self._membership.merge(
                members.from_proto(check.receiver), check.sender
            )
        self._membership.compare_alive(check.sender, check.alive)
        if not check.is_answer:
            self._send_check(check.sender, True)

    def on_members(self, notice: peer_pb2.MembersNotice) -> None:
        """Applies changes of who is alive."""
        if notice.sender in self._membership.known:
            self._watch.note_heard(notice.sender, self._now())
        self._spreader.on_notice(notice)

    def announce(self) -> None:
        """Sends the queued changes at once, as this router is leaving."""
        self._spreader.flush()

    def _start_verification(self, name: str) -> None:
        if name not in self._verifications:
            task = self._tasks.spawn(self._verify(name))
            self._verifications[name] = task
            task.add_done_callback(
                lambda task: self._verifications.pop(name, None)
            )

    def verify(self, name: str) -> Awaitable[bool]:
        """Calls a router, also through others, and suspects it if all fail.

        Returns:
            Whether it answered.
        """
        self._start_verification(name)
        return asyncio.shield(self._verifications[name])

    async def _verify(self, name: str) -> bool:
        contacts = self._watch
        checked_since = contacts.checked_since(name, self._now())
        was_in_contact = contacts.last_heard_at >= checked_since
        relays = [
            member.name
            for member in self.named()
            if member.name not in (name, self._membership.own.name)
        ]
        relays = self._rng.sample(relays, min(const.VERIFY_RELAYS, len(relays)))
        answers = await asyncio.gather(
            self._membership.ping(name),
            *(self._membership.ping(relay, name) for relay in relays),
        )
        answered = any(answers)
        is_in_contact = contacts.last_heard_at >= checked_since
        if not answered and is_in_contact and not was_in_contact:
            # This router may have been cut off until now.
            answered = await self._membership.ping(name)
        if answered:
            contacts.note_heard(name, self._now())
        elif is_in_contact:
            self._membership.suspect(name, "check")
        return answered

    async def close(self) -> None:
        """Ends all checks."""
        self._spreader.close()
        await self._tasks.close()
