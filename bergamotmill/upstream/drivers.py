"""Registries of upstream drivers."""

from collections.abc import Callable
from typing import Any

from bergamotmill.util import registry

ENGINES: registry.Registry[Callable[..., Any]] = registry.Registry(
    "engine driver"
)
SERVICES: registry.Registry[Callable[..., Any]] = registry.Registry(
    "service driver"
)
