"""The replicas of one stand-in platform."""

from typing import Any

from bergamotmill.platform import const
from bergamotmill.standin.platform import engine_model
from bergamotmill.standin.platform import replica
from bergamotmill.standin.platform import store


class ReplicaSet:
    """The replicas of a platform by name, with their store entries."""

    def __init__(self, store_standin: store.StoreStandIn):
        self._store = store_standin
        self._recent_uses = engine_model.RecentUses()
        self.replicas: dict[str, replica.ReplicaStandIn] = {}

    def add(self, standin: replica.ReplicaStandIn) -> None:
        """Adds a replica; engines share the record of recent uses."""
        standin.share_recent_uses(self._recent_uses)
        self.replicas[standin.name] = standin

    async def publish(self, name: str, value: dict[str, Any] | None) -> None:
        """Writes a replica's entry to the store; None removes it."""
        key = const.PREFIX_REPLICAS + name
        if value is None:
            await self._store.remove(key)
        else:
            await self._store.write(key, value)

    def replica_at(self, address: str) -> replica.ReplicaStandIn | None:
        """Returns the replica at an address, or None."""
        for standin in self.replicas.values():
            if standin.address == address:
                return standin
        return None
