"""Registries of the upstream drivers, by the name in the configuration."""

from collections.abc import Callable
from typing import Any

from bergamotmill.util import registry

ENGINES: registry.Registry[Callable[..., Any]] = registry.Registry(
    "engine driver"
)
SERVICES: registry.Registry[Callable[..., Any]] = registry.Registry(
    "service driver"
)
