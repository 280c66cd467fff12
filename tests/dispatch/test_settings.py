import contextlib
import io
import pathlib
import tempfile
import unittest

from bergamotmill.cli import dispatcher
from bergamotmill.cli import main
from bergamotmill.dispatch import settings

GOOD = """{
  // A router.
  "router": {
    "name": "vm-1", "data_centre": "a", "region": "r",
    "front": "10.0.0.1:1", "ready": "10.0.0.1:2",
    "directory": "10.0.0.1:3", "peer": "10.0.0.1:4",
    "metrics": "10.0.0.1:5"
  },
  "store": { "address": "10.0.3.1:80" },
  "retries": { "ratio": 0.2, "slack": 54, "window_s": 10 },
  "shutdown": { "grace_s": 8 },
  "fleet_key": "0123456789abcdef"
}
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"
        self.path.write_text(GOOD)

    def test_good_settings_are_read(self):
        found = settings.load(str(self.path)).unwrap()
        self.assertEqual(found.retries.slack, 54)

    def test_all_findings_come_with_their_place(self):
        text = GOOD.replace('"10.0.3.1:80"', '"nowhere"')
        self.path.write_text(text.replace('"grace_s"', '"grace"'))
        found = [str(item) for item in settings.load(str(self.path)).err()]
        self.assertTrue(any("store.address" in item for item in found), found)
        self.assertTrue(any("shutdown" in item for item in found), found)

    def test_the_command_line_checks_them_too(self):
        self.path.write_text(GOOD.replace('"grace_s"', '"grace"'))
        out = io.StringIO()
        with contextlib.redirect_stderr(out):
            status = main.main(["check", str(self.path)])
        self.assertEqual(status, main.EXIT_FINDINGS)
        self.assertIn(str(self.path), out.getvalue())
        self.assertIn("shutdown", out.getvalue())

    def test_bounds_on_older_weights_follow_the_settings(self):
        text = GOOD.replace(
            '"shutdown"', '"weights": {"deadline_ms": 10000}, "shutdown"'
        )
        self.path.write_text(text)
        found = settings.load(str(self.path)).unwrap()
        self.assertEqual(found.weights.old_weights_max_age_s, 8.5)

    def test_the_deploy_template_names_what_the_schema_knows(self):
        root = pathlib.Path(__file__).parents[2]
        text = (root / "deploy" / "settings.json").read_text()
        for name in ("front", "ready", "directory", "peer", "metrics"):
            self.assertIn(f'"{name}"', text)

    def test_a_changed_file_is_taken_and_a_bad_one_is_not(self):
        first = settings.load(str(self.path)).unwrap()
        taken = []
        watch = dispatcher.SettingsWatch(str(self.path), first, taken.append)
        watch.reload()
        self.assertEqual(taken, [])
        self.path.write_text(GOOD.replace("10.0.3.1", "10.0.3.2"))
        watch.reload()
        self.assertEqual(taken[0].store.address, "10.0.3.2:80")
        self.path.write_text("{")
        watch.reload()
        self.assertEqual(len(taken), 1)


if __name__ == "__main__":
    unittest.main()
