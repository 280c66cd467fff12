import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from bergamotmill.cli import main
from bergamotmill.cli import report


def outcome(t, status=200, name="answered", **more):
    fields = {"route": "review", "first_byte_s": 0.2, **more}
    return {
        "t": t,
        "router": "vm-1",
        "event": "outcome",
        "request": f"r{t}",
        "outcome": name,
        "status": status,
        **fields,
    }


LINES = [
    {"t": 10.0, "router": "vm-1", "event": "configuration", "version": 3},
    outcome(10.5),
    outcome(11.2, first_byte_s=0.9),
    outcome(11.3, 500),
    outcome(11.4, 503, "overloaded", first_byte_s=0.0),
    {"t": 11.5, "router": "vm-2", "event": "rejected", "status": 401,
     "reason": "unknown_key"},
    {"t": 12.0, "router": "vm-2", "event": "store_lost", "detail": "<reset>"},
    {"t": 12.5, "router": "vm-2", "event": "upstream", "upstream": "e1",
     "weights": {"m": 2}},
]  # fmt: skip


class ReportTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.log = self.folder / "router.log"
        text = "\n".join(json.dumps(line) for line in LINES)
        self.log.write_text(text + "\nnot a line\n")

    def test_requests_are_counted_by_what_became_of_them(self):
        series = report.gather([str(self.log)])
        self.assertEqual(series.outcomes["answered"], {10: 1, 11: 1})
        self.assertEqual(
            series.refused,
            {
                "500 upstream's 500": 1,
                "503 overloaded": 1,
                "401 unknown_key": 1,
            },
        )
        self.assertEqual(series.configuration, {"vm-1": [(10.0, 3)]})
        self.assertEqual(series.weights, {"e1": [(12.5, 2)]})
        self.assertEqual(len(series.unread), 1)

    def test_the_slow_part_of_values(self):
        self.assertEqual(report.slowest([3.0]), 3.0)
        self.assertEqual(report.slowest(range(100)), 95)

    def run_main(self, *words):
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            status = main.main(["report", *words])
        return status, out.getvalue() + err.getvalue()

    def test_the_page_shows_plots_and_lists(self):
        page = self.folder / "day.html"
        status, _ = self.run_main(str(self.log), "--to", str(page))
        self.assertEqual(status, 0)
        text = page.read_text()
        self.assertIn("<svg", text)
        self.assertIn("503 overloaded", text)
        self.assertIn("store_lost vm-2 &lt;reset&gt;", text)
        self.assertIn("router.log:9", text)

    def test_logs_without_a_line_and_files_that_are_not_there(self):
        empty = self.folder / "empty.log"
        empty.write_text("nothing\n")
        self.assertEqual(self.run_main(str(empty))[0], 1)
        status, text = self.run_main(str(self.folder / "none.log"))
        self.assertEqual(status, 2)
        self.assertIn("none.log", text)


if __name__ == "__main__":
    unittest.main()
