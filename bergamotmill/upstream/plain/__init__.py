"""Plain HTTP services beside the engines."""
