"""HTTP page that explains where a request would be sent now, and why.

It is served at the metrics address, to operators. The body of a POST is the
question, a JSON object (see `_SCHEMA`); the answer is the explanation, or
status 400 with findings.
"""

from collections.abc import Callable, Mapping
import random
from typing import Any

import result

from bergamotmill.dispatch import config
from bergamotmill.dispatch import explainer as route_explainer
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.helpers import findings
from bergamotmill.helpers import http_server
from bergamotmill.helpers import json_text
from bergamotmill.platform import const
from bergamotmill.platform import ingress
from bergamotmill.util import token_bucket

PATH = "/route"
SOURCE = "question"
# Questions that are answered, and how many at once: each costs about as much
# processor time as a request.
QUESTIONS_PER_S = 4.0
QUESTIONS_BURST = 8.0
# A head of a request has at most 16 KB by default, and the question describes
# no more than a head.
MAX_QUESTION_BYTES = 32 * 1024
MAX_BODY_BYTES = 1024 * 1024
MAX_TOKENS = 100_000_000
MAX_DEADLINE_MS = 86_400_000
# Id of the request in question; it is not sent anywhere.
_REQUEST_ID_BYTES = 8

_TEXT = {"type": "string", "maxLength": 4096}
_TOKENS = {"type": "integer", "minimum": 0, "maximum": MAX_TOKENS}
_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "path"],
    "properties": {
        "host": {**_TEXT, "minLength": 1},
        "path": {**_TEXT, "pattern": "^/[!-~]*$"},
        "method": {"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]},
        "key": {**_TEXT, "pattern": "^[ -~]*$"},
        "customer": _TEXT,
        "model": {**_TEXT, "pattern": "^[!-~]*$"},
        "prompt_tokens": _TOKENS,
        "output_tokens": _TOKENS,
        "parts": {
            "type": "string",
            "maxLength": 16384,
            "pattern": r"^([!-+\--9;-~]+:[0-9]{1,9}(,(?=.)|$))*$",
        },
        "deadline_ms": {
            "type": "number",
            "exclusiveMinimum": 0,
            "maximum": MAX_DEADLINE_MS,
        },
        "body_bytes": {
            "type": "integer",
            "minimum": 0,
            "maximum": MAX_BODY_BYTES,
        },
        "data_centre": _TEXT,
        "service": _TEXT,
    },
}
_GENERATION_FIELDS = ("prompt_tokens", "output_tokens", "parts")


