"""The package's modules import one another without a circle."""

import ast
import graphlib
import pathlib
import unittest

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = "bergamotmill"


def modules():
    found = {}
    for path in (ROOT / PACKAGE).rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        found[name.removesuffix(".__init__")] = path
    return found


def imported(path, known):
    """Returns the modules that a file names, those for types included."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(item.name for item in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for item in node.names:
                whole = f"{node.module}.{item.name}"
                found.add(whole if whole in known else node.module)
    return found & set(known)


class ImportTest(unittest.TestCase):
    def test_there_is_no_circle(self):
        known = modules()
        graph = {
            name: imported(path, known) - {name} for name, path in known.items()
        }
        # Names the circle when there is one.
        graphlib.TopologicalSorter(graph).prepare()

    def test_only_the_adapter_names_the_platforms_words(self):
        outside = {"dispatch", "control", "routing", "helpers", "storage"}
        words = ("kv-salt", "fenceToken", "trafficSplit", "Cache-Salt")
        for name, path in modules().items():
            if name.split(".")[1:2] and name.split(".")[1] in outside:
                text = path.read_text()
                for word in words:
                    self.assertNotIn(word, text, name)


if __name__ == "__main__":
    unittest.main()
