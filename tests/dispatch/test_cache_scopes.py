"""Which requests share KV cache while customers become isolated and not."""

import asyncio
import json
import random
import unittest

from bergamotmill.dispatch import cache_scopes
from bergamotmill.dispatch import config
from bergamotmill.platform import const
from bergamotmill.platform import documents
from bergamotmill.standin.platform import fleet
from tests import platform_case

NAMES = ("a", "b", "c", "d")


def catalog(version, isolated, names=NAMES):
    customers = {
        f"key-{name}": config.Customer(name, isolated=name in isolated)
        for name in names
    }
    return config.Catalog(version, customers=customers)


def scopes_after(*isolated_sets):
    scopes = cache_scopes.CacheScopes()
    for version, isolated in enumerate(isolated_sets, 1):
        scopes.apply(catalog(version, isolated))
    return scopes


def shared(scopes):
    return scopes.name(None, 1)


class CacheScopesTest(unittest.TestCase):
    def test_isolation_begins_a_new_shared_scope(self):
        before, after = scopes_after(()), scopes_after((), ("a",))
        self.assertNotEqual(shared(before), shared(after))
        self.assertEqual(shared(after), shared(scopes_after(("a",))))

    # Cached prompts must outlive all changes that isolate nobody else.
    def test_other_changes_keep_the_shared_scope(self):
        scopes = scopes_after(("a", "b"))
        kept = shared(scopes)
        for version, isolated in enumerate((("a", "b"), ("a",), (), ("b",)), 5):
            scopes.apply(catalog(version, isolated, ("a", "b", "c", "e")))
            self.assertEqual(shared(scopes), kept)
        self.assertEqual(
            scopes.name(config.Customer("a"), 1),
            scopes.name(config.Customer("a", isolated=True), 1),
        )

    def test_routers_agree_after_an_isolation(self):
        histories = ((("b",), ()), ((),), (("a", "c"), ("c",)))
        names = {
            shared(scopes_after(*history, ("a", "b", "d")))
            for history in histories
        }
        self.assertEqual(len(names), 1)

    def test_customer_that_waited_uses_what_is_in_force_now(self):
        scopes = scopes_after((), ("a",))
        # As of the configuration with which its request was admitted.
        self.assertNotEqual(
            scopes.name(config.Customer("a"), 1), shared(scopes)
        )
        scopes = scopes_after(("a",), ("b",))
        self.assertNotEqual(
            scopes.name(config.Customer("a", isolated=True), 1), shared(scopes)
        )

    def test_scope_of_a_customer_is_not_a_shared_one(self):
        scopes = scopes_after(("a",))
        digest = shared(scopes).partition("/")[2]
        for name in (digest, f"/{digest}", ""):
            customer = config.Customer(name, isolated=True)
            self.assertNotEqual(scopes.name(customer, 1), shared(scopes))

    def test_scope_of_peers_is_adopted(self):
        peer, fresh = scopes_after(("a",), ()), cache_scopes.CacheScopes()
        fresh.apply(catalog(2, ()))
        self.assertNotEqual(shared(peer), shared(fresh))
        fresh.merge("peer", 1, peer.formerly_isolated)
        self.assertNotEqual(shared(peer), shared(fresh))
        fresh.merge("peer", peer.version, peer.formerly_isolated)
        self.assertEqual(shared(peer), shared(fresh))
        self.assertEqual(fresh.formerly_isolated, {"a"})

    # WALL: whatever routers miss, forget or tell each other, a request never
    # meets the cache of a customer from which the newest configuration
    # separates it.
    def test_no_history_crosses_a_wall(self):
        for seed in range(60):
            self._play(random.Random(seed))

    def _play(self, rng):
        routers = [cache_scopes.CacheScopes() for _ in range(4)]
        makers = {}
        isolated = ()
        for version in range(1, 40):
            if rng.random() < 0.5:
                isolated = tuple(n for n in NAMES if rng.random() < 0.3)
            for index in range(len(routers)):
                if rng.random() < 0.15:
                    routers[index] = cache_scopes.CacheScopes()
                routers[index].apply(catalog(version, isolated))
            source, target = rng.sample(routers, 2)
            if rng.random() < 0.5:
                target.merge(
                    "peer", source.version, sorted(source.formerly_isolated)
                )
            for _ in range(12):
                name = rng.choice(NAMES)
                customer = config.Customer(name, isolated=name in isolated)
                scope = rng.choice(routers).name(customer, 1)
                for maker in makers.setdefault(scope, {name}) - {name}:
                    self.assertFalse({maker, name} & set(isolated))
                makers[scope].add(name)


