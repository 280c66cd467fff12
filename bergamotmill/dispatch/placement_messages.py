"""Asks to placement owners and their replies, and their encoding."""

from collections.abc import Mapping
import dataclasses
import enum

from bergamotmill.dispatch import placement
from bergamotmill.dispatch import waiting
from bergamotmill.proto import peer_pb2

MS_PER_S = 1000.0
# The terms of a cost that is not known.
NO_COSTS = (0.0,) * 5


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request for which a router asks where to send it.

    Attributes:
        sender: name of the router that asks.
        ask_id: unique among the asks of a sender; the same in repeats.
        demand: what the request needs.
        time_left_s: time until its caller gives up on a first byte.
        time_limit_s: time from its arrival until then.
        deadline_s: time until its caller's own deadline. A request that was
            refused and came back has less of it than those that came later.
        excluded: names of upstreams that the sender cannot use.
        retry: whether an earlier attempt failed.
        may_wait: whether it may wait at the owner.
        group: the group of engines to choose from.
        group_count: number of groups that the sender counts.
        route_priority: priority of the route, which decides among requests of
            one priority.
        held_tokens: KV cache that the request holds until its end, in tokens.
        repeatable: whether it can be sent elsewhere after a failure.
    """

    sender: str
    ask_id: int
    service: str
    model: str
    demand: placement.Demand
    time_left_s: float
    time_limit_s: float
    deadline_s: float
    priority: int
    excluded: frozenset[str] = frozenset()
    retry: bool = False
    may_wait: bool = True
    group: int = 0
    group_count: int = 1
    route_priority: int = 0
    held_tokens: int = 0
    repeatable: bool = True

    @property
    def key(self) -> tuple[str, int]:
        """Identifies the ask among those of all routers."""
        return self.sender, self.ask_id

    def after(self, elapsed_s: float) -> "Ask":
        """Returns the ask with the times left after a time has passed."""
        return dataclasses.replace(
            self,
            demand=dataclasses.replace(
                self.demand, target_s=self.demand.target_s - elapsed_s
            ),
            time_left_s=self.time_left_s - elapsed_s,
            deadline_s=self.deadline_s - elapsed_s,
        )

    def outlook(self, candidate: placement.Candidate) -> waiting.Outlook:
        """Returns the prediction for the request at a candidate."""
        return waiting.Outlook(
            # Allowance is waited for where it is handed out.
            wait_s=candidate.work_wait_s,
            prefill_s=candidate.prefill_s,
            target_s=self.demand.target_s,
            time_left_s=self.time_left_s,
            time_limit_s=self.time_limit_s,
        )


class Verdict(enum.Enum):
    """What a placement owner decides on a request.

    Attributes:
        UNKNOWN: the owner knows no engine for it.
        GO: it is to be sent to the named engine.
        HELD: it waits at the owner, who will reply again.
        REFUSE: no engine will serve it in time.
    """

    UNKNOWN = peer_pb2.PlacementReply.UNKNOWN
    GO = peer_pb2.PlacementReply.GO
    HELD = peer_pb2.PlacementReply.HELD
    REFUSE = peer_pb2.PlacementReply.REFUSE


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A placement owner's decision on an ask.

    Attributes:
        upstream: name of the engine, for GO; its incarnation is `born`.
        version: version of the weights that it holds.
        costs: terms of the cost, in the order of placement.Candidate.
        considered: number of engines that were scored.
        idle: whether no known work delays the request at the engine.
        counted: whether the owner counts the request until its end, which the
            sender reports.
    """

    ask_id: int
    verdict: Verdict
    upstream: str = ""
    born: int = 0
    version: int = 0
    wait_s: float = 0.0
    prefill_s: float = 0.0
    work_s: float = 0.0
    cached_tokens: int = 0
    source: str = ""
    costs: tuple[float, ...] = ()
    considered: int = 0
    idle: bool = False
    counted: bool = False


