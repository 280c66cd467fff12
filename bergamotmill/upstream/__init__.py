"""Engines, plain services and stores behind the routers."""
