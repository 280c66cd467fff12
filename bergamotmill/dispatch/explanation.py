"""Describes decisions on requests for operators; performs no I/O.

Descriptions are values for JSON. Costs and predictions are those that the
decision was made with; nothing is computed a second time here.
"""

from collections.abc import Callable, Collection
import dataclasses
from typing import Any

from bergamotmill.dispatch import call_preview
from bergamotmill.dispatch import config
from bergamotmill.dispatch import engine_groups
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_messages
from bergamotmill.dispatch import placement_owner
from bergamotmill.dispatch import upstreams
from bergamotmill.dispatch import waiting
from bergamotmill.routing import stated_limit

# Upstreams of each kind that a description lists at most. A fleet has up to
# 10,000 upstreams, and a table of more lines than this is not read.
MAX_LISTED = 64

SENT = "sent"
WAITS = "waits"
REFUSED = "refused"

Description = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Which upstreams of a service a request may be sent to.

    Attributes:
        service: name of the service.
        model: model of a generation; empty for other requests.
        versions: versions of the weights that it may run on.
        limited: names of the upstreams whose limit allows the request too late.
        unusable: names of the upstreams that the asking router cannot use.
        in_group: whether an upstream belongs to the group that was asked.
        has_room: whether an upstream has a slot and memory for the request.
    """

    service: str
    model: str = ""
    versions: Collection[int] = ()
    limited: Collection[str] = ()
    unusable: Collection[str] = ()
    in_group: Callable[[str], bool] = lambda name: True
    has_room: Callable[[upstreams.Upstream], bool] = lambda upstream: True

    def why_out(
        self,
        upstream: upstreams.Upstream,
        known: upstreams.Upstreams,
        now: float,
    ) -> str:
        """Returns why an upstream was not weighed."""
        name = upstream.entry.name
        if not known.accepts_work(upstream):
            return "leaving"
        if not self.in_group(name):
            return "in another group"
        if upstream.pause_left_s(now):
            return f"paused for {upstream.pause_left_s(now):.1f} s"
        if not upstream.usable(now):
            return "ejected"
        if name in self.limited:
            return "its limit allows the request too late"
        if name in self.unusable:
            return "unusable at the asking router"
        version = upstream.weights.get(self.model, 0)
        if self.model and version not in self.versions:
            return f"holds version {version}"
        if not self.has_room(upstream):
            return "no slot or memory"
        return "less promising than those scored"


def owner_pool(
    ask: placement_messages.Ask, preview: placement_owner.Preview
) -> Pool:
    """Returns the engines that a placement owner decides among."""
    return Pool(
        ask.service,
        ask.model,
        ask.demand.prefixes,
        (),
        ask.excluded,
        lambda name: engine_groups.in_group(name, ask.group, ask.group_count),
        lambda engine: preview.loads.has_room(engine, ask),
    )


def describe_view(
    router: str,
    fleet: fleet_state.Fleet,
    pool: Pool,
    choice: placement.Choice | None,
    now: float,
) -> Description:
    """Describes the upstreams as one router weighed them.

    Args:
        router: name of that router.
        fleet: upstreams as it knows them.
        pool: the upstreams that it decided among.
        choice: the upstreams that it weighed; None for none.
        now: the monotonic time of the decision.
    """
    ranked = () if choice is None else choice.ranked
    weighed = {item.upstream.entry.name for item in ranked}
    excluded = [
        {
            "upstream": name,
            "reason": pool.why_out(upstream, fleet.upstreams, now),
        }
        for name, upstream in sorted(fleet.upstreams.by_name.items())
        if upstream.entry.service == pool.service and name not in weighed
    ]
    return {
        "router": router,
        "candidates": [
            _describe_candidate(item, fleet, pool, now)
            for item in ranked[:MAX_LISTED]
        ],
        "excluded": excluded[:MAX_LISTED],
        "unlisted": max(0, len(ranked) - MAX_LISTED)
        + max(0, len(excluded) - MAX_LISTED),
        # Which one of several equal candidates is chosen is random.
        "equal": [
            item.upstream.entry.name
            for item in ranked[:MAX_LISTED]
            if item.cost == ranked[0].cost
        ],
    }


def _describe_candidate(
    item: placement.Candidate,
    fleet: fleet_state.Fleet,
    pool: Pool,
    now: float,
) -> Description:
    upstream = item.upstream
    entry = upstream.entry
    load = upstream.load
    limit_per_s = fleet.limits.per_s(entry.name, entry.born)
    is_limited = limit_per_s != stated_limit.UNLIMITED
    return {
        "upstream": entry.name,
        "data_centre": entry.data_centre,
        "version": upstream.weights.get(pool.model, 0),
        "cost": item.cost,
        "terms": {
            "lateness": item.lateness_cost,
            "prefill": item.prefill_cost,
            "distance": item.distance_cost,
            "old_weights": item.old_weights_cost,
            "failures": item.failure_cost,
        },
        "wait_s": item.wait_s,
        "allowance_wait_s": item.allowance_wait_s,
        "prefill_s": item.prefill_s,
        "cached_tokens": item.cached_tokens,
        "copied_tokens": item.copied_tokens,
        "running": upstream.in_flight if load is None else load.running_count,
        "limit_per_s": limit_per_s if is_limited else None,
        "flags": [
            flag
            for flag, is_set in (
                ("ejected", not upstream.usable(now)),
                ("under an order", upstream.under_order(now)),
                ("limited", is_limited),
                ("no slot or memory", not pool.has_room(upstream)),
            )
            if is_set
        ],
    }


def describe_call(call: messages.Call, service: str) -> Description:
    """Describes the route of a call and what it is served as."""
    route = call.route
    return {
        "route": _describe_route(route),
        "service": service,
        "customer": call.customer_name,
        "priority": call.priority,
    }


def _describe_route(route: config.Route) -> Description:
    return {
        "name": route.name,
        "kind": route.kind.value,
        "priority": route.priority,
        "target_s": route.target_s,
        "timeout_s": route.timeout_s,
        "attempts": route.max_attempts,
        "split": [
            {"service": share.service, "weight": share.weight}
            for share in route.shares
        ],
    }


def describe_rejection(rejection: messages.Rejection) -> Description:
    """Describes a final response of the router."""
    return {
        "outcome": REFUSED,
        "status": rejection.status,
        "reason": rejection.reason,
        "retry_after_s": rejection.retry_after_s,
    }


def describe_verdict(preview: call_preview.Preview) -> Description:
    """Describes what would become of a call."""
    if preview.rejection is not None:
        return describe_rejection(preview.rejection)
    choice = preview.placed.choice
    verdict: Description = {
        "wait_s": preview.wait_s,
        "trial_of": preview.trial_of,
    }
    if choice is not None:
        verdict["upstream"] = choice.best.upstream.entry.name
        verdict["first_byte_s"] = choice.best.first_byte_s
    if preview.verdict is waiting.Verdict.HOLD:
        return {"outcome": WAITS, **verdict}
    return {"outcome": SENT, **verdict}
