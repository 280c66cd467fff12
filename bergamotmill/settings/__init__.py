"""Settings of one router, validated on load and immutable afterwards."""
