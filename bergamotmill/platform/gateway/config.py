"""Registers the JSON gateway driver."""

from bergamotmill.platform import key_value
from bergamotmill.platform.gateway import const
from bergamotmill.platform.gateway import coordinator


@key_value.DRIVERS.register(const.DRIVER)
def make(settings) -> key_value.KeyValueStore:
    """Makes a client for the addresses in the settings."""
    return coordinator.GatewayStore(tuple(settings.addresses))
