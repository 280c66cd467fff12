"""The things operators create, and the configuration made of them."""

from collections.abc import Iterator, Mapping
import dataclasses
import hashlib
import json
from typing import Any

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

PARSED_CUSTOMERS_MAX = 4096
EMPTY_DIGEST = "0" * 32


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """Someone whose requests are served; keys are kept as digests only."""

    name: str
    key_digests: tuple[str, ...] = ()
    share: float = 1.0
    spread: int = 7
    generation: int = 0
    default_class: str = ""
    limits: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request; a higher priority goes first."""

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
        version: the weights that replicas are to hold.
        serving: the weights that requests use while a newer version is
            being loaded; empty when that is `version`.
        min_ready: replicas that must be ready before a version serves.
    """

    name: str
    version: str
    serving: str = ""
    adapters: Mapping[str, str] = dataclasses.field(default_factory=dict)
    min_ready: int = 1

    @property
    def served_version(self) -> str:
        """The weights that requests use."""
        return self.serving or self.version


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One engine with its accelerators."""

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
    """One replica of a plain service."""

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service beside the engines."""

    name: str
    upstreams: tuple[ServiceUpstream, ...]
    driver: str = "plain"
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """A store of kept KV cache."""

    name: str
    address: str
    data_centre: str
    tokens_per_s: float = 40000.0


_SMALL_KINDS: dict[str, type] = {
    KIND_CLASSES: RequestClass,
    KIND_MODELS: Model,
    KIND_REPLICAS: Replica,
    KIND_SERVICES: Service,
    KIND_STORES: Store,
}


def canonical_json(value: Any) -> bytes:
    """Returns the one JSON text of a value."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def content_digest(data: bytes) -> str:
    """Returns the digest of release texts, 32 hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def key_digest(key: str) -> str:
    """Returns the digest under which a secret key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse_entity(kind: str, name: str, value: Mapping[str, Any]) -> Any:
    """Makes the data class of a checked entry."""
    fields = dict(value)
    if kind == KIND_SERVICES:
        fields["upstreams"] = tuple(
            ServiceUpstream(**upstream) for upstream in fields["upstreams"]
        )
    for key, item in fields.items():
        if isinstance(item, list):
            fields[key] = tuple(item)
    cls = Customer if kind == KIND_CUSTOMERS else _SMALL_KINDS[kind]
    return cls(name=name, **fields)


class Configuration:
    """An immutable snapshot of all entries under one release number.

    Customers, of which there may be tens of thousands, stay in compact JSON
    and are parsed when they are asked for.
    """

    def __init__(
        self,
        number: int,
        head_digest: str,
        raw: Mapping[str, Mapping[str, bytes]],
        keys: Mapping[bytes, str] | None = None,
    ):
        self._number = number
        self._digest = head_digest
        self._raw = raw
        self._parsed: dict[str, Customer] = {}
        self._small = {
            kind: {
                name: parse_entity(kind, name, json.loads(text))
                for name, text in raw.get(kind, {}).items()
            }
            for kind in _SMALL_KINDS
        }
        if keys is None:
            keys = dict(_all_keys(raw.get(KIND_CUSTOMERS, {})))
        self._keys = keys

    @property
    def number(self) -> int:
        """The release number."""
        return self._number

    @property
    def digest(self) -> str:
        """The digest of the chain of notes up to this one."""
        return self._digest

    @property
    def classes(self) -> Mapping[str, RequestClass]:
        """Request classes by name."""
        return self._small[KIND_CLASSES]

    @property
    def models(self) -> Mapping[str, Model]:
        """Models by name."""
        return self._small[KIND_MODELS]

    @property
    def replicas(self) -> Mapping[str, Replica]:
        """Engine replicas by name."""
        return self._small[KIND_REPLICAS]

    @property
    def services(self) -> Mapping[str, Service]:
        """Plain services by name."""
        return self._small[KIND_SERVICES]

    @property
    def stores(self) -> Mapping[str, Store]:
        """Stores of kept KV cache by name."""
        return self._small[KIND_STORES]

    @property
    def customer_count(self) -> int:
        """How many customers there are."""
        return len(self._raw.get(KIND_CUSTOMERS, {}))

    def customer(self, name: str) -> Customer | None:
        """Returns a customer by name."""
        found = self._parsed.get(name)
        if found is not None:
            return found
        text = self._raw.get(KIND_CUSTOMERS, {}).get(name)
        if text is None:
            return None
        found = parse_entity(KIND_CUSTOMERS, name, json.loads(text))
        if len(self._parsed) >= PARSED_CUSTOMERS_MAX:
            self._parsed.clear()
        self._parsed[name] = found
        return found

    def customer_of_key(self, key: str) -> Customer | None:
        """Returns the customer who holds a secret key."""
        name = self._keys.get(bytes.fromhex(key_digest(key))[:16])
        if name is None:
            return None
        customer = self.customer(name)
        if customer is None or key_digest(key) not in customer.key_digests:
            return None
        return customer

    def owner_of_key_digest(self, digest_of_key: str) -> str:
        """Returns whose key has a digest; empty when nobody's."""
        return self._keys.get(bytes.fromhex(digest_of_key)[:16], "")

    def entries_json(self, kind: str) -> Mapping[str, bytes]:
        """Returns the canonical JSON of all entries of a kind."""
        return self._raw.get(kind, {})

    def replace(
        self,
        number: int,
        head_digest: str,
        added: Mapping[str, Mapping[str, Any]],
        withdrawn: Mapping[str, list[str]],
    ) -> "Configuration":
        """Returns the next snapshot; `added` also holds the changed."""
        raw = {kind: self._raw.get(kind, {}) for kind in KINDS}
        keys = self._keys
        for kind in KINDS:
            put = added.get(kind, {})
            gone = withdrawn.get(kind, [])
            if not put and not gone:
                continue
            old = raw[kind]
            new = dict(old)
            new.update(
                {name: canonical_json(item) for name, item in put.items()}
            )
            for name in gone:
                new.pop(name, None)
            raw[kind] = new
            if kind == KIND_CUSTOMERS:
                keys = _replace_keys(keys, old, new, [*put, *gone])
        return Configuration(number, head_digest, raw, keys)


def _keys_of(name: str, text: bytes) -> Iterator[tuple[bytes, str]]:
    for item in json.loads(text).get("key_digests", ()):
        yield bytes.fromhex(item)[:16], name


def _all_keys(customers: Mapping[str, bytes]) -> Iterator[tuple[bytes, str]]:
    for name, text in customers.items():
        yield from _keys_of(name, text)


def _replace_keys(
    keys: Mapping[bytes, str],
    old: Mapping[str, bytes],
    new: Mapping[str, bytes],
    names: list[str],
) -> Mapping[bytes, str]:
    result = dict(keys)
    for name in names:
        if name in old:
            for key, _ in _keys_of(name, old[name]):
                result.pop(key, None)
    for name in names:
        if name in new:
            result.update(_keys_of(name, new[name]))
    return result


def empty_configuration() -> Configuration:
    """Returns the configuration before the first release."""
    return Configuration(0, EMPTY_DIGEST, {})
