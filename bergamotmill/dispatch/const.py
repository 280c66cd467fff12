"""Constants of the dispatcher; times in seconds unless named otherwise."""

# Part of the time limit reserved for sending the response to the caller.
RESPONSE_MARGIN_S = 0.02
# No attempt starts with less time left: a tenth of a short deadline is too
# little for an upstream to respond in.
MIN_ATTEMPT_S = 0.1
CONNECT_TIMEOUT_S = 0.3
# Connections idle for longer are not reused: a device on the path may have
# dropped their state.
MAX_IDLE_REUSE_S = 4.0

# Entries that expired in a store outage are written again about two seconds
# after the store is back.
UPSTREAM_ABSENCE_GRACE_S = 2.3
# How often it is checked whether that can still be so.
ABSENCE_CHECK_PERIOD_S = 0.2

# Prefill cost model, from the data sheet of the engines in service. The rate
# allows for the time that each step spends on decoding running streams.
PREFILL_TOKENS_PER_S = 55000.0
ATTENTION_S_PER_PAIR = 3.24e-10
PREFILL_OVERHEAD_S = 0.01

# An order to load weights delays new work for about this time: running
# requests end first, then the weights load.
ORDER_BLOCK_S = 1.5
# Time constant with which the lateness of past responses decays in the
# predicted wait, and the maximum lateness counted for one response.
LATENESS_DECAY_S = 0.7
MAX_LATENESS_S = 0.8

# The cost of a candidate is in units of worth, the operators' price of a
# request. A generation is worth a fixed part plus a part for its size.
BASE_REQUEST_WORTH = 0.6
TOKENS_PER_WORTH_UNIT = 2800.0
OUTPUT_TOKEN_FACTOR = 10.0
# Fraction of the worth that is lost when the first byte is late.
LATE_COST_FRACTION = 0.7
# Uncertainty of a predicted first byte, relative to the target.
LATENESS_SPREAD_RATIO = 0.15
# Waiting costs something even within the target, so that load spreads before
# any response is late.
WAIT_COST_FRACTION_PER_S = 0.3
# Costs of computing the KV cache of a shared part again, and of copying it
# from another engine.
RECOMPUTE_COST_PER_TOKEN = 1e-3
TRANSFER_COST_PER_TOKEN = 2.8e-6
TRANSFER_TOKENS_PER_S = 190_000.0
# Factor by which copying between data centres takes longer and costs more.
REMOTE_TRANSFER_FACTOR = 2.0
# Probability that the rendezvous owner of a prefix holds it although this
# router has no record of that.
OWNER_HIT_PROBABILITY = 0.5
# Cost of sending a request to another data centre, and its response back.
REMOTE_COST_PER_BYTE = 8e-6
# Response size per output token; an event of a stream holds several tokens.
OUTPUT_TOKEN_BYTES = 15
REMOTE_PLAIN_COST_S = 0.004
OLD_WEIGHTS_COST_FRACTION = 0.2
# Older weights have no cost in the first 1.5 s after a newer version is
# acknowledged, less the time until the routers learn of it.
OLD_WEIGHTS_FREE_PERIOD_S = 1.3
# Routers stop using an older version this long before it is forbidden: they
# learn late of the newer version, and requests queued at an engine must begin
# in time.
OLD_WEIGHTS_MARGIN_S = 1.5
# A router that has just started may not know when a target version was set,
# if none of its peers knows. It may use older weights for this long, well
# within the three seconds after a start in which nobody relies on it.
STARTUP_OLD_WEIGHTS_S = 1.5
DEFAULT_TARGET_AGE_S = 5.0
# A router that has just started requests the ages of the target versions from
# a few peers, until the ages no longer matter.
AGE_QUERY_PEERS = 3
AGE_QUERY_PERIOD_S = 0.3
AGE_QUERY_MAX_AGE_S = 12.0
# A router that has just started requests the scopes of KV cache with them, this
# many times at most.
MAX_CACHE_SCOPE_QUERIES = 20
# Ranks in an engine's queue, lowest number first. A request whose earlier
# attempt failed goes before all others.
URGENCY_RETRY = 1
URGENCY_HIGHEST = 2
URGENCY_LOWEST = 8
# A prompt whose prefill takes more than this fraction of its target is late
# as soon as another request goes before it.
TIGHT_TARGET_FRACTION = 0.4
# An attempt is abandoned when the upstream has been silent for this time after
# the response was due.
SILENCE_TIMEOUT_S = 0.6
SILENCE_CHECK_PERIOD_S = 0.2
# An upstream cuts off a response that stays unread for some seconds. From a
# pause of this length on, and for this time after it, the end of a stream may
# have that cause.
UNREAD_PAUSE_S = 0.5
UNREAD_MEMORY_S = 5.0
# How long a response waits for memory before it is given up: shorter than
# upstreams wait for a reader.
RESPONSE_MEMORY_WAIT_S = 0.5
# Minimum time between two test connections to a silent upstream.
PROBE_PERIOD_S = 0.5
# Fraction of an engine's KV memory that holds cached parts of prompts; running
# requests use the rest.
CACHE_MEMORY_FRACTION = 0.8

