"""Non-idempotent calls: each key runs at most once."""
