"""Stand-ins (test doubles) for the systems around the router."""
