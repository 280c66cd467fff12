"""Names the scopes within which requests share KV cache.

Engines share cached prompts between requests of one scope only. An isolated
customer has a scope of its own, on each version of the weights. All others
share one, which must not contain what a customer made before it became
isolated, and engines keep that until it is evicted.

So the shared scope is named for a set of customers that have never used it:
those kept apart. Any set that contains all isolated customers will do, whatever
routers knew of earlier configurations, as each router keeps every customer of
the set out of the scope that is named for it. A configuration that isolates a
customer outside the set begins a new set, and with it a new scope. All other
configurations leave the scope as it is: a customer that is no longer isolated
keeps its own scope until then.
"""

from collections.abc import Iterable
import hashlib
import json

from bergamotmill.dispatch import config
from bergamotmill.helpers import decisions
from bergamotmill.proto import peer_pb2

# Length of the digest of the customers kept apart, in bytes.
DIGEST_BYTES = 12
# Customers named in a log line at most.
MAX_LOGGED_CUSTOMERS = 8


class CacheScopes:
    """The scopes of the configuration in force."""

    def __init__(self) -> None:
        self._version = 0
        self._isolated: frozenset[str] = frozenset()
        self._apart: frozenset[str] = frozenset()
        self._shared = ""
        self._has_merged = False

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first one."""
        return self._version

    @property
    def formerly_isolated(self) -> frozenset[str]:
        """Customers that are kept apart although they are not isolated."""
        return self._apart - self._isolated

    @property
    def may_differ(self) -> bool:
        """Whether peers may keep customers apart that this router does not."""
        return self._version > 0 and not self._has_merged

    def apply(self, catalog: config.Catalog) -> None:
        """Applies a configuration."""
        self._version = catalog.version
        self._isolated = catalog.isolated_customers
        if not self._isolated <= self._apart:
            self._keep_apart(self._isolated, "configuration")

    def add_to_reply(self, reply: peer_pb2.DocumentsReply) -> None:
        """Adds the customers that are kept apart to a reply to a peer."""
        reply.configuration = self._version
        reply.formerly_isolated.extend(sorted(self.formerly_isolated))

    def merge_reply(self, source: str, reply: peer_pb2.DocumentsReply) -> None:
        """Keeps the customers apart that a peer does."""
        self.merge(source, reply.configuration, reply.formerly_isolated)

    def merge(self, source: str, version: int, names: Iterable[str]) -> None:
        """Keeps the customers apart that a peer does, to share its scope.

        A router that has just started does not know which customers were
        isolated before.

        Args:
            source: name of the peer.
            version: version of the configuration at the peer.
            names: customers that it keeps apart although they are not isolated.
        """
        if version != self._version:
            return
        self._has_merged = True
        apart = self._isolated.union(names)
        if apart > self._apart:
            self._keep_apart(apart, source)

    def _keep_apart(self, names: frozenset[str], source: str) -> None:
        added = sorted(names - self._apart)
        self._apart = names
        text = json.dumps(sorted(names)).encode()
        digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
        # No scope of a single customer begins like this.
        self._shared = f"/{digest}" if names else ""
        decisions.record(
            "cache_scope",
            scope=digest,
            apart=len(names),
            added=added[:MAX_LOGGED_CUSTOMERS],
            configuration=self._version,
            source=source,
        )

    def name(
        self, customer: config.Customer | None, weights_version: int
    ) -> str:
        """Returns the scope of a customer's requests.

        Args:
            customer: the customer as of any configuration; None for anonymous
                requests.
            weights_version: version of the weights.
        """
        scope = f"w{weights_version}"
        if customer is None:
            return scope + self._shared
        if customer.isolated or customer.name in self._apart:
            return f"{scope}.{customer.name}"
        return scope + self._shared
