"""Plain HTTP services, which do not run models."""
