"""One queue for the requests of all routers, from which engines pull.

Load pattern: bursts, lost or slow engines, empty caches, many routers that
choose at the same moment. Where the load of engines is measured, a placement
owner sends a request at once while the queue of its best engine is short. All
others wait here in one order. Whenever an engine has room, the first of them is
sent to the best engine that has room, so that no engine idles while requests
wait, and none is sent to an engine that has stopped responding.
"""

import asyncio
from collections.abc import Callable, Sequence
import dataclasses
import itertools
import math

from bergamotmill.dispatch import const
from bergamotmill.dispatch import engine_groups
from bergamotmill.dispatch import measured_loads
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_messages as messages
from bergamotmill.dispatch import upstreams
from bergamotmill.engine_load import admission

# Limits on the time until the queue is considered again.
MIN_WAKE_S = 0.005
MAX_WAKE_S = 0.05
# Requests that are sent, or refused, at one time; the event loop runs in
# between, so that asks of other requests are answered.
MAX_TRIES_PER_WAKE = 8
MAX_REFUSED_PER_WAKE = 16
# Callers return within a third of the time that they have left; the time that
# they are told is spread over half as much again.
MAX_RETURN_FRACTION = 1 / 3 / 1.5

SendReply = Callable[[messages.Reply], None]
# Called with the engine, the prompt's prefix and the candidate of a request
# that the owner has placed.
OnPlaced = Callable[[messages.Ask, placement.Prefix, placement.Candidate], None]


@dataclasses.dataclass(slots=True)
class _WaitingAsk:
    """An ask that waits.

    Attributes:
        work_s: estimated time for which it will occupy an engine.
        prefill_s: the same with the latency until its first byte.
    """

    ask: messages.Ask
    received_at: float
    sequence: int
    work_s: float
    prefill_s: float
    send_reply: SendReply

    def prospect(self, wait_s: float, now: float) -> admission.Prospect:
        """Returns the prediction for an engine with a wait."""
        elapsed_s = now - self.received_at
        ask = self.ask
        return admission.Prospect(
            wait_s,
            self.prefill_s,
            ask.demand.target_s - elapsed_s,
            ask.time_left_s - elapsed_s,
            ask.time_limit_s,
        )

    @property
    def queue_key(self) -> tuple[str, int]:
        """The engines that it waits for: those of a service's group."""
        return self.ask.service, self.ask.group

    def order_key(self, now: float) -> tuple[float, ...]:
        """Returns its rank: in time first, then priorities, then deadline."""
        ask = self.ask
        target_s = ask.demand.target_s - (now - self.received_at)
        return (
            not admission.can_be_on_time(self.prefill_s, target_s),
            ask.priority,
            ask.route_priority,
            self.received_at + ask.deadline_s,
            self.sequence,
        )

    def is_hopeless(self, now: float) -> bool:
        """Whether its caller gives up before a response can begin."""
        left_s = self.received_at + self.ask.time_left_s - now
        return self.prefill_s + admission.GIVE_UP_MARGIN_S > left_s


