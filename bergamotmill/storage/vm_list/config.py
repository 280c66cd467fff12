"""Drivers and entries of the list of VMs."""

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
    """One VM as the platform lists it."""

    name: str
    role: str
    state: str
    data_centre: str
    region: str = ""
    front: str = ""
    peer: str = ""


class VmListSource(Protocol):
    """Where the list comes from."""

    async def fetch(self) -> result.Result[list[Vm], str]:
        """Reads the whole list."""

    def close(self) -> None:
        """Releases connections."""
