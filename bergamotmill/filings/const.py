"""Constants of filings."""

KEY_LIFETIME_S = 24 * 3600.0
# Largest expected difference between the clocks of callers and routers.
CLOCK_SKEW_S = 60.0
MAX_LEDGER_ENTRIES = 200_000
MAX_OUTCOME_BODY_BYTES = 64 * 1024
MAX_STORED_BODIES_BYTES = 64 * 1024 * 1024
MAX_CLAIM_OUTCOME_BODY_BYTES = 16 * 1024
MAX_KEY_CHARS = 400
# Claims outlive the keys they are for.
CLAIM_LEASE_S = KEY_LIFETIME_S + 2 * 3600.0
# How long new claims share one lease.
CLAIM_LEASE_REUSE_S = 3600.0
# Time reserved for the reply of the router that a filing is forwarded to.
FORWARD_MARGIN_S = 0.25
# Rate at which the whole fleet stores outcomes of bound keys; outcomes above
# it are not stored.
OUTCOME_RECORDS_PER_S = 50.0
OUTCOME_RECORD_BURST = 20.0
CLAIM_PREFIX = "/claims/"
