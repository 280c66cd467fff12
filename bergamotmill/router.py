"""One router: creates its components, starts and closes them in order."""

import asyncio
from collections.abc import Callable, Mapping
import math
import random
from typing import Any

import loguru

from bergamotmill import core
from bergamotmill import status as router_status
from bergamotmill import supervisor
from bergamotmill.control import const as control_const
from bergamotmill.control import distribution as release_distribution
from bergamotmill.control import history as fleet_history
from bergamotmill.control import liveness
from bergamotmill.control import members as fleet_members
from bergamotmill.control import membership as fleet_membership
from bergamotmill.control import order_lease
from bergamotmill.control import orders as engine_orders
from bergamotmill.control import peers as peer_links
from bergamotmill.control import quarantine
from bergamotmill.control import quarantine_reader
from bergamotmill.control import release_manager
from bergamotmill.control import release_store
from bergamotmill.filings import claims as filing_claims
from bergamotmill.filings import manager as filing_manager
from bergamotmill.front import addresses
from bergamotmill.front import callers
from bergamotmill.front import gate as front_gate
from bergamotmill.front import operators
from bergamotmill.helpers import http_server
from bergamotmill.helpers import metrics as stats
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import admission
from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import messages as routing_messages
from bergamotmill.routing import notices as routing_notices
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import view as fleet_view
from bergamotmill.settings import config
from bergamotmill.storage import key_value
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.storage.vm_list import coordinator as vm_list
from bergamotmill.streams import context as stream_context
from bergamotmill.streams import manager as stream_manager
from bergamotmill.upstream import drivers
from bergamotmill.upstream.engine import coordinator as engines
from bergamotmill.upstream.kv_offload import coordinator as offload_store
from bergamotmill.upstream.plain import coordinator as plain
from bergamotmill.util import clock as clocks
from bergamotmill.util import ids as id_source
from bergamotmill.util import rendezvous
from bergamotmill.util import tasks as background

# Prefix of the lease's key in the store, and the hash key that ranks routers as
# candidates for the lease.
ORDERS_KEY = "orders"
# Prefix of the quarantine's keys in the store.
QUARANTINE_KEY = "quarantine"
NOTIFY_TIMEOUT_S = 0.5
# Network latency to a replica, added to its predicted time to first token.
SAME_DATA_CENTRE_LATENCY_S = 0.0005
OTHER_DATA_CENTRE_LATENCY_S = 0.0015
MIN_ADMISSION_SLOTS = 4
# In a larger fleet, only the customer's routers receive notices of its
# requests.
MAX_ROUTERS_FOR_NOTICES_TO_ALL = 8
MAX_NOTICE_RECEIVERS = 7

PeerClientFactory = Callable[[str, peer_links.Resolver], peer_links.PeerClient]
PeerServerFactory = Callable[[str, str, Mapping[str, Any]], Any]


