"""Messages between the routers; the Python code is generated."""
