"""Routers with separate state before modelled replicas, on virtual time.

The routers run the product's own decision code; only the network and the
engines are modelled.
"""

import heapq
import itertools
import random
from typing import Any

from bergamotmill.bench import parts
from bergamotmill.bench import workload as workloads
from bergamotmill.routing import const
from bergamotmill.routing import messages
from bergamotmill.routing import notices
from bergamotmill.standin import engine_model
from bergamotmill.upstream.engine import config
from bergamotmill.upstream.engine import coordinator as engines
from bergamotmill.util import rendezvous

ADDRESS_LIFETIME_S = 10.0
EVENT_PERIOD_S = 1.0
EVENTS_PER_POLL = 256
CRASH_EVERY_S = 20.0
CRASH_LASTS_S = 3.0
STORE_DOWN_EVERY_S = 30.0
STORE_DOWN_LASTS_S = 10.0
SHIFT_EVERY_S = 20.0
LAG_S = 1.5
LOST_EVENTS = 0.3
KEPT_PIECES = 400
FAULTS = ("lag", "gaps", "crash", "shift", "kv-down")


class Simulation:
    """One run of one policy on one workload under faults."""

    def __init__(
        self,
        workload: workloads.Workload,
        policy: str,
        faults: frozenset[str],
        seed: int,
        seconds: float,
        load: float,
        warm_up_s: float,
        spread: int,
        notices_on: bool = True,
    ):
        self.workload = workload
        self.seed = seed
        self.now = 0.0
        self._faults = faults
        self._seconds = seconds
        self._load = load
        self._warm_up_s = warm_up_s
        self._spread = spread
        self._notices = notices_on
        self._rng = random.Random(f"{seed}/network")
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._sequence = itertools.count()
        self.replicas = {
            f"replica-{index}": parts.Replica(
                f"replica-{index}",
                workload.speed,
                index % workload.data_centres,
            )
            for index in range(workload.replicas)
        }
        self._report_period = engines.report_period_s(workload.replicas)
        self._kept = engine_model.BlockCache(KEPT_PIECES)
        self.routers = [
            parts.Router(self, index, policy) for index in range(parts.ROUTERS)
        ]
        for router in self.routers:
            attach = getattr(router.policy, "attach", None)
            if attach is not None:
                attach(self)
        self._flights: dict[str, parts.Flight] = {}
        self.served: list[parts.Served] = []

    def at(self, moment: float, action: Any, *arguments: Any) -> None:
        """Schedules an action."""
        heapq.heappush(
            self._events, (moment, next(self._sequence), action, arguments)
        )

    def run(self) -> list[parts.Served]:
        """Runs to the end and returns the outcomes after the warm-up."""
        shift = SHIFT_EVERY_S if "shift" in self._faults else 0.0
        for request in workloads.draw(
            self.workload, self.seed, self._seconds, self._load, shift
        ):
            self.at(request.at, self._arrive, request)
        for router in self.routers:
            for replica in self.replicas.values():
                pause = self._rng.uniform(0.0, self._report_period)
                router.view.on_report(replica.name, replica.report(0.0))
                self.at(pause, self._poll_report, router, replica)
                pause = self._rng.uniform(0.0, EVENT_PERIOD_S)
                self.at(pause, self._poll_events, router, replica, [0, 0])
        if "crash" in self._faults:
            self.at(CRASH_EVERY_S, self._crash)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            if self.now > self._seconds + 60.0:
                break
            action(*arguments)
        return self.served

    def _lag(self) -> float:
        return LAG_S if "lag" in self._faults else 0.001

    def _poll_report(
        self, router: parts.Router, replica: parts.Replica
    ) -> None:
        if replica.up:
            report = replica.report(self.now)
            self.at(
                self.now + self._lag(),
                router.view.on_report,
                replica.name,
                report,
            )
        else:
            router.view.on_report_missing(replica.name)
        if self.now < self._seconds:
            pause = self._report_period * self._rng.uniform(0.8, 1.2)
            self.at(self.now + pause, self._poll_report, router, replica)

    def _poll_events(
        self, router: parts.Router, replica: parts.Replica, state: list[int]
    ) -> None:
        incarnation, after = state
        if replica.up and incarnation == replica.incarnation:
            events = [
                config.CacheEvent(sequence, bool(stored), digest)
                for sequence, stored, digest in replica.model.cache.events
                if sequence > after
            ][:EVENTS_PER_POLL]
            if events:
                state[1] = events[-1].sequence
                if "gaps" in self._faults:
                    events = [
                        event
                        for event in events
                        if self._rng.random() >= LOST_EVENTS
                    ]
            self.at(
                self.now + self._lag(),
                router.view.on_cache_events,
                replica.name,
                incarnation,
                events,
                after,
            )
        elif replica.up:
            state[:] = [replica.incarnation, 0]
        if self.now < self._seconds:
            pause = EVENT_PERIOD_S * self._rng.uniform(0.8, 1.2)
            self.at(self.now + pause, self._poll_events, router, replica, state)

    def _arrive(self, request: workloads.Request) -> None:
        router = self._router_of(request)
        flight = parts.Flight(request, router)
        self._flights[request.name] = flight
        self._decide(flight)

    def _router_of(self, request: workloads.Request) -> parts.Router:
        """Returns a router of the customer's, as callers were told.

        A caller keeps the answer for its lifetime, then asks again.
        """
        names = [str(index) for index in range(parts.ROUTERS)]
        own = rendezvous.top(request.customer, names, self._spread)
        turn = int(self.now / ADDRESS_LIFETIME_S)
        chosen = rendezvous.rank(f"{request.case}/{turn}", own)[0]
        return self.routers[int(chosen)]

    def _store_up(self) -> bool:
        if "kv-down" not in self._faults:
            return True
        return self.now % STORE_DOWN_EVERY_S >= STORE_DOWN_LASTS_S

    def kept_pieces(self, chain: tuple[int, ...]) -> int:
        """Returns how many pieces the store holds and can give now."""
        return self._kept.depth(chain) if self._store_up() else 0

    def _decide(self, flight: parts.Flight) -> None:
        request = flight.request
        kept = self.kept_pieces(request.chain.digests)
        routing_request = messages.RoutingRequest(
            request.name,
            request.customer,
            parts.MODEL,
            "",
            parts.VERSION,
            "",
            flight.priority,
            request.shape.worth,
            request.chain,
            kept * workloads.PIECE_TOKENS,
            self.workload.speed.import_tokens_per_s if kept else 0.0,
            flight.excluded,
        )
        decided = flight.router.policy.decide(routing_request, self.now)
        if decided.is_err():
            if self.now - request.at < 5.0:
                flight.excluded = frozenset()
                self.at(self.now + 0.2, self._decide, flight)
                return
            self._done(flight, -1.0, 0, 0)
            return
        flight.decision = decided.ok()
        self._send(flight)

    def _send(self, flight: parts.Flight) -> None:
        decision = flight.decision
        replica = self.replicas[decision.choice.replica]
        view = flight.router.view.views[replica.name]
        flight.router.policy.record_dispatch(decision, self.now)
        tokens = max(
            0.0,
            decision.request.chain.total_tokens - decision.choice.cached_tokens,
        )
        view.load.add_dispatched(tokens, decision.request.priority, self.now)
        if self._notices and flight.router.exports is not None:
            self._tell(flight.router, decision, tokens)
        self.at(self.now + view.distance_s, self._receive, flight, replica)

    def _tell(self, sender, decision, tokens: float) -> None:
        delay = (
            notices.FLUSH_PERIOD_S * self._rng.random() + self.workload.far_s
        )
        for router in self.routers:
            if router is not sender:
                self.at(
                    self.now + delay,
                    router.view.on_notice,
                    decision.choice.replica,
                    decision.choice.incarnation,
                    decision.request.customer,
                    decision.request.chain.digests,
                    tokens,
                    decision.request.priority,
                )

    def _receive(self, flight: parts.Flight, replica: parts.Replica) -> None:
        if not replica.up:
            self._fail(flight, replica.name)
            return
        request = flight.request
        kept = 0
        if flight.decision.choice.imports:
            kept = self.kept_pieces(request.chain.digests)
        flight.best_pieces = max(
            self.kept_pieces(request.chain.digests),
            max(
                other.model.cache.depth(request.chain.digests)
                for other in self.replicas.values()
                if other.up
            ),
        )
        replica.model.submit(
            engine_model.Job(
                request.name,
                flight.priority,
                request.chain.digests,
                workloads.PIECE_TOKENS,
                request.chain.total_tokens,
                request.shape.output_tokens,
                kept,
            )
        )
        self._work(replica)
        report = replica.report(self.now)
        self.at(
            self.now + self._lag(),
            flight.router.view.on_report,
            replica.name,
            report,
        )

    def _work(self, replica: parts.Replica) -> None:
        for ready in replica.model.advance(self.now):
            flight = self._flights.get(ready.job.name)
            if flight is not None:
                self._first_token(flight, replica, ready)
        due = replica.model.next_event_time(self.now)
        if due is not None and due != replica.scheduled:
            replica.scheduled = due
            self.at(max(due, self.now), self._wake, replica, due)

    def _wake(self, replica: parts.Replica, due: float) -> None:
        if replica.scheduled == due:
            replica.scheduled = None
            self._work(replica)

    def _first_token(self, flight, replica, ready) -> None:
        request = flight.request
        pieces = (ready.cached_tokens + ready.imported_tokens) // (
            workloads.PIECE_TOKENS
        )
        wasted = max(0, flight.best_pieces - pieces) * workloads.PIECE_TOKENS
        first = ready.at + flight.decision.choice.distance_s - request.at
        got = ready.cached_tokens + ready.imported_tokens
        self._done(flight, first, got, wasted)
        ends = ready.at + (
            request.shape.output_tokens * self.workload.speed.token_s
        )
        self.at(ends, self._ended, flight, replica, ready.cached_tokens)

    def _ended(self, flight, replica, cached_tokens: int) -> None:
        router = flight.router
        router.policy.record_answer(flight.decision, cached_tokens, self.now)
        view = router.view.views[replica.name]
        view.load.record_service_time(self.now - flight.decision.decided_at)
        if router.exports is None or not replica.up:
            return
        chain = flight.request.chain
        picked = router.exports.pick(chain, view.retention.seconds, self.now)
        held = tuple(item for item in picked if item in replica.model.cache)
        if held and self._store_up():
            self._kept.use(held)

    def _fail(self, flight: parts.Flight, name: str) -> None:
        flight.router.view.on_request_failed(name, eject_immediately=True)
        flight.excluded = flight.excluded | {name}
        flight.priority = (
            flight.request.shape.priority + const.RETRY_PRIORITY_BOOST
        )
        self._decide(flight)

    def _crash(self) -> None:
        replica = self._rng.choice(sorted(self.replicas.values(), key=_name))
        if replica.up:
            replica.up = False
            lost = replica.model.crash()
            for name in lost:
                flight = self._flights.get(name)
                if flight is not None:
                    self.at(self.now + 0.001, self._fail, flight, replica.name)
            self.at(self.now + CRASH_LASTS_S, self._restart, replica)
        if self.now < self._seconds:
            self.at(self.now + CRASH_EVERY_S, self._crash)

    def _restart(self, replica: parts.Replica) -> None:
        replica.model = engine_model.EngineModel(replica.speed)
        replica.incarnation += 1
        replica.up = True
        replica.scheduled = None

    def _done(self, flight, first, cached, wasted) -> None:
        request = flight.request
        if self._flights.pop(request.name, None) is None:
            return
        if request.at >= self._warm_up_s:
            self.served.append(
                parts.Served(
                    request.shape,
                    request.at,
                    first,
                    request.chain.total_tokens,
                    cached,
                    wasted,
                )
            )

    def busy(self) -> float:
        """Returns the share of time in which replicas prefilled."""
        spent = sum(item.model.busy_s for item in self.replicas.values())
        return spent / (self._seconds * len(self.replicas))


def _name(replica: parts.Replica) -> str:
    return replica.name
