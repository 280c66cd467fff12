"""Constants of customer limits; times in seconds unless named otherwise."""

# How the tolerance of the limit is spent, as fractions of the slack and of the
# excess. A bucket may be taken over twice in one window (its owner ends and
# comes back), each time with a starting level, and once be overdrawn. The rest
# covers messages that are lost and routers that disagree on who is alive.
STARTING_SLACK_FRACTION = 0.25
OVERDRAFT_SLACK_FRACTION = 0.15
# Units in reserves are spent up to a lifetime after they were granted, so that
# they may add to a window. The rest of the excess covers requests that wait
# between their admission and their sending.
RESERVE_EXCESS_FRACTION = 0.5
# Reserves of all routers together, as a fraction of the burst.
MAX_RESERVE_FRACTION = 0.5
# A bucket holds at least this fraction of the excess, so that a limit without
# a burst can be used between two claims.
MIN_DEPTH_EXCESS_FRACTION = 0.25
# A bucket of more than this fraction of the fleet may be overdrawn; at most one
# side of a partition has that many routers.
OVERDRAFT_MIN_FRACTION = 0.5

# A claim that can be granted within this time waits at the owner.
MAX_WAIT_S = 0.1
# The owner announces a wait from this length on, as the claiming router takes
# the owner for dead after ASK_TIMEOUT_S. Two messages within a region take a
# few milliseconds.
ANNOUNCED_WAIT_S = 0.01
ASK_TIMEOUT_S = 0.04
# Shortest time until waiting claims are considered again.
MIN_WAKE_S = 0.002

# A refused router is promised a turn up to this much later, and sends no claim
# before it. A longer pause would refuse requests after the customer has
# returned to its limit.
MAX_PAUSE_S = 2.0
# A turn is kept for this time after it is due, as it is used by the next
# request that arrives; a router may take it this much too early.
TURN_GRACE_S = 0.5
TURN_EARLY_S = 0.02
# Turns together hold back at most this fraction of the depth, so that a bucket
# never stays full while requests are refused.
MAX_HELD_BACK_FRACTION = 0.5
MAX_TURNS = 256
# Routers that claimed within this time share the rate.
CLAIMANT_MEMORY_S = 2.5

# What a router wants in reserve: what it spends in this time, at least one
# request, if it has this many requests of the customer a second.
RESERVE_S = 0.3
RESERVE_MIN_REQUESTS_PER_S = 2.0
# A reserve that is less than this fraction of what is wanted is topped up; less
# than that is not granted, as it may not cover a request.
TOP_UP_FRACTION = 0.5
# Reserves are granted from what the bucket holds above this fraction.
KEPT_FRACTION = 0.5
RESERVE_LIFETIME_S = 1.0
# An owner counts a reserve for longer, as the router starts counting later.
RESERVE_MARGIN_S = 0.5
# Time constant of a router's estimate of what it spends.
DEMAND_MEMORY_S = 1.0
# Top-ups and returns wait this long for others to the same owner.
BATCH_DELAY_S = 0.02
# A claim takes up to about 90 bytes, a datagram 1200.
MAX_ITEMS_PER_MESSAGE = 12

# An owner that missed this many replies in a row is suspected, and passed over
# for this time. A single lost message does not move claims to the successor.
MAX_MISSED_REPLIES = 2
SUSPICION_S = 1.0
# Units that were granted for a request that did not run are returned if the
# grant is at most this old: with older ones, a window could hold more than the
# limit allows.
MAX_RETURN_AGE_S = 1.0
# A claim that was given up is remembered for this time; its units are returned
# if it is granted after all.
ABANDONED_MEMORY_S = 2.0

# Retry-After: shortest and longest time, the fraction of the caller's remaining
# time after which a return is of no use, and the fraction by which the time is
# prolonged at random so that callers do not return all at once.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 8.0
USEFUL_FRACTION = 0.5
RETRY_JITTER = 0.25

# Period of the checks for state that is no longer needed.
TICK_S = 0.25
# A gap between ticks from which this process was suspended: another router may
# have decided meanwhile. A busy event loop is late by less.
SUSPENDED_S = 1.0
# A router that is lost without having left counts towards the fleet for this
# time: it may serve where this one cannot reach it, also after its
# registration has expired.
LOST_ROUTER_MEMORY_S = 30.0
# A router that has started and heard no other one takes itself for one of this
# many, for a time: when all start, each would grant the whole limit.
STARTING_ROUTERS = 16
STARTING_S = 3.0
# The routers are counted this often, as the count takes time in large fleets.
COUNT_PERIOD_S = 0.1
# How long it is remembered which routers left, and thus since when this one is
# responsible for a customer.
MAX_RESPONSIBLE_S = 60.0
# State of customers at most, and how long it is kept without traffic.
MAX_BUCKETS = 8192
MAX_ACCOUNTS = 8192
ACCOUNT_MEMORY_S = 10.0

# Reason and status of a rejection.
REASON = "customer_limit"
STATUS = 429
