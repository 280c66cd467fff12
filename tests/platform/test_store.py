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

    def test_a_write_holds_only_at_its_revision(self):
        async def scenario():
            first = (await self.client.put("a", b"1", 0)).unwrap()
            again = await self.client.put("a", b"2", 0)
            self.assertIsInstance(again.err(), key_value.Conflict)
            self.assertEqual(again.err().current.value, b"1")
            await self.client.put("a", b"2", first)
            found = (await self.client.get("a")).unwrap()
            self.assertEqual(found.value, b"2")
            self.assertIsNone((await self.client.get("b")).unwrap())

        self.run_store(scenario)

    def test_a_lost_answer_is_settled_by_reading_back(self):
        async def scenario():
            self.standin.lost_share = 1.0
            lost = await self.client.put("a", b"1", 0)
            self.assertIsInstance(lost.err(), key_value.Unavailable)
            settled = await key_value.put_with_read_back(
                self.client, "b", b"mine", None
            )
            self.assertTrue(settled.is_ok())

        self.run_store(scenario)

    def test_changes_go_on_from_a_revision(self):
        async def scenario():
            await self.standin.write("a", b"1")
            start = (await self.client.snapshot("")).unwrap()
            self.assertEqual([e.key for e in start.entries], ["a"])
            await self.standin.write("b", b"2")
            await self.standin.remove("a")
            found = (
                await self.client.changes("", start.revision, 1.0)
            ).unwrap()
            seen = [(e.key, e.entry is None) for e in found.events]
            self.assertEqual(seen, [("b", False), ("a", True)])
            none = (await self.client.changes("", found.revision, 0.2)).unwrap()
            self.assertEqual(none.events, ())

        self.run_store(scenario)

    def test_a_dropped_history_says_so(self):
        async def scenario():
            await self.standin.write("a", b"1")
            await self.standin.write("a", b"2")
            self.standin.memory.compact()
            found = await self.client.changes("", 1, 0.2)
            self.assertIsInstance(found.err(), key_value.Compacted)

        self.run_store(scenario)

    def test_keys_go_with_their_lease(self):
        async def scenario():
            lease = (await self.client.grant(3.0)).unwrap()
            await self.client.put("a", b"1", 0, lease)
            self.assertTrue((await self.client.renew(lease)).unwrap())
            await self.client.revoke(lease)
            self.assertIsNone((await self.client.get("a")).unwrap())
            self.assertFalse((await self.client.renew(lease)).unwrap())

        self.run_store(scenario)

    def test_no_mode_of_the_store_raises(self):
        async def scenario():
            for mode in (
                standin.Mode.BUSY,
                standin.Mode.RESET,
                standin.Mode.SILENT,
            ):
                self.standin.mode = mode
                found = await self.client.get("a")
                self.assertIsInstance(found.err(), key_value.Unavailable)

        self.run_store(scenario)


if __name__ == "__main__":
    unittest.main()