class Router:
    """All components of one router, without process and signal handling.

    Components that other modules use are public attributes.
    """

    def __init__(
        self,
        settings: config.Settings,
        store: key_value.KeyValueStore,
        vm_source: vm_config.VmListSource,
        clock: clocks.Clock,
        rng: random.Random,
        incarnation: int,
        make_peers: PeerClientFactory = peer_links.GrpcPeerClient,
        make_peer_server: PeerServerFactory = peer_links.GrpcPeerServer,
    ):
        self._settings = settings
        self._key_value_store = store
        self._clock = clock
        self._rng = rng
        self._incarnation = incarnation
        self._ids = id_source.IdSource(rng)
        self._supervisor = supervisor.Supervisor("router", rng)
        self._tasks = background.Tasks()
        self._metrics = stats.Metrics(settings.statsd_address)
        self.history = fleet_history.History(clock.wall)
        self._vm_list = vm_list.VmListCoordinator(vm_source, rng)
        self._peers = make_peers(settings.fleet_key, self._peer_address)
        self._make_control()
        self._make_routing()
        self._make_managers()
        self._make_front(make_peer_server)

    def _make_control(self) -> None:
        own = self._settings.router
        prefix = self._settings.key_value.prefix
        clock = self._clock
        self.membership = fleet_membership.Membership(
            fleet_members.Member(
                own.name,
                self._incarnation,
                fleet_members.MemberState.ALIVE,
                0,
                own.peer,
                own.front,
                own.data_centre,
            ),
            self._peers,
            self._rng,
            clock.monotonic,
            self._release_number,
        )
        self.liveness = liveness.LivenessMonitor(
            self.membership,
            liveness.Links(self._send_notify, checks_by_calls=True),
            self._rng,
            clock.boottime,
        )
        releases = release_store.ReleaseStore(
            self._key_value_store, prefix, clock.wall, self._ids
        )
        self.distribution = release_distribution.Distribution(
            releases,
            self._key_value_store,
            self.membership,
            self._peers,
            self._rng,
            clock.monotonic,
            clock.wall,
        )
        self.release_manager = release_manager.ReleaseManager(
            releases,
            self._key_value_store,
            prefix,
            self.distribution,
            self.membership,
            self.history,
            clock.wall,
        )

    def _make_routing(self) -> None:
        routing = self._settings.routing
        clock = self._clock
        self.view = fleet_view.FleetView(clock.monotonic)
        self._engines = engines.EngineCoordinator(self.view, self._rng)
        self._offload_stores = offload_store.OffloadStoreCoordinator(
            self._engines.clients, clock.monotonic
        )
        self.policy = routing_decision.POLICIES.get(routing.policy)(
            self.view,
            routing_messages.ScoreWeights(
                routing.latency_weight, routing.waste_weight
            ),
            self._rng,
        )
        self.notices = routing_notices.NoticeExchange(
            self.view,
            self._peers,
            self._notice_receivers,
            clock.monotonic,
            self._rng,
        )
        prefix = f"{self._settings.key_value.prefix}/{QUARANTINE_KEY}/"
        self._quarantine_reader = quarantine_reader.QuarantineReader(
            self._key_value_store,
            prefix,
            lambda: len(self.membership.alive()),
            self._rng,
        )
        self.quarantine = quarantine.Quarantine(
            quarantine.QuarantineLinks(
                self._settings.router.name,
                self._send_notify,
                self.membership.other_names,
                self._key_value_store,
                prefix,
                self._quarantine_reader.revision,
                lambda: False,
            ),
            clock,
            self._rng,
        )
        self.quarantine.add_listener(self._withdraw_attempts)
        self.streams = stream_context.StreamContext(
            self._settings,
            self._incarnation,
            self.view,
            self.policy,
            self._engines.clients,
            self._offload_stores,
            self.notices,
            self.quarantine,
            self._metrics,
            clock.monotonic,
        )

    def _make_managers(self) -> None:
        clock = self._clock
        self._services: dict[str, plain.ServiceClient] = {}
        prefix = self._settings.key_value.prefix
        own = self._settings.router
        self.filings = filing_manager.FilingManager(
            own.name,
            self._incarnation,
            self._settings.fleet_key,
            filing_claims.ClaimStore(
                self._key_value_store,
                prefix,
                own.name,
                self._incarnation,
                clock.monotonic,
                self._ids,
            ),
            self._peers,
            self._services.get,
            self._metrics,
            clock,
            self._ids,
        )
        lease = order_lease.OrderLease(
            self._key_value_store,
            f"{prefix}/{ORDERS_KEY}/holder",
            engine_orders.lease_value(own.name, self._incarnation),
            clock,
        )
        self.orders = engine_orders.OrderManager(
            lease,
            self.view,
            self._engines.clients,
            self._settings.orders.max_loading,
            self.history,
            self.release_manager.publish,
            self.is_lease_candidate,
            clock,
            self._rng,
        )

    def _make_front(self, make_peer_server: PeerServerFactory) -> None:
        settings = self._settings
        now = self._clock.monotonic
        self.router_selector = addresses.RouterSelector(
            self.membership.alive,
            self.liveness.may_name,
            settings.shutdown.address_lifetime_s,
            self.filings.issue_token,
            self._rng,
        )
        self.gate = front_gate.AdmissionGate(
            settings.router.name,
            self.router_selector,
            self._peers,
            self._metrics,
            now,
        )
        streaming = stream_manager.StreamManager(self.streams, self._peers)
        self.front = callers.CallerFront(
            self.gate,
            streaming,
            self.filings,
            self.router_selector,
            self._services.get,
            self._metrics,
            now,
            self._ids,
            self._others_serve,
        )
        own = settings.router
        self.status = router_status.Status(
            self, own.name, own.data_centre, self._peers
        )
        self._operators = operators.OperatorFront(
            settings.operator_key_digests,
            self.release_manager,
            self.streams.explanations,
            self.status,
            self.quarantine,
        )
        self._servers = [
            http_server.HttpServer(settings.router.front, self.front.handle),
            http_server.HttpServer(
                settings.router.operators, self._operators.handle
            ),
        ]
        self._make_peer_server(make_peer_server, streaming)

    def _make_peer_server(
        self,
        make_peer_server: PeerServerFactory,
        streaming: stream_manager.StreamManager,
    ) -> None:
        settings = self._settings
        handlers = {
            "Ping": self.membership.on_ping,
            "Push": self.distribution.on_push,
            "Pull": self.distribution.on_pull,
            "File": self.filings.serve_peer,
            "Tail": streaming.serve_tail,
            "Borrow": self.gate.on_borrow,
            "Notify": self._on_notify,
            "Status": self.status.on_status,
        }
        self._peer_server = make_peer_server(
            settings.router.peer, settings.fleet_key, handlers
        )

    def _send_notify(self, name: str, request: peer_pb2.NotifyRequest) -> None:
        """Sends a message, which may be lost, to another router."""
        self._tasks.spawn(
            self._peers.call(name, "Notify", request, NOTIFY_TIMEOUT_S)
        )

    async def _on_notify(
        self, request: peer_pb2.NotifyRequest
    ) -> peer_pb2.NotifyReply:
        """Handles a message that may be lost."""
        for report in request.crashes:
            self.quarantine.on_crash_report(report)
        for report in request.answers:
            self.quarantine.on_answers_report(report)
        for notice in request.quarantine:
            self.quarantine.on_notice(notice)
        for notice in request.members:
            self.liveness.on_members(notice)
        return await self.notices.on_notify(request)

    def _withdraw_attempts(self, entry: prompt_quarantine.Entry) -> None:
        for relay in list(self.streams.relays.values()):
            relay.withdraw(entry)

    async def _read_quarantine(self) -> None:
        await self._quarantine_reader.run(
            self.quarantine.on_document,
            lambda: self.quarantine.entry_count > 0,
        )

    @property
    def metrics(self) -> stats.Metrics:
        """Counters and gauges of this router."""
        return self._metrics

    @property
    def incarnation(self) -> int:
        """Incarnation of this router; higher after each start."""
        return self._incarnation

    @property
    def restarts(self) -> int:
        """Number of times that a component was restarted after a failure."""
        return self._supervisor.restarts

    def now(self) -> float:
        """Returns the time of the monotonic clock in seconds."""
        return self._clock.monotonic()

    def _peer_address(self, name: str) -> str:
        return self.membership.peer_address(name)

    def _release_number(self) -> int:
        return self.distribution.number

    def is_lease_candidate(self) -> bool:
        """Returns whether this router may apply for the lease for orders.

        Only the first few live routers by rendezvous hash may. Routers with
        the same view of the fleet agree on this ranking.
        """
        own = self._settings.router.name
        names = {member.name for member in self.membership.alive()} | {own}
        candidates = rendezvous.top(
            ORDERS_KEY, names, control_const.LEASE_CANDIDATES
        )
        return own in candidates

    def _others_serve(self) -> bool:
        """Whether callers are sent to other routers."""
        own = self._settings.router.name
        return any(item.name != own for item in self.liveness.named())

    def _notice_receivers(self, customer_name: str) -> list[str]:
        """Returns the routers that receive notices of a customer's requests."""
        own = self._settings.router.name
        alive = self.membership.alive()
        if len(alive) > MAX_ROUTERS_FOR_NOTICES_TO_ALL:
            customer = self.distribution.configuration.customer(customer_name)
            alive = (
                ()
                if customer is None
                else self.router_selector.routers_for(customer)
            )
        names = [member.name for member in alive if member.name != own]
        return names[:MAX_NOTICE_RECEIVERS]

    async def start(self) -> None:
        """Starts all components.

        Requests are served once a background task has loaded the
        configuration.
        """
        self._vm_list.listen(self._on_vm_list)
        self.membership.listen(self._on_members)
        self.distribution.listen(self._on_configuration)
        await self._metrics.start()
        await self._key_value_store.start()
        await self._peer_server.start()
        for server in self._servers:
            await server.start()
        await self._vm_list.refresh()
        await self._engines.start()
        children = {
            "vm list": self._vm_list.run,
            "membership": self._run_membership,
            "liveness": self.liveness.run,
            "boot": self.distribution.run_bootstrap,
            "reader": self.distribution.run_reader,
            "puller": self.distribution.run_puller,
            "orders": self.orders.run,
            "notices": self.notices.run,
            "quarantine": self.quarantine.run,
            "quarantine reader": self._read_quarantine,
        }
        for name, run in children.items():
            self._supervisor.start_child(name, run)
        loguru.logger.info(
            "router: {} is listening on {}.",
            self._settings.router.name,
            self._settings.router.front,
        )

    async def _run_membership(self) -> None:
        await self.membership.join()
        await self.membership.run()

    async def shut_down(self) -> bool:
        """Shuts down gracefully.

        The router first reports itself as not ready and as leaving, so that
        address lookups no longer return it. It then serves until addresses
        that callers have cached expire, and finally waits for running
        requests to finish.

        Returns:
            Whether all requests on the callers' listener finished in time.

        Raises:
            TimeoutError: filings did not finish within the deadline.
        """
        shutdown = self._settings.shutdown
        serves_for_s = shutdown.address_lifetime_s + shutdown.deadline_s
        exits_at = self._clock.monotonic() + serves_for_s
        self.front.start_draining(exits_at)
        self.filings.begin_shutdown(exits_at)
        self.membership.leave()
        self.liveness.announce()
        await asyncio.sleep(shutdown.address_lifetime_s)
        drained = await self._servers[0].drain(shutdown.deadline_s)
        # The process ends as soon as the filings that are running have ended.
        self.filings.begin_shutdown(self._clock.monotonic())
        async with asyncio.timeout(shutdown.deadline_s):
            await self.filings.drain()
        return drained

    async def close(self) -> None:
        """Stops all components without waiting for running requests."""
        await self._supervisor.close()
        await self.orders.close()
        await self.notices.close()
        await self.quarantine.close()
        await self.liveness.close()
        await self._tasks.close()
        await self.release_manager.close()
        await self.distribution.close()
        for server in reversed(self._servers):
            await server.close()
        await self.filings.close()
        await self._peer_server.close()
        await self._engines.close()
        self._offload_stores.close()
        for client in self._services.values():
            client.close()
        self._vm_list.close()
        close_peers = getattr(self._peers, "close", None)
        if close_peers is not None:
            await close_peers()
        await self._key_value_store.close()
        await self._metrics.close()

    def _on_vm_list(self) -> None:
        self.membership.apply_vm_list(self._vm_list.vms)
        self.view.set_leaving(self._vm_list.leaving())

    def _on_members(self) -> None:
        self.router_selector.clear_cache()
        self._update_fleet_size()

    def _on_configuration(self, configuration: core.Configuration) -> None:
        self.view.set_replicas(configuration.replicas, self._latency_s)
        self._engines.adopt(configuration.replicas)
        self._offload_stores.adopt(
            configuration.stores, self._settings.router.data_centre
        )
        self._adopt_services(configuration.services)
        self.orders.adopt(configuration)
        self.router_selector.clear_cache()
        self.gate.adopt(configuration)
        self.front.adopt(configuration)
        self._update_fleet_size()

    def _adopt_services(self, services: Mapping[str, core.Service]) -> None:
        for name in list(self._services):
            if services.get(name) != self._services[name].service:
                self._services.pop(name).close()
        for name, service in services.items():
            if name not in self._services:
                self._services[name] = drivers.SERVICES.get(service.driver)(
                    service,
                    self._settings.router.data_centre,
                    self._vm_list.leaving,
                    self.quarantine,
                    self._clock,
                    self._rng,
                )

    def _latency_s(self, data_centre: str) -> float:
        if data_centre == self._settings.router.data_centre:
            return SAME_DATA_CENTRE_LATENCY_S
        return OTHER_DATA_CENTRE_LATENCY_S

    def _update_fleet_size(self) -> None:
        """Updates the values that depend on the size of the fleet.

        The slots of the engines are divided equally among the live routers.
        """
        configuration = self.distribution.configuration
        routers = max(1, len(self.membership.alive()))
        slots = sum(
            replica.slots for replica in configuration.replicas.values()
        )
        own_slots = math.ceil(slots * admission.SLOT_HEADROOM / routers)
        self.gate.admission.set_slots(max(MIN_ADMISSION_SLOTS, own_slots))
        worths = [
            request_class.worth
            for request_class in configuration.classes.values()
        ]
        mean_worth = sum(worths) / len(worths) if worths else 1.0
        self.policy.set_fleet(routers, mean_worth)
        self.filings.set_router_count(routers)
