"""Constants of the JSON gateway driver."""

DRIVER = "gateway"

PATH_RANGE = "/v3/kv/range"
PATH_TXN = "/v3/kv/txn"
PATH_GRANT = "/v3/lease/grant"
PATH_RENEW = "/v3/lease/keepalive"
PATH_REVOKE = "/v3/lease/revoke"
PATH_WATCH = "/v3/watch"

CALL_TIMEOUT_S = 2.0
# The service writes a progress line on a watch at least this often; a watch
# that is silent for longer is considered broken.
WATCH_READ_TIMEOUT_S = 15.0
# All entries under a prefix, or all changes in one line of a watch.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
