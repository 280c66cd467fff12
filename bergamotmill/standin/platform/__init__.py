"""Stand-ins for the platform: its store, replicas and callers."""
