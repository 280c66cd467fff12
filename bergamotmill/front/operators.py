"""The operators' interface: releases, status, audit and explanations."""

from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import hmac
import json
from typing import Any, Protocol

from bergamotmill import core
from bergamotmill.control import release_manager
from bergamotmill.control import release_store
from bergamotmill.helpers import findings
from bergamotmill.helpers import http_server
from bergamotmill.routing import explain
from bergamotmill.storage import key_value
from bergamotmill.util import registry

PATH_STATUS = "/status"
PATH_AUDIT = "/audit"
PATH_EXPLAIN = "/explain"
PATH_CHECK = "/release/check"
PATH_DIFF = "/release/diff"
PATH_PUBLISH = "/release/publish"
PATH_SHOW = "/release/show"
PATH_METRICS = "/metrics"
DEFAULT_LINES = 20
MAX_LINES = 500

Route = Callable[["OperatorFront", http_server.Exchange, str], Awaitable[None]]
ROUTES: registry.Registry[Route] = registry.Registry("operators' route")


class StatusSource(Protocol):
    """Gives the state of this router and of the fleet."""

    def status(self) -> Mapping[str, Any]:
        """Returns this router's own state."""

    async def fleet_status(self) -> list[Mapping[str, Any]]:
        """Returns the state of all routers that answer."""

    def counts(self) -> Mapping[str, Any]:
        """Returns counters and gauges."""

    def configuration(self) -> core.Configuration:
        """Returns the configuration in force here."""


class OperatorFront:
    """Serves operators' requests, each under an operator's own key."""

    def __init__(
        self,
        key_digests: Mapping[str, str],
        desk: release_manager.ReleaseManager,
        explanations: explain.ExplanationLog,
        source: StatusSource,
    ):
        self._key_digests = key_digests
        self.desk = desk
        self.explanations = explanations
        self.source = source

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one request."""
        operator = self._authenticate(exchange)
        if not operator:
            exchange.respond_json(401, {"error": "no operator has this key"})
            return
        path = exchange.request.path
        if path not in ROUTES.names():
            exchange.respond_json(404, {"error": f"there is no {path}"})
            return
        await ROUTES.get(path)(self, exchange, operator)

    def _authenticate(self, exchange: http_server.Exchange) -> str:
        shown = exchange.request.headers.get("authorization", "")
        kind, _, key = shown.partition(" ")
        if kind.lower() != "bearer":
            return ""
        shown_digest = core.key_digest(key.strip())
        for name, wanted in self._key_digests.items():
            if hmac.compare_digest(shown_digest, wanted):
                return name
        return ""


@ROUTES.register(PATH_STATUS)
async def _status(front, exchange, operator) -> None:
    del operator
    if exchange.request.query.get("fleet") == "0":
        exchange.respond_json(200, front.source.status())
        return
    exchange.respond_json(200, {"routers": await front.source.fleet_status()})


@ROUTES.register(PATH_METRICS)
async def _metrics(front, exchange, operator) -> None:
    del operator
    exchange.respond_json(200, front.source.counts())


@ROUTES.register(PATH_AUDIT)
async def _audit(front, exchange, operator) -> None:
    del operator
    lines = await front.desk.audit(_lines(exchange))
    if lines.is_err():
        exchange.respond_json(503, {"error": lines.err().reason})
        return
    shown = [dataclasses.asdict(line) for line in lines.ok()]
    exchange.respond_json(200, {"releases": shown})


@ROUTES.register(PATH_EXPLAIN)
async def _explain(front, exchange, operator) -> None:
    del operator
    request_id = exchange.request.query.get("request", "")
    found = front.explanations.get(None, request_id)
    if found is None:
        exchange.respond_json(
            404, {"error": f"request {request_id!r} is not remembered here"}
        )
        return
    exchange.respond_json(200, found.as_json())


@ROUTES.register(PATH_SHOW)
async def _show(front, exchange, operator) -> None:
    del operator
    configuration = front.source.configuration()
    kinds = {
        kind: {
            name: json.loads(text)
            for name, text in sorted(configuration.entries_json(kind).items())
        }
        for kind in core.KINDS
    }
    exchange.respond_json(
        200, {"number": configuration.number, "in_force": kinds}
    )


@ROUTES.register(PATH_CHECK)
async def _check(front, exchange, operator) -> None:
    del operator
    draft = _draft(front, exchange)
    if draft is not None:
        exchange.respond_json(200, {"findings": []})


@ROUTES.register(PATH_DIFF)
async def _diff(front, exchange, operator) -> None:
    del operator
    draft = _draft(front, exchange)
    if draft is not None:
        exchange.respond_json(200, {"changes": front.desk.diff(draft)})


@ROUTES.register(PATH_PUBLISH)
async def _publish(front, exchange, operator) -> None:
    draft = _draft(front, exchange)
    if draft is None:
        return
    source = exchange.request.query.get("source", "note")
    published = await front.desk.publish(draft, operator, source)
    if published.is_ok():
        note = published.ok()
        exchange.respond_json(
            200, {"number": note.number, "digest": note.digest()}
        )
        return
    status, body = _publish_error(published.err())
    exchange.respond_json(status, body)


def _publish_error(
    error: release_store.PublishError,
) -> tuple[int, Mapping[str, Any]]:
    if isinstance(error, key_value.Unavailable):
        return 503, {
            "error": "the key-value service did not answer; whether the "
            "release was accepted is not known: see the log, then retry",
            "reason": error.reason,
        }
    if isinstance(error, release_store.ReleaseConflict):
        body: dict[str, Any] = {"error": "another release came first"}
        if error.note is not None:
            body["number"] = error.note.number
            body["author"] = error.note.author
            body["title"] = error.note.draft.title
        return 409, body
    return 422, _findings_body(error)


def _draft(front: OperatorFront, exchange: http_server.Exchange):
    source = exchange.request.query.get("source", "note")
    try:
        value = json.loads(exchange.request.body)
    except ValueError as err:
        exchange.respond_json(400, {"error": f"not JSON: {err}"})
        return None
    checked = front.desk.check(value, source)
    if checked.is_err():
        exchange.respond_json(422, _findings_body(checked.err()))
        return None
    return checked.ok()


def _findings_body(found: list[findings.Finding]) -> Mapping[str, Any]:
    return {
        "error": "the note has findings",
        "findings": [dataclasses.asdict(item) for item in found],
    }


def _lines(exchange: http_server.Exchange) -> int:
    text = exchange.request.query.get("count", "")
    if not text.isdecimal():
        return DEFAULT_LINES
    return max(1, min(MAX_LINES, int(text)))
