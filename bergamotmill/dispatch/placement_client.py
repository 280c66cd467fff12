"""Asks placement owners where to send requests; decides without them if needed.

In a small fleet every router knows of all requests and decides by itself.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection
import dataclasses
import itertools

from bergamotmill.dispatch import const
from bergamotmill.dispatch import engine_groups
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_messages as messages
from bergamotmill.dispatch import placement_owner
from bergamotmill.dispatch import planner
from bergamotmill.dispatch import prefill_speed
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import upstreams
from bergamotmill.engine_load import reports as load_reports
from bergamotmill.helpers import decisions
from bergamotmill.helpers import metrics as stats

# Groups that are asked for one request before it is refused.
MAX_GROUPS_ASKED = 2
# Replies that an owner may miss in a row before the next router is asked.
MAX_MISSED_REPLIES = 2

SendAsk = Callable[[str, messages.Ask, bool], None]
SendOutcome = Callable[[str, messages.Outcome], None]
# Returns an owner's reply to an ask; None without one.
AskOwner = Callable[
    [call_progress.Progress, str, messages.Ask],
    Awaitable[messages.Reply | None],
]


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLinks:
    """How a router reaches placement owners.

    Attributes:
        own_name: name of this router.
        owner: answers the asks of this router for the groups that it owns.
        owners: the routers that keep track of each group.
        send_ask: sends an ask, or its cancellation, to a router.
        send_outcome: sends an outcome to a router.
        reports: reports first bytes and ends of requests.
        enabled: whether this fleet is large enough to ask owners.
    """

    own_name: str
    owner: placement_owner.PlacementOwner
    owners: engine_groups.GroupOwners
    send_ask: SendAsk
    send_outcome: SendOutcome
    reports: load_reports.LoadReports
    enabled: Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Where a request goes.

    Attributes:
        choice: the chosen upstream; None if there is none.
        verdict: the owner's decision on it; UNKNOWN if this router decides.
    """

    choice: placement.Choice | None
    verdict: messages.Verdict = messages.Verdict.UNKNOWN


