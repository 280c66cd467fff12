"""The callers' interface: models, plain services, filings, addresses."""

from collections.abc import Awaitable, Callable

from bergamotmill import core
from bergamotmill.filings import desk as filing_desk
from bergamotmill.filings import messages as filing_messages
from bergamotmill.front import addresses
from bergamotmill.front import answers
from bergamotmill.front import const
from bergamotmill.front import gate as front_gate
from bergamotmill.front import parse
from bergamotmill.front import sink as front_sink
from bergamotmill.helpers import http_server
from bergamotmill.helpers import metrics as stats
from bergamotmill.helpers import refusal
from bergamotmill.helpers import run_state
from bergamotmill.streams import generator as stream_generator
from bergamotmill.streams import messages as stream_messages
from bergamotmill.streams import pump as stream_pump
from bergamotmill.upstream import errors
from bergamotmill.upstream.plain import config as plain_config
from bergamotmill.upstream.plain import coordinator as plain
from bergamotmill.util import ids as id_source
from bergamotmill.util import registry

SERVICE_COST_TOKENS = 100
IDEMPOTENT_ATTEMPTS = 2

Route = Callable[
    ["CallerFront", http_server.Exchange, core.Customer], Awaitable[None]
]
ROUTES: registry.Registry[Route] = registry.Registry("route")


