"""Constants of the dispatcher; times in seconds unless named otherwise."""

# An attempt must leave so much time for the answer to travel back.
RETURN_MARGIN_S = 0.02
# Least time worth an attempt; a tenth of a short deadline is no offer.
LEAST_ATTEMPT_S = 0.1
CONNECT_TIMEOUT_S = 0.3
# A connection idle for longer may have been forgotten on the way.
IDLE_REUSE_S = 4.0

# Entries that lapsed with the store are back about two seconds after it.
ABSENCE_GRACE_S = 2.3
# The store counts as disturbed for so long after a failed call.
STORE_DOUBT_S = 3.0

# Engine cost model, from the sheet of the engines in service.
# A part of each step goes to the tokens of streams that are under way.
PREFILL_TOKENS_PER_S = 55000.0
ATTENTION_S_PER_PAIR = 3.24e-10
COLD_REQUEST_S = 0.01

# An order holds new work up for about so long: runs end, weights load.
ORDER_HOLD_S = 1.5
# Over so long the lateness of answers fades from the estimate.
EXCESS_FADE_S = 0.7
EXCESS_MAX_S = 0.8

# Costs of a candidate are in units of worth, as the operators price them;
# a generation is worth a fixed part and a part for its size.
REQUEST_WORTH = 0.6
TOKENS_PER_WORTH = 2800.0
OUTPUT_TOKEN_WEIGHT = 10.0
# What is lost when the first byte is late, and how sure a prediction is.
LATE_PART = 0.7
LATE_SPREAD = 0.15
# Waiting is never free: it spreads load before anything is late.
WAIT_PART_PER_S = 0.3
# Reading a shared part again, and moving one between engines, per token.
REREAD_WORTH_PER_TOKEN = 1e-3
MOVE_WORTH_PER_TOKEN = 2.8e-6
MOVE_TOKENS_PER_S = 190_000.0
FAR_MOVE_FACTOR = 2.0
# A part that nobody here knows of may be at its home nevertheless.
HOME_CHANCE = 0.5
FAR_WORTH_PER_BYTE = 8e-6
# Bytes of an answer for each output token: an event holds several.
EVENT_BYTES = 15
FAR_PLAIN_S = 0.004
OLD_WEIGHTS_PART = 0.2
# Older weights cost nothing for the first 1.5 s after a newer version was
# acknowledged, less the time to hear of it.
OLD_WEIGHTS_FREE_S = 1.3
# They go out of use so long before the bound: time to hear of the newer
# version, and for what waits at an engine to begin.
WEIGHTS_MARGIN_S = 1.5
# A process that has just started cannot know when a version was named, if
# none of its peers does. It may use older weights for so long, with a margin
# to the three seconds in which nobody relies on it.
JUST_STARTED_S = 1.5
UNKNOWN_NAMED_AGE_S = 5.0
# How many peers it asks, how often, and until what age that matters.
AGE_PEERS = 3
AGE_PERIOD_S = 0.3
AGE_ASKED_S = 12.0
# Ranks at the engines by priority; what an engine has lost goes first.
URGENCY_RETRY = 1
URGENCY_FIRST = 2
URGENCY_LAST = 8
# Reading that takes more than this part of the target leaves no room for
# others to go first.
TIGHT_PART = 0.4
# Nothing came for so long after an answer was due: try another upstream.
SILENT_S = 0.6
SILENT_CHECK_S = 0.2
# A silent upstream is tested with a connection at most so often.
TEST_PERIOD_S = 0.5
# The part of an engine's memory that holds parts of prompts which are not in
# use; requests under way take the rest.
CACHE_PART = 0.8

RETRY_PAUSE_S = 0.25
RETRY_JITTER = 0.5
# Parts of the time left after which an overloaded fleet asks callers back;
# they honour a third at most.
OVERLOAD_PAUSE_PARTS = (0.15, 0.33)
BUSY_PENALTY_S = 0.3
BUSY_FORGET_S = 0.4

FAILURE_SMOOTHING = 0.3
FAILURE_DECAY_S = 3.0
FAILURE_PART = 1.0
FAILURE_PLAIN_S = 1.0

NOTICE_PERIOD_S = 0.01
# What was sent so lately, peers may have sent alike without our knowledge.
HERD_WINDOW_S = 0.03
NOTICE_TIMEOUT_S = 0.3
# Up to so many routers all tell all; beyond, those of a data centre do, less
# often, and no more than so many.
NOTICE_ALL_UP_TO = 16
NOTICE_RECEIVERS = 24
NOTICE_PERIOD_LARGE_S = 0.02

# Leases: the term, and how often it is renewed (three tries in a term).
ROSTER_LEASE_S = 4.0
ROSTER_RENEW_S = 1.3
# In a larger fleet probes tell of the dead; entries only name who is there.
ROSTER_LARGE = 16
ROSTER_LARGE_LEASE_S = 12.0
ROSTER_LARGE_RENEW_S = 4.0
WATCH_WAIT_S = 15.0
# In a data centre of up to so many routers all of them read the store.
ALL_READ_UP_TO = 6
# A reader tells the routers beside it so often that it is there; without a
# word for two of them they read the store themselves: changes must be in
# force within two seconds or more. Who reads is looked at as often.
READER_PERIOD_S = 0.6
READER_SILENT_S = 1.4
READER_CHECK_S = 0.2
# Between two looks at the store; where others are told, each look costs a
# message to each of them. Changes must be in force within two seconds.
FOLLOW_PAUSE_S = 0.1
FOLLOW_PAUSE_TOLD_S = 0.4
# A watch that fails may have been deaf for so long before.
BLIND_S = 2.0
FEED_PAUSE_FIRST_S = 0.05
FEED_PAUSE_LAST_S = 0.5
# A gap between ticks that shows a suspension, and how long what comes after
# it counts as having waited.
TICK_PERIOD_S = 0.25
PAUSE_LEAST_S = 0.9
PAUSE_REMEMBERED_S = 3.0
PULL_AFTER_S = 0.4
PULL_PERIOD_S = 0.5
PULL_TIMEOUT_S = 1.0

HOLDER_LEASE_S = 3.0
HOLDER_RENEW_S = 0.9
HOLDER_MARGIN_S = 1.0
HOLDER_SETTLE_S = 2.2
# Turns of holders at one engine lie so much further apart than they must.
TURN_MARGIN_S = 0.2
# Peers keep new work away for so long before an order goes out.
ORDER_NOTICE_S = 0.08
ORDER_TIMEOUT_S = 0.5
# An order without an answer is given again after so long.
ORDER_AGAIN_S = 1.5

# While it is leaving, a router begins only what can end before it does.
LEAVING_STREAM_S = 5.0
LEAVING_PLAIN_S = 3.0
