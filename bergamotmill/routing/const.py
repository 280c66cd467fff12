"""Constants of the routing decision; times in seconds."""

MAX_LOCATIONS = 200_000
MAX_POPULAR = 50_000
ALL_REPLICAS_UP_TO = 16
RANDOM_CANDIDATES = 2
MAX_CANDIDATES = 10

HOME_PRIOR_FIRST = 0.3
HOME_PRIOR_STEP = 0.05
HORIZON_FIRST_S = 20.0
HORIZON_MIN_S = 1.0
HORIZON_MAX_S = 3600.0
HORIZON_STEP = 0.2
# Younger entries may be presumed only; their absence teaches nothing.
SETTLED_AGE_S = 1.0
# Without a batch of cache events for so long, none are relied on.
EVENTS_FRESH_S = 3.0
# Engines may publish events so late.
EVENT_LATE_S = 2.0
LOSS_SMOOTHING = 0.1
LEAST_LOSS = 0.02

POPULARITY_WINDOW_S = 10.0
# A prefix widens when it takes more than this part of a home's prefill.
HOME_FILL = 0.5
MAX_WIDTH = 16

TIE_S = 0.05
# The price of wasted work grows with the mean wait.
PRESSURE_PER_S = 4.0
PRESSURE_MAX = 10.0
REQUEST_OVERHEAD_S = 0.005
# Over so long the rate of unknown senders is averaged.
OTHERS_WINDOW_S = 5.0
REPORT_STALE_S = 3.0

EJECT_AFTER_FAILURES = 2
EJECT_FIRST_S = 1.0
EJECT_LAST_S = 30.0
RETURN_RAMP_S = 10.0
RETURN_PENALTY_S = 1.0

# A request that an engine has lost goes before others of its class.
RETRY_PRIORITY_BOOST = 10
RETRY_RATIO = 0.1
RETRY_FLOOR_PER_S = 1.0
RETRY_BURST = 10.0

EXPORTS_PER_S = 2.0
EXPORT_BURST = 4.0
KEPT_MIN_PIECES = 2

EXPLANATIONS_MAX = 2000
