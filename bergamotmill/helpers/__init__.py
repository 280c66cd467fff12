"""Helpers that many parts share."""
