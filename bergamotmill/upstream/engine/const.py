"""Names and limits of the engines' interface."""

DRIVER = "engine"

PATH_REPORT = "/v1/report"
PATH_EVENTS = "/v1/cache_events"
PATH_ORDERS = "/v1/orders"
PATH_EXPORT = "/v1/kv/export"
PATH_STREAMS = "/v1/streams/"

HEADER_REQUEST_ID = "x-request-id"
HEADER_PRIORITY = "x-priority"
HEADER_INCARNATION = "x-incarnation"
HEADER_VERSION = "x-weights-version"
HEADER_CHAIN = "x-prefix-chain"
HEADER_IMPORT = "x-kv-import"
HEADER_LOAD = "x-load"
HEADER_NOT_RUN = "x-not-run"

# Written by the engine as the last comment when another reader took over.
MOVED_COMMENT = b": moved"

# Reports a router reads from all engines together.
REPORTS_PER_S = 45.0
REPORT_PERIOD_MIN_S = 0.15
# An engine with nothing to do is asked less often.
IDLE_FACTOR = 4.0
REPORT_TIMEOUT_S = 2.0
EVENTS_PERIOD_S = 1.0
EVENTS_MAX = 256
ORDER_TIMEOUT_S = 3.0
SILENCE_S = 4.0
# An engine that holds a stream answers at once.
RESUME_SILENCE_S = 1.0
CANCEL_TIMEOUT_S = 2.0
MAX_ERROR_BYTES = 64 * 1024
