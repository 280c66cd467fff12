"""Fingerprints of requests."""

import unittest

from bergamotmill.routing import request_fingerprint


class FingerprintTest(unittest.TestCase):
    def test_equal_requests_share_it(self):
        first = request_fingerprint.fingerprint(("GET", "/a"), b"body")
        second = request_fingerprint.fingerprint(("GET", "/a"), b"body")
        self.assertEqual(first, second)
        self.assertTrue(request_fingerprint.is_fingerprint(first))
        self.assertFalse(request_fingerprint.is_fingerprint("c0ffee"))

    def test_each_field_and_the_body_count(self):
        found = {
            request_fingerprint.fingerprint(fields, body)
            for fields in (("a", "b"), ("ab", ""), ("", "ab"), ("a:b",))
            for body in (b"", b"x")
        }
        self.assertEqual(len(found), 8)

    def test_contents_do_not_show(self):
        name = request_fingerprint.fingerprint(("secret",), b"secret")
        self.assertNotIn("secret", name)


if __name__ == "__main__":
    unittest.main()
