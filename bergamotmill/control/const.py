"""Constants of control; times in seconds."""

PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.3
PROBE_TRIES = 3
RELAYED_PROBES = 2
SUSPECT_S = 3.0
OTHER_DATA_CENTRE_EVERY = 4
UNREACHABLE_EVERY = 8
UPDATES_PER_MESSAGE = 8
# An update is passed on so many times the logarithm of the fleet's size.
SPREAD_FACTOR = 3
# The platform's list tells of newcomers too, so that less will do.
JOIN_SPREAD_FACTOR = 1
JOIN_PROBES = 8
FORGET_S = 30.0

READERS_PER_DATA_CENTRE = 2
RELAY_FANOUT = 8
# Each router also tells some others drawn at random, as views may differ.
RANDOM_PUSHES = 2
PUSH_TIMEOUT_S = 0.3
PUSH_TRIES = 4
PULL_NOTES_TIMEOUT_S = 0.7
PULL_TIMEOUT_S = 5.0
KEPT_NOTES = 256
STORED_NOTES = 512
PAGE_DELAY_NOTES = 16
CUSTOMER_PAGES = 64
WATCH_PAUSE_FIRST_S = 0.2
WATCH_PAUSE_LAST_S = 5.0
# A reader also looks at the head now and then, lest a watch went silent.
HEAD_CHECK_S = 10.0
BOOT_PAUSE_FIRST_S = 0.1
BOOT_PAUSE_LAST_S = 3.0

# So many routers ask for the lease; the others would only cost reads.
LEASE_CANDIDATES = 3
LEASE_DURATION_S = 9.0
LEASE_POLL_S = 2.0
LEASE_MARGIN_S = 2.0
ORDER_PERIOD_S = 1.0
ORDER_RETRY_S = 5.0

SUSPENSION_S = 5.0
HISTORY_EVENTS = 200

LATEST_KEY = "/head"
NOTES_PREFIX = "/notes/"
PAGES_PREFIX = "/pages/"
AUDIT_PREFIX = "/audit/"
LEASE_PREFIX = "/orders/"