class PlacementClient:
    """Chooses upstreams, with the help of placement owners."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        attempt_planner: planner.Planner,
        links: OwnerLinks,
        metrics: stats.Metrics,
        now: Callable[[], float],
    ):
        """Makes a client.

        Args:
            fleet: configuration, weights and upstreams.
            attempt_planner: describes requests, and decides without owners.
            links: how owners are reached.
            metrics: counters and timings.
            now: the monotonic clock.
        """
        self._fleet = fleet
        self._planner = attempt_planner
        self._links = links
        self._metrics = metrics
        self._now = now
        # Ids of an earlier process of this router are not used again.
        self._ids = itertools.count(int(now() * messages.MS_PER_S) + 1)
        self._replies: dict[int, asyncio.Queue[messages.Reply]] = {}
        self._missed: dict[str, int] = {}
        self._suspected_until: dict[str, float] = {}

    async def place(
        self, progress: call_progress.Progress, service: str
    ) -> Placed:
        """Chooses an upstream for a call."""
        self.note_end(progress)
        if progress.call.generation is None or not self._links.enabled():
            return Placed(self._planner.choose(progress, service))
        asked_at = self._now()
        owner, reply = await self._ask_groups(
            progress, service, self._ask_owner
        )
        asked_s = self._now() - asked_at
        self._metrics.timing("placement.asked", asked_s)
        fallback = "no reply"
        if reply is not None:
            engine = self._engine_of(reply)
            if engine is not None:
                model = progress.call.generation.model
                engine.note_weights(model, reply.version)
            choice = self._choice_of(progress, owner, reply, asked_s)
            self._note_placed(progress, owner, reply)
            if choice is not None:
                return Placed(choice, reply.verdict)
            self.note_end(progress)
            fallback = "unknown engine"
        self._metrics.count(f"placement.{fallback.replace(' ', '_')}")
        return self._place_alone(progress, service, asked_s, fallback)

    def _place_alone(
        self,
        progress: call_progress.Progress,
        service: str,
        asked_s: float,
        fallback: str,
    ) -> Placed:
        """Chooses an upstream where no owner has chosen a usable one."""
        choice = self._planner.choose(progress, service)
        if choice is not None:
            choice = dataclasses.replace(
                choice, asked_s=asked_s, fallback=fallback
            )
        return Placed(choice)

    async def preview(
        self,
        progress: call_progress.Progress,
        service: str,
        ask_owner: AskOwner,
    ) -> Placed:
        """Chooses an upstream like `place`, but records nothing.

        Args:
            progress: state of a call that is not served.
            service: service that it would be sent to.
            ask_owner: asks an owner without having the call placed.
        """
        if progress.call.generation is None or not self._links.enabled():
            return Placed(self._planner.choose(progress, service))
        owner, reply = await self._ask_groups(progress, service, ask_owner)
        if reply is None:
            return self._place_alone(progress, service, 0.0, "no reply")
        choice = self._choice_of(progress, owner, reply, 0.0)
        if choice is not None or reply.verdict is messages.Verdict.HELD:
            # An owner with many waiting requests names no engine yet.
            return Placed(choice, reply.verdict)
        return self._place_alone(progress, service, 0.0, "unknown engine")

    def _note_placed(
        self,
        progress: call_progress.Progress,
        owner: str,
        reply: messages.Reply,
    ) -> None:
        """Remembers a request that an owner counts as running."""
        if reply.verdict is messages.Verdict.GO and reply.counted:
            progress.placed = load_reports.Placed(owner, reply.ask_id)

    def note_end(self, progress: call_progress.Progress) -> None:
        """Reports that the present attempt of a call has ended, if any."""
        if progress.placed is not None:
            self._links.reports.note_end(progress.placed)
            progress.placed = None

    async def _ask_groups(
        self,
        progress: call_progress.Progress,
        service: str,
        ask_owner: AskOwner,
    ) -> tuple[str, messages.Reply | None]:
        """Asks the preferred group, and the next one if it has no room."""
        engines = self._fleet.upstreams.ready(service)
        count = engine_groups.group_count(len(engines))
        demand = self._planner.build_demand(progress, service)
        order = engine_groups.group_order(_group_key(progress, demand), count)[
            :MAX_GROUPS_ASKED
        ]
        owner, reply = "", None
        for index, group in enumerate(order):
            ask = self._build_ask(progress, service, demand)
            ask = dataclasses.replace(
                ask,
                group=group,
                group_count=count,
                may_wait=index == len(order) - 1,
            )
            owner, reply = await self._ask_keepers(progress, ask, ask_owner)
            if reply is None or reply.verdict is messages.Verdict.GO:
                break
        return owner, reply

    def _build_ask(
        self,
        progress: call_progress.Progress,
        service: str,
        demand: placement.Demand,
    ) -> messages.Ask:
        call = progress.call
        now = self._now()
        return messages.Ask(
            sender=self._links.own_name,
            ask_id=0,
            service=service,
            model=call.generation.model,
            demand=demand,
            time_left_s=call.first_byte_deadline - now,
            time_limit_s=call.first_byte_deadline - call.received_at,
            deadline_s=call.deadline - now,
            priority=call.priority,
            route_priority=call.route.priority,
            repeatable=progress.may_retry,
            held_tokens=(
                call.generation.prompt_tokens + call.generation.output_tokens
            ),
            excluded=frozenset(self._unusable(progress, service)),
            retry=bool(progress.attempts_sent),
        )

    def _unusable(
        self, progress: call_progress.Progress, service: str
    ) -> Collection[str]:
        """Returns the upstreams that this call cannot be sent to."""
        now = self._now()
        names = set(progress.unusable_upstreams)
        for item in self._fleet.upstreams.ready(service):
            if item.pause_left_s(now) or not item.usable(now):
                names.add(item.entry.name)
        return names

    async def _ask_keepers(
        self,
        progress: call_progress.Progress,
        ask: messages.Ask,
        ask_owner: AskOwner,
    ) -> tuple[str, messages.Reply | None]:
        """Asks the first routers of a group that are not suspected.

        Returns:
            The router that replied last and its final reply; None without one.
        """
        order = self._links.owners.order(ask.service, ask.group)
        asked_at = self._now()
        trusted = [
            name
            for name in order
            if self._suspected_until.get(name, 0.0) <= asked_at
        ]
        for owner in trusted[: const.GROUP_KEEPERS]:
            # Under an id of its own, so that a late reply of the first owner
            # is not taken for one of the second.
            next_ask = dataclasses.replace(
                ask.after(self._now() - asked_at), ask_id=next(self._ids)
            )
            reply = await ask_owner(progress, owner, next_ask)
            if reply is not None:
                return owner, reply
        return "", None

    async def _ask_owner(
        self, progress: call_progress.Progress, owner: str, ask: messages.Ask
    ) -> messages.Reply | None:
        """Returns an owner's final reply; None without one.

        While a request waits at the owner, the ask is repeated from time to
        time: the owner may have ended, and is then given up like one that has
        not replied to the first ask.
        """
        replies: asyncio.Queue[messages.Reply] = asyncio.Queue()
        self._replies[ask.ask_id] = replies
        sent_at = self._now()
        reply = None
        try:
            while True:
                self._submit(owner, ask.after(self._now() - sent_at), replies)
                reply = await _next_reply(replies, const.ASK_TIMEOUT_S)
                if reply is None:
                    self._note_missed(owner)
                    return None
                self._missed.pop(owner, None)
                while reply is not None:
                    if reply.verdict is not messages.Verdict.HELD:
                        return reply
                    self._note_held(progress, owner, reply)
                    reply = await _next_reply(replies, const.HELD_ASK_PERIOD_S)
        finally:
            del self._replies[ask.ask_id]
            if reply is None or reply.verdict is messages.Verdict.HELD:
                self._withdraw(owner, ask)

    def _note_held(
        self,
        progress: call_progress.Progress,
        owner: str,
        reply: messages.Reply,
    ) -> None:
        if progress.was_held:
            return
        progress.was_held = True
        self._metrics.count("requests.held")
        decisions.record(
            "held_at_owner",
            request=progress.call.request_id,
            owner=owner,
            upstream=reply.upstream,
            wait_s=round(reply.wait_s, 3),
            read_s=round(reply.prefill_s, 3),
        )

    def _submit(
        self,
        owner: str,
        ask: messages.Ask,
        replies: asyncio.Queue[messages.Reply],
    ) -> None:
        if owner == self._links.own_name:
            self._links.owner.submit(ask, replies.put_nowait)
        else:
            self._links.send_ask(owner, ask, False)

    def _withdraw(self, owner: str, ask: messages.Ask) -> None:
        if owner == self._links.own_name:
            self._links.owner.cancel(ask.key)
        else:
            self._links.send_ask(owner, ask, True)

    def _note_missed(self, owner: str) -> None:
        missed = self._missed.get(owner, 0) + 1
        self._missed[owner] = missed
        if missed >= MAX_MISSED_REPLIES:
            self._missed.pop(owner)
            self._suspected_until[owner] = self._now() + const.OWNER_SUSPICION_S
            self._metrics.count("placement.owner_suspected")

    def on_reply(self, reply: messages.Reply) -> None:
        """Passes a reply to the request that waits for it, if any."""
        replies = self._replies.get(reply.ask_id)
        if replies is not None:
            replies.put_nowait(reply)

    def _engine_of(self, reply: messages.Reply) -> upstreams.Upstream | None:
        """Returns the engine that a reply names; None if it is unusable."""
        known = self._fleet.upstreams
        engine = known.by_name.get(reply.upstream)
        if (
            engine is None
            or engine.entry.born != reply.born
            or not known.accepts_work(engine)
            or engine.pause_left_s(self._now())
        ):
            return None
        return engine

    def _choice_of(
        self,
        progress: call_progress.Progress,
        owner: str,
        reply: messages.Reply,
        asked_s: float,
    ) -> placement.Choice | None:
        """Returns the choice of an owner; None if it cannot be used here."""
        engine = self._engine_of(reply)
        if engine is None:
            return None
        model = progress.call.generation.model
        version = max(engine.weights.get(model, 0), reply.version)
        demand = self._planner.build_demand(
            progress, engine.entry.service, {version}
        )
        prefix = demand.prefixes.get(version)
        if prefix is None or len(reply.costs) != 5:
            return None
        best = placement.Candidate(
            engine,
            reply.wait_s,
            reply.prefill_s,
            reply.work_s,
            reply.cached_tokens,
            reply.source,
            prefix.name,
            *reply.costs,
            idle=reply.idle,
            allowance_wait_s=min(
                reply.wait_s, engine.allowance_wait_s(self._now())
            ),
        )
        return placement.Choice(
            best,
            (best,),
            owner=owner,
            asked_s=asked_s,
            considered=reply.considered,
        )

    def note_overdue(self, choice: placement.Choice, late_s: float) -> None:
        """Reports a response that is overdue."""
        entry = choice.best.upstream.entry
        self._report(choice, messages.Outcome(entry.name, entry.born, late_s))

    def note_first_byte(
        self,
        progress: call_progress.Progress,
        choice: placement.Choice,
        first_byte_s: float,
    ) -> None:
        """Learns from a first byte, and reports it to the owner.

        Args:
            progress: state of the call.
            choice: where the request went.
            first_byte_s: time from the attempt to the first byte.
        """
        if progress.placed is not None:
            self._links.reports.note_first_byte(progress.placed, first_byte_s)
            return
        best = choice.best
        entry = best.upstream.entry
        slower = None
        if prefill_speed.shows_speed(best.idle, best.work_s, bool(best.source)):
            slower = first_byte_s > best.work_s
            speed = self._fleet.upstreams.prefill_speed(entry.service)
            speed.record(slower)
        late_s = max(0.0, first_byte_s - best.first_byte_s)
        if late_s < const.REPORTED_LATENESS_S:
            late_s = 0.0
        if late_s or slower is not None:
            self._report(
                choice,
                messages.Outcome(entry.name, entry.born, late_s, slower=slower),
            )

    def note_failure(
        self, choice: placement.Choice, refused: bool, failed: bool
    ) -> None:
        """Reports a request that the engine refused or could not be sent to."""
        if refused or failed:
            entry = choice.best.upstream.entry
            self._report(
                choice,
                messages.Outcome(
                    entry.name, entry.born, refused=refused, failed=failed
                ),
            )

    def note_allowance(self, choice: placement.Choice, wait_s: float) -> None:
        """Reports when the limit of a chosen engine allows a request."""
        entry = choice.best.upstream.entry
        if wait_s > 0:
            self._report(
                choice,
                messages.Outcome(entry.name, entry.born, allowance_s=wait_s),
            )

    def _report(
        self, choice: placement.Choice, outcome: messages.Outcome
    ) -> None:
        """Tells the owner that made a choice what became of the request."""
        if choice.owner and choice.owner != self._links.own_name:
            self._links.send_outcome(choice.owner, outcome)


async def _next_reply(
    replies: asyncio.Queue[messages.Reply], timeout_s: float
) -> messages.Reply | None:
    """Returns the next reply; None if none arrives in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await replies.get()
    except TimeoutError:
        return None


def _group_key(
    progress: call_progress.Progress, demand: placement.Demand
) -> str:
    """Returns what decides on the group: the shared prefix, if there is one."""
    for version in sorted(demand.prefixes, reverse=True):
        prefix = demand.prefixes[version]
        if prefix.shared_parts:
            # The name of the part, and not the digest, which differs between
            # versions of the weights.
            part = progress.call.generation.parts[prefix.owner_level]
            return part.name
    return progress.call.request_id
