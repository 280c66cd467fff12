"""Constants of replica selection; times are in seconds."""

MAX_INDEXED_PREFIXES = 200_000
MAX_TRACKED_PREFIXES = 50_000
SCORE_ALL_UP_TO_REPLICAS = 16
RANDOM_CANDIDATES = 2
MAX_CACHE_CANDIDATES = 10

# Initial probability that the ring owner of a prefix has it cached, and the
# smoothing factor with which answers update it.
OWNER_PRIOR_INITIAL = 0.3
OWNER_PRIOR_SMOOTHING = 0.05
RETENTION_INITIAL_S = 20.0
RETENTION_MIN_S = 1.0
RETENTION_MAX_S = 3600.0
RETENTION_SMOOTHING = 0.2
# Younger index entries may be assumed from a dispatch rather than confirmed,
# so a cache miss on one does not shorten the retention estimate.
SETTLED_AGE_S = 1.0
# A replica's cache events are not relied on after this time without a batch.
EVENTS_STALE_AFTER_S = 3.0
# Longest delay with which an engine publishes a cache event.
MAX_EVENT_DELAY_S = 2.0
EVENT_LOSS_SMOOTHING = 0.1
MIN_EVENT_LOSS = 0.02

POPULARITY_WINDOW_S = 10.0
# A prefix has enough owners for its requests to take at most this fraction of
# the prefill throughput of each.
OWNER_PREFILL_FRACTION = 0.5
MAX_OWNERS = 16

TIE_MARGIN_S = 0.05
# Increase of the cost of recomputed work for each second of mean wait.
WASTE_COST_PER_WAIT_S = 4.0
MAX_WASTE_COST_FACTOR = 10.0
REQUEST_OVERHEAD_S = 0.005
# Averaging window for the token rate of dispatches unknown to this router.
UNTRACKED_RATE_WINDOW_S = 5.0
# The uncertainty of a predicted wait grows with the report's age up to this.
MAX_UNCERTAINTY_AGE_S = 3.0

EJECT_AFTER_FAILURES = 2
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 30.0
RECOVERY_RAMP_S = 10.0
RECOVERY_PENALTY_S = 1.0

# Places a request whose engine was lost ahead of others of its class.
RETRY_PRIORITY_BOOST = 10
RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_SAVED_RETRIES = 10.0

EXPORTS_PER_S = 2.0
EXPORT_BURST = 4.0
MIN_EXPORT_BLOCKS = 2

MAX_EXPLANATIONS = 2000
