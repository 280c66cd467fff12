"""Entries of the store that another writer left, and that are not as agreed."""

import asyncio
import json
import unittest

from bergamotmill.platform import const
from bergamotmill.standin.platform import fleet
from tests import platform_case

DEPTH = 200_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
NESTED_OBJECTS = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
HUGE = 10**400

PROPER = {
    "service": "registry",
    "address": "10.0.2.99:80",
    "zone": "dc-0",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "models": [],
    "born": 7,
    "sequence": 1,
}
ODD_FIELDS = {
    "port beyond the range": {"address": "10.0.2.99:70000"},
    "port 0": {"address": "10.0.2.99:0"},
    "port of 30 digits": {"address": "10.0.2.99:" + "9" * 30},
    "port of 5,000 digits": {"address": "10.0.2.99:" + "9" * 5000},
    "port of another script": {"address": "10.0.2.99:\u00b2"},
    "NUL in the host": {"address": "10.0.2\0.99:80"},
    "half a surrogate pair in the host": {"address": "10.\ud800.2.99:80"},
    "newline in the host": {"address": "10.0.2.99\r\nx: y:80"},
    "host of 5,000 letters": {"address": "a" * 5000 + ":80"},
    "slots beyond all numbers": {"slots": HUGE},
    "negative slots": {"slots": -5},
    "born beyond 64 bits": {"born": 2**70},
    "negative born": {"born": -1},
    "sequence beyond 64 bits": {"sequence": 2**70},
    "delay beyond all numbers": {"coldLeftMs": HUGE},
    "infinite delay": {"coldLeftMs": float("inf")},
    "delay that is no number": {"coldLeftMs": float("nan")},
    "version beyond 64 bits": {
        "models": [{"name": "drafter", "version": HUGE}]
    },
    "negative version": {"models": [{"name": "drafter", "version": -1}]},
    "models of another kind": {"models": 5},
    "model with half a surrogate pair": {
        "models": [{"name": "\udc00", "version": 1}]
    },
    "service with half a surrogate pair": {"service": "\ud800"},
    "zone with half a surrogate pair": {"zone": "\udfff"},
    "unknown state": {"state": "\ud800"},
}
ENTRY = {
    "model": "drafter",
    "parts": ["sys"],
    "customer": "",
    "since_ms": 1,
    "crashes": [["e0", 1]],
    "trials": 0,
    "next_trial_at": 1.0,
}
ODD_QUARANTINE_FIELDS = {
    "since": {"since_ms": 2**70},
    "trials": {"trials": HUGE},
    "next trial": {"next_trial_at": float("inf")},
    "crash": {"crashes": [["e0", 2**80]]},
    "negative": {"since_ms": -1},
    "parts": {"parts": ["\ud800"]},
    "model": {"model": "\ud800"},
}
ODD_TEXTS = {
    "nested lists": NESTED,
    "nested objects": NESTED_OBJECTS,
    "nothing": b"",
    "no text": b"\xff\xfe",
    "a number": b"1" * 6000,
    "null": b"null",
}
# Keys at which nested texts are written, besides those of replicas.
KEYS = (
    const.KEY_CONFIGURATION,
    const.PREFIX_WEIGHTS + fleet.MODEL,
    const.PREFIX_WEIGHTS + "other",
    const.PREFIX_ROUTERS + "vm-9",
    const.PREFIX_QUARANTINE + "x",
    const.KEY_ORDER_LEASE,
    const.KEY_HANDOVER,
)


class OddEntryTest(platform_case.PlatformCase):
    async def write_text(self, key, text):
        await self.fleet.store.memory.put(key, text, None)

    async def assert_served(self, what):
        """Asserts that callers are served and that changes are followed."""
        await asyncio.sleep(0.5)
        for route in ("filing", "lookup", "check"):
            for answer in await self.call_concurrently(6, route):
                self.assertEqual(answer.status, 200, (what, route))
                self.assertTrue(answer.whole, (what, route))

    async def assert_changes_are_followed(self, version, what):
        await self.fleet.store.write(
            const.KEY_CONFIGURATION, fleet.configuration(version)
        )
        await asyncio.sleep(1.0)
        for router in self.fleet.routers.values():
            self.assertEqual(router.fleet.catalog.version, version, what)

    def restarts(self):
        return sum(r._supervisor.restarts for r in self.fleet.routers.values())

    def test_odd_fields_of_a_replica_harm_nothing(self):
        async def scenario():
            for version, (what, fields) in enumerate(ODD_FIELDS.items(), 2):
                text = json.dumps({**PROPER, **fields}).encode()
                key = const.PREFIX_REPLICAS + "odd"
                with self.subTest(what):
                    await self.write_text(key, text)
                    await self.assert_served(what)
                    await self.assert_changes_are_followed(version, what)
            self.assertEqual(self.restarts(), 0)

        self.run_fleet(scenario)

    def test_odd_quarantine_entries_harm_nothing(self):
        async def scenario():
            for what, fields in ODD_QUARANTINE_FIELDS.items():
                with self.subTest(what):
                    text = json.dumps({**ENTRY, **fields}).encode()
                    key = const.PREFIX_QUARANTINE + what.replace(" ", "-")
                    await self.write_text(key, text)
                    await self.assert_served(what)
            await self.assert_changes_are_followed(2, "quarantine")
            self.assertEqual(self.restarts(), 0)

        self.run_fleet(scenario)

    def test_odd_texts_harm_nothing(self):
        async def scenario():
            for version, (what, text) in enumerate(ODD_TEXTS.items(), 2):
                for key in (const.PREFIX_REPLICAS + "odd", *KEYS[1:]):
                    with self.subTest(what, key=key):
                        await self.write_text(key, text)
                        await self.assert_served((what, key))
                await self.assert_changes_are_followed(version, what)
            self.assertEqual(self.restarts(), 0)

        self.run_fleet(scenario)

    def test_router_starts_among_odd_entries(self):
        async def scenario():
            for index, text in enumerate(ODD_TEXTS.values()):
                name = const.PREFIX_REPLICAS + f"odd-{index}"
                await self.write_text(name, text)
            for index, fields in enumerate(ODD_FIELDS.values()):
                text = json.dumps({**PROPER, **fields}).encode()
                name = const.PREFIX_REPLICAS + f"field-{index}"
                await self.write_text(name, text)
            for key in KEYS[1:]:
                await self.write_text(key, NESTED)
            await self.fleet.crash_router(0)
            await self.fleet.start_router(0)
            await asyncio.sleep(2.0)
            await self.assert_served("start")
            await self.assert_changes_are_followed(2, "start")
            self.assertEqual(self.restarts(), 0)

        self.run_fleet(scenario)

    def test_nested_configuration_leaves_the_known_one_in_force(self):
        async def scenario():
            for text in (NESTED, NESTED_OBJECTS, b'{"version":' + NESTED):
                await self.write_text(const.KEY_CONFIGURATION, text)
                await self.assert_served("configuration")
            await self.assert_changes_are_followed(2, "configuration")
            self.assertEqual(self.restarts(), 0)

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
