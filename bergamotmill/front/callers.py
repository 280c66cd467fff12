"""HTTP interface for callers: models, services, filings and addresses."""

from collections.abc import Awaitable, Callable

from bergamotmill import core
from bergamotmill.filings import manager as filing_manager
from bergamotmill.filings import messages as filing_messages
from bergamotmill.front import addresses
from bergamotmill.front import const
from bergamotmill.front import gate as front_gate
from bergamotmill.front import parse
from bergamotmill.front import responses
from bergamotmill.front import sink as front_sink
from bergamotmill.helpers import http_server
from bergamotmill.helpers import metrics as stats
from bergamotmill.helpers import refusal
from bergamotmill.helpers import run_state
from bergamotmill.routing import shutdown
from bergamotmill.streams import manager as stream_manager
from bergamotmill.streams import messages as stream_messages
from bergamotmill.streams import relay as stream_relay
from bergamotmill.upstream import errors
from bergamotmill.upstream.plain import config as plain_config
from bergamotmill.upstream.plain import coordinator as plain
from bergamotmill.util import ids as id_source
from bergamotmill.util import registry

SERVICE_COST_TOKENS = 100
IDEMPOTENT_ATTEMPTS = 2
# A caller refused by a router that is shutting down may try another at once.
SHUTDOWN_RETRY_AFTER_S = 0.02

Route = Callable[
    ["CallerFront", http_server.Exchange, core.Customer], Awaitable[None]
]
ROUTES: registry.Registry[Route] = registry.Registry("route")