class DecodedTest(unittest.TestCase):
    # WALL: a customer that has no key now may have made KV cache before.
    def test_isolated_customer_without_a_key_counts(self):
        value = fleet.configuration(
            tenants=[
                {"name": "firm", "apiKeys": [], "isolated": True},
                {"name": "other", "apiKeys": ["k"]},
            ]
        )
        decoded = documents.parse_catalog(json.loads(json.dumps(value)))
        self.assertEqual(decoded.isolated_customers, {"firm"})


class FleetTest(platform_case.PlatformCase):
    async def publish(self, version, *isolated, **changes):
        tenants = [
            {"name": name, "apiKeys": [key], "isolated": name in isolated}
            for key, name in fleet.CUSTOMER_BY_KEY.items()
        ]
        value = fleet.configuration(version, tenants=tenants, **changes)
        await self.fleet.store.write(const.KEY_CONFIGURATION, value)
        await asyncio.sleep(1.0)

    async def scopes_of(self, customer):
        """Returns the scopes of a customer's requests at all routers."""
        before = self.fleet.runs()
        for router in sorted(self.fleet.routers):
            answer = await self.fleet.call(
                "review", router=router, key=f"key-{customer}"
            )
            self.assert_complete_stream(answer)
        return {run.scope for run in self.fleet.runs() if run not in before}

    # WALL, review/8: a customer became isolated, and others went on using the
    # KV cache that it had made before.
    def test_cache_of_a_customer_that_becomes_isolated_is_left(self):
        async def scenario():
            await self.publish(2)
            made = await self.scopes_of("one")
            await self.publish(3, "one")
            used = await self.scopes_of("two")
            self.assertEqual(len(used), 1)
            self.assertFalse(used & made)
            self.assertFalse(await self.scopes_of("one") & used)

        self.run_fleet(scenario)

    def test_cache_outlives_changes_that_isolate_nobody_else(self):
        async def scenario():
            await self.publish(2, "one", "alone")
            kept = await self.scopes_of("two")
            await self.publish(3, "one", "alone", limits={"bodyBytes": 9999})
            self.assertEqual(await self.scopes_of("two"), kept)
            await self.publish(4, "alone")
            self.assertEqual(await self.scopes_of("two"), kept)
            # A router that did not see who was isolated before.
            await self.fleet.crash_router(1)
            await self.fleet.start_router(1)
            await asyncio.sleep(3.0)
            self.assertEqual(await self.scopes_of("two"), kept)

        self.run_fleet(scenario)

    # WALL: a call that waits for an engine while a customer becomes isolated.
    def test_waiting_call_uses_the_scope_in_force(self):
        async def scenario():
            await self.publish(2)
            made = await self.scopes_of("one")
            for name in ("e0", "e1", "e2"):
                faults = self.fleet.replicas[name].faults
                faults.refuse, faults.retry_after_s = True, 0.7
            await self.call_concurrently(3, "review")
            waiting = [
                asyncio.create_task(
                    self.fleet.call("review", key=key, request_id=key)
                )
                for key in ("key-one", "key-two")
            ]
            await asyncio.sleep(0.1)
            for name in ("e0", "e1", "e2"):
                self.fleet.replicas[name].faults.refuse = False
            await self.publish(3, "one")
            for answer in await asyncio.gather(*waiting):
                self.assert_complete_stream(answer)
            (first,) = self.fleet.runs("key-one")
            (second,) = self.fleet.runs("key-two")
            self.assertNotIn(second.scope, made)
            self.assertNotEqual(first.scope, second.scope)

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
