import unittest
import uuid

import hypothesis
from hypothesis import strategies

from bergamotmill.filings import const
from bergamotmill.filings import keys

FLEET = "0123456789abcdef"


def uuid7(seconds):
    bits = (int(seconds * 1000) << 80) | (7 << 76) | (2 << 62) | 5
    return str(uuid.UUID(int=bits))


class KeysTest(unittest.TestCase):
    def test_bound_key_tells_router_and_incarnation(self):
        token = keys.issue_token("vm-1", 42, 1000.5, "one", FLEET)
        found = keys.parse(f"{token}.mine", "one", FLEET)
        self.assertEqual(found, keys.BoundKey("vm-1", 42, 1000.0))

    def test_bound_key_of_another_customer_is_refused(self):
        token = keys.issue_token("vm-1", 42, 1000.0, "one", FLEET)
        self.assertIsNone(keys.parse(f"{token}.mine", "two", FLEET))

    def test_changed_token_is_refused(self):
        token = keys.issue_token("vm-1", 42, 1000.0, "one", FLEET)
        forged = token.replace("~42~", "~43~")
        self.assertIsNone(keys.parse(f"{forged}.mine", "one", FLEET))

    def test_free_key_tells_its_age(self):
        found = keys.parse(uuid7(1000.5), "one", FLEET)
        self.assertEqual(found, keys.FreeKey(1000.5))

    def test_key_without_an_age_is_refused(self):
        for key in ("order-17", str(uuid.UUID(int=5, version=4)), ""):
            self.assertIsNone(keys.parse(key, "one", FLEET), key)

    def test_old_and_future_keys_are_expired(self):
        now = 1_000_000.0
        old = now - const.KEY_LIFETIME_S - 1
        self.assertTrue(keys.is_expired(old, now))
        self.assertTrue(keys.is_expired(now + 3600, now))
        self.assertFalse(keys.is_expired(now - 3600, now))

    @hypothesis.given(strategies.text(max_size=80))
    def test_any_text_is_refused_or_parsed(self, text):
        keys.parse(text, "one", FLEET)
        keys.parse(f"f1~{text}", "one", FLEET)


if __name__ == "__main__":
    unittest.main()
