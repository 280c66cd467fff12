"""Tests of a fleet in which only some routers read the store."""

import asyncio
import unittest
from unittest import mock

import result

from bergamotmill.dispatch import readers
from bergamotmill.helpers import http_errors
from bergamotmill.platform import const
from bergamotmill.proto import peer_pb2
from bergamotmill.standin.platform import fleet
from bergamotmill.standin.platform import store as store_standin
from bergamotmill.util import rendezvous
from tests import platform_case

ROUTERS = 16
LARGE_DATA_CENTRE = 26
# A change has to be in force within this time.
APPLY_S = 2.0


async def refuse(*arguments):
    """Fails a call to the store as a connection does that is reset."""
    del arguments
    await asyncio.sleep(0.002)
    raise http_errors.HttpError("reset")


class ReadersTest(platform_case.PlatformCase):
    def run_large_fleet(self, scenario):
        async def run_after_start():
            await asyncio.sleep(4.0)
            await scenario()

        self.run_fleet(run_after_start, routers=ROUTERS)

    def reader_indices(self):
        return [
            index
            for index, router in self.fleet.routers.items()
            if router.feed._store_readers.is_reader()
        ]

    def configuration_versions(self):
        return {r.fleet.catalog.version for r in self.fleet.routers.values()}

    async def publish_configuration(self, version):
        await self.fleet.store.write(
            const.KEY_CONFIGURATION, fleet.configuration(version)
        )

    def test_each_data_centre_has_two_readers(self):
        async def scenario():
            self.assertEqual(len(self.reader_indices()), 4)

        self.run_large_fleet(scenario)

    def test_change_reaches_routers_that_are_not_readers(self):
        async def scenario():
            await self.publish_configuration(2)
            await asyncio.sleep(0.2)
            self.assertEqual(self.configuration_versions(), {2})

        self.run_large_fleet(scenario)

    def test_only_readers_watch_the_store(self):
        async def scenario():
            await asyncio.sleep(16.0)
            before = self.fleet.store.calls[const.PATH_WATCH]
            for version in range(2, 12):
                await self.publish_configuration(version)
                await asyncio.sleep(0.1)
            watches = self.fleet.store.calls[const.PATH_WATCH] - before
            self.assertLessEqual(watches, 11 * 4)

        self.run_large_fleet(scenario)

    def test_second_reader_watches_only_while_the_first_is_silent(self):
        async def scenario():
            await asyncio.sleep(16.0)
            before = self.fleet.store.calls[const.PATH_WATCH]
            for version in range(2, 12):
                await self.publish_configuration(version)
                await asyncio.sleep(0.5)
            watches = self.fleet.store.calls[const.PATH_WATCH] - before
            self.assertLessEqual(watches, 11 * 2)

        self.run_large_fleet(scenario)

    def test_change_is_in_force_in_time_after_first_readers_lose_the_store(
        self,
    ):
        async def scenario():
            for index in self.reader_indices():
                readers = self.fleet.routers[index].feed._store_readers
                if readers.is_first_reader():
                    self.network.partition(
                        fleet.router_host(index), fleet.STORE_HOST
                    )
            await self.publish_configuration(2)
            await asyncio.sleep(2.0)
            self.assertEqual(self.configuration_versions(), {2})

        self.run_large_fleet(scenario)

    def test_change_is_in_force_in_time_after_idle_first_readers_lose_the_store(
        self,
    ):
        async def scenario():
            # By now, only the first readers have a call to the store open.
            await asyncio.sleep(20.0)
            version = 1
            for pause_s in (0.0, 0.1, 0.3, 0.5, 0.7):
                await asyncio.sleep(pause_s)
                for index in self.reader_indices():
                    readers = self.fleet.routers[index].feed._store_readers
                    if readers.is_first_reader():
                        self.network.partition(
                            fleet.router_host(index), fleet.STORE_HOST
                        )
                version += 1
                await self.publish_configuration(version)
                await asyncio.sleep(2.0)
                self.assertEqual(self.configuration_versions(), {version})
                self.network.heal()
                await asyncio.sleep(10.0)

        self.run_large_fleet(scenario)

    async def worst_delay_s(self, seconds):
        """Changes the configuration; returns the longest time to be in force.

        Counts every router, 2.5 times a second.
        """
        written_at = {}
        worst_s = 0.0
        version = 1
        for step in range(int(seconds / 0.02)):
            if step % 20 == 0:
                version += 1
                await self.publish_configuration(version)
                written_at[version] = self.now()
            await asyncio.sleep(0.02)
            oldest = min(self.configuration_versions())
            if oldest < version:
                delay_s = self.now() - written_at.get(oldest + 1, self.now())
                worst_s = max(worst_s, delay_s)
        return worst_s

    # CONFIG, issue 26: the store turned both readers of a data centre away.
    def test_change_is_in_force_in_time_after_both_readers_lose_the_store(
        self,
    ):
        async def scenario():
            for index in self.reader_indices():
                if index % 2 == 0:
                    self.network.partition(
                        fleet.STORE_HOST, fleet.router_host(index)
                    )
            self.assertLess(await self.worst_delay_s(12.0), APPLY_S)

        self.run_large_fleet(scenario)

    def test_change_is_in_force_in_time_after_a_third_loses_the_store(self):
        async def scenario():
            for index in range(ROUTERS):
                if index in self.reader_indices() or index % 5 == 0:
                    self.network.partition(
                        fleet.STORE_HOST, fleet.router_host(index)
                    )
            self.assertLess(await self.worst_delay_s(12.0), APPLY_S)

        self.run_large_fleet(scenario)

    def turn_away(self, indices, way):
        """Has the store serve some routers no longer."""
        for index in indices:
            if way == "silence":
                self.network.partition(
                    fleet.STORE_HOST, fleet.router_host(index)
                )
            else:
                self.fleet.routers[index]._store._send = refuse

    async def versions_in_force_s(self, indices, version):
        """Returns when some routers all have a version, from its ack on."""
        acked_at = self.now()
        while self.now() < acked_at + 8.0:
            routers = [self.fleet.routers[index] for index in indices]
            if all(r.fleet.catalog.version >= version for r in routers):
                break
            await asyncio.sleep(0.02)
        return self.now() - acked_at

    # CONFIG, issue 44: routers that the store served waited for readers that it
    # had turned away, one pair of readers after the other.
    def test_change_is_in_force_in_time_whichever_third_loses_the_store(self):
        async def scenario():
            self.network.heal()
            await asyncio.sleep(6.0)
            names = {f"vm-{index}" for index in self.fleet.routers}
            order = rendezvous.top(
                readers.RENDEZVOUS_KEY, names, self.fleet.sizes.routers
            )
            indices = [int(name[3:]) for name in order]
            count = int(0.35 * len(indices))
            lost = indices[:count]
            if self.picks == "random":
                lost = self.fleet.rng.sample(indices, count)
            self.turn_away(lost, self.way)
            await asyncio.sleep(self.delay_s)
            await self.publish_configuration(2)
            others = [index for index in indices if index not in lost]
            worst_s = await self.versions_in_force_s(others, 2)
            self.assertLess(worst_s, APPLY_S)
            # Some time later, too.
            await self.publish_configuration(3)
            worst_s = await self.versions_in_force_s(others, 3)
            self.assertLess(worst_s, APPLY_S)

        for self.way in ("silence", "refusal"):
            for routers, self.picks, self.delay_s in (
                (20, "first", 0.05),
                (20, "first", 0.3),
                (20, "first", 0.9),
                (20, "random", 0.1),
                (8, "first", 0.1),
                (33, "first", 0.1),
            ):
                with self.subTest(self.way, n=routers, after=self.delay_s):
                    self.run_fleet(
                        scenario, routers=routers, data_centres=1, engines=1
                    )

    def test_reader_publishes_no_more_often_than_the_store_answers(self):
        async def scenario():
            await asyncio.sleep(10.0)
            feed = next(
                router.feed
                for router in self.fleet.routers.values()
                if router.feed._store_readers.is_first_reader()
            )
            calls = 0
            publish = feed._publish

            def record(after_revision):
                nonlocal calls
                calls += 1
                publish(after_revision)

            with mock.patch.object(feed, "_publish", record):
                await asyncio.sleep(12.0)
            # A watch of a reader waits for 0.6 s.
            self.assertLessEqual(calls, 12.0 / 0.6 + 1)
            self.assertGreaterEqual(calls, 10)

        self.run_large_fleet(scenario)

    # A router that its readers leave without news reads the store itself.
    def test_report_that_the_store_does_not_answer_is_no_news(self):
        async def scenario():
            await asyncio.sleep(6.0)
            index = next(
                index
                for index in self.fleet.routers
                if index not in self.reader_indices()
            )
            router = self.fleet.routers[index]
            report = peer_pb2.Publication(
                sender="vm-99", revision=router.feed.revision
            )
            for reader in self.reader_indices():
                self.network.partition(
                    fleet.router_host(reader), fleet.router_host(index)
                )
            for _ in range(12):
                await router.feed.on_publish(report)
                await asyncio.sleep(0.2)
            self.assertLess(router.feed.staleness_s(), APPLY_S)

        self.run_large_fleet(scenario)

    # What a peer that is out of date itself says does not make this router's
    # documents current.
    def test_documents_of_an_outdated_peer_are_not_current(self):
        async def scenario():
            await asyncio.sleep(3.0)
            self.fleet.store.mode = store_standin.Mode.RESET
            await asyncio.sleep(4.0)
            feed = self.fleet.routers[0].feed
            self.assertGreater(feed.staleness_s(), 3.0)
            await feed.pull("vm-1")
            self.assertGreater(feed.staleness_s(), 3.0)

        self.run_fleet(scenario)

    # CONFIG, issue 26: a reader took 0.9 s to publish to 25 routers by itself.
    def test_reader_of_a_large_data_centre_sends_to_few_routers(self):
        async def scenario():
            await asyncio.sleep(6.0)
            (first,) = [
                router
                for router in self.fleet.routers.values()
                if router.feed._store_readers.is_first_reader()
            ]
            sent = []
            call = first.feed._peers.call

            def record(name, method, *rest):
                if method == "Publish":
                    sent.append(name)
                return call(name, method, *rest)

            with mock.patch.object(first.feed._peers, "call", record):
                await self.publish_configuration(2)
                await asyncio.sleep(0.3)
            self.assertEqual(self.configuration_versions(), {2})
            # The change and a heartbeat, each to five routers.
            self.assertLessEqual(len(sent), 10)

        self.run_fleet(scenario, routers=LARGE_DATA_CENTRE, data_centres=1)

    def test_routers_of_one_that_does_not_answer_get_a_change_directly(self):
        async def scenario():
            await asyncio.sleep(6.0)
            feed = next(
                router.feed
                for router in self.fleet.routers.values()
                if router.feed._store_readers.is_first_reader()
            )
            direct = set()

            async def fail(name, method, message, timeout_s):
                del timeout_s
                # The peers' checks pass this client as well.
                if method != "Publish" or message.forward_to:
                    return result.Err("no answer")
                direct.add(name)
                return result.Ok(None)

            with mock.patch.object(feed._peers, "call", fail):
                feed._publish(feed.revision)
                await asyncio.sleep(0.1)
            # All but the reader and the five that did not answer; more if a
            # heartbeat falls into the time.
            self.assertGreaterEqual(len(direct), LARGE_DATA_CENTRE - 1 - 5)

        self.run_fleet(scenario, routers=LARGE_DATA_CENTRE, data_centres=1)

    def test_change_is_in_force_in_time_while_routers_that_pass_it_on_are_dead(
        self,
    ):
        async def scenario():
            await asyncio.sleep(6.0)
            victims = [
                index
                for index in range(LARGE_DATA_CENTRE)
                if index not in self.reader_indices()
            ][::3]
            for index in victims:
                await self.fleet.crash_router(index)
            self.assertLess(await self.worst_delay_s(8.0), APPLY_S)

        self.run_fleet(scenario, routers=LARGE_DATA_CENTRE, data_centres=1)

    def test_change_is_in_force_in_time_after_first_readers_crash(self):
        async def scenario():
            for index in self.reader_indices():
                readers = self.fleet.routers[index].feed._store_readers
                if readers.is_first_reader():
                    await self.fleet.crash_router(index)
            await self.publish_configuration(2)
            await asyncio.sleep(2.0)
            self.assertEqual(self.configuration_versions(), {2})

        self.run_large_fleet(scenario)

    def test_all_routers_of_a_small_data_centre_are_readers(self):
        async def scenario():
            await asyncio.sleep(4.0)
            self.assertEqual(len(self.reader_indices()), 7)

        self.run_fleet(scenario, routers=7)

    def test_change_applies_in_time_after_all_readers_crash(self):
        async def scenario():
            for index in self.reader_indices():
                await self.fleet.crash_router(index)
            await self.publish_configuration(2)
            await asyncio.sleep(2.0)
            self.assertEqual(self.configuration_versions(), {2})

        self.run_large_fleet(scenario)

    def test_crashed_readers_are_replaced(self):
        async def scenario():
            for index in self.reader_indices()[:3]:
                await self.fleet.crash_router(index)
            await self.publish_configuration(2)
            await asyncio.sleep(4.0)
            self.assertEqual(self.configuration_versions(), {2})
            await asyncio.sleep(4.0)
            await self.publish_configuration(3)
            await asyncio.sleep(0.3)
            self.assertEqual(self.configuration_versions(), {3})

        self.run_large_fleet(scenario)

    def test_router_cut_off_from_readers_still_gets_changes(self):
        async def scenario():
            for reader in self.reader_indices():
                self.network.partition(
                    fleet.router_host(reader), fleet.router_host(9)
                )
            await self.publish_configuration(2)
            await asyncio.sleep(2.0)
            self.assertEqual(self.fleet.routers[9].fleet.catalog.version, 2)

        self.run_large_fleet(scenario)

    def test_store_outage_is_known_to_routers_that_are_not_readers(self):
        async def scenario():
            others = set(self.fleet.routers) - set(self.reader_indices())
            self.fleet.store.mode = store_standin.Mode.RESET
            await asyncio.sleep(6.0)
            for index in others:
                self.assertTrue(
                    self.fleet.routers[index].feed.may_lack_entries()
                )

        self.run_large_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
