"""Clients of the platform's services: key-value service and VM list."""
