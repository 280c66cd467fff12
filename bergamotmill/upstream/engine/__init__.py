"""Engines with the usual completions interface over HTTP."""
