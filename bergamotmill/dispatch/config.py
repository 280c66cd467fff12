"""The operators' configuration as the dispatcher uses it."""

from collections.abc import Iterable, Mapping
import dataclasses
import enum

# Callers give up on a stream that sends nothing for the largest of a fixed
# time, a multiple of the route's target and a multiple of its event gap.
MIN_PATIENCE_S = 2.0
PATIENCE_TARGET_FACTOR = 4.0
PATIENCE_EVENT_GAP_FACTOR = 8.0


class RequestKind(enum.Enum):
    """The kind of a route's requests; it decides which may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's share of a route's traffic; weights need not sum to 1."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
        timeout_s: longest time that a caller is kept waiting.
        target_s: time to the first byte (streams) or the whole response
            (other kinds) that operators give full credit for.
        max_event_gap_s: longest gap between events of a stream that operators
            give full credit for.
        priority: rank of the requests; 0 is the most urgent.
        max_attempts: number of upstreams that one request may run on.
        anonymous: whether requests need no key.
        resumable: whether a stream may continue at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_event_gap_s: float = 0.0

    @property
    def patience_s(self) -> float:
        """How long callers wait for the first byte before they give up."""
        if not self.is_stream:
            return self.timeout_s
        gap_s = max(
            MIN_PATIENCE_S,
            PATIENCE_TARGET_FACTOR * self.target_s,
            PATIENCE_EVENT_GAP_FACTOR * self.max_event_gap_s,
        )
        return min(self.timeout_s, gap_s)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Whether responses are forwarded event by event."""
        return self.kind is RequestKind.STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties that all engines of a service share.

    Attributes:
        slots: number of requests that one engine runs at once.
        memory_tokens: KV memory of one engine, in tokens.
        token_bytes: size of one token's KV entry, in bytes.
        max_cache_event_streams: number of cache-event calls that one engine
            holds open at once.
        keeps_copies: whether an engine can keep a copy of the KV memory of
            requests that run on another engine.
        link_mbps: rate of an engine's link to other engines, in Mbit/s; 0 if
            it is not known.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    max_cache_event_streams: int
    keeps_copies: bool = False
    link_mbps: float = 0.0

    @property
    def copied_tokens_per_s(self) -> float:
        """Rate at which KV cache is copied between engines; 0 if unknown."""
        if not self.token_bytes:
            return 0.0
        return self.link_mbps * 1e6 / 8 / self.token_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineTraits | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KvOffloadStore:
    """A store for KV cache that engines offload."""

    name: str
    address: str
    data_centre: str
    memory_tokens: int


class LimitUnit(enum.Enum):
    """What a customer's limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerLimit:
    """What a customer may send through all routers together.

    Attributes:
        rate_per_s: units per second; above 0.
        burst: units that may be used at once.
        plain_tokens: tokens that a request without a token count is charged.
    """

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    plain_tokens: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """Returns the units that a request is charged.

        Args:
            tokens: its prompt tokens and maximum output tokens together; None
                if it does not tell.
        """
        if self.unit is LimitUnit.REQUESTS:
            return 1.0
        return self.plain_tokens if tokens is None else float(tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """The customer that a request is served for.

    Attributes:
        priority: rank that overrides the route's; None to use the route's.
        isolated: whether its KV cache is kept apart from other customers'.
        limit: what it may send; None for no limit.
    """

    name: str
    priority: int | None = None
    isolated: bool = False
    limit: CustomerLimit | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on the time callers take."""

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Catalog:
    """An immutable snapshot of routes, services and customers."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route] = (),
        services: Iterable[Service] = (),
        stores: Iterable[KvOffloadStore] = (),
        customers: Mapping[str, Customer] | None = None,
        limits: CallerLimits | None = None,
        isolated_customers: Iterable[str] = (),
    ):
        """Makes a snapshot.

        Args:
            version: the configuration's version.
            routes: all routes.
            services: services of upstreams.
            stores: KV offload stores.
            customers: customers by key; None if requests need no key.
            limits: limits on callers.
            isolated_customers: names of isolated customers, including those
                without a key.
        """
        self._version = version
        self._routes: dict[str, list[Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
        for host_routes in self._routes.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._services = {service.name: service for service in services}
        self._stores = tuple(stores)
        self._customers = customers
        self._customer_limits = {
            customer.name: customer.limit
            for customer in (customers or {}).values()
            if customer.limit is not None
        }
        self._isolated_customers = frozenset(isolated_customers).union(
            customer.name
            for customer in (customers or {}).values()
            if customer.isolated
        )
        self._limits = limits or CallerLimits()

    @property
    def version(self) -> int:
        """The configuration's version; 0 before the first configuration."""
        return self._version

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return self._services

    @property
    def stores(self) -> tuple[KvOffloadStore, ...]:
        """KV offload stores."""
        return self._stores

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers."""
        return self._limits

    @property
    def customer_limits(self) -> Mapping[str, CustomerLimit]:
        """Limits by name of the customer; those without one are left out."""
        return self._customer_limits

    @property
    def isolated_customers(self) -> frozenset[str]:
        """Names of the customers whose KV cache is kept apart."""
        return self._isolated_customers

    @property
    def has_customers(self) -> bool:
        """Whether customers are configured, so that requests need a key."""
        return self._customers is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Returns the customer that a key belongs to."""
        if self._customers is None:
            return None
        return self._customers.get(key)

    def key_of(self, customer: str) -> str:
        """Returns a key of a customer with a name; empty if there is none."""
        for key, known in (self._customers or {}).items():
            if known.name == customer:
                return key
        return ""
