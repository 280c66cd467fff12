"""Clients of the engines, plain HTTP services and KV offload stores."""
