"""Registers the in-memory driver."""

from bergamotmill.storage import key_value
from bergamotmill.storage.memory import const
from bergamotmill.storage.memory import coordinator


@key_value.DRIVERS.register(const.DRIVER)
def make_store(settings) -> key_value.KeyValueStore:
    """Creates an empty store; the settings are not used."""
    del settings
    return coordinator.MemoryStore()
