"""Requests and responses of callers in the platform's protocol."""

from collections.abc import Callable
import dataclasses

import result

from bergamotmill.dispatch import config
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import ports
from bergamotmill.helpers import decisions
from bergamotmill.helpers import http_server
from bergamotmill.platform import const
from bergamotmill.platform import replica

# Retry-After for requests that match nothing in the configuration while the
# configuration may be out of date.
OUTDATED_CONFIGURATION_RETRY_S = 0.3
_SINGLE_VALUE_HEADERS = (
    const.HEADER_REQUEST_ID,
    const.HEADER_DEADLINE,
    const.HEADER_KEY,
    const.HEADER_MODEL,
    const.HEADER_TOKEN_COUNTS,
    const.HEADER_PROMPT_PREFIX,
)


class Sink:
    """Writes the response to the caller of one request."""

    def __init__(self, exchange: http_server.Exchange, request_id: str):
        self._exchange = exchange
        self._request_id = request_id

    @property
    def started(self) -> bool:
        """Whether the response head has been written."""
        return self._exchange.started

    @property
    def write_paused(self) -> bool:
        """Whether the write buffer towards the caller is full."""
        return self._exchange.write_paused

    def on_close(self, callback: Callable[[], None]) -> None:
        """Registers a callback for a caller that disconnects early."""
        self._exchange.on_close(callback)

    def respond(self, head: messages.ResponseHead, body: bytes) -> None:
        """Writes a complete response."""
        self._exchange.respond(head.status, body, head.headers)

    def start(self, head: messages.ResponseHead) -> None:
        """Writes the head of a streamed response."""
        self._exchange.start(head.status, head.headers)

    def write(self, data: bytes) -> None:
        """Writes a chunk of a streamed response."""
        self._exchange.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer has room."""
        await self._exchange.drain()

    def finish(self) -> None:
        """Ends a streamed response."""
        self._exchange.finish()

    def abort(self) -> None:
        """Cuts the connection so that the caller sees a partial response."""
        self._exchange.abort()

    def reject(self, rejection: messages.Rejection) -> None:
        """Writes a final response that the router itself produced.

        Raises:
            AssertionError: the request may have run, but the status would
                guarantee that it has not.
        """
        if (
            rejection.may_have_run
            and rejection.status in const.NOT_RUN_STATUSES
        ):
            raise AssertionError(
                f"status {rejection.status} for a request that may have run"
            )
        headers = [(b"content-type", b"text/plain")]
        if self._request_id:
            name = const.HEADER_REQUEST_ID.encode()
            headers.append((name, self._request_id.encode("latin-1")))
        if rejection.retry_after_s > 0:
            retry_after = f"{rejection.retry_after_s:.3f}".encode()
            headers.append((const.HEADER_RETRY_AFTER.encode(), retry_after))
        body = f"{rejection.reason}\n".encode()
        self._exchange.respond(rejection.status, body, headers)


@dataclasses.dataclass(frozen=True, slots=True)
class _Times:
    """Arrival and deadline of a request, in seconds of monotonic time."""

    now: float
    deadline: float


class Ingress:
    """Validates callers' requests and passes them to the dispatcher."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        dispatcher: ports.CallServer,
        now: Callable[[], float],
    ):
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._now = now

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one request."""
        request = exchange.request
        request_id = request.headers.get(const.HEADER_REQUEST_ID, "")
        sink = Sink(exchange, request_id)
        validated = self.validate(request)
        if validated.is_err():
            self._reject(request_id, sink, validated.err())
            return
        await self._dispatcher.serve(validated.ok(), sink)

    def refuse_for_memory(
        self, exchange: http_server.Exchange, retry_after_s: float
    ) -> None:
        """Refuses a request for whose body there is no memory."""
        request_id = exchange.request.headers.get(const.HEADER_REQUEST_ID, "")
        rejection = messages.Rejection(503, "no_memory", False, retry_after_s)
        self._reject(request_id, Sink(exchange, request_id), rejection)

    def _reject(
        self, request_id: str, sink: Sink, rejection: messages.Rejection
    ) -> None:
        decisions.record(
            "rejected",
            request=request_id,
            status=rejection.status,
            reason=rejection.reason,
            configuration=self._fleet.catalog.version,
            doubtful=self._fleet.maybe_outdated(),
        )
        sink.reject(rejection)

    def _unmatched_rejection(
        self, status: int, reason: str
    ) -> messages.Rejection:
        """Returns the rejection of a request without a match in the catalog.

        Without a configuration, or while it may be out of date, the caller
        gets a 503 with a time to retry instead of `status`.
        """
        if self._fleet.catalog.version == 0 or self._fleet.maybe_outdated():
            return messages.Rejection(
                503, reason, False, OUTDATED_CONFIGURATION_RETRY_S
            )
        return messages.Rejection(status, reason)

    def validate(
        self, request: http_server.HttpRequest
    ) -> result.Result[messages.Call, messages.Rejection]:
        """Returns the call that a request makes, or why it is rejected."""
        catalog = self._fleet.catalog
        if catalog.version == 0:
            return result.Err(
                self._unmatched_rejection(503, "no_configuration")
            )
        host = request.headers.get("host", "").partition(":")[0]
        route = catalog.find_route(host, request.path)
        if route is None:
            return result.Err(self._unmatched_rejection(404, "no_route"))
        customer = None
        if catalog.has_customers and not route.anonymous:
            key = request.headers.get(const.HEADER_KEY, "")
            customer = catalog.find_customer(key)
            if customer is None:
                return result.Err(self._unmatched_rejection(401, "unknown_key"))
        return self._parse_call(request, route, customer)

    def _parse_call(
        self,
        request: http_server.HttpRequest,
        route: config.Route,
        customer: config.Customer | None,
    ) -> result.Result[messages.Call, messages.Rejection]:
        headers = request.headers
        request_id = headers.get(const.HEADER_REQUEST_ID, "")
        if not request_id or _has_repeated_header(request):
            return result.Err(messages.Rejection(400, "bad_headers"))
        generation = _parse_generation(headers)
        if generation.is_err():
            return result.Err(messages.Rejection(400, generation.err()))
        now = self._now()
        last_event_id = headers.get(const.HEADER_LAST_EVENT, "")
        return result.Ok(
            messages.Call(
                request_id=request_id,
                route=route,
                customer=customer,
                method=request.method,
                target=request.target,
                headers=replica.forwarded_headers(
                    request.raw_headers, const.RESERVED_HEADERS | {"host"}
                ),
                body=request.body,
                received_at=now,
                deadline=now + _time_left_s(headers, route),
                generation=generation.ok(),
                last_event_id=last_event_id if route.resumable else "",
                token_count=_token_count(headers),
            )
        )


def _has_repeated_header(request: http_server.HttpRequest) -> bool:
    names = [name.lower().decode("latin-1") for name, _ in request.raw_headers]
    return any(names.count(name) > 1 for name in _SINGLE_VALUE_HEADERS)


def _time_left_s(headers: dict[str, str], route: config.Route) -> float:
    text = headers.get(const.HEADER_DEADLINE, "")
    try:
        requested_s = float(text) / 1000.0
    except ValueError:
        return route.timeout_s
    return max(0.0, min(requested_s, route.timeout_s))


def _parse_generation(
    headers: dict[str, str],
) -> result.Result[messages.Generation | None, str]:
    """Parses the headers of a generation request; None for other requests."""
    model = headers.get(const.HEADER_MODEL, "")
    if not model:
        return result.Ok(None)
    try:
        counts = headers.get(const.HEADER_TOKEN_COUNTS, "0,0").split(",")
        parts = tuple(
            _parse_prompt_part(item)
            for item in headers.get(const.HEADER_PROMPT_PREFIX, "").split(",")
            if item.strip()
        )
        generation = messages.Generation(
            model, int(counts[0]), int(counts[1]), parts
        )
    except (ValueError, IndexError):
        return result.Err("bad_prompt_headers")
    return result.Ok(generation)


def _token_count(headers: dict[str, str]) -> int | None:
    """Returns the tokens of a request; None if they are not stated."""
    try:
        counts = headers[const.HEADER_TOKEN_COUNTS].split(",")
        return max(0, int(counts[0])) + max(0, int(counts[1]))
    except (KeyError, ValueError, IndexError):
        return None


def _parse_prompt_part(text: str) -> messages.PromptPart:
    name, _, tokens = text.strip().partition(":")
    return messages.PromptPart(name, int(tokens))