class CallerFront:
    """Serves callers' requests."""

    def __init__(
        self,
        gate: front_gate.Gate,
        generator: stream_generator.Generator,
        desk: filing_desk.FilingDesk,
        book: addresses.AddressBook,
        service_of: Callable[[str], plain.ServiceLink | None],
        metrics: stats.Metrics,
        now: Callable[[], float],
        ids: id_source.IdSource,
    ):
        self._gate = gate
        self.generator = generator
        self.desk = desk
        self.book = book
        self._service_of = service_of
        self._metrics = metrics
        self._now = now
        self._ids = ids
        self._configuration = core.empty_configuration()
        self._leaving = False

    @property
    def configuration(self) -> core.Configuration:
        """The configuration in force."""
        return self._configuration

    def adopt(self, configuration: core.Configuration) -> None:
        """Follows the configuration."""
        self._configuration = configuration
        self._metrics.gauge("release", float(configuration.number))

    def leave(self) -> None:
        """Turns readiness off; requests are still served."""
        self._leaving = True

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one request."""
        path = exchange.request.path
        if path == const.PATH_LIVE:
            exchange.respond_json(200, {"live": True})
            return
        if path == const.PATH_READY:
            self._ready(exchange)
            return
        self._metrics.count("requests")
        customer = self._authenticate(exchange)
        if customer is None:
            return
        route = self._route_of(path)
        if route is None:
            answers.refuse(
                exchange,
                refusal.Refusal(
                    404, refusal.CODE_NOT_FOUND, f"there is no {path}"
                ),
            )
            return
        await route(self, exchange, customer)

    def _ready(self, exchange: http_server.Exchange) -> None:
        ready = self._configuration.number > 0 and not self._leaving
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
            answers.refuse(
                exchange,
                refusal.Refusal(
                    503,
                    refusal.CODE_OVERLOADED,
                    "no configuration yet",
                    retry_after_s=1.0,
                ),
            )
            return None
        shown = exchange.request.headers.get("authorization", "")
        kind, _, key = shown.partition(" ")
        customer = None
        if kind.lower() == "bearer" and key:
            customer = self._configuration.customer_of_key(key.strip())
        if customer is None:
            self._metrics.count("refusals.key")
            answers.refuse(
                exchange,
                refusal.Refusal(
                    401,
                    refusal.CODE_INVALID_API_KEY,
                    "no customer has this key",
                ),
            )
        return customer

    async def generate(
        self, exchange: http_server.Exchange, customer: core.Customer
    ) -> None:
        """Serves a request to a model."""
        request_id = self._ids.new()
        checked = parse.model_request(
            exchange.request,
            request_id,
            customer,
            self._configuration,
            self._now(),
        )
        if checked.is_err():
            answers.refuse(exchange, checked.err())
            return
        request = checked.ok()
        event_id = exchange.request.headers.get(const.HEADER_LAST_EVENT)
        if event_id is not None:
            await self._resume(exchange, request, event_id)
            return
        refused = await self._gate.check_limit(customer, request.request_class)
        if refused is not None:
            answers.refuse(exchange, refused)
            return
        left = request.deadline - self._now()
        entered = await self._gate.enter(
            customer, request.request_class, len(exchange.request.body), left
        )
        if entered.is_err():
            answers.refuse(exchange, entered.err())
            return
        started = self._now()
        try:
            await self._generate(exchange, request)
        finally:
            self._gate.leave(self._now() - started)

    async def _generate(
        self,
        exchange: http_server.Exchange,
        request: stream_messages.ModelRequest,
    ) -> None:
        pump = self.generator.open(request)
        if request.stream:
            await self._stream(exchange, request, pump, 0)
            return
        whole = await self.generator.whole(pump, exchange.on_close)
        if whole.is_err():
            self._refuse(exchange, whole.err())
            return
        headers = [(const.HEADER_REQUEST_ID, request.request_id.encode())]
        if pump.decision is not None:
            replica = pump.decision.choice.replica
            headers.append((const.HEADER_REPLICA, replica.encode()))
        exchange.respond_json(200, whole.ok(), headers)

    async def _resume(
        self,
        exchange: http_server.Exchange,
        request: stream_messages.ModelRequest,
        event_id: str,
    ) -> None:
        found = await self.generator.find(request, event_id)
        if found.is_err():
            self._refuse(exchange, found.err())
            return
        pump, seen = found.ok()
        await self._stream(exchange, request, pump, seen)

    async def _stream(
        self,
        exchange: http_server.Exchange,
        request: stream_messages.ModelRequest,
        pump: stream_pump.Pump,
        seen: int,
    ) -> None:
        sink = front_sink.ExchangeSink(exchange, request.request_id)
        exchange.on_close(lambda: pump.caller_left(sink))
        finished = await pump.serve(sink, seen)
        if finished is None or exchange.finished:
            return
        if finished.refusal is None:
            if not sink.started:
                sink.write(b"")
            sink.finish()
        elif sink.started:
            self._count_refusal(finished.refusal)
            sink.fail(finished.refusal)
        else:
            self._refuse(exchange, finished.refusal)

    def _refuse(
        self, exchange: http_server.Exchange, refused: refusal.Refusal
    ) -> None:
        self._count_refusal(refused)
        answers.refuse(exchange, refused)

    def _count_refusal(self, refused: refusal.Refusal) -> None:
        self._metrics.count(f"refusals.{refused.code}")

    async def serve_service(
        self, exchange: http_server.Exchange, customer: core.Customer
    ) -> None:
        """Serves a call to a plain service."""
        request = exchange.request
        rest = request.target[len(const.PATH_SERVICES) :]
        name, slash, target = rest.partition("/")
        link = self._service_of(name)
        if link is None or not slash:
            answers.refuse(
                exchange,
                refusal.Refusal(
                    404, refusal.CODE_NOT_FOUND, f"there is no service {name!r}"
                ),
            )
            return
        named = parse.request_class_of(request, customer, self._configuration)
        if named.is_err():
            answers.refuse(exchange, named.err())
            return
        left = parse.time_left_of(request, named.ok())
        if left.is_err():
            answers.refuse(exchange, left.err())
            return
        refused = await self._gate.check_limit(customer, named.ok())
        if refused is not None:
            answers.refuse(exchange, refused)
            return
        if request.method in link.service.idempotent_methods:
            await self._look_up(
                exchange, customer, link, "/" + target, left.ok()
            )
        else:
            await self._file(exchange, customer, name, "/" + target, left.ok())

    async def _look_up(
        self,
        exchange: http_server.Exchange,
        customer: core.Customer,
        link: plain.ServiceLink,
        target: str,
        left_s: float,
    ) -> None:
        call = plain_config.ServiceCall(
            self._ids.new(),
            customer.name,
            exchange.request.method,
            target,
            exchange.request.headers.get("content-type", ""),
            exchange.request.body,
            True,
            min(left_s, link.service.timeout_s),
        )
        tracker = run_state.RunTracker()
        for attempt in range(IDEMPOTENT_ATTEMPTS):
            try:
                answer = await link.call(call, tracker)
            except errors.UpstreamError as err:
                if attempt + 1 < IDEMPOTENT_ATTEMPTS:
                    continue
                self._refuse(
                    exchange,
                    refusal.Refusal(
                        502,
                        refusal.CODE_UPSTREAM,
                        f"the service failed: {err}",
                        tracker.state,
                        1.0,
                    ),
                )
                return
            exchange.respond(
                answer.status,
                answer.body,
                [
                    (b"content-type", answer.content_type.encode()),
                    (const.HEADER_REPLICA, answer.upstream.encode()),
                ],
            )
            return

    async def _file(
        self,
        exchange: http_server.Exchange,
        customer: core.Customer,
        service: str,
        target: str,
        left_s: float,
    ) -> None:
        request = exchange.request
        key = request.headers.get(const.HEADER_KEY)
        if key is None:
            key = f"{self.desk.token(customer.name)}.{self._ids.new()}"
        filing = filing_messages.Filing(
            customer.name,
            key,
            service,
            request.method,
            target,
            request.headers.get("content-type", ""),
            request.body,
            self._now() + left_s,
        )
        outcome = await self.desk.file(filing)
        answers.filing(exchange, outcome, key)


@ROUTES.register(const.PATH_CHAT)
async def _chat(front, exchange, customer) -> None:
    await _posted(front, exchange, customer)


@ROUTES.register(const.PATH_COMPLETIONS)
async def _completions(front, exchange, customer) -> None:
    await _posted(front, exchange, customer)


async def _posted(front, exchange, customer) -> None:
    if exchange.request.method != "POST":
        answers.refuse(
            exchange,
            refusal.Refusal(405, refusal.CODE_INVALID_REQUEST, "use POST"),
        )
        return
    await front.generate(exchange, customer)


@ROUTES.register(const.PATH_MODELS)
async def _models(front, exchange, customer) -> None:
    del customer
    names = []
    for model in front.configuration.models.values():
        names.append(model.name)
        names.extend(f"{model.name}:{item}" for item in model.adapters)
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "operators"}
        for name in names
    ]
    exchange.respond_json(200, {"object": "list", "data": data})


@ROUTES.register(const.PATH_ADDRESSES)
async def _addresses(front, exchange, customer) -> None:
    answer = front.book.answer(customer)
    exchange.respond_json(
        200,
        {
            "addresses": list(answer.addresses),
            "lifetime_s": round(answer.lifetime_s, 3),
            "filing_token": answer.filing_token,
        },
    )


@ROUTES.register(const.PATH_FILINGS)
async def _filing(front, exchange, customer) -> None:
    key = exchange.request.path[len(const.PATH_FILINGS) :]
    outcome = await front.desk.look_up(customer.name, key)
    answers.filing(exchange, outcome, key)


@ROUTES.register(const.PATH_SERVICES)
async def _service(front, exchange, customer) -> None:
    await front.serve_service(exchange, customer)
