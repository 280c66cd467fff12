"""Forwards requests unchanged to the upstreams of their route."""
