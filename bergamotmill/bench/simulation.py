"""Simulates routers that send requests to replicas, in virtual time.

Each router has its own state and runs the production decision code. Only the
network and the engines are simulated.
"""

import heapq
import itertools
import random
from typing import Any

from bergamotmill.bench import simulation_entities
from bergamotmill.bench import workload as workloads
from bergamotmill.routing import const
from bergamotmill.routing import messages
from bergamotmill.routing import notices
from bergamotmill.standin import engine_model
from bergamotmill.upstream.engine import config
from bergamotmill.upstream.engine import coordinator as engines
from bergamotmill.util import rendezvous

ADDRESS_LIFETIME_S = 10.0
CACHE_EVENT_PERIOD_S = 1.0
EVENTS_PER_POLL = 256
CRASH_PERIOD_S = 20.0
CRASH_DURATION_S = 3.0
STORE_OUTAGE_PERIOD_S = 30.0
STORE_OUTAGE_DURATION_S = 10.0
POPULARITY_SHIFT_PERIOD_S = 20.0
# Delay of reports and cache events under the fault `lag`.
VIEW_LAG_S = 1.5
# Fraction of cache events that the fault `gaps` drops.
EVENT_LOSS_RATIO = 0.3
# Capacity of the KV offload store.
OFFLOAD_STORE_BLOCKS = 400
FAULTS = ("lag", "gaps", "crash", "shift", "kv-down")


