"""The platform's list of live and leaving VMs.

The list may lag behind the actual state.
"""
