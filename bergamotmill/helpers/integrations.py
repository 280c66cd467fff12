"""Finds the drivers: every folder below a package is one integration."""

import importlib
import pkgutil

MODULES = ("config", "coordinator")


def load(package_name: str) -> list[str]:
    """Imports all integrations of a package, which register themselves.

    Returns:
        The names of the folders found.
    """
    package = importlib.import_module(package_name)
    found = []
    for item in pkgutil.iter_modules(package.__path__):
        if not item.ispkg:
            continue
        for module in MODULES:
            importlib.import_module(f"{package_name}.{item.name}.{module}")
        found.append(item.name)
    return found
