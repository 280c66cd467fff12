"""Headers, paths and limits of the callers' interface."""

HEADER_CLASS = "x-request-class"
HEADER_SESSION = "x-session"
HEADER_DEADLINE = "x-deadline-ms"
HEADER_KEY = "idempotency-key"
HEADER_LAST_EVENT = "last-event-id"
HEADER_REQUEST_ID = b"x-request-id"
HEADER_REPLICA = b"x-replica"

PATH_CHAT = "/v1/chat/completions"
PATH_COMPLETIONS = "/v1/completions"
PATH_MODELS = "/v1/models"
PATH_ADDRESSES = "/v1/addresses"
PATH_FILINGS = "/v1/filings/"
PATH_SERVICES = "/services/"
PATH_LIVE = "/live"
PATH_READY = "/ready"

MAX_ADDRESSES = 8
MAX_BODY_BYTES = 8 * 1024 * 1024
MIN_DEADLINE_S = 0.001
EVENT_STREAM = (b"content-type", b"text/event-stream")
NO_CACHE = (b"cache-control", b"no-cache")
