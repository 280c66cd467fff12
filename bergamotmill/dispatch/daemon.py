"""Builds the components of one router and runs them."""

import asyncio
from collections.abc import Callable, Sequence
import dataclasses
import functools
import random
from typing import Any

from bergamotmill import supervisor
from bergamotmill.control import const as control_const
from bergamotmill.control import datagrams
from bergamotmill.control import liveness
from bergamotmill.control import members as fleet_members
from bergamotmill.control import membership as fleet_membership
from bergamotmill.control import order_lease
from bergamotmill.control import owners as key_owners
from bergamotmill.control import peers as peer_links
from bergamotmill.control import quarantine
from bergamotmill.customer_limits import assembly as customer_limits
from bergamotmill.customer_limits import fleet_view
from bergamotmill.dispatch import allowance_owner
from bergamotmill.dispatch import allowances as upstream_allowances
from bergamotmill.dispatch import call_preview
from bergamotmill.dispatch import config
from bergamotmill.dispatch import const
from bergamotmill.dispatch import dialect as platform_dialect
from bergamotmill.dispatch import directory
from bergamotmill.dispatch import dispatcher as call_dispatcher
from bergamotmill.dispatch import documents
from bergamotmill.dispatch import engine_groups
from bergamotmill.dispatch import explainer as route_explainer
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import gauges
from bergamotmill.dispatch import measured_loads
from bergamotmill.dispatch import notices
from bergamotmill.dispatch import order_gap
from bergamotmill.dispatch import peer_messages
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import placement_client
from bergamotmill.dispatch import placement_messages
from bergamotmill.dispatch import placement_owner
from bergamotmill.dispatch import planner
from bergamotmill.dispatch import pull_queue
from bergamotmill.dispatch import readers as feed_readers
from bergamotmill.dispatch import registration
from bergamotmill.dispatch import retry_budgets
from bergamotmill.dispatch import rollout
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.dispatch import upstreams
from bergamotmill.engine_load import reports as load_reports
from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import decisions
from bergamotmill.helpers import http_server
from bergamotmill.helpers import memory_budget
from bergamotmill.helpers import metrics as stats
from bergamotmill.helpers import metrics_page
from bergamotmill.proto import peer_pb2
from bergamotmill.storage import key_value
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.storage.vm_list import const as vm_const
from bergamotmill.util import clock as clocks
from bergamotmill.util import rendezvous

CATALOG_CHECK_PERIOD_S = 0.2
# Time after a termination signal during which callers may still connect to
# an address that they got from the directory before.
DIRECTORY_LINGER_S = 5.0
# The process exits this long before the end of the grace period.
EXIT_MARGIN_S = 0.5
# Time to write responses to the calls that have not completed by then. Streams
# that have begun, which no response can end, go on meanwhile.
LAST_RESPONSES_S = 0.2
# Time to close the connections of streams that are cut then.
CLOSING_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Factories:
    """Factories of the components that tests and experiments replace.

    Attributes:
        make_peers: makes the client for calls to other routers.
        make_peer_server: makes the server for calls from other routers.
        make_placement: makes the placement, which chooses upstreams.
    """

    make_peers: Callable[..., peer_links.PeerClient] = peer_links.GrpcPeerClient
    make_peer_server: Callable[..., Any] = peer_links.GrpcPeerServer
    make_placement: Callable[..., placement.Placement] = placement.Placement


