"""Streams of tokens: relay, resumption and detection of silence."""
