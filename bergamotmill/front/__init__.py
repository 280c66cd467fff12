"""What callers and operators see."""
