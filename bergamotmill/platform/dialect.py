"""Puts this platform's translations together."""

from bergamotmill.dispatch import daemon
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.platform import const
from bergamotmill.platform import directory
from bergamotmill.platform import documents
from bergamotmill.platform import ingress
from bergamotmill.platform import replica
from bergamotmill.platform import store


def make_dialect(settings: router_settings.Settings) -> daemon.Dialect:
    """Returns how things are named and said on this platform."""
    return daemon.Dialect(
        decoder=documents.Decoder(),
        link=replica.ReplicaLink(settings.router.name),
        change_store_address=lambda client, address: client.set_address(
            address
        ),
        router_key=lambda name: const.PREFIX_ROUTERS + name,
        router_value=documents.router_value,
        lease_key=const.KEY_ORDER_LEASE,
        handover_key=const.KEY_HANDOVER,
        make_front_handler=lambda *parts: ingress.Ingress(*parts).handle,
        make_directory_handler=lambda book: (
            directory.DirectoryHandler(book).handle
        ),
        make_ready_handler=lambda is_ready: (
            directory.ReadinessHandler(is_ready).handle
        ),
    )


def make_store(settings: router_settings.Settings) -> store.PlatformStore:
    """Returns the client of the platform's store."""
    return store.PlatformStore(settings.store.address)
