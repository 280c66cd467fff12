"""Constants of the control plane."""

PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.3
PROBE_ATTEMPTS = 3
INDIRECT_PROBES = 2
SUSPECT_S = 3.0
OTHER_DATA_CENTRE_EVERY_ROUNDS = 4
UNREACHABLE_EVERY_ROUNDS = 8
UPDATES_PER_MESSAGE = 8
# Each membership update is sent GOSSIP_FACTOR * ceil(log2(fleet size + 1))
# times, piggybacked on probes and their replies.
GOSSIP_FACTOR = 3
# New routers also appear in the platform's list of VMs, so that fewer
# transmissions suffice for them.
JOIN_GOSSIP_FACTOR = 1
JOIN_PEERS = 8
FORGET_DEAD_S = 30.0

READERS_PER_DATA_CENTRE = 2
RELAY_FANOUT = 8
# Random pushes in addition to the relay tree: routers whose membership views
# differ compute different trees, which may leave some routers out.
RANDOM_PUSHES = 2
PUSH_TIMEOUT_S = 0.3
PUSH_ATTEMPTS = 4
PULL_NOTES_TIMEOUT_S = 0.7
PULL_SNAPSHOT_TIMEOUT_S = 5.0
RECENT_NOTES = 256
STORED_NOTES = 512
PAGE_DELETION_DELAY_RELEASES = 16
CUSTOMER_PAGES = 64
WATCH_BACKOFF_MIN_S = 0.2
WATCH_BACKOFF_MAX_S = 5.0
# A reader also polls the latest-release pointer, in case its watch has silently
# stopped delivering changes. The readers of the fleet take turns; in a small
# fleet they poll more often, as a release has to be in force within 4 s.
LATEST_POLL_S = 10.0
MAX_POLL_GAP_S = 2.5
# Accuracy of a turn: delays of timers, and differences between wall clocks.
POLL_TURN_S = 0.1
BOOTSTRAP_BACKOFF_MIN_S = 0.1
BOOTSTRAP_BACKOFF_MAX_S = 3.0

# Number of routers that compete for the order lease; more would only add reads
# of the key-value service.
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
