"""Replica selection, admission control and rate limits for requests."""
