"""Filings: non-idempotent calls, which run at most once per key."""
