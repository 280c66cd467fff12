"""Relays streams of tokens, resumes them and detects silent connections."""