class PullQueue:
    """Decides on asks for services whose load is measured."""

    def __init__(
        self,
        known: upstreams.Upstreams,
        chooser: placement.Placement,
        on_placed: OnPlaced,
        loads: measured_loads.MeasuredLoads,
        now: Callable[[], float],
    ):
        """Makes an empty queue.

        Args:
            known: the upstreams, whose load it keeps up to date.
            chooser: ranks engines; it must not add work of unknown peers.
            on_placed: called with each request that was placed.
            loads: the loads of engines.
            now: the monotonic clock.
        """
        self._known = known
        self._chooser = chooser
        self._on_placed = on_placed
        self._loads = loads
        self._now = now
        self._waiting: dict[tuple[str, int], _WaitingAsk] = {}
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def loads(self) -> measured_loads.MeasuredLoads:
        """The loads of engines."""
        return self._loads

    def __len__(self) -> int:
        return len(self._waiting)

    def handles(self, service: str) -> bool:
        """Whether the load of a service's engines is measured."""
        return self._loads.is_measured(service)

    def close(self) -> None:
        """Forgets the asks that wait; their senders ask again elsewhere."""
        if self._timer is not None:
            self._timer.cancel()
        self._waiting.clear()

    def cancel(self, key: tuple[str, int]) -> None:
        """Forgets an ask whose sender no longer waits.

        It may have been placed by a reply that came too late: its engine would
        seem not to respond.
        """
        self._waiting.pop(key, None)
        self._loads.end(key)

    def submit(self, ask: messages.Ask, send_reply: SendReply) -> None:
        """Replies to an ask at once, and again later if it has to wait."""
        now = self._now()
        known = self._waiting.get(ask.key)
        if known is not None:
            # The sender repeats an ask; its place among the others stays.
            known.ask, known.received_at = ask, now
            known.send_reply = send_reply
            send_reply(messages.Reply(ask.ask_id, messages.Verdict.HELD))
            self._schedule()
            return
        placed = self._loads.reply_to(ask.key)
        if placed is not None:
            # The first reply was lost, or has crossed the repeated ask.
            send_reply(placed)
            return
        item = self._build_item(ask, send_reply)
        reply, choice = self._judge_new(item)
        if reply.verdict is messages.Verdict.GO:
            reply = self._count(item, choice, reply)
        if reply.verdict is messages.Verdict.HELD:
            self._waiting[ask.key] = item
            self._schedule()
        send_reply(reply)

    def preview(
        self, ask: messages.Ask
    ) -> tuple[messages.Reply, placement.Choice | None]:
        """Decides on an ask like `submit`, but neither counts nor keeps it."""
        return self._judge_new(self._build_item(ask, lambda reply: None))

    def _build_item(
        self, ask: messages.Ask, send_reply: SendReply
    ) -> _WaitingAsk:
        work_s, latency_s = self._loads.estimate(ask)
        return _WaitingAsk(
            ask,
            self._now(),
            next(self._sequence),
            work_s,
            work_s + latency_s,
            send_reply,
        )

    def _judge_new(
        self, item: _WaitingAsk
    ) -> tuple[messages.Reply, placement.Choice | None]:
        """Decides on an ask that has just arrived; counts nothing."""
        ask, now = item.ask, self._now()
        ahead = self._ahead(item, now)
        choice = None
        if ask.retry or not ahead:
            reply, choice = self._judge(item, self._engines(ask))
        else:
            reply = self._estimate(item, ahead, now)
        if reply.verdict is messages.Verdict.HELD and (
            not ask.may_wait or len(self._waiting) >= const.MAX_ASKS_WAITING
        ):
            reply = self._refusal(item, self._all_drained_s(ask.service))
        return reply, choice

    def _ahead(self, item: _WaitingAsk, now: float) -> list[_WaitingAsk]:
        """Returns the requests that go before a new one."""
        if not self._waiting:
            return []
        key = item.order_key(now)
        return [
            other
            for other in self._waiting.values()
            if other.queue_key == item.queue_key and other.order_key(now) < key
        ]

    def _estimate(
        self, item: _WaitingAsk, ahead: Sequence[_WaitingAsk], now: float
    ) -> messages.Reply:
        """Returns whether a request waits behind others, or is refused.

        No engine is chosen yet: that costs processor time, and will be done
        when its turn comes.
        """
        wait_s = self._drain_s(item.ask.service, ahead)
        if admission.is_hopeless(item.prospect(wait_s, now)):
            return self._refusal(item, self._all_drained_s(item.ask.service))
        return messages.Reply(
            item.ask.ask_id,
            messages.Verdict.HELD,
            wait_s=wait_s,
            prefill_s=item.prefill_s,
        )

    def _drain_s(self, service: str, items: Sequence[_WaitingAsk]) -> float:
        """Returns when an engine will have taken all of some requests."""
        now = self._now()
        engines = [
            engine
            for engine in self._known.ready(service)
            if engine.usable(now)
        ]
        shortest_s = min((item.wait_s(now) for item in engines), default=0.0)
        work_s = sum(item.work_s for item in items)
        return shortest_s + work_s / max(1, len(engines))

    def _all_drained_s(self, service: str) -> float:
        """Returns when all requests that wait for a service have been sent."""
        items = [
            item
            for item in self._waiting.values()
            if item.ask.service == service
        ]
        return self._drain_s(service, items)

    def _refusal(self, item: _WaitingAsk, drain_s: float) -> messages.Reply:
        """Returns a refusal with the time until the queue has drained.

        The sender takes it only with an engine that it knows.
        """
        ask = item.ask
        for engine in self._engines(ask):
            return messages.Reply(
                ask.ask_id,
                messages.Verdict.REFUSE,
                engine.entry.name,
                engine.entry.born,
                engine.weights.get(ask.model, 0),
                min(drain_s, MAX_RETURN_FRACTION * ask.deadline_s),
                item.prefill_s,
                costs=messages.NO_COSTS,
            )
        return messages.Reply(ask.ask_id, messages.Verdict.UNKNOWN)

    def _engines(self, ask: messages.Ask) -> list[upstreams.Upstream]:
        """Returns the engines of the ask's group that may be used for it."""
        now = self._now()
        engines = [
            engine
            for engine in self._known.ready(ask.service)
            if engine.entry.name not in ask.excluded
            and engine.weights.get(ask.model, 0) in ask.demand.prefixes
            and engine_groups.in_group(
                engine.entry.name, ask.group, ask.group_count
            )
            and not engine.pause_left_s(now)
        ]
        engines = [item for item in engines if item.usable(now)] or engines
        self._loads.attach(ask.service, engines)
        return engines

    def _judge(
        self,
        item: _WaitingAsk,
        engines: Sequence[upstreams.Upstream],
        max_wait_s: float = math.inf,
    ) -> tuple[messages.Reply, placement.Choice | None]:
        """Returns the reply, and the choice among the engines with room.

        Args:
            item: the request.
            engines: the engines that may be used for it.
            max_wait_s: queue from which an engine has no room.
        """
        ask, now = item.ask, self._now()
        with_room = {
            engine.entry.name
            for engine in engines
            if engine.wait_s(now) <= max_wait_s
            and engine.load.has_room(ask.held_tokens, now, ask.repeatable)
        }
        choice = self._chooser.choose_engine(
            _aged(ask.demand, now - item.received_at),
            engines,
            ask.model,
            self._known,
            ask.excluded,
            now,
            with_room or None,
        )
        if choice is None:
            reply = messages.Reply(ask.ask_id, messages.Verdict.UNKNOWN)
            return reply, None
        best = choice.best
        item.work_s, item.prefill_s = best.work_s, best.prefill_s
        prospect = item.prospect(best.work_wait_s, now)
        may_go = with_room and (ask.retry or admission.may_go(prospect))
        if not may_go and admission.is_hopeless(prospect):
            drain_s = self._all_drained_s(ask.service)
            return self._refusal(item, drain_s), choice
        verdict = messages.Verdict.GO if may_go else messages.Verdict.HELD
        return messages.build_reply(ask, choice, verdict), choice

    def _count(
        self,
        item: _WaitingAsk,
        choice: placement.Choice,
        reply: messages.Reply,
    ) -> messages.Reply:
        """Counts a request that is sent; returns the reply that says so."""
        counted = dataclasses.replace(reply, counted=True)
        self._loads.add(item.ask, choice.best, counted)
        self._on_placed(
            item.ask, item.ask.demand.prefixes[reply.version], choice.best
        )
        return counted

    def _schedule(self, delay_s: float = MIN_WAKE_S) -> None:
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                min(MAX_WAKE_S, max(MIN_WAKE_S, delay_s)), self._wake
            )

    def _wake(self) -> None:
        """Sends the first requests to engines with room."""
        self._timer = None
        delay_s = MAX_WAKE_S
        try:
            now = self._now()
            self._refuse_hopeless(now)
            delay_s = self._send_first(now)
        finally:
            self._schedule(delay_s)

    def _send_first(self, now: float) -> float:
        """Sends the first requests of each queue.

        Returns:
            When an engine may have room for the next one, in seconds.
        """
        order = sorted(
            self._waiting.values(), key=lambda item: item.order_key(now)
        )
        delay_s = MAX_WAKE_S
        without_room = set()
        tries = 0
        for item in order:
            if item.queue_key in without_room:
                continue
            tries += 1
            if tries > MAX_TRIES_PER_WAKE:
                return MIN_WAKE_S
            engines = self._engines(item.ask)
            waits = [engine.wait_s(now) for engine in engines]
            limit_s = admission.max_queue_s(
                item.prospect(min(waits, default=0.0), now)
            )
            if engines and min(waits) > limit_s:
                delay_s = min(delay_s, min(waits) - limit_s)
                without_room.add(item.queue_key)
                continue
            reply, choice = self._judge(item, engines, limit_s)
            if reply.verdict is messages.Verdict.HELD:
                # Queues are short, but there is no slot or memory.
                without_room.add(item.queue_key)
                continue
            if reply.verdict is messages.Verdict.GO:
                reply = self._count(item, choice, reply)
            self._waiting.pop(item.ask.key, None)
            item.send_reply(reply)
        return delay_s

    def _refuse_hopeless(self, now: float) -> None:
        """Refuses the requests that have no time left."""
        hopeless = [
            item for item in self._waiting.values() if item.is_hopeless(now)
        ]
        for item in hopeless[:MAX_REFUSED_PER_WAKE]:
            del self._waiting[item.ask.key]
            item.send_reply(
                self._refusal(item, self._all_drained_s(item.ask.service))
            )


def _aged(demand: placement.Demand, elapsed_s: float) -> placement.Demand:
    if elapsed_s <= 0.0:
        return demand
    return dataclasses.replace(demand, target_s=demand.target_s - elapsed_s)
