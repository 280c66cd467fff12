"""Tests of the imports between modules and of the adapter's boundary."""

import ast
import graphlib
import pathlib
import unittest

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = "bergamotmill"


def module_paths():
    paths = {}
    for path in (ROOT / PACKAGE).rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        paths[name.removesuffix(".__init__")] = path
    return paths


def imported_modules(path, known):
    """Returns the known modules that a file imports, even for types only."""
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules.update(item.name for item in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for item in node.names:
                full_name = f"{node.module}.{item.name}"
                modules.add(full_name if full_name in known else node.module)
    return modules & set(known)


class ImportTest(unittest.TestCase):
    def test_no_import_cycles(self):
        known = module_paths()
        graph = {
            name: imported_modules(path, known) - {name}
            for name, path in known.items()
        }
        # Raises CycleError, which names the cycle, if there is one.
        graphlib.TopologicalSorter(graph).prepare()

    def test_platform_terms_appear_only_in_the_adapter(self):
        packages = {
            "dispatch",
            "control",
            "routing",
            "helpers",
            "storage",
        }
        terms = ("kv-salt", "fenceToken", "trafficSplit", "Cache-Salt")
        for name, path in module_paths().items():
            if name.split(".")[1:2] and name.split(".")[1] in packages:
                text = path.read_text()
                for term in terms:
                    self.assertNotIn(term, text, name)


if __name__ == "__main__":
    unittest.main()