class RoutePage:
    """Answers questions; passes requests for other paths on."""

    def __init__(
        self,
        fleet: fleet_state.Fleet,
        front: ingress.Ingress,
        explainer: route_explainer.Explainer,
        other_pages: http_server.Handler,
        now: Callable[[], float],
    ):
        """Makes a page.

        Args:
            fleet: the configuration.
            front: validates requests.
            explainer: answers the questions.
            other_pages: handles requests for other paths.
            now: the monotonic clock.
        """
        self._fleet = fleet
        self._front = front
        self._explainer = explainer
        self._other_pages = other_pages
        self._now = now
        self._questions = token_bucket.TokenBucket(
            QUESTIONS_PER_S, QUESTIONS_BURST, now()
        )

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Responds to one request."""
        request = exchange.request
        if request.path != PATH:
            await self._other_pages(exchange)
            return
        if request.method != "POST":
            exchange.respond_json(
                405, {"error": "POST a question"}, [(b"allow", b"POST")]
            )
            return
        now = self._now()
        if not self._questions.try_take(1.0, now):
            wait_s = self._questions.seconds_until(1.0, now)
            retry_after = f"{wait_s:.3f}".encode()
            exchange.respond_json(
                429,
                {"error": "too many questions"},
                [(b"retry-after", retry_after)],
            )
            return
        checked = self._check(request.body)
        if checked.is_err():
            exchange.respond_json(
                400,
                {
                    "error": "the question cannot be answered",
                    "findings": [vars(item) for item in checked.err()],
                },
            )
            return
        exchange.respond_json(200, await self._answer(checked.ok()))

    def _check(
        self, body: bytes
    ) -> result.Result[dict[str, Any], list[findings.Finding]]:
        """Decodes a question and checks it against the configuration."""
        if len(body) > MAX_QUESTION_BYTES:
            return _err("(top)", f"{len(body)} bytes", f"{MAX_QUESTION_BYTES}")
        try:
            question = json_text.loads(body)
        except (ValueError, RecursionError) as err:
            return _err("(top)", str(err), "a JSON object")
        found = findings.validate(_SCHEMA, question, SOURCE)
        if found:
            return result.Err(found)
        if question.get("key") and question.get("customer"):
            return _err("customer", "given with a key", "one of them")
        given = [name for name in _GENERATION_FIELDS if question.get(name)]
        if given and not question.get("model"):
            return _err(given[0], "given without a model", "model")
        own = self._explainer.data_centre
        if question.get("data_centre", own) != own:
            # A request counts as arrived where its router is.
            return _err(
                "data_centre",
                repr(question["data_centre"]),
                f"{own!r}, or ask a router there",
            )
        return self._check_names(question)

    def _check_names(
        self, question: dict[str, Any]
    ) -> result.Result[dict[str, Any], list[findings.Finding]]:
        """Checks the names that the configuration has to have."""
        catalog = self._fleet.catalog
        customer = question.get("customer", "")
        if customer and not catalog.key_of(customer):
            return _err("customer", repr(customer), "a configured customer")
        route = catalog.find_route(
            question["host"].partition(":")[0],
            question["path"].partition("?")[0],
        )
        service = question.get("service", "")
        if route is not None and service:
            names = [share.service for share in route.shares]
            if service not in names:
                return _err("service", repr(service), f"one of {names}")
        return result.Ok(question)

    async def _answer(self, question: dict[str, Any]) -> dict[str, Any]:
        customer = question.get("customer", "")
        key = question.get("key") or self._fleet.catalog.key_of(customer)
        validated = self._front.validate(_request_of(question, key))
        if validated.is_err():
            return self._explainer.explain_rejection(validated.err())
        call = validated.ok()
        service = question.get("service") or _main_service(call.route)
        return await self._explainer.explain(call, service)


def _err(place: str, found: str, expected: str):
    return result.Err([findings.Finding(f"{SOURCE}: {place}", found, expected)])


def _main_service(route: config.Route) -> str:
    """Returns the service that gets most of a route's requests."""
    return max(route.shares, key=lambda share: share.weight).service


def _request_of(
    question: Mapping[str, Any], key: str
) -> http_server.HttpRequest:
    """Returns the request that a question describes."""
    headers = {
        "host": question["host"],
        const.HEADER_REQUEST_ID: random.randbytes(_REQUEST_ID_BYTES).hex(),
        const.HEADER_KEY: key,
        const.HEADER_MODEL: question.get("model", ""),
    }
    if "deadline_ms" in question:
        headers[const.HEADER_DEADLINE] = str(question["deadline_ms"])
    if question.get("model"):
        parts = question.get("parts", "")
        headers[const.HEADER_PROMPT_PREFIX] = parts
        prompt_tokens = question.get("prompt_tokens", _sum_tokens(parts))
        output_tokens = question.get("output_tokens", 0)
        headers[const.HEADER_TOKEN_COUNTS] = f"{prompt_tokens},{output_tokens}"
    return http_server.HttpRequest(
        method=question.get("method", "POST"),
        target=question["path"],
        headers=headers,
        body=bytes(question.get("body_bytes", 0)),
        raw_headers=tuple(
            (name.encode(), value.encode("latin-1", "replace"))
            for name, value in headers.items()
        ),
    )


def _sum_tokens(parts: str) -> int:
    return sum(
        int(item.rpartition(":")[2]) for item in parts.split(",") if item
    )
