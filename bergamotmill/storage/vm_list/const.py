"""Constants of the VM list."""

DRIVER = "http"
PATH = "/vms"
POLL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 2.0
# Some 200 bytes for each VM.
MAX_LIST_BYTES = 8 * 1024 * 1024

ROLE_ROUTER = "router"
ROLE_UPSTREAM = "upstream"
STATE_LIVE = "live"
STATE_LEAVING = "leaving"
