import asyncio
import random
import unittest

import result

from bergamotmill import core
from bergamotmill.control import notes
from bergamotmill.control import pages
from bergamotmill.control import release_store
from bergamotmill.standin import key_value as standin
from bergamotmill.storage import key_value
from bergamotmill.storage.gateway import coordinator as gateway
from bergamotmill.util import ids
from tests import virtual

ADDRESS = "10.0.3.1:80"


def draft(added=None, changed=None, withdrawn=None):
    value = {
        "title": "t",
        "added": added or {},
        "changed": changed or {},
        "withdrawn": withdrawn or {},
    }
    return notes.parse_draft(value, "note").unwrap()


def base_entries():
    return {
        "classes": {"review": {}},
        "models": {"m": {"version": "v1"}},
        "replicas": {
            "a": {"address": "1.1.1.1:1", "data_centre": "d", "models": ["m"]}
        },
        "customers": {"one": {"default_class": "review"}},
    }


def apply_draft(configuration, note_draft, number=1):
    note = notes.Note(
        number, configuration.digest, "me", 0.0, f"op{number}", note_draft
    )
    return notes.apply(configuration, note).unwrap()


class NotesTest(unittest.TestCase):
    def setUp(self):
        self.base = apply_draft(
            core.empty_configuration(), draft(added=base_entries())
        )

    def finding_places(self, note_draft):
        findings = notes.check(self.base, note_draft, "note")
        return [finding.place for finding in findings]

    def test_all_schema_findings_are_reported_together(self):
        findings = notes.parse_draft(
            {
                "titel": "x",
                "added": {"models": {"m": {"version": 1, "mim_ready": 2}}},
            },
            "note",
        ).err()
        text = " | ".join(map(str, findings))
        for expected in ("titel", "'title'", "version", "'min_ready'"):
            self.assertIn(expected, text)

    def test_unknown_and_duplicate_names_are_found(self):
        places = self.finding_places(
            draft(
                changed={"models": {"nope": {"version": "v2"}}},
                withdrawn={"customers": ["nobody"]},
                added={"classes": {"review": {}}},
            )
        )
        self.assertEqual(len(places), 3)

    def test_changes_that_strand_traffic_are_found(self):
        for bad in (
            draft(withdrawn={"classes": ["review"]}),
            draft(withdrawn={"replicas": ["a"]}),
            draft(withdrawn={"models": ["m"]}),
            draft(changed={"models": {"m": {"min_ready": 2}}}),
        ):
            self.assertTrue(self.finding_places(bad), bad)

    def test_unknown_driver_is_found(self):
        changed = draft(changed={"replicas": {"a": {"driver": "nope"}}})
        places = self.finding_places(changed)
        self.assertEqual(places, ["note: replicas.a.driver"])

    def test_key_shared_by_two_customers_is_found(self):
        key = core.key_digest("k")
        both = {
            "two": {"key_digests": [key]},
            "three": {"key_digests": [key]},
        }
        self.assertTrue(self.finding_places(draft(added={"customers": both})))

    def test_new_version_keeps_the_old_one_serving(self):
        after = apply_draft(
            self.base, draft(changed={"models": {"m": {"version": "v2"}}}), 2
        )
        model = after.models["m"]
        self.assertEqual((model.version, model.served_version), ("v2", "v1"))

    def test_withdrawn_key_has_no_owner(self):
        key = core.key_digest("k")
        added = draft(added={"customers": {"two": {"key_digests": [key]}}})
        with_key = apply_draft(self.base, added, 2)
        self.assertEqual(with_key.customer_of_key("k").name, "two")
        without_key = apply_draft(
            with_key, draft(withdrawn={"customers": ["two"]}), 3
        )
        self.assertIsNone(without_key.customer_of_key("k"))

    def test_pages_contain_the_whole_configuration(self):
        many = {f"c{index}": {"share": 2.0} for index in range(500)}
        full = apply_draft(self.base, draft(added={"customers": many}), 2)
        built = pages.build(full)
        raw = pages.decode(list(built.values()))
        for kind in core.KINDS:
            self.assertEqual(raw[kind], dict(full.entries_json(kind)))

    def test_41000_customers_fit_the_largest_value(self):
        many = {
            f"customer-{index}": {
                "key_digests": [core.key_digest(str(index))],
                "default_class": "review",
            }
            for index in range(41_000)
        }
        full = apply_draft(self.base, draft(added={"customers": many}), 2)
        largest = max(len(page) for page in pages.build(full).values())
        self.assertLess(largest, key_value.MAX_VALUE_BYTES // 2)


class ReleaseStoreTest(virtual.VirtualCase):
    """Publishes over the gateway's protocol, with outages."""

    def run_store(self, scenario):
        async def main():
            self.standin = standin.KeyValueStandIn(ADDRESS)
            await self.standin.start()
            self.store = gateway.GatewayStore((ADDRESS,))
            try:
                await scenario()
            finally:
                await self.store.close()
                await self.standin.close()

        self.run_virtual(main())

    def releases(self, seed=1):
        return release_store.ReleaseStore(
            self.store,
            "/b",
            lambda: 1000.0,
            ids.IdSource(random.Random(seed)),
        )

    async def publish(self, configuration, note_draft, author="me", seed=1):
        return await self.releases(seed).publish(
            configuration, note_draft, author, "note"
        )

    def test_of_two_concurrent_operators_the_loser_learns_who_won(self):
        async def scenario():
            empty = core.empty_configuration()
            entries = draft(added=base_entries())
            outcomes = await asyncio.gather(
                self.publish(empty, entries, "ann", 1),
                self.publish(empty, entries, "bob", 2),
            )
            accepted = [item for item in outcomes if item.is_ok()]
            refused = [item for item in outcomes if item.is_err()]
            self.assertEqual((len(accepted), len(refused)), (1, 1))
            conflict = refused[0].err()
            self.assertEqual(conflict.note.author, accepted[0].ok().author)

        self.run_store(scenario)

    def test_lost_reply_to_any_write_is_resolved(self):
        for lost_after in range(6):
            with self.subTest(lost_after=lost_after):

                async def scenario(lost_after=lost_after):
                    calls = 0
                    put = self.store.put

                    async def put_and_count(*arguments, **keywords):
                        nonlocal calls
                        if calls == lost_after:
                            self.standin.lose_answers = 1
                        calls += 1
                        return await put(*arguments, **keywords)

                    self.store.put = put_and_count
                    empty = core.empty_configuration()
                    published = await self.publish(
                        empty, draft(added=base_entries())
                    )
                    latest = (await self.releases().latest()).ok()
                    if published.is_ok():
                        self.assertEqual(latest.digest, published.ok().digest())
                    else:
                        self.assertEqual(latest.number, 0)

                self.run_store(scenario)

    def test_own_release_followed_by_another_counts_as_accepted(self):
        async def scenario():
            empty = core.empty_configuration()
            put = self.store.put
            other = self.releases(9)

            async def put_and_lose_reply(key, value, expected, lease=0):
                written = await put(key, value, expected, lease)
                if key.endswith("/head"):
                    self.store.put = put
                    read = (await other.latest()).ok()
                    first = (await other.load(read)).ok()
                    follow = draft(added={"customers": {"late": {}}})
                    follow_up = await other.publish(
                        first, follow, "bob", "note"
                    )
                    assert follow_up.is_ok()
                    unavailable = key_value.Unavailable("lost")
                    return result.Err(unavailable)
                return written

            self.store.put = put_and_lose_reply
            published = await self.publish(empty, draft(added=base_entries()))
            self.assertTrue(published.is_ok())
            self.assertEqual((await self.releases().latest()).ok().number, 2)

        self.run_store(scenario)

    def test_store_that_was_rolled_back_is_not_published_to(self):
        async def scenario():
            configuration = apply_draft(
                core.empty_configuration(), draft(added=base_entries())
            )
            published = await self.publish(configuration, draft())
            self.assertIn("release 0", published.err()[0].found)

        self.run_store(scenario)

    def test_whole_configuration_and_chain_can_be_read_back(self):
        async def scenario():
            configuration = core.empty_configuration()
            releases = self.releases()
            for number in range(1, 25):
                entries = {"customers": {f"c{number}": {}}}
                note = (
                    await releases.publish(
                        configuration, draft(added=entries), "me", "note"
                    )
                ).unwrap()
                configuration = notes.apply(configuration, note).unwrap()
            latest = (await releases.latest()).ok()
            whole = (await releases.load(latest)).ok()
            self.assertEqual(whole.customer_count, 24)
            first = core.empty_configuration()
            for note in (await releases.notes_after(first, latest)).ok():
                first = notes.apply(first, note).unwrap()
            self.assertEqual(first.digest, configuration.digest)
            log = (await releases.log(5)).ok()
            self.assertEqual([n.number for n in log], [24, 23, 22, 21, 20])

        self.run_store(scenario)


if __name__ == "__main__":
    unittest.main()
