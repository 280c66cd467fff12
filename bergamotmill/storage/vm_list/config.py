"""Drivers and entries of the VM list."""

from collections.abc import Callable
import dataclasses
from typing import Any, Protocol

import result

from bergamotmill.util import registry

DRIVERS: registry.Registry[Callable[[Any], "VmListSource"]] = registry.Registry(
    "VM list driver"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM as listed by the platform."""

    name: str
    role: str
    state: str
    data_centre: str
    region: str = ""
    front: str = ""
    peer: str = ""


class VmListSource(Protocol):
    """Source of the VM list."""

    async def fetch(self) -> result.Result[list[Vm], str]:
        """Reads the whole list."""

    def close(self) -> None:
        """Releases connections."""
