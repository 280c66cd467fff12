"""Every line that the code writes is documented, and nothing else."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
ROW = re.compile(r"^\| `(\w+)` \| (.*?) \| .* \|$")


def documented():
    """Returns the fields of each event in docs/LOGS.md."""
    found = {}
    text = (ROOT / "docs" / "LOGS.md").read_text()
    for line in text[text.index("## Lines on a request") :].splitlines():
        match = ROW.match(line)
        if match:
            found[match[1]] = set(re.findall(r"`(\w+)`", match[2]))
    return found


def is_record(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "record"
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "decisions"
    )


def written():
    """Returns the fields of each event that the code writes."""
    found = {}
    for path in (ROOT / "bergamotmill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if is_record(node):
                fields = {item.arg for item in node.keywords if item.arg}
                found.setdefault(node.args[0].value, set()).update(fields)
    # Passed on by name from the dispatcher.
    found["outcome"].add("retry_after_s")
    return found


class SchemaTest(unittest.TestCase):
    def test_the_page_names_each_line_and_its_fields(self):
        self.assertEqual(documented(), written())


if __name__ == "__main__":
    unittest.main()
