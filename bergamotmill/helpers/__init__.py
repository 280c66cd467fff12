"""Helpers shared by several packages of the router."""
