import unittest
import uuid

import hypothesis
from hypothesis import strategies

from bergamotmill.filings import const
from bergamotmill.filings import keys

FLEET_KEY = "0123456789abcdef"


def uuid7(seconds):
    bits = (int(seconds * 1000) << 80) | (7 << 76) | (2 << 62) | 5
    return str(uuid.UUID(int=bits))


class KeysTest(unittest.TestCase):
    def test_bound_key_names_router_and_incarnation(self):
        token = keys.issue_token("vm-1", 42, 1000.5, "one", FLEET_KEY)
        parsed = keys.parse(f"{token}.mine", "one", FLEET_KEY)
        self.assertEqual(parsed, keys.BoundKey("vm-1", 42, 1000.0))

    def test_bound_key_of_another_customer_is_rejected(self):
        token = keys.issue_token("vm-1", 42, 1000.0, "one", FLEET_KEY)
        self.assertIsNone(keys.parse(f"{token}.mine", "two", FLEET_KEY))

    def test_forged_token_is_rejected(self):
        token = keys.issue_token("vm-1", 42, 1000.0, "one", FLEET_KEY)
        forged = token.replace("~42~", "~43~")
        self.assertIsNone(keys.parse(f"{forged}.mine", "one", FLEET_KEY))

    def test_free_key_contains_its_creation_time(self):
        parsed = keys.parse(uuid7(1000.5), "one", FLEET_KEY)
        self.assertEqual(parsed, keys.FreeKey(1000.5))

    def test_key_without_a_creation_time_is_rejected(self):
        for key in ("order-17", str(uuid.UUID(int=5, version=4)), ""):
            self.assertIsNone(keys.parse(key, "one", FLEET_KEY), key)

    def test_old_and_future_keys_are_expired(self):
        now = 1_000_000.0
        old = now - const.KEY_LIFETIME_S - 1
        self.assertTrue(keys.is_expired(old, now))
        self.assertTrue(keys.is_expired(now + 3600, now))
        self.assertFalse(keys.is_expired(now - 3600, now))

    @hypothesis.given(strategies.text(max_size=80))
    def test_parses_arbitrary_text_without_error(self, text):
        keys.parse(text, "one", FLEET_KEY)
        keys.parse(f"f1~{text}", "one", FLEET_KEY)


if __name__ == "__main__":
    unittest.main()
