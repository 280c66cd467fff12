"""State shared by stream relays: routing, engine clients and buffers."""

from collections.abc import Callable, Mapping

import result

from bergamotmill.control import quarantine
from bergamotmill.helpers import metrics as stats
from bergamotmill.routing import chain as prefix_chain
from bergamotmill.routing import decision as routing_decision
from bergamotmill.routing import explain
from bergamotmill.routing import kv_export
from bergamotmill.routing import messages as routing_messages
from bergamotmill.routing import notices as routing_notices
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import retry_budget
from bergamotmill.routing import view as fleet_view
from bergamotmill.settings import config as settings_config
from bergamotmill.streams import body as engine_body
from bergamotmill.streams import messages
from bergamotmill.streams import replay_buffer
from bergamotmill.upstream import errors
from bergamotmill.upstream.engine import config
from bergamotmill.upstream.kv_offload import coordinator as offload_store

# Failures that eject a replica at once rather than after several in a row.
_EJECTING_FAILURES = (errors.Failure.CONNECT, errors.Failure.SILENT)
# Failures that do not count against the replica.
_IGNORED_FAILURES = (
    errors.Failure.MOVED,
    errors.Failure.BAD_REQUEST,
    errors.Failure.WRONG_TARGET,
)


class StreamContext:
    """The router's services and state that all stream relays use."""

    def __init__(
        self,
        settings: settings_config.Settings,
        incarnation: int,
        view: fleet_view.FleetView,
        policy: routing_decision.PredictivePolicy,
        engine_clients: Mapping[str, object],
        stores: offload_store.OffloadStoreCoordinator,
        notices: routing_notices.NoticeExchange,
        prompts: quarantine.Quarantine,
        metrics: stats.Metrics,
        now: Callable[[], float],
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._view = view
        self._policy = policy
        self.engine_clients = engine_clients
        self._stores = stores
        self._notices = notices
        self.prompts = prompts
        self.metrics = metrics
        self.now = now
        self._budget = retry_budget.RetryBudget(now())
        self._export_policy = kv_export.ExportPolicy(policy.popularity, now())
        self.explanations = explain.ExplanationLog()
        self.buffers = replay_buffer.ReplayBuffers(now)
        self._relays: dict[str, object] = {}

    @property
    def router(self) -> str:
        """This router's name."""
        return self._settings.router.name

    @property
    def incarnation(self) -> int:
        """This router's incarnation."""
        return self._incarnation

    @property
    def fleet_key(self) -> str:
        """The key that signs stream ids."""
        return self._settings.fleet_key

    @property
    def relays(self) -> Mapping[str, object]:
        """Running relays by request id."""
        return self._relays

    def add_relay(self, request_id: str, relay: object) -> None:
        """Registers a running relay."""
        self._relays[request_id] = relay

    def remove_relay(self, relay) -> None:
        """Unregisters a relay that has ended and marks its buffer as ended."""
        request_id = relay.request.request_id
        if self._relays.pop(request_id, None) is not None:
            self.buffers.end(request_id)

    def prefix_chain_of(
        self, request: messages.ModelRequest
    ) -> prefix_chain.PrefixChain:
        """Returns the prefix chain of a request's prompt."""
        routing = self._settings.routing
        chain_salt = prefix_chain.salt(
            request.customer.name,
            request.customer.generation,
            request.model.name,
            request.adapter,
            request.model.served_version,
        )
        return prefix_chain.build(
            engine_body.prompt_text(request.path, request.body),
            chain_salt,
            routing.bytes_per_piece,
            routing.tokens_per_piece,
        )

    def prompt_of(
        self, request: messages.ModelRequest
    ) -> prompt_quarantine.Prompt:
        """Returns the parts of a request's prompt that others may have, too.

        A plain prompt has no parts, so that its blocks take their place.
        """
        parts = engine_body.shared_parts(request.body)
        if request.path == engine_body.COMPLETIONS_PATH:
            chain = self.prefix_chain_of(request)
            parts = [f"{digest:016x}" for digest in chain.digests]
        return prompt_quarantine.make_prompt(
            request.model.name,
            parts,
            request.customer.name,
            (request.fingerprint,),
        )

    async def decide(
        self,
        request: messages.ModelRequest,
        priority: int,
        excluded_replicas: frozenset[str],
    ) -> result.Result[routing_messages.Decision, routing_messages.NoReplica]:
        """Chooses a replica for a request."""
        chain = self.prefix_chain_of(request)
        offloaded = await self._stores.look_up(chain)
        routing_request = routing_messages.RoutingRequest(
            request_id=request.request_id,
            customer=request.customer.name,
            model=request.model.name,
            adapter=request.adapter,
            version=request.model.served_version,
            adapter_version=request.model.adapters.get(request.adapter, ""),
            priority=priority,
            worth=request.request_class.worth,
            chain=chain,
            offloaded_tokens=offloaded.tokens,
            import_tokens_per_s=offloaded.tokens_per_s,
            excluded_replicas=excluded_replicas,
        )
        decided = self._policy.decide(routing_request, self.now())
        if decided.is_ok():
            self.explanations.add_decision(decided.ok())
        return decided

    def import_store_for(self, decision: routing_messages.Decision) -> str:
        """Returns the address of the store to import from, empty if none."""
        return self._stores.address if decision.choice.imports else ""

    def record_dispatch(self, decision: routing_messages.Decision) -> None:
        """Records that a request is about to be sent to a replica."""
        self._budget.record_first_attempt()
        view = self._view.views.get(decision.choice.replica)
        if view is None:
            return
        chain = decision.request.chain
        self._policy.record_dispatch(decision, self.now())
        tokens = max(0.0, chain.total_tokens - decision.choice.cached_tokens)
        view.load.add_dispatched(tokens, decision.request.priority, self.now())
        self._notices.enqueue(decision, tokens)

    def on_response_head(self, replica: str, head: config.StreamHead) -> None:
        """Updates the fleet view from the head of an engine's response."""
        view = self._view.views.get(replica)
        if view is None:
            return
        if head.incarnation > view.incarnation:
            self._view.on_new_incarnation(replica, head.incarnation)
        if head.report is not None:
            self._view.on_report(replica, head.report)

    def record_first_token(
        self, request: messages.ModelRequest, seconds: float
    ) -> None:
        """Records the time to the first token."""
        name = request.request_class.name
        self.metrics.timing(f"first_token.{name}", seconds)

    def record_completion(
        self,
        decision: routing_messages.Decision,
        cached_tokens: int,
        first_token_s: float,
        total_s: float,
    ) -> None:
        """Records a complete response.

        Updates the cache and load estimates of the replica, and starts the
        export of popular prefixes to the offload store.
        """
        now = self.now()
        self._policy.record_answer(decision, cached_tokens, now)
        replica = decision.choice.replica
        chain = decision.request.chain
        self.explanations.add_result(
            decision.request.request_id, cached_tokens, first_token_s
        )
        self.metrics.count("tokens.cached", cached_tokens)
        self.metrics.count(
            "tokens.computed", max(0, chain.total_tokens - cached_tokens)
        )
        view = self._view.views.get(replica)
        if view is None:
            return
        view.health.record_success(now)
        view.load.record_service_time(total_s)
        digests = self._export_policy.pick(chain, view.retention.seconds, now)
        if digests:
            self._stores.export(replica, digests)

    def record_failure(
        self,
        request: messages.ModelRequest,
        replica: str,
        err: errors.UpstreamError,
    ) -> None:
        """Records a failed attempt, against its replica unless ignored."""
        self.explanations.add_attempt(
            request.request_id, f"{replica}: {err.failure.value}: {err}"
        )
        self.metrics.count(f"upstream.failures.{err.failure.value}")
        if err.failure in _IGNORED_FAILURES:
            return
        self._view.on_request_failed(
            replica, eject_immediately=err.failure in _EJECTING_FAILURES
        )

    def try_retry(self) -> bool:
        """Takes a retry from the budget; returns whether one was left."""
        allowed = self._budget.try_retry(self.now())
        self.metrics.count("retries" if allowed else "retries.denied")
        return allowed
