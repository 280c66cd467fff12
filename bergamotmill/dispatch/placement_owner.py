"""Chooses engines on behalf of all routers, for the groups that this one owns.

In a large fleet each router sees too small a part of the load to know how long
the queue of an engine is or which prompts it has cached. Routers therefore ask
the owner of a group of engines, who counts the work that it hands out. What an
owner replies is advice: a router without a reply decides by itself, and two
owners of one group, as in a partition of the network, only know less.

Load patterns: a burst, or the loss of many engines. Requests that would begin
late wait at the owner, by priority and then by deadline, so that the order
holds across all routers and a request that was refused and came back goes
before those that came later. They are sent when an engine runs out of work, and
refused as soon as none can run out of work in time.
"""

import asyncio
from collections.abc import Callable, Iterator, Mapping
import contextlib
import dataclasses
import heapq
import itertools

from bergamotmill.dispatch import const
from bergamotmill.dispatch import engine_groups
from bergamotmill.dispatch import measured_loads
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_messages as messages
from bergamotmill.dispatch import pull_queue
from bergamotmill.dispatch import upstreams
from bergamotmill.dispatch import waiting

# Requests that are considered again at once when an engine has room; those
# after them may have other prompts, but not be more urgent.
MAX_TRIES_PER_WAKE = 4
# Limits on the time until waiting requests are considered again.
MIN_WAKE_S = 0.005
MAX_WAKE_S = 0.1

SendReply = Callable[[messages.Reply], None]
# Called with the engine, the prompt's prefix and the candidate of a request
# that the owner has placed.
OnPlaced = Callable[[messages.Ask, placement.Prefix, placement.Candidate], None]


