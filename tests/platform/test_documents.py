import json
import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.dispatch import config
from bergamotmill.platform import const
from bergamotmill.platform import documents
from bergamotmill.standin.platform import fleet

DECODER = documents.Decoder()
KEYS = (
    const.KEY_CONFIGURATION,
    const.PREFIX_WEIGHTS + "m",
    const.PREFIX_REPLICAS + "i-1",
    const.PREFIX_ROUTERS + "vm-1",
    "other/key",
)
ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(
            ["address", "service", "state", "born", "models", "version",
             "routes", "services", "name", "sequence", "slots"]
        ),
        inner,
    ),
    max_leaves=12,
)  # fmt: skip


class CatalogTest(unittest.TestCase):
    def setUp(self):
        value = json.dumps(fleet.configuration(7)).encode()
        self.catalog = DECODER.decode(const.KEY_CONFIGURATION, value).unwrap()

    def test_kinds_and_what_may_be_repeated(self):
        found = {
            name: self.catalog.find_route(fleet.HOST, f"/{name}/x")
            for name in ("review", "check", "filing", "lookup")
        }
        repeatable = {name for name, item in found.items() if item.repeatable}
        self.assertEqual(repeatable, {"check", "lookup"})
        self.assertIs(found["review"].kind, config.RequestKind.STREAM)

    def test_the_longest_prefix_wins(self):
        value = fleet.configuration(8)
        value["routes"].append(
            {**value["routes"][2], "name": "deep", "prefix": "/filing/deep/"}
        )
        text = json.dumps(value).encode()
        catalog = DECODER.decode(const.KEY_CONFIGURATION, text).unwrap()
        self.assertEqual(
            catalog.find_route(fleet.HOST, "/filing/deep/a").name, "deep"
        )
        self.assertEqual(
            catalog.find_route(fleet.HOST, "/filing/deeper").name, "filing"
        )
        self.assertIsNone(catalog.find_route("other", "/filing/a"))

    def test_split_traffic_keeps_its_weights(self):
        value = fleet.configuration(9)
        value["routes"][0]["trafficSplit"] = [
            {"service": "engines", "weight": 90},
            {"service": "other", "weight": 10},
        ]
        text = json.dumps(value).encode()
        catalog = DECODER.decode(const.KEY_CONFIGURATION, text).unwrap()
        shares = catalog.find_route(fleet.HOST, "/review/").shares
        self.assertEqual(
            [(item.service, item.weight) for item in shares],
            [("engines", 90.0), ("other", 10.0)],
        )

    def test_keys_name_their_customers(self):
        self.assertTrue(self.catalog.find_customer("key-alone").isolated)
        self.assertIsNone(self.catalog.find_customer("nobody"))


class AnyDocumentTest(unittest.TestCase):
    @hypothesis.given(strategies.sampled_from(KEYS), ANY_JSON)
    def test_no_document_raises(self, key, value):
        DECODER.decode(key, json.dumps(value).encode())

    @hypothesis.given(strategies.sampled_from(KEYS), strategies.binary())
    def test_no_bytes_raise(self, key, value):
        DECODER.decode(key, value)


if __name__ == "__main__":
    unittest.main()
