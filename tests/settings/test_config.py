import json
import pathlib
import unittest

from bergamotmill import core
from bergamotmill.control import notes
from bergamotmill.helpers import json_file
from bergamotmill.settings import config
from bergamotmill.settings import drivers

EXAMPLES = pathlib.Path("examples")


class SettingsTest(unittest.TestCase):
    def setUp(self):
        path = EXAMPLES / "association-settings.json"
        self.value = json_file.read(str(path)).unwrap()

    def findings(self):
        return " | ".join(
            map(str, config.from_mapping(self.value, "s.json").err())
        )

    def test_examples_have_no_findings(self):
        for name in ("association", "fjordtakst"):
            loaded = config.load(str(EXAMPLES / f"{name}-settings.json"))
            self.assertTrue(loaded.is_ok(), loaded)
            note = json_file.read(str(EXAMPLES / f"{name}-note.json"))
            draft = notes.parse_draft(note.unwrap(), name).unwrap()
            findings = notes.check(core.empty_configuration(), draft, name)
            self.assertEqual(findings, [])

    def test_all_findings_are_reported_at_once_with_their_places(self):
        self.value["router"]["frnt"] = self.value["router"].pop("front")
        self.value["fleet_key"] = "short"
        self.value["routing"]["waste_weight"] = -1
        findings = self.findings()
        for expected in (
            "s.json: router.frnt: unknown key; expected 'front'",
            "'front' is missing",
            "fleet_key",
            "routing.waste_weight",
        ):
            self.assertIn(expected, findings)

    def test_unknown_drivers_and_policies_are_reported(self):
        self.value["platform"]["key_value"]["driver"] = "nope"
        self.value["routing"]["policy"] = "guess"
        settings = config.from_mapping(self.value, "s.json").unwrap()
        findings = " | ".join(map(str, drivers.check(settings, "s.json")))
        self.assertIn("s.json: platform.key_value.driver: 'nope'", findings)
        self.assertIn("'gateway'", findings)
        self.assertIn("routing.policy", findings)

    def test_host_names_are_refused_as_addresses(self):
        self.value["router"]["peer"] = "vm-1.example:90"
        self.assertIn("router.peer", self.findings())

    def test_syntax_error_reports_its_line(self):
        findings = json_file.parse('{\n "a": 1,\n "b": ]\n}', "x.json").err()
        self.assertTrue(str(findings[0]).startswith("x.json:3"), findings)

    def test_comments_are_allowed(self):
        text = "// first\n" + json.dumps({"a": 1})
        self.assertEqual(json_file.parse(text, "x").ok(), {"a": 1})


if __name__ == "__main__":
    unittest.main()
