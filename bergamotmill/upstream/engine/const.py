"""Paths, headers and limits of the engines' interface."""

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

# Last comment that an engine writes to a stream resumed by another router.
MOVED_COMMENT = b": moved"

# Load reports that a router fetches, from all engines together.
MAX_REPORTS_PER_S = 45.0
MIN_REPORT_PERIOD_S = 0.15
# Factor on the report period of an engine that runs no request.
IDLE_PERIOD_FACTOR = 4.0
REPORT_TIMEOUT_S = 2.0
CACHE_EVENTS_PERIOD_S = 1.0
MAX_EVENTS_PER_FETCH = 256
ORDER_TIMEOUT_S = 3.0
# A stream fails when nothing arrives for this long.
SILENCE_LIMIT_S = 4.0
# Shorter, as an engine that still has the stream responds at once.
RESUME_SILENCE_LIMIT_S = 1.0
CANCEL_TIMEOUT_S = 2.0
MAX_ERROR_BYTES = 64 * 1024
