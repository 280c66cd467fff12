import asyncio
import unittest

from bergamotmill import core
from bergamotmill.routing import admission
from tests import virtual

REVIEW = core.RequestClass("review", priority=1, worth=3.0, queue=50)
CHECK = core.RequestClass("check", priority=5, worth=1.0, queue=50)
LARGE = core.Customer("large")
SMALL = core.Customer("small")


class AdmissionTest(virtual.VirtualCase):
    def test_small_customer_is_not_starved_by_large_one(self):
        order = []

        async def serve_request(gate, customer):
            entered = await gate.acquire(customer, REVIEW, 1.0, 1000.0)
            self.assertTrue(entered.is_ok())
            order.append(customer.name)
            await asyncio.sleep(1.0)
            gate.release(1.0)

        async def main():
            gate = admission.Admission(slots=10)
            gate.set_slots(2)
            tasks = [
                asyncio.create_task(serve_request(gate, LARGE))
                for _ in range(5)
            ]
            await asyncio.sleep(0)
            gate.set_slots(2)
            tasks.append(asyncio.create_task(serve_request(gate, SMALL)))
            await asyncio.gather(*tasks)

        self.run_virtual(main())
        self.assertLess(order.index("small"), 4)

    def test_higher_priority_goes_first(self):
        order = []

        async def serve_request(gate, request_class):
            await gate.acquire(LARGE, request_class, 1.0, 1000.0)
            order.append(request_class.name)
            await asyncio.sleep(1.0)
            gate.release(1.0)

        async def main():
            gate = admission.Admission(slots=1)
            tasks = [
                asyncio.create_task(serve_request(gate, REVIEW))
                for _ in range(3)
            ]
            await asyncio.sleep(0.1)
            tasks.append(asyncio.create_task(serve_request(gate, CHECK)))
            await asyncio.gather(*tasks)

        self.run_virtual(main())
        self.assertEqual(order[1], "check")

    def test_overload_sheds_the_lowest_worth_immediately(self):
        async def main():
            gate = admission.Admission(slots=2)
            tasks = [
                asyncio.create_task(gate.acquire(LARGE, kind, 1.0, 500.0))
                for kind in [CHECK] * 6 + [REVIEW] * 4
            ]
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            done = [task for task in tasks if task.done()]
            shed = [t for t in done if t.result().is_err()]
            self.assertGreaterEqual(len(shed), 3)
            for task in shed:
                self.assertLess(tasks.index(task), 6, "a review was shed")
                self.assertGreater(task.result().err().retry_after_s, 0.0)
            for task in tasks:
                task.cancel()

        self.run_virtual(main())

    def test_unreachable_deadline_is_refused_immediately(self):
        async def main():
            gate = admission.Admission(slots=1)
            await gate.acquire(LARGE, REVIEW, 1.0, 10.0)
            shed = await gate.acquire(LARGE, REVIEW, 1.0, 0.01)
            self.assertEqual(shed.err().reason, admission.SHED_DEADLINE)
            self.assertEqual(asyncio.get_running_loop().time(), 0.0)

        self.run_virtual(main())

    def test_cancelled_waiter_frees_its_slot(self):
        async def main():
            gate = admission.Admission(slots=1)
            await gate.acquire(LARGE, REVIEW, 1.0, 10.0)
            waiter = asyncio.create_task(gate.acquire(LARGE, REVIEW, 1.0, 10.0))
            await asyncio.sleep(0.1)
            waiter.cancel()
            await asyncio.sleep(0)
            gate.release(1.0)
            again = await gate.acquire(SMALL, REVIEW, 1.0, 10.0)
            self.assertTrue(again.is_ok())
            self.assertEqual(gate.slots_in_use, 1)

        self.run_virtual(main())


if __name__ == "__main__":
    unittest.main()
