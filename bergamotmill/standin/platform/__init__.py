"""Stand-ins of the users' platform: store, replicas and callers."""