# Most engines that are scored for one request: those that hold most of its
# prompt, and those with the shortest wait.
MAX_HOLDERS_SCORED = 8
MAX_IDLE_SCORED = 8
# The same where the load of engines is measured: an owner decides twice on
# requests that wait, so that fewer idle engines are scored.
MAX_HOLDERS_SCORED_MEASURED = 8
MAX_IDLE_SCORED_MEASURED = 4

# Retry-After of a rejected request, and by how much of it the value varies so
# that callers do not return all at once.
RETRY_AFTER_S = 0.25
RETRY_JITTER = 0.5
# Predicted extra wait at an upstream that has refused a request lately or is
# still slow after its start.
BUSY_PENALTY_S = 0.3
BUSY_EXPIRY_S = 0.4

# Weight of the latest attempt in an upstream's failure rate, and the time
# constant with which the rate decays while nothing is sent there.
FAILURE_SMOOTHING_FACTOR = 0.3
FAILURE_DECAY_S = 3.0
# Cost of a failure rate of 1: as a fraction of the worth, or in seconds for
# plain services.
FAILURE_COST_FRACTION = 1.0
FAILURE_PLAIN_COST_S = 1.0

NOTICE_PERIOD_S = 0.01
# Peers see the same fleet and may have sent similar requests to the same
# engine within this window, before their notices arrive.
HERD_WINDOW_S = 0.03
NOTICE_TIMEOUT_S = 0.3
# In a fleet of up to NOTICE_ALL_MAX_ROUTERS, each router sends its notices to
# all others and decides by itself. In a larger one, placement owners decide.
NOTICE_ALL_MAX_ROUTERS = 16

# In a fleet larger than NOTICE_ALL_MAX_ROUTERS, each group of up to
# MAX_GROUP_ENGINES engines has a placement owner, which knows their load.
MAX_GROUP_ENGINES = 64
# Routers that keep track of a group: its owner and the successor.
GROUP_KEEPERS = 2
# Cores from which a router is preferred as placement owner: 700 decisions a
# second take up to half of one.
OWNER_PROCESSORS = 1.0
# A placement owner that has not replied in this time is not waited for: two
# messages within a region take a few milliseconds.
ASK_TIMEOUT_S = 0.04
# After two missed replies, the next router in order is asked for this time.
OWNER_SUSPICION_S = 1.0
# A request that waits at a placement owner is asked for again after this time,
# as the owner may have ended.
HELD_ASK_PERIOD_S = 0.4
# Lateness from which the placement owner is told of a late first byte.
REPORTED_LATENESS_S = 0.05
# Requests that wait at one placement owner at most; further ones are refused.
MAX_ASKS_WAITING = 1024

# How often a router renews the delegation of its share of a limit, for how long
# it delegates it, and how much longer it does not delegate it elsewhere: clocks
# run at slightly different speeds, and messages take time.
ALLOWANCE_TICK_S = 1.0
DELEGATION_S = 2.5
# A router that has not delegated its share for this time is told of the limit.
RECENT_DELEGATION_S = 1.2
DELEGATION_MARGIN_S = 0.5
# An upstream whose limit has not been heard for this time is asked for its
# health, which shows whether the limit has ended.
LIMIT_CHECK_AFTER_S = 4.0
# Limits that have ended are remembered for this time, for routers that have
# not heard of it.
ENDED_LIMIT_MEMORY_S = 30.0
# Claims without a reply after which the owner of an allowance is suspected, and
# how long its upstream is avoided then.
MAX_MISSED_CLAIMS = 2
NO_ALLOWANCE_OWNER_WAIT_S = 0.3
# A call that was refused allowance this often is not sent to limited upstreams.
MAX_CLAIMS_REFUSED = 8
# A claim that can be served elsewhere waits for allowance this long at most.
SHORT_CLAIM_WAIT_S = 0.03
# A router that can send elsewhere pauses between claims, so that all routers
# together claim this many times as much as there is.
CLAIMS_PER_ALLOWANCE = 8.0
MAX_CLAIM_SPREAD_S = 10.0
# Reports of the state of an engine that has named a limit are read this often.
LIMITED_STATUS_PERIOD_S = 1.0

