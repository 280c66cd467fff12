"""Errors of the HTTP client and server."""


class HttpError(Exception):
    """Base of what can go wrong on an HTTP connection."""


class ConnectError(HttpError):
    """No connection could be opened; nothing was sent."""


class ConnectionLostError(HttpError):
    """The other side closed or reset the connection."""


class ReadTimeoutError(HttpError):
    """Nothing arrived for longer than the silence limit."""


class ProtocolError(HttpError):
    """The other side does not follow HTTP."""


class BodyTooLargeError(HttpError):
    """A body is larger than allowed."""
