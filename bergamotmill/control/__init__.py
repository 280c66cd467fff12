"""How the routers act together."""
