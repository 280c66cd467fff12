import asyncio
import unittest

from bergamotmill.control import datagrams
from tests import processes

KEY = "0123456789abcdef"


class DatagramTest(unittest.TestCase):
    def exchange(self, sender_key, messages):
        """Returns what a port on loopback took of some messages."""
        (number,) = processes.free_ports(1)
        taken = []

        async def main():
            address = f"127.0.0.1:{number}"
            receiver = datagrams.DatagramPort(address, KEY, taken.append)
            await receiver.start()
            sender = datagrams.DatagramPort(
                f"127.0.0.2:{number}", sender_key, taken.append
            )
            await sender.start()
            for message in messages:
                sender.send("127.0.0.1", message)
            # Loopback hands over in order: the last one comes after them.
            honest = datagrams.DatagramPort(
                f"127.0.0.3:{number}", KEY, taken.append
            )
            await honest.start()
            honest.send("127.0.0.1", b"last")
            while b"last" not in taken:
                await asyncio.sleep(0.001)
            for port in (receiver, sender, honest):
                await port.close()

        asyncio.run(main())
        return taken[:-1]

    def test_messages_of_the_fleet_are_taken(self):
        self.assertEqual(self.exchange(KEY, [b"a", b""]), [b"a", b""])

    def test_messages_of_others_are_dropped(self):
        self.assertEqual(self.exchange("another-key-here", [b"a"]), [])


if __name__ == "__main__":
    unittest.main()
