"""Errors of calls to upstreams."""

import enum


class Failure(enum.Enum):
    """Why a call to an upstream failed.

    Attributes:
        CONNECT: no connection could be opened; nothing was sent.
        LOST: the connection ended before the response did.
        SILENT: nothing arrived for longer than the silence limit.
        REFUSED: the upstream declined the request.
        WRONG_TARGET: the upstream is another incarnation or holds another
            version of the weights than the request names.
        CROSSED: the response belongs to another request.
        MOVED: another router resumed the stream.
        BAD_REQUEST: the upstream rejected the request as invalid.
        BROKEN: the response is malformed, too large or has an unexpected
            status.
        FAILED: the upstream returned a 5xx status and a retry is allowed.
        QUARANTINED: upstreams ended under this request, which is held back;
            this call sent nothing.
        WITHDRAWN: the router gave the attempt up, as parts of its prompt were
            quarantined.
        UNREAD: the response ended early, or may have, while its caller did not
            read it.
        NO_MEMORY: the router has no memory for the response.
    """

    CONNECT = "connect"
    LOST = "lost"
    SILENT = "silent"
    REFUSED = "refused"
    WRONG_TARGET = "wrong_target"
    CROSSED = "crossed"
    MOVED = "moved"
    BAD_REQUEST = "bad_request"
    BROKEN = "broken"
    FAILED = "failed"
    QUARANTINED = "quarantined"
    WITHDRAWN = "withdrawn"
    UNREAD = "unread"
    NO_MEMORY = "no_memory"


class UpstreamError(Exception):
    """A call to an upstream failed.

    Attributes:
        failure: kind of failure.
        sent: whether a byte of the request may have reached the upstream.
        ran: whether the upstream may have run the request; same as `sent`
            unless the upstream reported that it ran nothing.
        status: HTTP status of the response, 0 when there was none.
        body: body of the error response.
        retry_after_s: when the call may be sent again, in seconds; 0 if
            unknown.
    """

    def __init__(
        self,
        failure: Failure,
        reason: str,
        sent: bool,
        ran: bool | None = None,
        status: int = 0,
        body: bytes = b"",
        retry_after_s: float = 0.0,
    ):
        super().__init__(reason)
        self.failure = failure
        self.sent = sent
        self.ran = sent if ran is None else ran
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s
