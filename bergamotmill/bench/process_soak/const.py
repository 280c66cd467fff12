"""Constants of the soak over real processes; times in seconds."""

# Ports, alike on all loopback hosts of a run.
PORT_FRONT = 8080
PORT_READY = 8081
PORT_DIRECTORY = 8082
PORT_PEER = 8083
PORT_METRICS = 8084
PORT_DATAGRAMS = 8085
PORT_SERVICE = 8090
PORT_LOCK = 8099

# The promises' bounds, from the platform's pages.
DRAIN_S = 2.0
CONFIGURATION_S = 2.0
GRACE_S = 8.0
RECOVER_S = 12.0
# A fault counts for so long after its end.
CALM_AFTER_S = 3.0
RETRY_RATIO = 0.2
RETRY_SLACK = 54.0
RETRY_WINDOW_S = 10.0
WEIGHTS_S = 11.0
# What this process and a busy machine may add to a measured time.
SLACK_S = 0.7
# Part of the requests of the last seconds that must be served after faults.
RECOVERED_PART = 0.9
RECOVERED_OVER_S = 3.0

START_LIMIT_S = 20.0
PROBE_PERIOD_S = 0.4
PROBE_TIMEOUT_S = 1.0
WATCH_PERIOD_S = 0.2
# Callers keep an address for so long after it failed them, and an answer of
# the directory for so long.
AVOID_S = 1.0
RESOLVED_S = 2.0
CALLER_PAUSE_S = 0.12