class CallerFront:
    """Authenticates callers' requests and routes them by path."""

    def __init__(
        self,
        gate: front_gate.AdmissionGate,
        streams: stream_manager.StreamManager,
        filings: filing_manager.FilingManager,
        router_selector: addresses.RouterSelector,
        service_client: Callable[[str], plain.ServiceClient | None],
        metrics: stats.Metrics,
        now: Callable[[], float],
        ids: id_source.IdSource,
        others_serve: Callable[[], bool],
    ):
        self._gate = gate
        self.streams = streams
        self.filings = filings
        self.router_selector = router_selector
        self._service_client = service_client
        self._metrics = metrics
        self._now = now
        self._ids = ids
        self._configuration = core.empty_configuration()
        self._others_serve = others_serve
        # When the process ends, monotonic; infinite while it serves.
        self._exits_at = float("inf")
        # By request class, and by service for calls to plain services.
        self._durations = shutdown.LongestDurations()

    @property
    def configuration(self) -> core.Configuration:
        """The configuration in force."""
        return self._configuration

    def adopt(self, configuration: core.Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration
        self._metrics.gauge("release", float(configuration.number))

    def start_draining(self, exits_at: float) -> None:
        """Reports not ready from now on.

        Requests are still served if they can end in time.

        Args:
            exits_at: when the process ends, on the monotonic clock.
        """
        self._exits_at = exits_at

    def _refusal_at_shutdown(
        self, kind: str, time_left_s: float, may_repeat: bool
    ) -> refusal.Refusal | None:
        """Returns the refusal of a request that may outlast the process."""
        exit_s = self._exits_at - self._now()
        prospect = shutdown.Prospect(
            time_left_s,
            self._durations.longest_s(kind),
            may_repeat,
            self._others_serve(),
        )
        if shutdown.may_complete(prospect, exit_s):
            return None
        retry_after_s = SHUTDOWN_RETRY_AFTER_S
        if not prospect.others_serve:
            retry_after_s = max(retry_after_s, exit_s)
        return refusal.Refusal(
            503,
            refusal.CODE_SHUTTING_DOWN,
            "this router is shutting down",
            retry_after_s=retry_after_s,
        )

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one request of a caller or of a health check."""
        path = exchange.request.path
        if path == const.PATH_LIVE:
            exchange.respond_json(200, {"live": True})
            return
        if path == const.PATH_READY:
            self._send_readiness(exchange)
            return
        self._metrics.count("requests")
        customer = self._authenticate(exchange)
        if customer is None:
            return
        route = self._route_of(path)
        if route is None:
            responses.send_refusal(
                exchange,
                refusal.Refusal(
                    404, refusal.CODE_NOT_FOUND, f"no route for path {path}"
                ),
            )
            return
        await route(self, exchange, customer)

    def _send_readiness(self, exchange: http_server.Exchange) -> None:
        ready = self._configuration.number > 0 and (
            self._exits_at == float("inf")
        )
        exchange.respond_json(
            200 if ready else 503,
            {"ready": ready, "release": self._configuration.number},
        )

    def _route_of(self, path: str) -> Route | None:
        if path in ROUTES.names():
            return ROUTES.get(path)
        for prefix in (const.PATH_SERVICES, const.PATH_FILINGS):
            if path.startswith(prefix):
                return ROUTES.get(prefix)
        return None

    def _authenticate(
        self, exchange: http_server.Exchange
    ) -> core.Customer | None:
        if self._configuration.number == 0:
            responses.send_refusal(
                exchange,
                refusal.Refusal(
                    503,
                    refusal.CODE_OVERLOADED,
                    "this router has not received a configuration yet",
                    retry_after_s=1.0,
                ),
            )
            return None
        authorization = exchange.request.headers.get("authorization", "")
        scheme, _, key = authorization.partition(" ")
        customer = None
        if scheme.lower() == "bearer" and key:
            customer = self._configuration.customer_of_key(key.strip())
        if customer is None:
            self._metrics.count("refusals.key")
            responses.send_refusal(
                exchange,
                refusal.Refusal(
                    401,
                    refusal.CODE_INVALID_API_KEY,
                    "missing or unknown API key",
                ),
            )
        return customer

    async def generate(
        self, exchange: http_server.Exchange, customer: core.Customer
    ) -> None:
        """Serves a completion request to a model.

        A request with a `Last-Event-ID` header resumes its stream and does
        not count against the limits again.
        """
        request_id = self._ids.new()
        parsed = parse.parse_model_request(
            exchange.request,
            request_id,
            customer,
            self._configuration,
            self._now(),
        )
        if parsed.is_err():
            responses.send_refusal(exchange, parsed.err())
            return
        request = parsed.ok()
        event_id = exchange.request.headers.get(const.HEADER_LAST_EVENT)
        if event_id is not None:
            await self._resume(exchange, request, event_id)
            return
        kind = f"class {request.request_class.name}"
        refused = None
        if not request.stream:
            # A stream that is cut goes on at another router.
            refused = self._refusal_at_shutdown(
                kind, request.deadline - self._now(), False
            )
        if refused is None:
            refused = await self._gate.check_rate_limit(
                customer, request.request_class
            )
        if refused is not None:
            responses.send_refusal(exchange, refused)
            return
        time_left_s = request.deadline - self._now()
        admitted = await self._gate.admit(
            customer,
            request.request_class,
            len(exchange.request.body),
            time_left_s,
        )
        if admitted.is_err():
            responses.send_refusal(exchange, admitted.err())
            return
        started_at = self._now()
        try:
            await self._run_generation(exchange, request)
        finally:
            ended_at = self._now()
            self._gate.release(ended_at - started_at)
            self._durations.record(kind, ended_at - started_at, ended_at)

    async def _run_generation(
        self,
        exchange: http_server.Exchange,
        request: stream_messages.ModelRequest,
    ) -> None:
        relay = self.streams.start(request)
        if request.stream:
            await self._send_stream(exchange, request, relay, 0)
            return
        completion = await self.streams.collect_response(
            relay, exchange.on_close
        )
        if completion.is_err():
            self._refuse(exchange, completion.err())
            return
        headers = [(const.HEADER_REQUEST_ID, request.request_id.encode())]
        if relay.decision is not None:
            replica = relay.decision.choice.replica
            headers.append((const.HEADER_REPLICA, replica.encode()))
        exchange.respond_json(200, completion.ok(), headers)

    async def _resume(
        self,
        exchange: http_server.Exchange,
        request: stream_messages.ModelRequest,
        event_id: str,
    ) -> None:
        resumed = await self.streams.find_stream(request, event_id)
        if resumed.is_err():
            self._refuse(exchange, resumed.err())
            return
        relay, events_seen = resumed.ok()
        await self._send_stream(exchange, request, relay, events_seen)

    async def _send_stream(
        self,
        exchange: http_server.Exchange,
        request: stream_messages.ModelRequest,
        relay: stream_relay.StreamRelay,
        events_seen: int,
    ) -> None:
        sink = front_sink.ExchangeSink(exchange, request.request_id)
        exchange.on_close(lambda: relay.on_caller_lost(sink))
        relay_result = await relay.serve(sink, events_seen)
        if relay_result is None or exchange.finished:
            return
        if relay_result.refusal is None:
            if not sink.started:
                sink.write(b"")
            sink.finish()
        elif sink.started:
            self._count_refusal(relay_result.refusal)
            sink.fail(relay_result.refusal)
        else:
            self._refuse(exchange, relay_result.refusal)

    def _refuse(
        self, exchange: http_server.Exchange, refused: refusal.Refusal
    ) -> None:
        self._count_refusal(refused)
        responses.send_refusal(exchange, refused)

    def _count_refusal(self, refused: refusal.Refusal) -> None:
        self._metrics.count(f"refusals.{refused.code}")

    async def handle_service_call(
        self, exchange: http_server.Exchange, customer: core.Customer
    ) -> None:
        """Serves a call to a plain HTTP service.

        Calls with an idempotent method go directly to the service; others are
        filings, which run at most once.
        """
        request = exchange.request
        service_and_target = request.target[len(const.PATH_SERVICES) :]
        name, slash, target = service_and_target.partition("/")
        client = self._service_client(name)
        if client is None or not slash:
            responses.send_refusal(
                exchange,
                refusal.Refusal(
                    404, refusal.CODE_NOT_FOUND, f"unknown service {name!r}"
                ),
            )
            return
        request_class = parse.request_class_of(
            request, customer, self._configuration
        )
        if request_class.is_err():
            responses.send_refusal(exchange, request_class.err())
            return
        time_left_s = parse.time_left_s_of(request, request_class.ok())
        if time_left_s.is_err():
            responses.send_refusal(exchange, time_left_s.err())
            return
        is_idempotent = request.method in client.service.idempotent_methods
        kind = f"service {name}"
        refused = self._refusal_at_shutdown(
            kind, time_left_s.ok(), is_idempotent
        )
        if refused is None:
            refused = await self._gate.check_rate_limit(
                customer, request_class.ok()
            )
        if refused is not None:
            responses.send_refusal(exchange, refused)
            return
        started_at = self._now()
        call = plain_config.ServiceCall(
            self._ids.new(),
            customer.name,
            request.method,
            "/" + target,
            request.headers.get("content-type", ""),
            request.body,
            is_idempotent,
            min(time_left_s.ok(), client.service.timeout_s),
        )
        # A filing with a key may have run before; its record tells.
        is_new = is_idempotent or const.HEADER_KEY not in request.headers
        held_for_s = client.held_for_s(call) if is_new else 0.0
        if held_for_s:
            self._refuse(exchange, _held_back(held_for_s))
            return
        if is_idempotent:
            await self._call_idempotent(exchange, client, call)
        else:
            await self._submit_filing(
                exchange, customer, name, "/" + target, time_left_s.ok()
            )
        ended_at = self._now()
        self._durations.record(kind, ended_at - started_at, ended_at)

    async def _call_idempotent(
        self,
        exchange: http_server.Exchange,
        client: plain.ServiceClient,
        call: plain_config.ServiceCall,
    ) -> None:
        tracker = run_state.RunTracker()
        for attempt in range(IDEMPOTENT_ATTEMPTS):
            try:
                response = await client.call(call, tracker)
            except errors.UpstreamError as err:
                if err.failure is errors.Failure.QUARANTINED and not attempt:
                    self._refuse(exchange, _held_back(err.retry_after_s))
                    return
                held_for_s = client.held_for_s(call)
                if attempt + 1 < IDEMPOTENT_ATTEMPTS and not held_for_s:
                    continue
                self._refuse(
                    exchange,
                    refusal.Refusal(
                        502,
                        refusal.CODE_UPSTREAM,
                        f"the call to the service failed: {err}",
                        tracker.state,
                        1.0,
                    ),
                )
                return
            exchange.respond(
                response.status,
                response.body,
                [
                    (b"content-type", response.content_type.encode()),
                    (const.HEADER_REPLICA, response.upstream.encode()),
                ],
            )
            return

    async def _submit_filing(
        self,
        exchange: http_server.Exchange,
        customer: core.Customer,
        service: str,
        target: str,
        time_left_s: float,
    ) -> None:
        request = exchange.request
        key = request.headers.get(const.HEADER_KEY)
        if key is None:
            key = f"{self.filings.issue_token(customer.name)}.{self._ids.new()}"
        filing = filing_messages.Filing(
            customer.name,
            key,
            service,
            request.method,
            target,
            request.headers.get("content-type", ""),
            request.body,
            self._now() + time_left_s,
        )
        outcome = await self.filings.submit(filing)
        responses.send_filing_outcome(exchange, outcome, key)


def _held_back(seconds: float) -> refusal.Refusal:
    """Returns the refusal of a call that crashes upstreams, and has not run."""
    return refusal.Refusal(
        503,
        refusal.CODE_REQUEST_QUARANTINED,
        "upstreams ended under this request",
        retry_after_s=seconds,
    )


@ROUTES.register(const.PATH_CHAT)
async def _chat(front, exchange, customer) -> None:
    await _generate_on_post(front, exchange, customer)


@ROUTES.register(const.PATH_COMPLETIONS)
async def _completions(front, exchange, customer) -> None:
    await _generate_on_post(front, exchange, customer)


async def _generate_on_post(front, exchange, customer) -> None:
    if exchange.request.method != "POST":
        responses.send_refusal(
            exchange,
            refusal.Refusal(
                405,
                refusal.CODE_INVALID_REQUEST,
                "only POST is allowed on this path",
            ),
        )
        return
    await front.generate(exchange, customer)


@ROUTES.register(const.PATH_MODELS)
async def _models(front, exchange, customer) -> None:
    del customer
    names = []
    for model in front.configuration.models.values():
        names.append(model.name)
        names.extend(f"{model.name}:{adapter}" for adapter in model.adapters)
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "operators"}
        for name in names
    ]
    exchange.respond_json(200, {"object": "list", "data": data})


@ROUTES.register(const.PATH_ADDRESSES)
async def _addresses(front, exchange, customer) -> None:
    address_list = front.router_selector.addresses_for(customer)
    exchange.respond_json(
        200,
        {
            "addresses": list(address_list.addresses),
            "lifetime_s": round(address_list.lifetime_s, 3),
            "filing_token": address_list.filing_token,
        },
    )


@ROUTES.register(const.PATH_FILINGS)
async def _filing(front, exchange, customer) -> None:
    key = exchange.request.path[len(const.PATH_FILINGS) :]
    outcome = await front.filings.look_up(customer.name, key)
    responses.send_filing_outcome(exchange, outcome, key)


@ROUTES.register(const.PATH_SERVICES)
async def _service(front, exchange, customer) -> None:
    await front.handle_service_call(exchange, customer)
