"""Names on the platform's wire."""

DRIVER = "platform"
SETTINGS_VARIABLE = "BERGAMOTMILL_NODE_FILE"

# Calls of the platform's store.
PATH_KEY = "/bergamotmill/kv-key"
PATH_RANGE = "/bergamotmill/kv-range"
PATH_WATCH = "/bergamotmill/kv-watch"
PATH_TRANSACTION = "/bergamotmill/kv-txn"
PATH_LEASE = "/bergamotmill/kv-lease"
PATH_KEEP = "/bergamotmill/kv-keep/"
PATH_LEASE_END = "/bergamotmill/kv-lease-end/"

# Keys that the operators and the replicas write.
KEY_CONFIGURATION = "op/config"
PREFIX_WEIGHTS = "op/version/"
PREFIX_REPLICAS = "servers/"
# Keys that routers write.
PREFIX_ROUTERS = "routers/"
KEY_HOLDER = "orders/holder"
KEY_HANDOVER = "orders/handover"

# Calls that arrive.
PATH_READY = "/bergamotmill/readiness"
PATH_RESOLVE = "/bergamotmill/resolve"

# Calls to replicas.
PATH_REPORT = "/bergamotmill/report"
PATH_ORDER = "/bergamotmill/order"

# Headers; the replicas' and the callers' sides share most of them.
HEADER_REQUEST_ID = "attempt-id"
HEADER_DEADLINE = "deadline-ms"
HEADER_KEY = "key"
HEADER_CUSTOMER = "tenant"
HEADER_MODEL = "model"
HEADER_TOKENS = "token-count"
HEADER_PARTS = "prompt-prefix"
HEADER_LAST_EVENT = "last-event-id"
HEADER_UPSTREAM = "expect-instance"
HEADER_ANSWERED_BY = "instance-id"
HEADER_WEIGHTS = "expect-version"
HEADER_WEIGHTS_USED = "weight-versions"
HEADER_SCOPE = "cache-salt"
HEADER_COPY_FROM = "kv-source"
HEADER_COPY_TO = "kv-backup"
HEADER_CONTINUE = "kv-from"
HEADER_URGENCY = "urgency-class"
HEADER_RECEIPT = "response-seal"
HEADER_NOT_RUN = "not-executed"
HEADER_RETRY_AFTER = "retry-after"

# What only this system may set; a caller's own value is dropped.
OWN_HEADERS = frozenset(
    {
        HEADER_KEY,
        HEADER_CUSTOMER,
        HEADER_DEADLINE,
        HEADER_UPSTREAM,
        HEADER_WEIGHTS,
        HEADER_SCOPE,
        HEADER_COPY_FROM,
        "kv-sink",
        HEADER_URGENCY,
        HEADER_LAST_EVENT,
        HEADER_COPY_TO,
        HEADER_CONTINUE,
        "hold",
        "pin-ms",
    }
)
# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

# Statuses that promise the caller that nothing has run or will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

CALL_TIMEOUT_S = 2.0
WATCH_SLACK_S = 2.0
