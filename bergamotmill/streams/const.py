"""Constants of streams."""

KEEP_ALIVE_S = 5.0
# How long an engine keeps generating after its caller disconnected.
RECONNECT_GRACE_S = 5.0
# How long replay buffers of ended streams are retained.
ENDED_RETENTION_S = 60.0
CALLER_STALL_TIMEOUT_S = 30.0
# Limit for all replay buffers of ended streams together.
MAX_ENDED_BYTES = 256 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
# Recoveries of one stream, by resuming it or by continuing on another replica.
MAX_RECOVERIES = 4

DONE = b"data: [DONE]\n\n"
KEEP_ALIVE = b": keep-alive\n\n"
MAC_BYTES = 8
