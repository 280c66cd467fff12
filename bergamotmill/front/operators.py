"""HTTP interface for operators: releases, status, audit and explanations."""

from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import hmac
from typing import Any, Protocol

from bergamotmill import core
from bergamotmill.control import quarantine
from bergamotmill.control import release_manager
from bergamotmill.control import release_store
from bergamotmill.helpers import findings
from bergamotmill.helpers import http_server
from bergamotmill.helpers import json_text
from bergamotmill.routing import explain
from bergamotmill.routing import prompt_quarantine
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
PATH_QUARANTINE = "/quarantine"
PATH_CLEAR = "/quarantine/clear"
DEFAULT_AUDIT_LINES = 20
MAX_AUDIT_LINES = 500

Route = Callable[["OperatorFront", http_server.Exchange, str], Awaitable[None]]
ROUTES: registry.Registry[Route] = registry.Registry("operators' route")


class StatusSource(Protocol):
    """Source of the state of this router and of the fleet."""

    def status(self) -> Mapping[str, Any]:
        """Returns the state of this router."""

    async def fleet_status(self) -> list[Mapping[str, Any]]:
        """Returns the state of each router that responds."""

    def metric_values(self) -> Mapping[str, Any]:
        """Returns the values of the counters and gauges."""

    def configuration(self) -> core.Configuration:
        """Returns the configuration in force on this router."""


class OperatorFront:
    """Authenticates operators by their own keys and serves their requests."""

    def __init__(
        self,
        key_digests: Mapping[str, str],
        releases: release_manager.ReleaseManager,
        explanations: explain.ExplanationLog,
        source: StatusSource,
        prompts: quarantine.Quarantine,
    ):
        self._key_digests = key_digests
        self.releases = releases
        self.explanations = explanations
        self.source = source
        self.prompts = prompts

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one operator's request."""
        operator = self._authenticate(exchange)
        if not operator:
            exchange.respond_json(
                401, {"error": "missing or unknown operator key"}
            )
            return
        path = exchange.request.path
        if path not in ROUTES.names():
            exchange.respond_json(404, {"error": f"no route for path {path}"})
            return
        await ROUTES.get(path)(self, exchange, operator)

    def _authenticate(self, exchange: http_server.Exchange) -> str:
        """Returns the operator's name; empty when the key is unknown."""
        authorization = exchange.request.headers.get("authorization", "")
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return ""
        digest = core.key_digest(key.strip())
        for name, operator_digest in self._key_digests.items():
            if hmac.compare_digest(digest, operator_digest):
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
    exchange.respond_json(200, front.source.metric_values())


@ROUTES.register(PATH_AUDIT)
async def _audit(front, exchange, operator) -> None:
    del operator
    lines = await front.releases.audit(_audit_line_count(exchange))
    if lines.is_err():
        exchange.respond_json(503, {"error": lines.err().reason})
        return
    releases = [dataclasses.asdict(line) for line in lines.ok()]
    exchange.respond_json(200, {"releases": releases})


@ROUTES.register(PATH_EXPLAIN)
async def _explain(front, exchange, operator) -> None:
    del operator
    request_id = exchange.request.query.get("request", "")
    explanation = front.explanations.get(None, request_id)
    if explanation is None:
        exchange.respond_json(
            404,
            {"error": f"this router has no record of request {request_id!r}"},
        )
        return
    exchange.respond_json(200, explanation.as_json())


@ROUTES.register(PATH_SHOW)
async def _show(front, exchange, operator) -> None:
    del operator
    configuration = front.source.configuration()
    kinds = {
        kind: {
            name: json_text.loads(text)
            for name, text in sorted(configuration.entries_json(kind).items())
        }
        for kind in core.KINDS
    }
    exchange.respond_json(
        200, {"number": configuration.number, "in_force": kinds}
    )


@ROUTES.register(PATH_QUARANTINE)
async def _quarantine(front, exchange, operator) -> None:
    del operator
    entries = [
        {
            "key": key,
            "model": entry.model,
            "parts": sorted(entry.parts),
            "customer": entry.customer,
            "since": entry.since_ms / prompt_quarantine.MS_PER_S,
            "crashes": sorted(crash.replica for crash in entry.crashes),
            "trials": entry.trials,
            "next_trial": entry.next_trial_at,
        }
        for key, entry in sorted(front.prompts.entries.items())
    ]
    exchange.respond_json(200, {"entries": entries})


@ROUTES.register(PATH_CLEAR)
async def _clear(front, exchange, operator) -> None:
    key = exchange.request.query.get("key", "")
    if exchange.request.method != "POST":
        exchange.respond_json(405, {"error": "only POST clears an entry"})
    elif front.prompts.clear(key, operator):
        exchange.respond_json(200, {"cleared": key})
    else:
        exchange.respond_json(404, {"error": f"no quarantine entry {key!r}"})


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
        exchange.respond_json(200, {"changes": front.releases.diff(draft)})


@ROUTES.register(PATH_PUBLISH)
async def _publish(front, exchange, operator) -> None:
    draft = _draft(front, exchange)
    if draft is None:
        return
    source = exchange.request.query.get("source", "note")
    published = await front.releases.publish(draft, operator, source)
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
            "error": "the key-value service did not respond and the release "
            "may have been accepted: check the release log, then retry",
            "reason": error.reason,
        }
    if isinstance(error, release_store.ReleaseConflict):
        body: dict[str, Any] = {"error": "another release was published first"}
        if error.note is not None:
            body["number"] = error.note.number
            body["author"] = error.note.author
            body["title"] = error.note.draft.title
        return 409, body
    return 422, _findings_body(error)


def _draft(front: OperatorFront, exchange: http_server.Exchange):
    """Returns the checked draft, or None after responding with an error."""
    source = exchange.request.query.get("source", "note")
    try:
        value = json_text.loads(exchange.request.body)
    except ValueError as err:
        exchange.respond_json(400, {"error": f"invalid JSON: {err}"})
        return None
    checked = front.releases.check(value, source)
    if checked.is_err():
        exchange.respond_json(422, _findings_body(checked.err()))
        return None
    return checked.ok()


def _findings_body(items: list[findings.Finding]) -> Mapping[str, Any]:
    return {
        "error": "the release note is invalid",
        "findings": [dataclasses.asdict(item) for item in items],
    }


def _audit_line_count(exchange: http_server.Exchange) -> int:
    text = exchange.request.query.get("count", "")
    if not text.isdecimal():
        return DEFAULT_AUDIT_LINES
    return max(1, min(MAX_AUDIT_LINES, int(text)))
