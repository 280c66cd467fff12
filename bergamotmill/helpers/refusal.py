"""Refusals as callers see them."""

from collections.abc import Mapping
import dataclasses

from bergamotmill.helpers import run_state

CODE_NOT_FOUND = "not_found"
CODE_INVALID_REQUEST = "invalid_request"
CODE_OVERLOADED = "overloaded"
CODE_RATE_LIMIT = "rate_limit_exceeded"
CODE_NO_REPLICA = "no_replica"
CODE_DEADLINE = "deadline_exceeded"
CODE_UPSTREAM = "upstream_failed"
CODE_OUTCOME_UNKNOWN = "outcome_unknown"
CODE_STREAM_LOST = "stream_lost"
CODE_INVALID_API_KEY = "invalid_api_key"
CODE_KEY_REUSED = "idempotency_key_reused"

_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request gets no answer, and whether it may have run."""

    status: int
    code: str
    message: str
    run: run_state.RunState = run_state.RunState.NOT_SENT
    retry_after_s: float = 0.0
    param: str | None = None

    def as_json(self) -> Mapping[str, object]:
        """Returns the error body that usual clients expect."""
        kind = "invalid_request_error"
        if self.status >= 500:
            kind = "server_error"
        return {
            "error": {
                "message": self.message,
                "type": _TYPES.get(self.status, kind),
                "code": self.code,
                "param": self.param,
                "run": self.run.value,
            }
        }


def invalid(param: str, message: str) -> Refusal:
    """Returns the refusal of a request with a bad field."""
    return Refusal(400, CODE_INVALID_REQUEST, message, param=param)
