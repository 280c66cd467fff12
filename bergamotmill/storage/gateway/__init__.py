"""Driver for key-value services with a JSON gateway over HTTP.

The calls follow the etcd version 3 gateway: `/v3/kv/range`,
`/v3/kv/txn`, `/v3/lease/...` and `/v3/watch`.
"""
