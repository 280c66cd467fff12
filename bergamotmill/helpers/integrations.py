"""Loads drivers; every subpackage of a package is one integration."""

import importlib
import pkgutil

INTEGRATION_MODULES = ("config", "coordinator")


def load(package_name: str) -> list[str]:
    """Imports all integrations of a package; they register their drivers.

    Returns:
        The names of the integrations.
    """
    package = importlib.import_module(package_name)
    names = []
    for module_info in pkgutil.iter_modules(package.__path__):
        if not module_info.ispkg:
            continue
        for module_name in INTEGRATION_MODULES:
            importlib.import_module(
                f"{package_name}.{module_info.name}.{module_name}"
            )
        names.append(module_info.name)
    return names
