"""Stand-in for the platform's list of VMs."""

import dataclasses
import json

from bergamotmill.helpers import http_server
from bergamotmill.storage.vm_list import config
from bergamotmill.storage.vm_list import const


class VmListStandIn:
    """Serves a list of VMs; a POST to `/vms` replaces it.

    Attributes:
        vms: VMs by name.
        down: whether calls are answered with 503.
    """

    def __init__(self, address: str, vms: list[config.Vm]):
        self.vms = {vm.name: vm for vm in vms}
        self.down = False
        self._server = http_server.HttpServer(address, self._handle)

    async def start(self) -> None:
        await self._server.start()

    async def close(self) -> None:
        await self._server.close()

    def set_state(self, name: str, state: str) -> None:
        """Changes the state of one VM."""
        self.vms[name] = dataclasses.replace(self.vms[name], state=state)

    async def _handle(self, exchange: http_server.Exchange) -> None:
        if self.down:
            exchange.respond_json(503, {"error": "unavailable"})
            return
        if exchange.request.method == "POST":
            vms = json.loads(exchange.request.body)
            self.vms = {vm["name"]: config.Vm(**vm) for vm in vms}
        if exchange.request.path != const.PATH:
            exchange.respond_json(404, {"error": "not found"})
            return
        exchange.respond_json(
            200, [dataclasses.asdict(vm) for vm in self.vms.values()]
        )
