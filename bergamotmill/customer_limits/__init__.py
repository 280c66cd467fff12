"""Limits on what each customer may send through all routers together."""