# Lease of a router's registration; a term has room for three renewals.
REGISTRATION_LEASE_S = 4.0
REGISTRATION_RENEW_S = 1.3
# In a larger fleet probes between routers find the dead ones, and the
# registrations only list the members, so that a longer lease is enough.
LARGE_FLEET_ROUTERS = 16
REGISTRATION_LARGE_FLEET_LEASE_S = 12.0
REGISTRATION_LARGE_FLEET_RENEW_S = 4.0
REGISTRATION_RETRY_S = 0.3
# A watch that is never answered delays changes by its wait and the time limit
# of the call, which must stay within the three seconds in which a router has
# to be up to date after an outage of the store.
WATCH_WAIT_S = 1.5
# The same for a reader on which the other routers of its data centre rely: they
# have to learn within two seconds that it no longer receives answers.
WATCH_WAIT_PUBLISHING_S = 0.6
# A call to the store is overdue this long after the time that it may wait.
STORE_OVERDUE_S = 0.4
# In a data centre of up to this many routers, all of them read the store.
ALL_READERS_MAX_ROUTERS = 6
# A reader publishes after each answer of the store, and this often while it
# gets none.
READER_HEARTBEAT_S = 0.6
# A router reads the store itself when its documents have not been current for
# this time, whatever its readers say: longer than a watch of a reader, its
# pause and the publication take. The shortest time limit for a change to be in
# force is two seconds.
READER_TIMEOUT_S = 1.3
# The second reader of a data centre reads the store earlier, so that changes
# still reach the others before their timeout.
SECOND_READER_TIMEOUT_S = 0.9
# A reader that has reported that the store does not answer is passed over until
# it reports answers, or for this time.
READER_LOSS_MEMORY_S = 30.0
# First wait of a watch by a router that has become a reader: whether the store
# answers it has to be known soon.
WATCH_WAIT_NEW_READER_S = 0.1
# A reader publishes to up to this many routers itself. With more, it sends to
# about the square root of their number, and these pass it on: each message
# costs it some milliseconds of processor time, during which it does not read.
PUBLISH_DIRECT_MAX = 8
# How often a router that is not a reader checks this timeout, and whether it
# has become a reader.
READER_CHECK_PERIOD_S = 0.2
READER_CHECK_MIN_S = 0.02
# Pause of a reader after a call to the store that returned changes. It is
# longer where the reader publishes changes, as each call then costs a message
# to each receiver, but still lets changes come into force within two seconds.
WATCH_PAUSE_S = 0.1
WATCH_PAUSE_PUBLISHING_S = 0.4
# A watch may have delivered nothing for this time before it fails.
WATCH_STALE_S = 2.0
# Documents that have not been confirmed for this time may be out of date:
# longer than a watch that works, and its pause, take.
DOCUMENTS_STALE_S = 2.5
# The same while the store does not answer this router.
DOCUMENTS_STALE_UNANSWERED_S = 1.0
FEED_BACKOFF_MIN_S = 0.05
FEED_BACKOFF_MAX_S = 0.5
# A gap of at least MIN_SUSPENSION_S between two ticks shows that the process
# was suspended. Changes read within SUSPENSION_MEMORY_S after it may be as old
# as the suspension.
TICK_PERIOD_S = 0.25
MIN_SUSPENSION_S = 0.9
SUSPENSION_MEMORY_S = 3.0
# Documents are requested from a peer that has been ahead for this time.
PULL_DELAY_S = 0.4
PULL_PERIOD_S = 0.5
PULL_TIMEOUT_S = 1.0
# For this time after the store was restored from an older copy, a router asks
# peers for versions of the operators' documents that the copy lacks. A copy is
# some seconds old, and operators write again what it lacks.
RESTORE_QUERY_S = 5.0
# A router tells peers of entries that were removed within this time.
REMOVAL_MEMORY_S = 30.0

# Lease for giving orders to engines. No order is given in the last
# ORDER_LEASE_MARGIN_S.
ORDER_LEASE_S = 3.0
ORDER_LEASE_RENEW_S = 0.7
ORDER_LEASE_MARGIN_S = 1.0
# Added to the required time between orders of two holders to one engine.
HOLDER_GAP_MARGIN_S = 0.2
# Time between the notice of an order to the peers and the order itself, in
# which they stop sending new work to the engine.
ORDER_NOTICE_LEAD_S = 0.08
ORDER_TIMEOUT_S = 0.5
# An order is repeated after this time if its response was lost and the engine
# is not carrying it out.
ORDER_RETRY_S = 1.5
# After this fraction of the time for which old weights are used, an order does
# not wait for running requests: on a slow engine they may take longer than what
# is left.
LATE_ORDER_FRACTION = 0.7
# An engine that has accepted an order reports itself as busy within this time:
# the time limit of the order, and the age of what engines report.
ORDER_CONFIRM_S = 0.9
