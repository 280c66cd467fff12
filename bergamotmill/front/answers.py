"""Writes refusals and filings' outcomes as HTTP answers."""

import math

from bergamotmill.filings import messages as filing_messages
from bergamotmill.helpers import http_server
from bergamotmill.helpers import refusal
from bergamotmill.helpers import run_state

State = filing_messages.FilingState

_STATUS = {
    State.RUNNING: (202, "filing_running"),
    State.NOT_RUN: (503, "not_run"),
    State.UNKNOWN: (502, refusal.CODE_OUTCOME_UNKNOWN),
    State.EXPIRED: (409, "idempotency_key_expired"),
    State.MISMATCH: (422, refusal.CODE_KEY_REUSED),
    State.ABSENT: (404, refusal.CODE_NOT_FOUND),
}
_RUN = {
    State.NOT_RUN: run_state.RunState.NOT_SENT,
    State.MISMATCH: run_state.RunState.NOT_SENT,
}
_RETRY = {State.RUNNING: 1.0, State.NOT_RUN: 1.0, State.UNKNOWN: 2.0}


def refuse(exchange: http_server.Exchange, refused: refusal.Refusal) -> None:
    """Writes a refusal; one that may have run never says otherwise."""
    headers = []
    if refused.retry_after_s > 0:
        seconds = str(math.ceil(refused.retry_after_s)).encode()
        headers.append((b"retry-after", seconds))
        wait = str(int(refused.retry_after_s * 1000)).encode()
        headers.append((b"retry-after-ms", wait))
    if refused.run is not run_state.RunState.NOT_SENT:
        # Usual clients retry some statuses by themselves; tell them not to.
        headers.append((b"x-should-retry", b"false"))
    exchange.respond_json(refused.status, refused.as_json(), headers)


def filing(
    exchange: http_server.Exchange,
    outcome: filing_messages.Outcome,
    key: str,
) -> None:
    """Writes what is known of a filing."""
    if outcome.state is State.RAN:
        exchange.respond(
            outcome.status,
            outcome.body,
            [
                (b"content-type", outcome.content_type.encode()),
                (b"idempotency-key", key.encode()),
                (b"x-filing-state", b"ran"),
            ],
        )
        return
    status, code = _STATUS[outcome.state]
    refuse(
        exchange,
        refusal.Refusal(
            status,
            code,
            outcome.reason or outcome.state.value,
            _RUN.get(outcome.state, run_state.RunState.MAY_HAVE_RUN),
            _RETRY.get(outcome.state, 0.0),
            "Idempotency-Key",
        ),
    )
