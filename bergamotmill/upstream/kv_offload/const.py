"""Names and limits of the store's interface."""

PATH_HAS = "/v1/kv/has"
LOOK_UP_TIMEOUT_S = 0.05
# After a failure the store is left alone for so long.
PAUSE_S = 2.0
MIN_PIECES = 2
EXPORTS_AT_ONCE = 4
