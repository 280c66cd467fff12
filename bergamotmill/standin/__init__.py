"""Small stand-ins for what stands around the system."""
