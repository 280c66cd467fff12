"""Names and limits of plain services."""

DRIVER = "plain"
HEADER_REQUEST_ID = "x-request-id"
HEADER_CUSTOMER = "x-customer"
MAX_ANSWER_BYTES = 8 * 1024 * 1024
SILENCE_S = 5.0
EJECT_S = 2.0
# An idempotent call that takes longer is sent to a second replica as well.
HEDGE_AFTER_S = 0.5