class Daemon:
    """Owns and runs all components of one router."""

    def __init__(
        self,
        settings: router_settings.Settings,
        store: key_value.RevisionedStore,
        dialect: platform_dialect.Dialect,
        clock: clocks.Clock,
        rng: random.Random,
        incarnation: int,
        factories: Factories | None = None,
    ):
        self._settings = settings
        self._store = store
        self._dialect = dialect
        self._clock = clock
        self._rng = rng
        self._incarnation = incarnation
        self._leaving = False
        self._exits_at = float("inf")
        self._supervisor = supervisor.Supervisor("router", rng)
        self.metrics = stats.Metrics()
        self._memory = memory_budget.MemoryBudget(
            memory_budget.budget_bytes(settings.memory.limit_bytes)
        )
        self._connections = connection_memory.ConnectionMemory(
            self._memory, self.metrics, clock.monotonic
        )
        dialect.link.count_connections(self._connections)
        dialect.count_store_connections(store, self._connections)
        factories = factories or Factories()
        self._peers = factories.make_peers(
            settings.fleet_key, self._peer_address
        )
        self._messages = peer_messages.PeerMessages(
            self._peers, self._peer_address
        )
        self._build_control()
        self._build_allowances()
        self._build_dispatch(factories)
        self._build_customer_limits()
        self._build_servers(factories)

    def _build_control(self) -> None:
        own = self._settings.router
        now = self._clock.monotonic
        self.feed = documents.DocumentFeed(
            self._store,
            "",
            self._peers,
            feed_readers.DataCentreStoreReaders(
                own.name,
                own.data_centre,
                lambda name: self._alive_in(name),
                now,
            ),
            own.name,
            self._clock,
            self._rng,
            self._dialect.decoder.operator_version,
        )
        self.fleet = fleet_state.Fleet(
            self.feed,
            self._dialect.decoder,
            self._clock,
            self._settings.weights.old_weights_max_age_s
            - const.STARTUP_OLD_WEIGHTS_S,
        )
        self.feed.add_peer_knowledge(self.fleet)
        self.feed.add_peer_knowledge(self.fleet.cache_scopes)
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
            now,
            lambda: self.feed.revision,
        )
        self.membership.set_newer_release_callback(self.feed.note_peer_revision)
        self.liveness = liveness.LivenessMonitor(
            self.membership,
            liveness.Links(self._messages.send, store_reports=self.feed.health),
            self._rng,
            self._clock.boottime,
        )
        self._entry = fleet_state.RouterEntry(
            own.name,
            self._incarnation,
            own.peer,
            own.front,
            own.data_centre,
            own.processors,
        )
        self._registration = registration.RouterRegistration(
            self._store,
            self._dialect.router_key(own.name),
            self._dialect.router_value(self._entry),
            lambda: self.fleet.routers.get(own.name) == self._entry,
            lambda: len(self.membership.alive()) > const.LARGE_FLEET_ROUTERS,
            self._rng,
        )
        lease = order_lease.OrderLease(
            self._store,
            self._dialect.lease_key,
            f"{own.name}.{self._incarnation}".encode(),
            self._clock,
            order_lease.LeaseTerms(
                const.ORDER_LEASE_S, const.ORDER_LEASE_MARGIN_S
            ),
        )
        self.rollout = rollout.Rollout(
            lease,
            self.fleet,
            self._dialect.link,
            rollout.RolloutContext(
                self._may_acquire_lease,
                self._announce_weights,
                order_gap.HandoverRecord(
                    self._store,
                    self._dialect.handover_key,
                    self._clock.boottime,
                ),
                lambda: self.feed.since_restore_s,
                self._settings.weights.min_order_gap_s,
                self._settings.weights.old_weights_max_age_s,
            ),
            self._clock,
            self._rng,
        )
        self.quarantine = quarantine.Quarantine(
            quarantine.QuarantineLinks(
                own.name,
                self._messages.send,
                self.membership.other_names,
                self._store,
                self._dialect.quarantine_prefix,
                self._revision_of,
                lambda: self.feed.since_restore_s < const.RESTORE_QUERY_S,
            ),
            self._clock,
            self._rng,
        )
        self.feed.add_peer_knowledge(self.quarantine)
        self.feed.add_listener(self._on_document)

    def _build_allowances(self) -> None:
        own = self._settings.router
        self._allowance_owner = allowance_owner.AllowanceOwner(
            self.fleet,
            self._router_count,
            self._dialect.link.check_health,
            self._clock.boottime,
        )
        self._allowances = upstream_allowances.Allowances(
            self.fleet,
            self._allowance_owner,
            upstream_allowances.AllowanceLinks(
                own.name,
                key_owners.KeyOwners(
                    own.name, self.membership.alive, upstream_allowances.OWNERS
                ),
                self._messages.send,
                self.membership.other_names,
                self._router_count,
            ),
            self.metrics,
            self._clock,
            self._rng,
        )

    def _build_dispatch(self, factories: Factories) -> None:
        self._retry_budgets = retry_budgets.RetryBudgets(
            self._settings.retries,
            lambda: max(len(self.membership.alive()), len(self.fleet.routers)),
            self._clock.monotonic,
        )
        self.notices = notices.DispatchNotices(
            self.fleet.upstreams,
            self._messages.send,
            self._notice_receivers,
            self._clock.monotonic,
            self.membership.other_names,
            self._rng,
        )
        self.fleet.add_leaving_listener(self.notices.announce_leaving)
        own = self._settings.router
        load_model = self._settings.placement.load_model
        self._loads = measured_loads.MeasuredLoads(
            load_model,
            lambda: self.fleet.catalog.services,
            self._clock.monotonic,
        )
        self._group_owners = engine_groups.GroupOwners(
            own.name,
            self.membership.alive,
            self._processors_of,
            self._loads.is_measured,
        )
        self.fleet.add_routers_listener(self._group_owners.on_routers)
        owner_placement = factories.make_placement(
            own.data_centre, lambda: 0, self._rng
        )
        self._pull_queue = pull_queue.PullQueue(
            self.fleet.upstreams,
            owner_placement,
            self._on_placed,
            self._loads,
            self._clock.monotonic,
        )
        self._placement_owner = placement_owner.PlacementOwner(
            self.fleet.upstreams,
            owner_placement,
            self._on_placed,
            self._pull_queue,
            self._clock.monotonic,
        )
        self._load_reports = load_reports.LoadReports(
            own.name, self._messages.send, self._loads.apply
        )
        self._planner = attempt_planner = planner.Planner(
            self.fleet,
            factories.make_placement(
                self._settings.router.data_centre,
                lambda: len(self.membership.alive()) - 1,
                self._rng,
            ),
            self.notices,
            planner.PlannerSettings(
                own.name,
                own.data_centre,
                self._settings.weights.old_weights_max_age_s,
                self._settings.streams.keep_copies,
            ),
            self._clock.monotonic,
        )
        self._placer = placement_client.PlacementClient(
            self.fleet,
            attempt_planner,
            placement_client.OwnerLinks(
                own.name,
                self._placement_owner,
                self._group_owners,
                self._messages.send_ask,
                self._messages.send_outcome,
                self._load_reports,
                self._has_placement_owners,
            ),
            self.metrics,
            self._clock.monotonic,
        )
        self.dispatcher = call_dispatcher.Dispatcher(
            self.fleet,
            self._dialect.link,
            attempt_planner,
            self._placer,
            self._retry_budgets.of,
            self.quarantine,
            self._allowances,
            call_dispatcher.ProcessContext(
                self.seconds_until_exit,
                self._others_serve,
                self.metrics,
                self._clock.monotonic,
                self._clock.boottime,
                self._rng,
                self._memory,
                self._connections.make_room,
            ),
        )

    def _build_customer_limits(self) -> None:
        self._customer_limits: customer_limits.CustomerLimits | None = None
        if self._settings.customer_limits is None:
            return
        built = customer_limits.build(
            self._settings.customer_limits,
            fleet_view.FleetLinks(
                self._settings.router.name,
                self.membership.alive,
                lambda: self.membership.known,
                self._router_count,
                is_alone=not self._settings.seeds,
            ),
            lambda: self.fleet.catalog.customer_limits,
            self._messages.send,
            self.dispatcher,
            self.metrics,
            self._clock,
            self._rng,
        )
        self._customer_limits = built
        self.fleet.add_catalog_listener(built.client.on_catalog)
        self._messages.listen("customer_claims", built.client.on_claim)
        self._messages.listen("customer_replies", built.client.on_reply)

    def _build_servers(self, factories: Factories) -> None:
        own = self._settings.router
        dialect = self._dialect
        router_directory = directory.Directory(self.liveness.named, self._rng)
        metrics_handler = metrics_page.MetricsPage(self.metrics, self._gauges)
        limits = self._customer_limits
        front = dialect.make_front(
            self.fleet,
            self.dispatcher if limits is None else limits.gate,
            self._clock.monotonic,
        )
        explainer = route_explainer.Explainer(
            self.fleet,
            route_explainer.Links(
                own.name,
                own.data_centre,
                call_preview.CallPreviews(
                    self.dispatcher.decisions,
                    self._planner,
                    self._placer,
                    self.quarantine,
                    self._allowances,
                ),
                self._planner,
                self._placement_owner,
                self._peers,
                self._allowances,
                self._retry_budgets.left,
                self._clock.monotonic,
            ),
        )
        operators_handler = dialect.make_route_page(
            self.fleet,
            front,
            explainer,
            metrics_handler.handle,
            self._clock.monotonic,
        )
        self._front = http_server.HttpServer(
            own.front,
            front.handle,
            memory=self._memory,
            refusal_handler=front.refuse_for_memory,
            connections=self._connections,
            request_id_header=dialect.request_id_header,
        )
        self._servers = [
            self._front,
            http_server.HttpServer(
                own.ready, dialect.make_ready_handler(self.is_ready)
            ),
            http_server.HttpServer(
                own.directory, dialect.make_directory_handler(router_directory)
            ),
            http_server.HttpServer(own.metrics, operators_handler),
        ]
        handlers = {
            "Ping": self.membership.on_ping,
            "Documents": self.feed.on_documents,
            "Notify": self._messages.on_rpc,
            "Publish": self.feed.on_publish,
            "Weights": self._on_weights_notice,
            route_explainer.RPC_METHOD: explainer.on_question,
        }
        self._datagram_port: datagrams.DatagramPort | None = None
        if own.datagrams:
            self._datagram_port = self._messages.open_port(
                own.datagrams, self._settings.fleet_key
            )
        for field, listener in {
            "notices": self.notices.on_notice,
            "leaving": self._on_leaving_notice,
            "checks": self.liveness.on_check,
            "members": self.liveness.on_members,
            "asks": self._on_ask,
            "replies": self._on_reply,
            "engine_reports": self._loads.apply,
            "results": self._on_outcome,
            "weights": self._apply_weights_notice,
            "crashes": self.quarantine.on_crash_report,
            "answers": self.quarantine.on_answers_report,
            "quarantine": self.quarantine.on_notice,
            "limits": self._allowances.on_notice,
            "claims": self._allowances.on_claim,
            "allowances": self._allowances.on_reply,
        }.items():
            self._messages.listen(field, listener)
        self._peer_server = factories.make_peer_server(
            own.peer, self._settings.fleet_key, handlers
        )

    def _gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page."""
        limits = self._customer_limits
        return gauges.read_gauges(
            gauges.Sources(
                self.fleet,
                self.feed,
                self.membership,
                self.liveness,
                self.dispatcher,
                self._memory,
                self._connections,
                self._placement_owner,
                self.quarantine,
                self._allowances,
                self._allowance_owner,
                self.rollout,
                self._supervisor,
            ),
            [
                {} if limits is None else limits.client.gauges,
                self._loads.gauges(),
                self._retry_budgets.gauges(),
            ],
        )

    def is_ready(self) -> bool:
        """Whether new callers may be directed to this router."""
        return self.fleet.catalog.version > 0 and not self._leaving

    def seconds_until_exit(self) -> float:
        """Returns seconds until this process exits; infinite while serving."""
        return self._exits_at - self._clock.monotonic()

    def _others_serve(self) -> bool:
        """Whether callers are sent to other routers."""
        own = self._settings.router.name
        return any(item.name != own for item in self.liveness.named())

    def _alive_in(self, data_centre: str) -> Sequence[fleet_members.Member]:
        return self.membership.alive(data_centre)

    def _has_placement_owners(self) -> bool:
        return len(self.membership.alive()) > const.NOTICE_ALL_MAX_ROUTERS

    def _notice_receivers(self, entry: upstreams.UpstreamEntry) -> list[str]:
        """Returns the other routers that keep track of an engine's load."""
        if not self._has_placement_owners():
            return self._other_routers()
        engines = self.fleet.upstreams.ready(entry.service)
        count = engine_groups.group_count(len(engines))
        group = engine_groups.group_order(entry.name, count)[0]
        own = self._settings.router.name
        keepers = self._group_owners.keepers(entry.service, group)
        return [name for name in keepers if name != own]

    def _processors_of(self, name: str) -> float:
        """Returns the cores that a router may use; 0 if unknown."""
        entry = self.fleet.routers.get(name)
        return 0.0 if entry is None else entry.processors

    def _other_routers(self) -> list[str]:
        """Returns the names of all other routers that are alive."""
        own = self._settings.router.name
        return [m.name for m in self.membership.alive() if m.name != own]

    def _on_leaving_notice(self, notice: peer_pb2.LeavingNotice) -> None:
        self.fleet.note_leaving(notice.replica, notice.incarnation, "peer")

    def _on_ask(self, message: peer_pb2.PlacementAsk) -> None:
        ask = placement_messages.decode_ask(message)
        if message.cancelled:
            self._placement_owner.cancel(ask.key)
            return
        self._placement_owner.submit(
            ask, functools.partial(self._messages.send_reply, ask.sender)
        )

    def _on_reply(self, message: peer_pb2.PlacementReply) -> None:
        self._placer.on_reply(placement_messages.decode_reply(message))

    def _on_outcome(self, message: peer_pb2.PlacementResult) -> None:
        self._placement_owner.note_outcome(
            placement_messages.decode_outcome(message)
        )

    def _on_placed(
        self,
        ask: placement_messages.Ask,
        prefix: placement.Prefix,
        candidate: placement.Candidate,
    ) -> None:
        """Records a request that this router placed; tells its successor."""
        del ask
        engine = candidate.upstream
        stored_tokens = max(0, prefix.total_tokens - candidate.cached_tokens)
        engine.note_stored_tokens(stored_tokens)
        for digest in prefix.digests:
            self.fleet.upstreams.learn(
                digest, engine.entry.name, candidate.first_byte_s
            )
        self.notices.record_dispatch(
            engine.entry, prefix.digests, stored_tokens, candidate.work_s
        )

    async def _announce_weights(
        self, announcement: rollout.WeightsAnnouncement
    ) -> None:
        """Sends a weights notice to all peers, without retries.

        A peer that misses it learns the weights later, from the engine's
        reports or responses.
        """
        request = peer_pb2.WeightsNotice(
            upstream=announcement.upstream,
            born=announcement.born,
            model=announcement.model,
            version=announcement.version,
            held=announcement.held,
        )
        message = peer_pb2.NotifyRequest(weights=[request])
        for name in self._other_routers():
            self._messages.send(name, message)

    async def _on_weights_notice(
        self, request: peer_pb2.WeightsNotice
    ) -> peer_pb2.WeightsReply:
        self._apply_weights_notice(request)
        return peer_pb2.WeightsReply()

    def _apply_weights_notice(self, notice: peer_pb2.WeightsNotice) -> None:
        self.fleet.apply_weights_notice(
            notice.upstream,
            notice.born,
            notice.model,
            notice.version,
            notice.held,
        )

    def _on_document(self, document: documents.Document, source: str) -> None:
        self.quarantine.on_document(
            document.key, document.value, document.revision, source
        )
        if document.key == self._dialect.lease_key:
            held = document.value is not None
            self.rollout.on_lease_changed(document.revision, held)
        elif document.key == self._dialect.handover_key and document.value:
            self.rollout.on_handover(document.value)

    def _revision_of(self, key: str) -> int:
        """Returns the revision of a key as last read; 0 if it has none."""
        document = self.feed.document(key)
        if document is None or document.value is None:
            return 0
        return document.revision

    def _peer_address(self, name: str) -> str:
        return self.membership.peer_address(name)

    def _may_acquire_lease(self) -> bool:
        """Whether the lease looks free and this router may apply for it."""
        if self._leaving or self.fleet.catalog.version == 0:
            return False
        lease_document = self.feed.document(self._dialect.lease_key)
        if lease_document is not None and lease_document.value is not None:
            return False
        own = self._settings.router.name
        names = {member.name for member in self.membership.alive()} | {own}
        candidates = rendezvous.top(
            self._dialect.lease_key, names, control_const.LEASE_CANDIDATES
        )
        return own in candidates

    def _router_count(self) -> int:
        """Returns the number of routers that may be serving requests."""
        return max(
            len(self.membership.alive()),
            len(self.membership.other_names()) + 1,
            len(self.fleet.routers),
        )

    async def start(self) -> None:
        """Starts all components; refuses calls until there is a catalogue."""
        own = self._settings.router
        self.fleet.add_catalog_listener(self._on_catalog)
        self.fleet.add_routers_listener(self._on_routers)
        self.membership.listen(self._retry_budgets.share)
        await self._store.start()
        await self._peer_server.start()
        if self._datagram_port is not None:
            await self._datagram_port.start()
        for server in self._servers:
            await server.start()
        children = {
            "documents": self.feed.run,
            "pulls": self.feed.run_pulls,
            "ticks": self.feed.run_suspension_detector,
            "heartbeats": self.feed.run_heartbeats,
            "membership": self._run_membership,
            "liveness": self._run_liveness,
            "roster": self._run_registration,
            "ages": self._run_age_requests,
            "lease": self.rollout.run_lease,
            "rollout": self.rollout.run,
            "quarantine": self.quarantine.run,
            "allowances": self._allowances.run,
            "connections": self._connections.run,
        }
        if self._customer_limits is not None:
            children["customer_limits"] = self._customer_limits.client.run
        for name, child in children.items():
            self._supervisor.start_child(name, child)
        decisions.record(
            "started",
            router=own.name,
            incarnation=self._incarnation,
            data_centre=own.data_centre,
            front=own.front,
        )

    async def _wait_for_catalog(self) -> None:
        """Waits for a catalogue; pulls from seeds while the store is down."""
        while self.fleet.catalog.version == 0:
            await asyncio.sleep(
                CATALOG_CHECK_PERIOD_S * self._rng.uniform(0.8, 1.2)
            )
            others = [
                seed
                for seed in self._settings.seeds
                if seed != self._settings.router.peer
            ]
            if others and not self.feed.store_ok:
                await self.feed.pull_address(self._rng.choice(others))

    async def _run_membership(self) -> None:
        await self._wait_for_catalog()
        await self.membership.join()
        await self.membership.run()

    async def _run_liveness(self) -> None:
        while self.fleet.catalog.version == 0:
            await asyncio.sleep(CATALOG_CHECK_PERIOD_S)
        await self.liveness.run()

    async def _run_age_requests(self) -> None:
        """Requests from peers what the store does not tell.

        Only while this router has to estimate when a target version was set,
        as it does right after its start, and while the store may lack documents
        because it was restored from an older copy; and until a peer has told
        the scopes of KV cache.
        """
        scope_queries = 0
        while True:
            await asyncio.sleep(const.AGE_QUERY_PERIOD_S)
            lacks_scopes = (
                self.fleet.cache_scopes.may_differ
                and scope_queries < const.MAX_CACHE_SCOPE_QUERIES
            )
            scope_queries += lacks_scopes
            if (
                lacks_scopes
                or self.fleet.has_estimated_ages
                or self.feed.may_lack_versions
            ):
                await self._request_ages()

    async def _request_ages(self) -> None:
        names = self._other_routers()
        self._rng.shuffle(names)
        async with asyncio.TaskGroup() as group:
            for name in names[: const.AGE_QUERY_PEERS]:
                group.create_task(self.feed.pull(name))

    async def _run_registration(self) -> None:
        while self.fleet.catalog.version == 0:
            await asyncio.sleep(CATALOG_CHECK_PERIOD_S)
        await self._registration.run()

    def _on_catalog(self, catalog: config.Catalog) -> None:
        limits = catalog.limits
        self._front.limits = http_server.Limits(
            head_bytes=limits.head_bytes * 2,
            body_bytes=limits.body_bytes,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def _on_routers(self) -> None:
        self.membership.apply_vm_list(
            vm_config.Vm(
                item.name,
                vm_const.ROLE_ROUTER,
                "",
                item.data_centre,
                front=item.front,
                peer=item.peer,
            )
            for item in self.fleet.routers.values()
        )
        self._retry_budgets.share()

    def reload(self, settings: router_settings.Settings) -> None:
        """Applies changed store, seeds, retries and shutdown settings.

        Changes of other settings take effect at the next start, and are named
        in the log line.
        """
        old = self._settings
        self._settings = dataclasses.replace(settings, router=old.router)
        if settings.store != old.store:
            self._dialect.change_store_address(
                self._store, settings.store.address
            )
        self._retry_budgets.reload(settings.retries)
        decisions.record(
            "reloaded",
            store=settings.store.address,
            seeds=list(settings.seeds),
            restart_needed=router_settings.restart_needed(old, settings),
        )

    async def shut_down(self) -> None:
        """Shuts down gracefully within the grace period.

        The router reports not ready and leaves the directory at once, serves
        callers that still connect, and returns when no request is left or
        the grace period is about to end.
        """
        grace_s = self._settings.shutdown.grace_s
        started = self._clock.monotonic()
        self._leaving = True
        self._exits_at = started + grace_s - EXIT_MARGIN_S
        self._front.disable_keep_alive()
        self.membership.leave()
        self.liveness.announce()
        self.dispatcher.begin_shutdown()
        decisions.record(
            "stopping", grace_s=grace_s, others_serve=self._others_serve()
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self.rollout.close())
            group.create_task(self._registration.deregister())
        linger_s = min(DIRECTORY_LINGER_S, grace_s / 2)
        elapsed_s = self._clock.monotonic() - started
        await asyncio.sleep(max(0.0, linger_s - elapsed_s))
        elapsed_s = self._clock.monotonic() - started
        drained = await self._front.drain(
            max(0.0, grace_s - EXIT_MARGIN_S - elapsed_s)
        )
        if not drained:
            self.dispatcher.end_unstarted_calls()
            if not await self._front.drain(LAST_RESPONSES_S):
                self.dispatcher.end_calls()
                await self._front.drain(CLOSING_S)
        decisions.record("stopped", whole=drained)

    async def close(self) -> None:
        """Stops all components at once."""
        await self._supervisor.close()
        await self.dispatcher.close()
        if self._customer_limits is not None:
            self._customer_limits.client.close()
        self._placement_owner.close()
        self._load_reports.close()
        await self._allowance_owner.close()
        await self.notices.close()
        await self.quarantine.close()
        await self.liveness.close()
        await self.feed.close()
        await self._messages.close()
        self.fleet.close()
        for server in reversed(self._servers):
            await server.close()
        if self._datagram_port is not None:
            await self._datagram_port.close()
        await self._peer_server.close()
        self._dialect.link.close()
        close_peers = getattr(self._peers, "close", None)
        if close_peers is not None:
            await close_peers()
        await self._store.close()
        await self.metrics.close()
