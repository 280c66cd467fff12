"""Constants of filings; times in seconds."""

KEY_LIFETIME_S = 24 * 3600.0
# Clocks of callers and routers may differ by so much.
CLOCK_SKEW_S = 60.0
MAX_LEDGER_ENTRIES = 200_000
MAX_OUTCOME_BODY_BYTES = 64 * 1024
MAX_STORED_BODIES_BYTES = 64 * 1024 * 1024
MAX_CLAIM_OUTCOME_BODY_BYTES = 16 * 1024
MAX_KEY_CHARS = 400
CLAIM_LEASE_S = KEY_LIFETIME_S + 2 * 3600.0
CLAIM_LEASE_REUSE_S = 3600.0
FORWARD_MARGIN_S = 0.25
# Outcomes of bound keys that the fleet writes down, a second; best effort.
OUTCOME_RECORDS_PER_S = 50.0
OUTCOME_RECORD_BURST = 20.0
CLAIM_PREFIX = "/claims/"
