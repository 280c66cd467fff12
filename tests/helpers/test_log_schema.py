"""Checks that docs/LOGS.md lists exactly the log lines that the code writes."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
TABLE_ROW = re.compile(r"^\| `(\w+)` \| (.*?) \| .* \|$")


def documented_fields():
    """Returns the fields of each event in docs/LOGS.md."""
    fields_by_event = {}
    text = (ROOT / "docs" / "LOGS.md").read_text()
    for line in text[text.index("## Lines on a request") :].splitlines():
        match = TABLE_ROW.match(line)
        if match:
            fields_by_event[match[1]] = set(re.findall(r"`(\w+)`", match[2]))
    return fields_by_event


def is_record_call(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "record"
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "decisions"
    )


def written_fields():
    """Returns the fields of each event that the code records."""
    fields_by_event = {}
    for path in (ROOT / "bergamotmill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if is_record_call(node):
                fields = {item.arg for item in node.keywords if item.arg}
                fields_by_event.setdefault(node.args[0].value, set()).update(
                    fields
                )
    # The dispatcher passes this field through `**fields`.
    fields_by_event["outcome"].add("retry_after_s")
    return fields_by_event


class SchemaTest(unittest.TestCase):
    def test_documented_events_and_fields_match_the_code(self):
        self.assertEqual(documented_fields(), written_fields())


if __name__ == "__main__":
    unittest.main()
