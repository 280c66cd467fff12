"""The store client against the stand-in of the platform's store."""

import random
import unittest

from bergamotmill.platform import store
from bergamotmill.standin.platform import store as standin
from bergamotmill.storage import key_value
from tests import virtual

ADDRESS = "10.0.3.1:80"


class StoreTest(virtual.VirtualCase):
    def run_store(self, scenario):
        async def main():
            self.standin = standin.StoreStandIn(ADDRESS, random.Random(1))
            await self.standin.start()
            self.client = store.PlatformStore(ADDRESS)
            try:
                await scenario()
            finally:
                await self.client.close()
                await self.standin.close()

        self.run_virtual(main())

    def test_write_requires_expected_revision(self):
        async def scenario():
            revision = (await self.client.put("a", b"1", 0)).unwrap()
            conflict = await self.client.put("a", b"2", 0)
            self.assertIsInstance(conflict.err(), key_value.Conflict)
            self.assertEqual(conflict.err().current.value, b"1")
            await self.client.put("a", b"2", revision)
            entry = (await self.client.get("a")).unwrap()
            self.assertEqual(entry.value, b"2")
            self.assertIsNone((await self.client.get("b")).unwrap())

        self.run_store(scenario)

    def test_write_with_lost_answer_is_read_back(self):
        async def scenario():
            self.standin.lost_answer_fraction = 1.0
            unconfirmed = await self.client.put("a", b"1", 0)
            self.assertIsInstance(unconfirmed.err(), key_value.Unavailable)
            confirmed = await key_value.put_with_read_back(
                self.client, "b", b"mine", None
            )
            self.assertTrue(confirmed.is_ok())

        self.run_store(scenario)

    def test_changes_after_a_revision(self):
        async def scenario():
            await self.standin.write("a", b"1")
            snapshot = (await self.client.snapshot("")).unwrap()
            self.assertEqual([e.key for e in snapshot.entries], ["a"])
            await self.standin.write("b", b"2")
            await self.standin.remove("a")
            changes = (
                await self.client.changes("", snapshot.revision, 1.0)
            ).unwrap()
            seen = [(e.key, e.entry is None) for e in changes.events]
            self.assertEqual(seen, [("b", False), ("a", True)])
            no_changes = (
                await self.client.changes("", changes.revision, 0.2)
            ).unwrap()
            self.assertEqual(no_changes.events, ())

        self.run_store(scenario)

    def test_changes_after_compacted_revision_are_refused(self):
        async def scenario():
            await self.standin.write("a", b"1")
            await self.standin.write("a", b"2")
            self.standin.memory.compact()
            response = await self.client.changes("", 1, 0.2)
            self.assertIsInstance(response.err(), key_value.Compacted)

        self.run_store(scenario)

    def test_keys_are_deleted_with_their_lease(self):
        async def scenario():
            lease = (await self.client.grant(3.0)).unwrap()
            await self.client.put("a", b"1", 0, lease)
            self.assertTrue((await self.client.renew(lease)).unwrap())
            await self.client.revoke(lease)
            self.assertIsNone((await self.client.get("a")).unwrap())
            self.assertFalse((await self.client.renew(lease)).unwrap())

        self.run_store(scenario)

    def test_store_failures_are_reported_as_unavailable(self):
        async def scenario():
            for mode in (
                standin.Mode.BUSY,
                standin.Mode.RESET,
                standin.Mode.SILENT,
            ):
                self.standin.mode = mode
                response = await self.client.get("a")
                self.assertIsInstance(response.err(), key_value.Unavailable)

        self.run_store(scenario)


if __name__ == "__main__":
    unittest.main()
