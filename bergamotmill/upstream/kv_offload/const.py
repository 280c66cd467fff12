"""Paths and limits of the KV offload store's interface."""

PATH_HAS = "/v1/kv/has"
LOOK_UP_TIMEOUT_S = 0.05
# After a failure, no lookups are sent to the store for this long.
PAUSE_AFTER_FAILURE_S = 2.0
# Shorter prompts are not looked up.
MIN_BLOCKS = 2
MAX_CONCURRENT_EXPORTS = 4
