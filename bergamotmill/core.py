"""Entities that operators configure, and the configuration built from them.

The field names of the entity classes are the keys of release notes.
"""

from collections.abc import Iterator, Mapping
import dataclasses
import hashlib
import json
from typing import Any

from bergamotmill.helpers import json_text

KIND_CUSTOMERS = "customers"
KIND_CLASSES = "classes"
KIND_MODELS = "models"
KIND_REPLICAS = "replicas"
KIND_SERVICES = "services"
KIND_STORES = "stores"
KINDS = (
    KIND_CUSTOMERS,
    KIND_CLASSES,
    KIND_MODELS,
    KIND_REPLICAS,
    KIND_SERVICES,
    KIND_STORES,
)

MAX_CACHED_CUSTOMERS = 4096
# Digest that the note of the first release names as its predecessor.
EMPTY_DIGEST = "0" * 32


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer (tenant) whose requests are served.

    Attributes:
        name: unique name of the customer.
        key_digests: SHA-256 digests of the secret API keys, in hexadecimal;
            the keys themselves are not stored.
        share: weight of the customer in fair queueing.
        spread: maximum number of routers that serve the customer.
        generation: number that is part of the cache keys; raising it
            invalidates the customer's cached prefixes.
        default_class: request class of requests that name none.
        limits: rate limits in requests per second by request class.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    share: float = 1.0
    spread: int = 7
    generation: int = 0
    default_class: str = ""
    limits: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same priority and time limits.

    Attributes:
        name: unique name of the class.
        priority: priority in the admission queue; higher is served first.
        worth: business value of a request, relative to other classes.
        deadline_s: time limit of a request in seconds; a caller may ask for
            less but not for more.
        first_token_target_s: target time to the first token in seconds.
        idempotent: whether a request that may have run can be run again.
        queue: maximum number of waiting requests at each router.
    """

    name: str
    priority: int = 0
    worth: float = 1.0
    deadline_s: float = 600.0
    first_token_target_s: float = 1.0
    idempotent: bool = True
    queue: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model, its weights and its adapters.

    Attributes:
        name: unique name of the model.
        version: version of the weights that replicas should load.
        serving: version of the weights that requests use while `version` is
            being loaded; empty if requests use `version`.
        adapters: versions of the adapters by adapter name.
        min_ready: number of replicas that must be ready before requests use
            a new version.
    """

    name: str
    version: str
    serving: str = ""
    adapters: Mapping[str, str] = dataclasses.field(default_factory=dict)
    min_ready: int = 1

    @property
    def served_version(self) -> str:
        """Version of the weights that requests use."""
        return self.serving or self.version


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """An inference server instance and its accelerators.

    Attributes:
        name: unique name of the replica.
        address: IP address and port of the engine.
        data_centre: data centre of the replica.
        driver: registered name of the engine driver.
        models: names of the models that the replica may load.
        roles: phases that the replica runs, "prefill" and "decode".
        slots: number of requests that run at the same time.
        prefill_tokens_per_s: prefill throughput in tokens per second.
        fencing: whether the engine checks the fencing token of orders.
        orders: whether routers may order the replica to load models.
    """

    name: str
    address: str
    data_centre: str
    driver: str = "engine"
    models: tuple[str, ...] = ()
    roles: tuple[str, ...] = ("prefill", "decode")
    slots: int = 32
    prefill_tokens_per_s: float = 8000.0
    fencing: bool = True
    orders: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUpstream:
    """One instance of a plain HTTP service."""

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain HTTP service that is called through the router.

    Attributes:
        name: unique name of the service.
        upstreams: instances of the service.
        driver: registered name of the service driver.
        idempotent_methods: HTTP methods that may safely run more than once.
        timeout_s: time limit of a call in seconds.
    """

    name: str
    upstreams: tuple[ServiceUpstream, ...]
    driver: str = "plain"
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """A KV offload store, from which engines import cached prefixes.

    Attributes:
        name: unique name of the store.
        address: IP address and port of the store.
        data_centre: data centre of the store.
        tokens_per_s: import throughput in tokens per second.
    """

    name: str
    address: str
    data_centre: str
    tokens_per_s: float = 40000.0


_EAGERLY_PARSED_KINDS: dict[str, type] = {
    KIND_CLASSES: RequestClass,
    KIND_MODELS: Model,
    KIND_REPLICAS: Replica,
    KIND_SERVICES: Service,
    KIND_STORES: Store,
}


def canonical_json(value: Any) -> bytes:
    """Returns compact JSON with sorted keys; equal values give equal bytes."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def content_digest(data: bytes) -> str:
    """Returns the hexadecimal digest of a note or configuration page."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def key_digest(key: str) -> str:
    """Returns the SHA-256 digest by which a secret key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse_entity(kind: str, name: str, value: Mapping[str, Any]) -> Any:
    """Builds the data class of a validated entry."""
    fields = dict(value)
    if kind == KIND_SERVICES:
        fields["upstreams"] = tuple(
            ServiceUpstream(**upstream) for upstream in fields["upstreams"]
        )
    for key, item in fields.items():
        if isinstance(item, list):
            fields[key] = tuple(item)
    cls = Customer if kind == KIND_CUSTOMERS else _EAGERLY_PARSED_KINDS[kind]
    return cls(name=name, **fields)


