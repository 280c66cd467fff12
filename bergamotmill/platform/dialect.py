"""Assembles the adapter for this platform."""

from bergamotmill.dispatch import dialect
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.platform import const
from bergamotmill.platform import directory
from bergamotmill.platform import documents
from bergamotmill.platform import ingress
from bergamotmill.platform import replica
from bergamotmill.platform import route_page
from bergamotmill.platform import store


def make_dialect(
    settings: router_settings.Settings,
) -> dialect.Dialect:
    """Returns the adapter to the platform's keys, formats and protocols."""
    return dialect.Dialect(
        decoder=documents.Decoder(),
        link=replica.ReplicaLink(settings.router.name),
        change_store_address=lambda client, address: client.set_address(
            address
        ),
        count_store_connections=lambda client, connections: (
            client.count_connections(connections)
        ),
        router_key=lambda name: const.PREFIX_ROUTERS + name,
        router_value=documents.router_value,
        lease_key=const.KEY_ORDER_LEASE,
        handover_key=const.KEY_HANDOVER,
        quarantine_prefix=const.PREFIX_QUARANTINE,
        request_id_header=const.HEADER_REQUEST_ID,
        make_front=ingress.Ingress,
        make_directory_handler=lambda router_directory: (
            directory.DirectoryHandler(router_directory).handle
        ),
        make_ready_handler=lambda is_ready: (
            directory.ReadinessHandler(is_ready).handle
        ),
        make_route_page=lambda *parts: route_page.RoutePage(*parts).handle,
    )


def make_store(settings: router_settings.Settings) -> store.PlatformStore:
    """Returns a client of the platform's store."""
    return store.PlatformStore(settings.store.address)
