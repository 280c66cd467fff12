"""Writes refusals and outcomes of filings as HTTP responses."""

import math

from bergamotmill.filings import messages as filing_messages
from bergamotmill.helpers import http_server
from bergamotmill.helpers import refusal
from bergamotmill.helpers import run_state

State = filing_messages.FilingState

_STATUS_AND_CODE = {
    State.RUNNING: (202, "filing_running"),
    State.NOT_RUN: (503, "not_run"),
    State.UNKNOWN: (502, refusal.CODE_OUTCOME_UNKNOWN),
    State.EXPIRED: (409, "idempotency_key_expired"),
    State.MISMATCH: (422, refusal.CODE_KEY_REUSED),
    State.ABSENT: (404, refusal.CODE_NOT_FOUND),
}
_RUN_STATE = {
    State.NOT_RUN: run_state.RunState.NOT_SENT,
    State.MISMATCH: run_state.RunState.NOT_SENT,
}
_RETRY_AFTER_S = {State.RUNNING: 1.0, State.NOT_RUN: 1.0, State.UNKNOWN: 2.0}


def send_refusal(
    exchange: http_server.Exchange, refused: refusal.Refusal
) -> None:
    """Sends a refusal with its retry headers and run state as the response."""
    headers = []
    if refused.retry_after_s > 0:
        seconds = str(math.ceil(refused.retry_after_s)).encode()
        headers.append((b"retry-after", seconds))
        milliseconds = str(int(refused.retry_after_s * 1000)).encode()
        headers.append((b"retry-after-ms", milliseconds))
    if refused.run is not run_state.RunState.NOT_SENT:
        # Common client libraries retry some statuses automatically. A request
        # that may have run must not be repeated that way.
        headers.append((b"x-should-retry", b"false"))
    exchange.respond_json(refused.status, refused.as_json(), headers)


def send_filing_outcome(
    exchange: http_server.Exchange,
    outcome: filing_messages.Outcome,
    key: str,
) -> None:
    """Sends the upstream's response to a filing, or its state as a refusal."""
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
    status, code = _STATUS_AND_CODE[outcome.state]
    send_refusal(
        exchange,
        refusal.Refusal(
            status,
            code,
            outcome.reason or outcome.state.value,
            _RUN_STATE.get(outcome.state, run_state.RunState.MAY_HAVE_RUN),
            outcome.retry_after_s or _RETRY_AFTER_S.get(outcome.state, 0.0),
            "Idempotency-Key",
        ),
    )