def build_reply(ask: Ask, choice: placement.Choice, verdict: Verdict) -> Reply:
    """Returns the reply that names the chosen engine."""
    best = choice.best
    return Reply(
        ask.ask_id,
        verdict,
        best.upstream.entry.name,
        best.upstream.entry.born,
        best.upstream.weights.get(ask.model, 0),
        best.wait_s,
        best.prefill_s,
        best.work_s,
        best.cached_tokens,
        best.source,
        (
            best.lateness_cost,
            best.prefill_cost,
            best.distance_cost,
            best.old_weights_cost,
            best.failure_cost,
        ),
        len(choice.ranked),
        best.idle,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request at the engine that an owner chose.

    Attributes:
        late_s: how much later than predicted the response began.
        refused: whether the engine refused the request.
        failed: whether the engine cannot be reached or is silent.
        slower: whether the response began later than predicted; None if it
            does not show the speed of the engine.
        allowance_s: time until the limit that the engine names allows another
            request.
    """

    upstream: str
    born: int
    late_s: float = 0.0
    refused: bool = False
    failed: bool = False
    slower: bool | None = None
    allowance_s: float = 0.0


def _to_ms(seconds: float) -> int:
    return int(seconds * MS_PER_S)


def encode_ask(ask: Ask) -> peer_pb2.PlacementAsk:
    """Encodes an ask."""
    prefixes: Mapping[int, placement.Prefix] = ask.demand.prefixes
    total_tokens = max(
        (prefix.total_tokens for prefix in prefixes.values()), default=0
    )
    return peer_pb2.PlacementAsk(
        sender=ask.sender,
        id=ask.ask_id,
        service=ask.service,
        model=ask.model,
        total_tokens=total_tokens,
        prefixes=[
            peer_pb2.PromptPrefix(
                version=version, digests=prefix.digests, tokens=prefix.tokens
            )
            for version, prefix in prefixes.items()
        ],
        worth=ask.demand.worth,
        target_ms=_to_ms(ask.demand.target_s),
        time_left_ms=max(0, _to_ms(ask.time_left_s)),
        time_limit_ms=max(0, _to_ms(ask.time_limit_s)),
        deadline_ms=max(0, _to_ms(ask.deadline_s)),
        payload_bytes=ask.demand.payload_bytes,
        stale_versions=sorted(ask.demand.stale_versions),
        data_centre=ask.demand.data_centre,
        excluded=sorted(ask.excluded),
        priority=max(0, ask.priority),
        retry=ask.retry,
        may_wait=ask.may_wait,
        group=ask.group,
        group_count=ask.group_count,
        route_priority=max(0, ask.route_priority),
        held_tokens=max(0, ask.held_tokens),
        once=not ask.repeatable,
    )


def decode_ask(message: peer_pb2.PlacementAsk) -> Ask:
    """Decodes an ask."""
    demand = placement.Demand(
        prefixes={
            item.version: placement.Prefix(
                tuple(item.digests), tuple(item.tokens), message.total_tokens
            )
            for item in message.prefixes
            if len(item.digests) == len(item.tokens)
        },
        worth=message.worth,
        target_s=message.target_ms / MS_PER_S,
        payload_bytes=message.payload_bytes,
        stale_versions=frozenset(message.stale_versions),
        data_centre=message.data_centre,
    )
    return Ask(
        sender=message.sender,
        ask_id=message.id,
        service=message.service,
        model=message.model,
        demand=demand,
        time_left_s=message.time_left_ms / MS_PER_S,
        time_limit_s=message.time_limit_ms / MS_PER_S,
        deadline_s=message.deadline_ms / MS_PER_S,
        priority=message.priority,
        excluded=frozenset(message.excluded),
        retry=message.retry,
        may_wait=message.may_wait,
        group=message.group,
        group_count=max(1, message.group_count),
        route_priority=message.route_priority,
        held_tokens=message.held_tokens,
        repeatable=not message.once,
    )


def encode_reply(reply: Reply) -> peer_pb2.PlacementReply:
    """Encodes a reply."""
    return peer_pb2.PlacementReply(
        id=reply.ask_id,
        verdict=reply.verdict.value,
        upstream=reply.upstream,
        born=reply.born,
        version=reply.version,
        wait_ms=_to_ms(reply.wait_s),
        prefill_ms=_to_ms(reply.prefill_s),
        work_ms=_to_ms(reply.work_s),
        cached_tokens=reply.cached_tokens,
        source=reply.source,
        costs=reply.costs,
        considered=reply.considered,
        idle=reply.idle,
        counted=reply.counted,
    )


def decode_reply(message: peer_pb2.PlacementReply) -> Reply:
    """Decodes a reply."""
    return Reply(
        ask_id=message.id,
        verdict=Verdict(message.verdict),
        upstream=message.upstream,
        born=message.born,
        version=message.version,
        wait_s=message.wait_ms / MS_PER_S,
        prefill_s=message.prefill_ms / MS_PER_S,
        work_s=message.work_ms / MS_PER_S,
        cached_tokens=message.cached_tokens,
        source=message.source,
        costs=tuple(message.costs),
        considered=message.considered,
        idle=message.idle,
        counted=message.counted,
    )


def encode_outcome(outcome: Outcome) -> peer_pb2.PlacementResult:
    """Encodes an outcome."""
    return peer_pb2.PlacementResult(
        upstream=outcome.upstream,
        born=outcome.born,
        late_ms=_to_ms(outcome.late_s),
        refused=outcome.refused,
        failed=outcome.failed,
        shows_speed=outcome.slower is not None,
        slower=bool(outcome.slower),
        allowance_ms=_to_ms(outcome.allowance_s),
    )


def decode_outcome(message: peer_pb2.PlacementResult) -> Outcome:
    """Decodes an outcome."""
    return Outcome(
        upstream=message.upstream,
        born=message.born,
        late_s=message.late_ms / MS_PER_S,
        refused=message.refused,
        failed=message.failed,
        slower=message.slower if message.shows_speed else None,
        allowance_s=message.allowance_ms / MS_PER_S,
    )
