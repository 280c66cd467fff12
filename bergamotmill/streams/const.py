"""Constants of streams; times in seconds, sizes in bytes."""

KEEP_ALIVE_S = 5.0
RECONNECT_GRACE_S = 5.0
ENDED_RETENTION_S = 60.0
CALLER_STALL_TIMEOUT_S = 30.0
MAX_ENDED_BYTES = 256 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
MAX_RECOVERIES = 4

DONE = b"data: [DONE]\n\n"
KEEP_ALIVE = b": keep-alive\n\n"
MAC_BYTES = 8
