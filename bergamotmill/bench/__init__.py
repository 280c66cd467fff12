"""Benchmarks and soak tests that print their figures, optionally as JSON."""
