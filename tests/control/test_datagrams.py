import asyncio
import unittest

from bergamotmill.control import datagrams
from tests import processes

KEY = "0123456789abcdef"


class DatagramTest(unittest.TestCase):
    def exchange(self, sender_key, messages):
        """Returns the messages of a sender that a port on loopback accepts."""
        (number,) = processes.free_ports(1)
        received = []

        async def main():
            address = f"127.0.0.1:{number}"
            receiver = datagrams.DatagramPort(address, KEY, received.append)
            await receiver.start()
            sender = datagrams.DatagramPort(
                f"127.0.0.2:{number}", sender_key, received.append
            )
            await sender.start()
            for message in messages:
                sender.send("127.0.0.1", message)
            # Loopback delivers in order, so that this message arrives last.
            trusted_sender = datagrams.DatagramPort(
                f"127.0.0.3:{number}", KEY, received.append
            )
            await trusted_sender.start()
            trusted_sender.send("127.0.0.1", b"last")
            while b"last" not in received:
                await asyncio.sleep(0.001)
            for port in (receiver, sender, trusted_sender):
                await port.close()

        asyncio.run(main())
        return received[:-1]

    def test_messages_with_the_fleet_key_are_accepted(self):
        self.assertEqual(self.exchange(KEY, [b"a", b""]), [b"a", b""])

    def test_messages_with_another_key_are_dropped(self):
        self.assertEqual(self.exchange("another-key-here", [b"a"]), [])


if __name__ == "__main__":
    unittest.main()
