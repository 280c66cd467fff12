"""Engines with an OpenAI-compatible completions interface over HTTP."""
