"""The load of engines, measured from what they answer.

A placement owner knows all requests that it has sent to the engines of its
group, and the routers report when each began and ended. From this follow the
speed of each engine, the work that is queued there and the KV memory in use,
without asking the engines.
"""
