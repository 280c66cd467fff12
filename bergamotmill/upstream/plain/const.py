"""Headers and limits of calls to plain HTTP services."""

DRIVER = "plain"
HEADER_REQUEST_ID = "x-request-id"
HEADER_CUSTOMER = "x-customer"
# Routers that lose calls to an upstream within one such period see the same end
# of it: upstreams do not say when they started.
END_PERIOD_S = 1.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# An idempotent call fails when nothing arrives for this long.
SILENCE_LIMIT_S = 5.0
# After a failure, an upstream is tried last for this long.
EJECTION_S = 2.0
# An idempotent call that takes longer is also sent to a second upstream.
HEDGE_DELAY_S = 0.5
