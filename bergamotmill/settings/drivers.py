"""Validation of the names of drivers and policies in the settings."""

from bergamotmill.helpers import findings
from bergamotmill.helpers import integrations
from bergamotmill.routing import decision
from bergamotmill.settings import config
from bergamotmill.storage import key_value
from bergamotmill.storage.vm_list import config as vm_config
from bergamotmill.util import registry

INTEGRATION_PACKAGES = ("bergamotmill.storage", "bergamotmill.upstream")


def check(settings: config.Settings, source: str) -> list[findings.Finding]:
    """Imports all integrations and returns findings on unknown names."""
    for package in INTEGRATION_PACKAGES:
        integrations.load(package)
    references: tuple[tuple[str, str, registry.Registry], ...] = (
        (
            "platform.key_value.driver",
            settings.key_value.driver,
            key_value.DRIVERS,
        ),
        (
            "platform.vm_list.driver",
            settings.vm_list.driver,
            vm_config.DRIVERS,
        ),
        ("routing.policy", settings.routing.policy, decision.POLICIES),
    )
    return [
        findings.Finding(
            f"{source}: {place}", repr(name), f"one of {registered.names()}"
        )
        for place, name, registered in references
        if name not in registered.names()
    ]
