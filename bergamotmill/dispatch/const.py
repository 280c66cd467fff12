"""Constants of the dispatcher; times in seconds unless named otherwise."""

# An attempt must leave so much time for the answer to travel back.
RETURN_MARGIN_S = 0.02
# Least time worth an attempt; a tenth of a short deadline is no offer.
LEAST_ATTEMPT_S = 0.1
CONNECT_TIMEOUT_S = 0.5
# A connection idle for longer may have been forgotten on the way.
IDLE_REUSE_S = 4.0

# Entries that lapsed with the store are back about two seconds after it.
ABSENCE_GRACE_S = 2.3
# The store counts as disturbed for so long after a failed call.
STORE_DOUBT_S = 3.0

# Engine cost model, from the sheet of the engines in service.
PREFILL_TOKENS_PER_S = 61200.0
STEP_S = 0.0037
COLD_REQUEST_S = 0.01

# Cost of a candidate in another data centre, in seconds of waiting.
FAR_COST_S = 0.05
FAR_PLAIN_COST_S = 0.004
# Price of reading again a part that some replica holds, per second of work.
REREAD_WEIGHT = 1.0

RETRY_PAUSE_S = 0.25
RETRY_JITTER = 0.5
BUSY_PENALTY_S = 0.3
BUSY_FORGET_S = 0.4

FAILURE_SMOOTHING = 0.3
FAILURE_DECAY_S = 3.0
FAILURE_COST_S = 1.0

# Leases: the term, and how often it is renewed (three tries in a term).
ROSTER_LEASE_S = 4.0
ROSTER_RENEW_S = 1.3
WATCH_WAIT_S = 15.0
FEED_PAUSE_FIRST_S = 0.05
FEED_PAUSE_LAST_S = 0.5
PULL_AFTER_S = 0.4
PULL_PERIOD_S = 0.5
PULL_TIMEOUT_S = 1.0

HOLDER_LEASE_S = 3.0
HOLDER_RENEW_S = 0.9
HOLDER_MARGIN_S = 1.0
HOLDER_SETTLE_S = 3.2
ORDER_TIMEOUT_S = 1.0
ORDER_PERIOD_S = 0.1
# An order without an answer is given again after so long.
ORDER_AGAIN_S = 1.5
LOADING_MAX = 3
