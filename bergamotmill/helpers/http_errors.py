"""Errors of the HTTP client and server."""


class HttpError(Exception):
    """Base class of errors on an HTTP connection."""


class ConnectError(HttpError):
    """The connection could not be opened; nothing was sent."""


class ConnectionLostError(HttpError):
    """The connection was closed or reset before the exchange was complete."""


class ReadTimeoutError(HttpError):
    """The peer sent no data within the read timeout."""


class RequestUnreadError(HttpError):
    """The peer did not read the request in time."""


class ProtocolError(HttpError):
    """The peer violated the HTTP protocol."""


class BodyTooLargeError(HttpError):
    """A body exceeds the size limit."""


class NoMemoryError(HttpError):
    """There is no memory for a body."""
