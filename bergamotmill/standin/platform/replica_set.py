"""The replicas of one stand-in platform, and what they do together."""

from typing import Any

from bergamotmill.platform import const
from bergamotmill.standin.platform import engine_model
from bergamotmill.standin.platform import replica
from bergamotmill.standin.platform import store


class ReplicaSet:
    """Keeps replicas by name; they register in the store."""

    def __init__(self, registry: store.StoreStandIn):
        self._store = registry
        self._uses = engine_model.Uses()
        self.replicas: dict[str, replica.ReplicaStandIn] = {}

    def add(self, standin: replica.ReplicaStandIn) -> None:
        """Takes in a replica."""
        standin.share_uses(self._uses)
        self.replicas[standin.name] = standin

    async def publish(self, name: str, value: dict[str, Any] | None) -> None:
        """Writes a replica's entry, or takes it away."""
        key = const.PREFIX_REPLICAS + name
        if value is None:
            await self._store.remove(key)
        else:
            await self._store.write(key, value)

    def replica_at(self, address: str) -> replica.ReplicaStandIn | None:
        """Returns the replica at an address, as other replicas reach it."""
        for standin in self.replicas.values():
            if standin.address == address:
                return standin
        return None
