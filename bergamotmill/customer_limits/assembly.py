"""Builds the parts of customer limits for one router."""

from collections.abc import Callable, Mapping
import dataclasses
import random

from bergamotmill.customer_limits import bucket
from bergamotmill.customer_limits import client as limit_client
from bergamotmill.customer_limits import fleet_view
from bergamotmill.customer_limits import gate as limit_gate
from bergamotmill.customer_limits import messages
from bergamotmill.customer_limits import owner as limit_owner
from bergamotmill.dispatch import config
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.helpers import metrics as stats
from bergamotmill.proto import peer_pb2
from bergamotmill.util import clock as clocks


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerLimits:
    """The parts that the rest of the router uses."""

    client: limit_client.CustomerLimitClient
    gate: limit_gate.CustomerLimitGate


def build(
    settings: router_settings.CustomerLimitSettings,
    fleet: fleet_view.FleetLinks,
    limits: Callable[[], Mapping[str, config.CustomerLimit]],
    send: Callable[[str, peer_pb2.NotifyRequest], None],
    dispatcher: ports.CallServer,
    metrics: stats.Metrics,
    clock: clocks.Clock,
    rng: random.Random,
) -> CustomerLimits:
    """Builds the gate before a dispatcher, and the client that it asks.

    Args:
        settings: by how much limits may be exceeded.
        fleet: the routers.
        limits: returns the limits in force, by customer.
        send: sends a message to a router; it may be lost.
        dispatcher: serves the admitted calls.
        metrics: counters and timings.
        clock: the clocks.
        rng: spreads retries.
    """
    view = fleet_view.FleetView(fleet, clock.boottime)
    outbox = messages.Outbox(send)
    owner = limit_owner.CustomerLimitOwner(
        view,
        bucket.Tolerance(settings.window_s, settings.excess, settings.slack),
        limits,
        outbox,
        metrics,
        clock.boottime,
    )
    client = limit_client.CustomerLimitClient(
        view, owner, outbox, metrics, clock, rng
    )
    gate = limit_gate.CustomerLimitGate(client, dispatcher, clock.monotonic)
    return CustomerLimits(client, gate)
