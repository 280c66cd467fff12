"""Measurements; each prints its figures, as JSON on demand."""
