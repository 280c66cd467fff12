"""Stores of KV cache that engines have offloaded."""
