"""Constants of the control plane."""

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.3
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

# Watched routers are checked when they have not been heard for a period, and
# again at each tick until they answer; after WATCH_CHECKS without an answer,
# other routers are asked to reach them. Together this takes at most
# WATCH_PERIOD_S + (WATCH_CHECKS + 1) * WATCH_TICK_S + 2 * PROBE_TIMEOUT_S.
WATCH_TICK_S = 0.2
WATCH_CHECKS = 3
WATCH_PERIOD_S = 0.8
WATCHED_ROUTERS = 6
# A check by a call costs some twenty times as much processor time as one by a
# datagram.
CALL_WATCH_PERIOD_S = 1.0
WATCHED_ROUTERS_BY_CALLS = 3
# Includes those that are not alive.
MAX_WATCHED_ROUTERS = 24
# Routers that are asked to reach one that does not answer.
VERIFY_RELAYS = 3
# A watched router is named to callers for this long after it was last heard:
# the time after which it would be suspected, and delays of messages.
CONTACT_LIFETIME_S = 2.4
# After a gap between two ticks of this length the process was suspended, and
# what it knew of other routers may have changed meanwhile.
STALLED_S = 0.9
# A change of who is alive is sent at once to SPREAD_FANOUT other routers, and
# once more to as many after SPREAD_REPEAT_S. Each that did not know passes it
# on in the same way.
SPREAD_FANOUT = 8
SPREAD_DELAY_S = 0.02
SPREAD_REPEAT_S = 0.3
# In a fleet of up to this many routers, starts of routers spread in this way,
# too.
SPREAD_STARTS_MAX_ROUTERS = 64
# A router that differs from another one in who is alive, while neither has
# changed for this time, has missed a change and requests all of them.
SETTLED_S = 0.45
SYNC_PERIOD_S = 0.5
# Routers from which one that has just started, or was suspended or cut off,
# requests all that they know.
SYNC_PEERS = 2
SYNC_RETRY_S = 0.3

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
