"""What replicas say of themselves in the heads of their responses."""

import math
import unittest

from bergamotmill.helpers import http_client
from bergamotmill.platform import const
from bergamotmill.platform import replica
from bergamotmill.routing import stated_limit


def parse(*values, status=200):
    headers = [(const.HEADER_LIMIT.encode(), value) for value in values]
    head = http_client.ResponseHead(status, dict(headers), tuple(headers))
    return replica._parse_signals(head).limit_per_s


class LimitHeaderTest(unittest.TestCase):
    def test_decimal_numbers_are_limits(self):
        self.assertEqual(parse(b"1.7"), 1.7)
        self.assertEqual(parse(b"0"), 0.0)
        self.assertEqual(parse(b"12"), 12.0)

    def test_response_without_the_header_names_no_limit(self):
        self.assertEqual(parse(), stated_limit.UNLIMITED)
        self.assertTrue(math.isinf(parse()))

    def test_other_values_are_not_limits(self):
        for value in (
            b"",
            b"many",
            b"-1",
            b"+2",
            b"nan",
            b"inf",
            b"1e400",
            b"9" * 400,
            b"1.5 2",
            b"1.5,2",
            b"1_5",
            b"\xb2",
        ):
            with self.subTest(value):
                self.assertIsNone(parse(value))
        self.assertIsNone(parse(b"1.5", b"2.5"))

    def test_misdirected_request_says_nothing_of_the_upstream(self):
        self.assertIsNone(parse(b"1.5", status=421))
        self.assertIsNone(parse(status=421))


if __name__ == "__main__":
    unittest.main()
