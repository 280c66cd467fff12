"""Which replica serves a request, and whether it is served now."""