@dataclasses.dataclass(slots=True)
class _WaitingAsk:
    """An ask that waits at the owner."""

    ask: messages.Ask
    received_at: float
    send_reply: SendReply

    def now(self, now: float) -> messages.Ask:
        """Returns the ask with the times that are left now."""
        return self.ask.after(now - self.received_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """How an owner would decide on an ask now.

    Attributes:
        reply: the reply that it would send.
        choice: the engines that it weighed; None if it weighed none.
        loads: the loads of the engines.
    """

    reply: messages.Reply
    choice: placement.Choice | None
    loads: measured_loads.MeasuredLoads


class PlacementOwner:
    """Answers asks, and keeps those that have to wait."""

    def __init__(
        self,
        known: upstreams.Upstreams,
        chooser: placement.Placement,
        on_placed: OnPlaced,
        pull: pull_queue.PullQueue,
        now: Callable[[], float],
    ):
        """Makes an owner without waiting asks.

        Args:
            known: the upstreams, whose load it keeps up to date.
            chooser: ranks engines; it must not add work of unknown peers.
            on_placed: called with each request that was placed.
            pull: decides on asks for services whose load is measured.
            now: the monotonic clock.
        """
        self._known = known
        self._chooser = chooser
        self._on_placed = on_placed
        self._pull = pull
        self._now = now
        self._waiting: dict[tuple[str, int], _WaitingAsk] = {}
        self._heap: list[tuple[int, float, int, tuple[str, int]]] = []
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting_count(self) -> int:
        """Number of asks that wait here."""
        return len(self._waiting) + len(self._pull)

    def close(self) -> None:
        """Forgets the asks that wait; their senders ask again elsewhere."""
        if self._timer is not None:
            self._timer.cancel()
        self._pull.close()
        self._waiting.clear()
        self._heap.clear()

    def submit(self, ask: messages.Ask, send_reply: SendReply) -> None:
        """Replies to an ask at once, and again later if it has to wait."""
        if self._pull.handles(ask.service):
            self._pull.submit(ask, send_reply)
            return
        known = self._waiting.get(ask.key)
        if known is not None:
            # The sender repeats an ask; its place among the others stays.
            known.ask = ask
            known.received_at = self._now()
            known.send_reply = send_reply
            send_reply(messages.Reply(ask.ask_id, messages.Verdict.HELD))
            return
        reply = self._bounded(ask, self._decide(ask))
        if reply.verdict is not messages.Verdict.HELD:
            send_reply(reply)
            return
        now = self._now()
        self._waiting[ask.key] = _WaitingAsk(ask, now, send_reply)
        heapq.heappush(
            self._heap,
            (
                ask.priority,
                now + ask.deadline_s,
                next(self._sequence),
                ask.key,
            ),
        )
        send_reply(reply)
        self._schedule()

    @contextlib.contextmanager
    def preview(self, ask: messages.Ask) -> Iterator[Preview]:
        """Decides on an ask like `submit`, but neither counts nor keeps it.

        Within the context the loads of engines are those that the decision was
        made with.
        """
        loads = self._pull.loads
        with loads.restored(ask.service, self._known.ready(ask.service)):
            if self._pull.handles(ask.service):
                reply, choice = self._pull.preview(ask)
            else:
                reply, choice = self._judge(ask)
                reply = self._bounded(ask, reply)
            yield Preview(reply, choice, loads)

    def cancel(self, key: tuple[str, int]) -> None:
        """Forgets an ask whose sender no longer waits."""
        self._waiting.pop(key, None)
        self._pull.cancel(key)

    def note_outcome(self, outcome: messages.Outcome) -> None:
        """Applies what a router saw at an engine that it was sent to."""
        engine = self._known.by_name.get(outcome.upstream)
        if engine is None or engine.entry.born != outcome.born:
            return
        now = self._now()
        if outcome.slower is not None:
            speed = self._known.prefill_speed(engine.entry.service)
            speed.record(outcome.slower)
        if outcome.allowance_s > 0:
            engine.note_allowance(outcome.allowance_s, now)
        if outcome.failed:
            engine.note_failure(now, True)
        elif outcome.refused:
            engine.note_refusal(now)
        elif outcome.late_s > 0:
            engine.note_lateness(outcome.late_s, now)

    def _decide(self, ask: messages.Ask) -> messages.Reply:
        """Returns the reply, and counts the work if the request is to go."""
        reply, choice = self._judge(ask)
        if reply.verdict is messages.Verdict.GO:
            best = choice.best
            best.upstream.add_work(best.work_s, self._now())
            self._on_placed(ask, ask.demand.prefixes[reply.version], best)
        return reply

    def _bounded(
        self, ask: messages.Ask, reply: messages.Reply
    ) -> messages.Reply:
        """Returns a reply, or a refusal if the ask cannot wait here."""
        if reply.verdict is messages.Verdict.HELD and (
            not ask.may_wait or len(self._waiting) >= const.MAX_ASKS_WAITING
        ):
            return dataclasses.replace(reply, verdict=messages.Verdict.REFUSE)
        return reply

    def _judge(
        self, ask: messages.Ask
    ) -> tuple[messages.Reply, placement.Choice | None]:
        """Returns the reply and the choice; counts nothing."""
        choice = self._choose(ask)
        if choice is None:
            reply = messages.Reply(ask.ask_id, messages.Verdict.UNKNOWN)
            return reply, None
        best = choice.best
        verdict = messages.Verdict.GO
        if not ask.retry:
            outlook = ask.outlook(best)
            verdict = _VERDICTS[waiting.admission_verdict(outlook, True)]
        return messages.build_reply(ask, choice, verdict), choice

    def _choose(self, ask: messages.Ask) -> placement.Choice | None:
        now = self._now()
        engines = [
            engine
            for engine in self._known.ready(ask.service)
            if engine_groups.in_group(
                engine.entry.name, ask.group, ask.group_count
            )
            and not engine.pause_left_s(now)
        ]
        engines = [item for item in engines if item.usable(now)] or engines
        return self._chooser.choose_engine(
            ask.demand, engines, ask.model, self._known, ask.excluded, now
        )

    def _schedule(self) -> None:
        if not self._waiting:
            # What is left are asks that were withdrawn.
            self._heap.clear()
            return
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._time_until_room_s(), self._wake)

    def _time_until_room_s(self) -> float:
        """Returns when an engine will have run out of work, in seconds."""
        now = self._now()
        services = {item.ask.service for item in self._waiting.values()}
        wait_s = min(
            (
                engine.wait_s(now) + engine.allowance_wait_s(now)
                for service in services
                for engine in self._known.ready(service)
            ),
            default=MAX_WAKE_S,
        )
        return max(
            MIN_WAKE_S, min(MAX_WAKE_S, wait_s - waiting.MAX_LATE_WAIT_S)
        )

    def _wake(self) -> None:
        """Decides again on the first asks, and on those out of time."""
        self._timer = None
        now = self._now()
        for key, item in list(self._waiting.items()):
            ask = item.now(now)
            waited_s = ask.time_limit_s - ask.time_left_s
            if waiting.hold_limit_s(ask.time_limit_s, waited_s) <= 0:
                del self._waiting[key]
                item.send_reply(self._decide(ask))
        tries_left = MAX_TRIES_PER_WAKE
        kept = []
        while self._heap and tries_left:
            entry = heapq.heappop(self._heap)
            item = self._waiting.get(entry[-1])
            if item is None:
                continue
            reply = self._decide(item.now(now))
            if reply.verdict is messages.Verdict.HELD:
                kept.append(entry)
                tries_left -= 1
                continue
            del self._waiting[entry[-1]]
            item.send_reply(reply)
        for entry in kept:
            heapq.heappush(self._heap, entry)
        self._schedule()


_VERDICTS: Mapping[waiting.Verdict, messages.Verdict] = {
    waiting.Verdict.GO: messages.Verdict.GO,
    waiting.Verdict.HOLD: messages.Verdict.HELD,
    waiting.Verdict.REFUSE: messages.Verdict.REFUSE,
}
