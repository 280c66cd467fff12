"""Constants of the soak over real processes; times in seconds."""

# Ports, the same on every loopback address of a run.
PORT_FRONT = 8080
PORT_READY = 8081
PORT_DIRECTORY = 8082
PORT_PEER = 8083
PORT_METRICS = 8084
PORT_DATAGRAMS = 8085
PORT_SERVICE = 8090
PORT_LOCK = 8099

# Limits of the promises, as the platform's documentation sets them.
REPLICA_DRAIN_S = 2.0
CONFIGURATION_LIMIT_S = 2.0
SHUTDOWN_GRACE_S = 8.0
RECOVERY_WAIT_S = 12.0
# Time after the end of a fault during which its effects are tolerated.
FAULT_SETTLE_S = 3.0
# From this number of crashes under requests with one part, and FAULT_SETTLE_S
# later, no more than this number of such requests may reach replicas.
CRASHES_UNTIL_LIMIT = 5
MAX_REQUESTS_AFTER_CRASHES = 3
# The same for one request that crashes replicas and comes again.
REQUEST_CRASHES_UNTIL_LIMIT = 3
# Part of the body of such requests.
CRASH_MARK = b"crash-request-"
# Fraction of the prompts that have a crashing part while such prompts are sent.
CRASHING_FRACTION = 0.2
# Fraction of the requests to plain services that crash them, while such
# requests are sent.
CRASHING_REQUEST_FRACTION = 0.2
# From FAULT_SETTLE_S after a replica has named a limit, each window may hold
# this many times what it allows, and this many more.
LIMIT_WINDOW_S = 4.0
LIMIT_ALLOWED_RATIO = 1.5
LIMIT_ALLOWED_MORE = 5
# A router that has forwarded an answer with a limit is bound by it after this.
LIMIT_HEARD_S = 0.5
# A router that is off is not named by a router that no fault has disturbed for
# this time, once it has been off for this time.
DIRECTORY_LIMIT_S = 4.0
RETRY_RATIO = 0.2
RETRY_SLACK = 54.0
RETRY_WINDOW_S = 10.0
WEIGHTS_LIMIT_S = 11.0
# Delay by this process and a busy machine that the checks allow for.
TIMING_TOLERANCE_S = 0.7
# After the faults, this fraction of the requests that began within the window
# must be served.
RECOVERED_FRACTION = 0.9
RECOVERY_WINDOW_S = 3.0

START_TIMEOUT_S = 20.0
PROBE_PERIOD_S = 0.4
PROBE_TIMEOUT_S = 1.0
WATCH_PERIOD_S = 0.2
# Time for which callers avoid an address after a failed request.
ADDRESS_AVOID_S = 1.0
# Time for which callers reuse an answer of the directory.
DIRECTORY_CACHE_S = 2.0
# Mean pause of a caller between two requests.
CALLER_PAUSE_S = 0.12
