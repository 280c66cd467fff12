"""The gauges of a router's metrics page."""

from collections.abc import Iterable, Mapping
import dataclasses

from bergamotmill import supervisor
from bergamotmill.control import liveness
from bergamotmill.control import membership
from bergamotmill.control import quarantine
from bergamotmill.dispatch import allowance_owner
from bergamotmill.dispatch import allowances
from bergamotmill.dispatch import dispatcher
from bergamotmill.dispatch import documents
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import placement_owner
from bergamotmill.dispatch import rollout
from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import memory_budget

# Limits of upstreams that are listed at most.
MAX_LIMITS_LISTED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The components whose state the gauges show."""

    fleet: fleet_state.Fleet
    feed: documents.DocumentFeed
    membership: membership.Membership
    liveness: liveness.LivenessMonitor
    dispatcher: dispatcher.Dispatcher
    memory: memory_budget.MemoryBudget
    connections: connection_memory.ConnectionMemory
    placement_owner: placement_owner.PlacementOwner
    quarantine: quarantine.Quarantine
    allowances: allowances.Allowances
    allowance_owner: allowance_owner.AllowanceOwner
    rollout: rollout.Rollout
    supervisor: supervisor.Supervisor


def read_gauges(
    sources: Sources, others: Iterable[Mapping[str, float]]
) -> dict[str, float]:
    """Returns all gauges by name.

    Args:
        sources: the components.
        others: gauges that components return by themselves.
    """
    entries = sources.quarantine.entries.values()
    requests_held = sum(entry.is_whole_request for entry in entries)
    parts_held = sources.quarantine.entry_count - requests_held
    upstreams = sources.fleet.upstreams
    limits = sources.allowances.limits
    memory = sources.memory
    gauges = {
        "configuration_version": float(sources.fleet.catalog.version),
        "documents_age_seconds": sources.feed.staleness_s(),
        "store_answers": float(sources.feed.store_ok),
        "store_call_wait_seconds": sources.feed.call_wait_s(),
        "routers_alive": float(len(sources.membership.alive())),
        "routers_named": float(len(sources.liveness.named())),
        "upstreams_known": float(len(upstreams.by_name)),
        "requests_waiting": float(sources.dispatcher.held_count),
        "body_memory_bytes": float(memory.used_bytes),
        "connection_memory_bytes": float(memory.connections_bytes),
        "peers_unread": float(sources.connections.unread_count),
        "requests_without_memory": float(memory.waiting_count),
        "response_bytes_buffered": float(sources.dispatcher.buffered_bytes),
        "asks_waiting": float(sources.placement_owner.waiting_count),
        "prompt_parts_quarantined": float(parts_held),
        "requests_quarantined": float(requests_held),
        "upstreams_limited": float(len(limits)),
        "allowance_claims_waiting": float(
            sources.allowance_owner.waiting_count
        ),
        "holds_lease": float(sources.rollout.holds_lease),
        "child_restarts": float(sources.supervisor.restarts),
    }
    for service, scale in upstreams.prefill_scales.items():
        gauges[f"prefill_scale_{service.replace('-', '_')}"] = scale
    for name in sorted(limits)[:MAX_LIMITS_LISTED]:
        gauges[f"upstream_limit.{name}"] = limits[name]
    for more in others:
        gauges.update(more)
    return gauges
