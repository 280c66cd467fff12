"""Constants of the in-memory store."""

DRIVER = "memory"
HISTORY_EVENTS = 4096