class Simulation:
    """One run of one policy on one workload with injected faults."""

    def __init__(
        self,
        workload: workloads.Workload,
        policy: str,
        faults: frozenset[str],
        seed: int,
        seconds: float,
        load: float,
        warm_up_s: float,
        routers_per_customer: int,
        notices_enabled: bool = True,
    ):
        self.workload = workload
        self.seed = seed
        self.now = 0.0
        self._faults = faults
        self._seconds = seconds
        self._load = load
        self._warm_up_s = warm_up_s
        self._routers_per_customer = routers_per_customer
        self._notices_enabled = notices_enabled
        self._rng = random.Random(f"{seed}/network")
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._sequence = itertools.count()
        self.replicas = {
            f"replica-{index}": simulation_entities.Replica(
                f"replica-{index}",
                workload.speed,
                index % workload.data_centres,
            )
            for index in range(workload.replicas)
        }
        self._report_period_s = engines.report_period_s(workload.replicas)
        self._offload_store = engine_model.BlockCache(OFFLOAD_STORE_BLOCKS)
        self.routers = [
            simulation_entities.Router(self, index, policy)
            for index in range(simulation_entities.ROUTERS)
        ]
        for router in self.routers:
            attach = getattr(router.policy, "attach", None)
            if attach is not None:
                attach(self)
        self._pending: dict[str, simulation_entities.PendingRequest] = {}
        self.outcomes: list[simulation_entities.RequestOutcome] = []

    def schedule(self, time_s: float, action: Any, *arguments: Any) -> None:
        """Schedules an action at a virtual time."""
        heapq.heappush(
            self._events, (time_s, next(self._sequence), action, arguments)
        )

    def run(self) -> list[simulation_entities.RequestOutcome]:
        """Runs the workload and returns the outcomes after the warm-up."""
        shift_s = POPULARITY_SHIFT_PERIOD_S if "shift" in self._faults else 0.0
        for request in workloads.generate_requests(
            self.workload, self.seed, self._seconds, self._load, shift_s
        ):
            self.schedule(request.arrival_s, self._on_arrival, request)
        for router in self.routers:
            for replica in self.replicas.values():
                pause = self._rng.uniform(0.0, self._report_period_s)
                router.view.on_report(replica.name, replica.report(0.0))
                self.schedule(pause, self._poll_report, router, replica)
                pause = self._rng.uniform(0.0, CACHE_EVENT_PERIOD_S)
                self.schedule(pause, self._poll_events, router, replica, [0, 0])
        if "crash" in self._faults:
            self.schedule(CRASH_PERIOD_S, self._crash_replica)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            if self.now > self._seconds + 60.0:
                break
            action(*arguments)
        return self.outcomes

    def _view_lag_s(self) -> float:
        return VIEW_LAG_S if "lag" in self._faults else 0.001

    def _poll_report(
        self,
        router: simulation_entities.Router,
        replica: simulation_entities.Replica,
    ) -> None:
        if replica.up:
            report = replica.report(self.now)
            self.schedule(
                self.now + self._view_lag_s(),
                router.view.on_report,
                replica.name,
                report,
            )
        else:
            router.view.on_report_missing(replica.name)
        if self.now < self._seconds:
            pause = self._report_period_s * self._rng.uniform(0.8, 1.2)
            self.schedule(self.now + pause, self._poll_report, router, replica)

    def _poll_events(
        self,
        router: simulation_entities.Router,
        replica: simulation_entities.Replica,
        state: list[int],
    ) -> None:
        """Sends new cache events of a replica to a router.

        `state` holds the replica's incarnation and the sequence number of the
        last event that was polled.
        """
        incarnation, last_sequence = state
        if replica.up and incarnation == replica.incarnation:
            events = [
                config.CacheEvent(sequence, bool(stored), digest)
                for sequence, stored, digest in replica.engine.cache.events
                if sequence > last_sequence
            ][:EVENTS_PER_POLL]
            if events:
                state[1] = events[-1].sequence
                if "gaps" in self._faults:
                    events = [
                        event
                        for event in events
                        if self._rng.random() >= EVENT_LOSS_RATIO
                    ]
            self.schedule(
                self.now + self._view_lag_s(),
                router.view.on_cache_events,
                replica.name,
                incarnation,
                events,
                last_sequence,
            )
        elif replica.up:
            state[:] = [replica.incarnation, 0]
        if self.now < self._seconds:
            pause = CACHE_EVENT_PERIOD_S * self._rng.uniform(0.8, 1.2)
            self.schedule(
                self.now + pause, self._poll_events, router, replica, state
            )

    def _on_arrival(self, request: workloads.Request) -> None:
        router = self._pick_router(request)
        pending = simulation_entities.PendingRequest(request, router)
        self._pending[request.name] = pending
        self._dispatch(pending)

    def _pick_router(
        self, request: workloads.Request
    ) -> simulation_entities.Router:
        """Returns one of the routers assigned to the request's customer.

        Callers cache the router addresses and fetch them again after
        ADDRESS_LIFETIME_S, so a case can change its router at that interval. A
        case is a group of requests that share their innermost prefix.
        """
        names = [str(index) for index in range(simulation_entities.ROUTERS)]
        customer_routers = rendezvous.top(
            request.customer, names, self._routers_per_customer
        )
        lifetime_index = int(self.now / ADDRESS_LIFETIME_S)
        chosen = rendezvous.rank(
            f"{request.case}/{lifetime_index}", customer_routers
        )[0]
        return self.routers[int(chosen)]

    def _store_up(self) -> bool:
        if "kv-down" not in self._faults:
            return True
        return self.now % STORE_OUTAGE_PERIOD_S >= STORE_OUTAGE_DURATION_S

    def offloaded_blocks(self, chain: tuple[int, ...]) -> int:
        """Returns how many leading blocks the offload store can supply now."""
        return self._offload_store.depth(chain) if self._store_up() else 0

    def _dispatch(self, pending: simulation_entities.PendingRequest) -> None:
        request = pending.request
        offloaded = self.offloaded_blocks(request.chain.digests)
        routing_request = messages.RoutingRequest(
            request.name,
            request.customer,
            simulation_entities.MODEL,
            "",
            simulation_entities.VERSION,
            "",
            pending.priority,
            request.request_class.worth,
            request.chain,
            offloaded * workloads.BLOCK_TOKENS,
            self.workload.speed.import_tokens_per_s if offloaded else 0.0,
            pending.excluded,
        )
        decided = pending.router.policy.decide(routing_request, self.now)
        if decided.is_err():
            if self.now - request.arrival_s < 5.0:
                pending.excluded = frozenset()
                self.schedule(self.now + 0.2, self._dispatch, pending)
                return
            self._finish(pending, -1.0, 0, 0)
            return
        pending.decision = decided.ok()
        self._send(pending)

    def _send(self, pending: simulation_entities.PendingRequest) -> None:
        decision = pending.decision
        replica = self.replicas[decision.choice.replica]
        view = pending.router.view.views[replica.name]
        pending.router.policy.record_dispatch(decision, self.now)
        tokens = max(
            0.0,
            decision.request.chain.total_tokens - decision.choice.cached_tokens,
        )
        view.load.add_dispatched(tokens, decision.request.priority, self.now)
        if self._notices_enabled and pending.router.export_policy is not None:
            self._send_notices(pending.router, decision, tokens)
        self.schedule(
            self.now + view.distance_s, self._on_receive, pending, replica
        )

    def _send_notices(self, sender, decision, tokens: float) -> None:
        delay = (
            notices.FLUSH_PERIOD_S * self._rng.random() + self.workload.far_s
        )
        for router in self.routers:
            if router is not sender:
                self.schedule(
                    self.now + delay,
                    router.view.on_notice,
                    decision.choice.replica,
                    decision.choice.incarnation,
                    decision.request.customer,
                    decision.request.chain.digests,
                    tokens,
                    decision.request.priority,
                )

    def _on_receive(
        self,
        pending: simulation_entities.PendingRequest,
        replica: simulation_entities.Replica,
    ) -> None:
        if not replica.up:
            self._retry_elsewhere(pending, replica.name)
            return
        request = pending.request
        offloaded = 0
        if pending.decision.choice.imports:
            offloaded = self.offloaded_blocks(request.chain.digests)
        pending.best_cached_blocks = max(
            self.offloaded_blocks(request.chain.digests),
            max(
                other.engine.cache.depth(request.chain.digests)
                for other in self.replicas.values()
                if other.up
            ),
        )
        replica.engine.submit(
            engine_model.Job(
                request.name,
                pending.priority,
                request.chain.digests,
                workloads.BLOCK_TOKENS,
                request.chain.total_tokens,
                request.request_class.output_tokens,
                offloaded,
            )
        )
        self._advance_replica(replica)
        report = replica.report(self.now)
        self.schedule(
            self.now + self._view_lag_s(),
            pending.router.view.on_report,
            replica.name,
            report,
        )

    def _advance_replica(self, replica: simulation_entities.Replica) -> None:
        for ready in replica.engine.advance(self.now):
            pending = self._pending.get(ready.job.name)
            if pending is not None:
                self._on_first_token(pending, replica, ready)
        due = replica.engine.next_event_time(self.now)
        if due is not None and due != replica.next_wake_at:
            replica.next_wake_at = due
            self.schedule(max(due, self.now), self._on_wake, replica, due)

    def _on_wake(
        self, replica: simulation_entities.Replica, due: float
    ) -> None:
        if replica.next_wake_at == due:
            replica.next_wake_at = None
            self._advance_replica(replica)

    def _on_first_token(self, pending, replica, ready) -> None:
        request = pending.request
        reused_blocks = (ready.cached_tokens + ready.imported_tokens) // (
            workloads.BLOCK_TOKENS
        )
        wasted_tokens = (
            max(0, pending.best_cached_blocks - reused_blocks)
            * workloads.BLOCK_TOKENS
        )
        first_token_s = (
            ready.at + pending.decision.choice.distance_s - request.arrival_s
        )
        reused_tokens = ready.cached_tokens + ready.imported_tokens
        self._finish(pending, first_token_s, reused_tokens, wasted_tokens)
        ends_at = ready.at + (
            request.request_class.output_tokens * self.workload.speed.token_s
        )
        self.schedule(
            ends_at, self._on_answer_end, pending, replica, ready.cached_tokens
        )

    def _on_answer_end(self, pending, replica, cached_tokens: int) -> None:
        router = pending.router
        router.policy.record_answer(pending.decision, cached_tokens, self.now)
        view = router.view.views[replica.name]
        view.load.record_service_time(self.now - pending.decision.decided_at)
        if router.export_policy is None or not replica.up:
            return
        chain = pending.request.chain
        exported = router.export_policy.pick(
            chain, view.retention.seconds, self.now
        )
        stored = tuple(
            item for item in exported if item in replica.engine.cache
        )
        if stored and self._store_up():
            self._offload_store.use(stored)

    def _retry_elsewhere(
        self, pending: simulation_entities.PendingRequest, name: str
    ) -> None:
        pending.router.view.on_request_failed(name, eject_immediately=True)
        pending.excluded = pending.excluded | {name}
        pending.priority = (
            pending.request.request_class.priority + const.RETRY_PRIORITY_BOOST
        )
        self._dispatch(pending)

    def _crash_replica(self) -> None:
        replica = self._rng.choice(
            sorted(self.replicas.values(), key=_replica_name)
        )
        if replica.up:
            replica.up = False
            lost_names = replica.engine.crash()
            for name in lost_names:
                pending = self._pending.get(name)
                if pending is not None:
                    self.schedule(
                        self.now + 0.001,
                        self._retry_elsewhere,
                        pending,
                        replica.name,
                    )
            self.schedule(
                self.now + CRASH_DURATION_S, self._restart_replica, replica
            )
        if self.now < self._seconds:
            self.schedule(self.now + CRASH_PERIOD_S, self._crash_replica)

    def _restart_replica(self, replica: simulation_entities.Replica) -> None:
        replica.engine = engine_model.EngineModel(replica.speed)
        replica.incarnation += 1
        replica.up = True
        replica.next_wake_at = None

    def _finish(
        self, pending, first_token_s, cached_tokens, wasted_tokens
    ) -> None:
        request = pending.request
        if self._pending.pop(request.name, None) is None:
            return
        if request.arrival_s >= self._warm_up_s:
            self.outcomes.append(
                simulation_entities.RequestOutcome(
                    request.request_class,
                    request.arrival_s,
                    first_token_s,
                    request.chain.total_tokens,
                    cached_tokens,
                    wasted_tokens,
                )
            )

    def busy_ratio(self) -> float:
        """Returns the replicas' prefill time relative to the run's length."""
        prefill_s = sum(item.engine.busy_s for item in self.replicas.values())
        return prefill_s / (self._seconds * len(self.replicas))


def _replica_name(replica: simulation_entities.Replica) -> str:
    return replica.name
