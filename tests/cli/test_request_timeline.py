import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from bergamotmill.cli import main
from bergamotmill.cli import request_timeline

LINES = [
    {"t": 10.2, "router": "vm-2", "event": "outcome", "request": "a1",
     "status": 502, "upstream": "e1"},
    {"t": 10.0, "router": "vm-2", "event": "choice", "request": "a1",
     "upstream": "e1"},
    {"t": 10.1, "router": "vm-2", "event": "upstream_ejected",
     "upstream": "e1"},
    {"t": 10.1, "router": "vm-2", "event": "upstream_ejected",
     "upstream": "e7"},
    {"t": 10.1, "router": "vm-9", "event": "store_lost"},
    {"t": 99.0, "router": "vm-2", "event": "store_lost"},
    {"t": 10.0, "router": "vm-2", "event": "choice", "request": "b2",
     "upstream": "e1"},
    {"t": 50.0, "router": "vm-2", "event": "outcome", "request": "c3",
     "status": 503, "detail": "quarantine 8f"},
    {"t": 20.0, "router": "vm-2", "event": "part_quarantined",
     "quarantine": "8f", "parts": ["c0ffee"]},
    {"t": 20.0, "router": "vm-2", "event": "part_quarantined",
     "quarantine": "a7", "parts": ["decaf"]},
]  # fmt: skip


class RequestTimelineTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "router.log"
        text = "\n".join(json.dumps(line) for line in LINES)
        self.path.write_text(text + '\nnot a line\n{"t": 10.0, "eve')

    def collect(self, request):
        return request_timeline.collect(request, [str(self.path)])

    def test_lines_of_request_are_sorted_by_time(self):
        events = [line.fields["event"] for line in self.collect("a1").lines]
        self.assertEqual(events, ["choice", "outcome"])

    def test_context_is_limited_to_routers_upstreams_and_time_of_request(self):
        context = [line.fields for line in self.collect("a1").context]
        self.assertEqual(context, [LINES[2]])

    def test_context_names_the_quarantine_that_held_a_request_back(self):
        context = [line.fields for line in self.collect("c3").context]
        self.assertEqual(context, [LINES[8]])

    def test_malformed_and_truncated_lines_are_reported_as_unreadable(self):
        unreadable = self.collect("a1").unreadable
        self.assertEqual(len(unreadable), 2)
        self.assertTrue(unreadable[0].endswith("router.log:11"))

    def test_prefix_of_log_collector_is_ignored(self):
        text = "   1.5 vm-1 " + json.dumps(LINES[0])
        self.assertTrue(request_timeline.parse_line("x:1", text).is_ok())

    def run_explain(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            status = main.main(["explain", *arguments])
        return status, out.getvalue(), err.getvalue()

    def test_explain_prints_timeline_and_unreadable_lines(self):
        status, out, err = self.run_explain("a1", str(self.path))
        self.assertEqual(status, 0)
        self.assertIn("vm-2 outcome", out)
        self.assertIn("2 lines could not be read", err)

    def test_exit_status_for_unknown_request_and_missing_file(self):
        status, out, _ = self.run_explain("zz", str(self.path))
        self.assertEqual(status, 1)
        self.assertIn("no line names this request", out)
        status, _, err = self.run_explain("a1", str(self.path) + ".gone")
        self.assertEqual(status, 2)
        self.assertIn("router.log.gone", err)


if __name__ == "__main__":
    unittest.main()
