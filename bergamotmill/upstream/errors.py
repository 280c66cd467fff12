"""Errors of calls to upstreams."""

import enum


class Failure(enum.Enum):
    """What went wrong with a call."""

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


class UpstreamError(Exception):
    """A failed call.

    Attributes:
        failure: the kind of failure.
        sent: whether a byte of the request may have reached the upstream.
        ran: False when the upstream said that it ran nothing.
        status: the HTTP status, 0 when there was none.
        body: the upstream's error body.
    """

    def __init__(
        self,
        failure: Failure,
        reason: str,
        sent: bool,
        ran: bool | None = None,
        status: int = 0,
        body: bytes = b"",
    ):
        super().__init__(reason)
        self.failure = failure
        self.sent = sent
        self.ran = sent if ran is None else ran
        self.status = status
        self.body = body
