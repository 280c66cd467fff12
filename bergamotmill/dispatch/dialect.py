"""Interface between a router and the protocols of one platform."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from bergamotmill.dispatch import directory
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import ports
from bergamotmill.dispatch import rollout
from bergamotmill.helpers import connection_memory
from bergamotmill.helpers import http_server
from bergamotmill.storage import key_value


class Link(ports.UpstreamLink, rollout.OrderLink, Protocol):
    """Sends attempts and orders to upstreams."""

    def count_connections(
        self, connections: connection_memory.ConnectionMemory
    ) -> None:
        """Counts what connections opened from now on buffer."""

    def close(self) -> None:
        """Closes idle connections."""


class Front(Protocol):
    """Serves callers' requests in the protocol of one platform."""

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serves one request."""

    def refuse_for_memory(
        self, exchange: http_server.Exchange, retry_after_s: float
    ) -> None:
        """Refuses a request for whose body there is no memory."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Adapter to the keys, formats and protocols of one platform.

    Attributes:
        decoder: decodes documents of the store.
        link: sends attempts and orders to upstreams.
        change_store_address: points the store client at another address.
        count_store_connections: counts what the connections of the store
            client buffer.
        router_key: returns the store key of a router's registration.
        router_value: encodes a router's registration.
        lease_key: store key of the lease for orders.
        handover_key: store key of the handover record.
        quarantine_prefix: prefix of the store keys of quarantine entries.
        request_id_header: header, in lower case, that names a request.
        make_front: makes the interface for callers' requests.
        make_directory_handler: makes the handler of router address lookups.
        make_ready_handler: makes the handler of readiness checks.
        make_route_page: makes the handler of questions where a request would
            be sent; see `platform.route_page.RoutePage`.
    """

    decoder: fleet_state.Decoder
    link: Link
    change_store_address: Callable[[key_value.RevisionedStore, str], None]
    count_store_connections: Callable[
        [key_value.RevisionedStore, connection_memory.ConnectionMemory], None
    ]
    router_key: Callable[[str], str]
    router_value: Callable[[fleet_state.RouterEntry], bytes]
    lease_key: str
    handover_key: str
    quarantine_prefix: str
    request_id_header: str
    make_front: Callable[
        [fleet_state.Fleet, ports.CallServer, Callable[[], float]],
        Front,
    ]
    make_directory_handler: Callable[[directory.Directory], http_server.Handler]
    make_ready_handler: Callable[[Callable[[], bool]], http_server.Handler]
    make_route_page: Callable[..., http_server.Handler]
