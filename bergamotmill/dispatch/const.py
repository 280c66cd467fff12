"""Constants of the dispatcher; times in seconds unless named otherwise."""

# An attempt must leave so much time for the answer to travel back.
RESPONSE_MARGIN_S = 0.02
# Least time worth an attempt; a tenth of a short deadline is no offer.
MIN_ATTEMPT_S = 0.1
CONNECT_TIMEOUT_S = 0.3
# A connection idle for longer may have been forgotten on the way.
MAX_IDLE_REUSE_S = 4.0

# Entries that lapsed with the store are back about two seconds after it.
UPSTREAM_ABSENCE_GRACE_S = 2.3
# The store counts as disturbed for so long after a failed call.
STORE_UNSTABLE_S = 3.0

# Engine cost model, from the sheet of the engines in service.
# A part of each step goes to the tokens of streams that are under way.
PREFILL_TOKENS_PER_S = 55000.0
ATTENTION_S_PER_PAIR = 3.24e-10
PREFILL_OVERHEAD_S = 0.01

# An order holds new work up for about so long: runs end, weights load.
ORDER_BLOCK_S = 1.5
# Over so long the lateness of answers fades from the estimate.
LATENESS_DECAY_S = 0.7
MAX_LATENESS_S = 0.8

# Costs of a candidate are in units of worth, as the operators price them;
# a generation is worth a fixed part and a part for its size.
BASE_REQUEST_WORTH = 0.6
TOKENS_PER_WORTH_UNIT = 2800.0
OUTPUT_TOKEN_FACTOR = 10.0
# What is lost when the first byte is late, and how sure a prediction is.
LATE_COST_FRACTION = 0.7
LATENESS_SPREAD_RATIO = 0.15
# Waiting is never free: it spreads load before anything is late.
WAIT_COST_FRACTION_PER_S = 0.3
# Reading a shared part again, and moving one between engines, per token.
RECOMPUTE_COST_PER_TOKEN = 1e-3
TRANSFER_COST_PER_TOKEN = 2.8e-6
TRANSFER_TOKENS_PER_S = 190_000.0
REMOTE_TRANSFER_FACTOR = 2.0
# A part that nobody here knows of may be at its home nevertheless.
OWNER_HIT_PROBABILITY = 0.5
REMOTE_COST_PER_BYTE = 8e-6
# Bytes of an answer for each output token: an event holds several.
OUTPUT_TOKEN_BYTES = 15
REMOTE_PLAIN_COST_S = 0.004
OLD_WEIGHTS_COST_FRACTION = 0.2
# Older weights cost nothing for the first 1.5 s after a newer version was
# acknowledged, less the time to hear of it.
OLD_WEIGHTS_FREE_PERIOD_S = 1.3
# They go out of use so long before the bound: time to hear of the newer
# version, and for what waits at an engine to begin.
OLD_WEIGHTS_MARGIN_S = 1.5
# A process that has just started cannot know when a version was named, if
# none of its peers does. It may use older weights for so long, with a margin
# to the three seconds in which nobody relies on it.
STARTUP_OLD_WEIGHTS_S = 1.5
DEFAULT_TARGET_AGE_S = 5.0
# How many peers it asks, how often, and until what age that matters.
AGE_QUERY_PEERS = 3
AGE_QUERY_PERIOD_S = 0.3
AGE_QUERY_MAX_AGE_S = 12.0
# Ranks at the engines by priority; what an engine has lost goes first.
URGENCY_RETRY = 1
URGENCY_HIGHEST = 2
URGENCY_LOWEST = 8
# Reading that takes more than this part of the target leaves no room for
# others to go first.
TIGHT_TARGET_FRACTION = 0.4
# Nothing came for so long after an answer was due: try another upstream.
SILENCE_TIMEOUT_S = 0.6
SILENCE_CHECK_PERIOD_S = 0.2
# A silent upstream is tested with a connection at most so often.
PROBE_PERIOD_S = 0.5
# The part of an engine's memory that holds parts of prompts which are not in
# use; requests under way take the rest.
CACHE_MEMORY_FRACTION = 0.8

RETRY_AFTER_S = 0.25
RETRY_JITTER = 0.5
# Parts of the time left after which an overloaded fleet asks callers back;
# they honour a third at most.
OVERLOAD_RETRY_FRACTIONS = (0.15, 0.33)
BUSY_PENALTY_S = 0.3
BUSY_EXPIRY_S = 0.4

FAILURE_SMOOTHING_FACTOR = 0.3
FAILURE_DECAY_S = 3.0
FAILURE_COST_FRACTION = 1.0
FAILURE_PLAIN_COST_S = 1.0

NOTICE_PERIOD_S = 0.01
# What was sent so lately, peers may have sent alike without our knowledge.
HERD_WINDOW_S = 0.03
NOTICE_TIMEOUT_S = 0.3
# Up to so many routers all tell all; beyond, those of a data centre do, less
# often, and no more than so many.
NOTICE_ALL_MAX_ROUTERS = 16
MAX_NOTICE_RECEIVERS = 24
NOTICE_PERIOD_LARGE_FLEET_S = 0.02

# Leases: the term, and how often it is renewed (three tries in a term).
REGISTRATION_LEASE_S = 4.0
REGISTRATION_RENEW_S = 1.3
# In a larger fleet probes tell of the dead; entries only name who is there.
LARGE_FLEET_ROUTERS = 16
REGISTRATION_LARGE_FLEET_LEASE_S = 12.0
REGISTRATION_LARGE_FLEET_RENEW_S = 4.0
WATCH_WAIT_S = 15.0
# In a data centre of up to so many routers all of them read the store.
ALL_READERS_MAX_ROUTERS = 6
# A reader tells the routers beside it so often that it is there; without a
# word for two of them they read the store themselves: changes must be in
# force within two seconds or more. Who reads is looked at as often.
READER_HEARTBEAT_S = 0.6
READER_TIMEOUT_S = 1.4
READER_CHECK_PERIOD_S = 0.2
# Between two looks at the store; where others are told, each look costs a
# message to each of them. Changes must be in force within two seconds.
WATCH_PAUSE_S = 0.1
WATCH_PAUSE_FORWARDING_S = 0.4
# A watch that fails may have been deaf for so long before.
WATCH_STALE_S = 2.0
FEED_BACKOFF_MIN_S = 0.05
FEED_BACKOFF_MAX_S = 0.5
# A gap between ticks that shows a suspension, and how long what comes after
# it counts as having waited.
TICK_PERIOD_S = 0.25
MIN_SUSPENSION_S = 0.9
SUSPENSION_MEMORY_S = 3.0
PULL_DELAY_S = 0.4
PULL_PERIOD_S = 0.5
PULL_TIMEOUT_S = 1.0

ORDER_LEASE_S = 3.0
ORDER_LEASE_RENEW_S = 0.9
ORDER_LEASE_MARGIN_S = 1.0
ORDER_LEASE_SETTLE_S = 2.2
# Turns of holders at one engine lie so much further apart than they must.
HOLDER_GAP_MARGIN_S = 0.2
# Peers keep new work away for so long before an order goes out.
ORDER_NOTICE_LEAD_S = 0.08
ORDER_TIMEOUT_S = 0.5
# An order without an answer is given again after so long.
ORDER_RETRY_S = 1.5

# While it is leaving, a router begins only what can end before it does.
MIN_STREAM_BEFORE_EXIT_S = 5.0
MIN_PLAIN_BEFORE_EXIT_S = 3.0