class Configuration:
    """An immutable snapshot of all entries as of one release.

    Customers may number tens of thousands, so they are stored as compact JSON
    and parsed on first use. Entries of other kinds are parsed at once.
    """

    def __init__(
        self,
        number: int,
        note_digest: str,
        entries_json: Mapping[str, Mapping[str, bytes]],
        customer_by_key: Mapping[bytes, str] | None = None,
    ):
        self._number = number
        self._digest = note_digest
        self._entries_json = entries_json
        self._customer_cache: dict[str, Customer] = {}
        self._entities = {
            kind: {
                name: parse_entity(kind, name, json_text.loads(text))
                for name, text in entries_json.get(kind, {}).items()
            }
            for kind in _EAGERLY_PARSED_KINDS
        }
        if customer_by_key is None:
            customer_by_key = dict(
                _index_keys(entries_json.get(KIND_CUSTOMERS, {}))
            )
        self._customer_by_key = customer_by_key

    @property
    def number(self) -> int:
        """Number of the release."""
        return self._number

    @property
    def digest(self) -> str:
        """Digest of the latest note, which covers all notes before it."""
        return self._digest

    @property
    def classes(self) -> Mapping[str, RequestClass]:
        """Request classes by name."""
        return self._entities[KIND_CLASSES]

    @property
    def models(self) -> Mapping[str, Model]:
        """Models by name."""
        return self._entities[KIND_MODELS]

    @property
    def replicas(self) -> Mapping[str, Replica]:
        """Engine replicas by name."""
        return self._entities[KIND_REPLICAS]

    @property
    def services(self) -> Mapping[str, Service]:
        """Plain services by name."""
        return self._entities[KIND_SERVICES]

    @property
    def stores(self) -> Mapping[str, Store]:
        """KV offload stores by name."""
        return self._entities[KIND_STORES]

    @property
    def customer_count(self) -> int:
        """Number of customers."""
        return len(self._entries_json.get(KIND_CUSTOMERS, {}))

    def customer(self, name: str) -> Customer | None:
        """Returns the customer with a name, or None if there is none."""
        customer = self._customer_cache.get(name)
        if customer is not None:
            return customer
        text = self._entries_json.get(KIND_CUSTOMERS, {}).get(name)
        if text is None:
            return None
        customer = parse_entity(KIND_CUSTOMERS, name, json_text.loads(text))
        if len(self._customer_cache) >= MAX_CACHED_CUSTOMERS:
            self._customer_cache.clear()
        self._customer_cache[name] = customer
        return customer

    def customer_of_key(self, key: str) -> Customer | None:
        """Returns the customer that a secret key belongs to, or None."""
        name = self._customer_by_key.get(bytes.fromhex(key_digest(key))[:16])
        if name is None:
            return None
        customer = self.customer(name)
        if customer is None or key_digest(key) not in customer.key_digests:
            return None
        return customer

    def owner_of_key_digest(self, hex_digest: str) -> str:
        """Returns the name of the customer with a key digest; empty if none."""
        return self._customer_by_key.get(bytes.fromhex(hex_digest)[:16], "")

    def entries_json(self, kind: str) -> Mapping[str, bytes]:
        """Returns the canonical JSON of each entry of a kind by name."""
        return self._entries_json.get(kind, {})

    def replace(
        self,
        number: int,
        note_digest: str,
        added: Mapping[str, Mapping[str, Any]],
        withdrawn: Mapping[str, list[str]],
    ) -> "Configuration":
        """Returns the snapshot of the next release.

        Args:
            number: number of the next release.
            note_digest: digest of the note of the next release.
            added: whole entries that are new or changed, by kind and name.
            withdrawn: names of the entries to remove, by kind.
        """
        entries_json = {
            kind: self._entries_json.get(kind, {}) for kind in KINDS
        }
        customer_by_key = self._customer_by_key
        for kind in KINDS:
            updated = added.get(kind, {})
            removed = withdrawn.get(kind, [])
            if not updated and not removed:
                continue
            old = entries_json[kind]
            new = dict(old)
            new.update(
                {name: canonical_json(item) for name, item in updated.items()}
            )
            for name in removed:
                new.pop(name, None)
            entries_json[kind] = new
            if kind == KIND_CUSTOMERS:
                customer_by_key = _update_key_index(
                    customer_by_key, old, new, [*updated, *removed]
                )
        return Configuration(number, note_digest, entries_json, customer_by_key)


def _index_entry_keys(name: str, text: bytes) -> Iterator[tuple[bytes, str]]:
    """Yields the first 16 bytes of each key digest with the customer's name."""
    for hex_digest in json_text.loads(text).get("key_digests", ()):
        yield bytes.fromhex(hex_digest)[:16], name


def _index_keys(customers: Mapping[str, bytes]) -> Iterator[tuple[bytes, str]]:
    for name, text in customers.items():
        yield from _index_entry_keys(name, text)


def _update_key_index(
    customer_by_key: Mapping[bytes, str],
    old: Mapping[str, bytes],
    new: Mapping[str, bytes],
    names: list[str],
) -> Mapping[bytes, str]:
    index = dict(customer_by_key)
    for name in names:
        if name in old:
            for key, _ in _index_entry_keys(name, old[name]):
                index.pop(key, None)
    for name in names:
        if name in new:
            index.update(_index_entry_keys(name, new[name]))
    return index


def empty_configuration() -> Configuration:
    """Returns the configuration that applies before the first release."""
    return Configuration(0, EMPTY_DIGEST, {})
