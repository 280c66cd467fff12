"""Registers the JSON gateway driver."""

from bergamotmill.storage import key_value
from bergamotmill.storage.gateway import const
from bergamotmill.storage.gateway import coordinator


@key_value.DRIVERS.register(const.DRIVER)
def make_store(settings) -> key_value.KeyValueStore:
    """Creates a client for the addresses in the settings."""
    return coordinator.GatewayStore(tuple(settings.addresses))
