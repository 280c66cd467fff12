import json
import os
import unittest

from bergamotmill.helpers import logs


class BoundedWriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.end = os.pipe()
        self.writer = logs.BoundedWriter(self.end)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.end)

    def read(self):
        return os.read(self.reader, 1 << 20)

    def test_lines_go_out_whole(self):
        self.writer.write(b"one\n", 1.0)
        self.assertEqual(self.read(), b"one\n")

    def test_a_reader_that_stops_never_holds_it_up(self):
        line = b"x" * 1000 + b"\n"
        for second in range(100):
            for _ in range(logs.MAX_LINES_PER_S):
                self.writer.write(line, float(second))
        held = len(self.writer._rest)
        self.assertLess(held, logs.MAX_PENDING_BYTES + 2 * len(line))

    def test_what_is_left_out_is_told(self):
        for _ in range(logs.MAX_LINES_PER_S + 7):
            self.writer.write(b"x\n", 1.0)
        self.read()
        self.writer.write(b"y\n", 2.0)
        first = json.loads(self.read().split(b"\n")[0])
        self.assertEqual(first, {"event": "lines_omitted", "count": 7})


if __name__ == "__main__":
    unittest.main()
