"""Error responses to callers."""

from collections.abc import Mapping
import dataclasses

from bergamotmill.helpers import run_state

CODE_NOT_FOUND = "not_found"
CODE_INVALID_REQUEST = "invalid_request"
CODE_OVERLOADED = "overloaded"
CODE_RATE_LIMIT = "rate_limit_exceeded"
CODE_NO_REPLICA = "no_replica"
CODE_SHUTTING_DOWN = "shutting_down"
CODE_DEADLINE = "deadline_exceeded"
CODE_UPSTREAM = "upstream_failed"
CODE_OUTCOME_UNKNOWN = "outcome_unknown"
CODE_STREAM_LOST = "stream_lost"
CODE_INVALID_API_KEY = "invalid_api_key"
CODE_PROMPT_QUARANTINED = "prompt_quarantined"
CODE_REQUEST_QUARANTINED = "request_quarantined"
CODE_KEY_REUSED = "idempotency_key_reused"

_ERROR_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An error response that says whether the request may have run.

    Attributes:
        status: HTTP status code.
        code: machine-readable error code.
        message: description of the error.
        run: whether an upstream may have run the request.
        retry_after_s: seconds to wait before a retry; 0 for no advice.
        param: name of the invalid field of the request.
    """

    status: int
    code: str
    message: str
    run: run_state.RunState = run_state.RunState.NOT_SENT
    retry_after_s: float = 0.0
    param: str | None = None

    def as_json(self) -> Mapping[str, object]:
        """Returns the error body in the format that API clients expect."""
        error_type = "invalid_request_error"
        if self.status >= 500:
            error_type = "server_error"
        return {
            "error": {
                "message": self.message,
                "type": _ERROR_TYPES.get(self.status, error_type),
                "code": self.code,
                "param": self.param,
                "run": self.run.value,
            }
        }


def invalid(param: str, message: str) -> Refusal:
    """Returns the refusal of a request with an invalid field."""
    return Refusal(400, CODE_INVALID_REQUEST, message, param=param)
