"""Scope of a router that allocates a fixed part of the slots."""

from dataclasses import replace

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.pool_map import Pool
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import ServiceId, VmId


class DividedScope(AdmissionScope):
    """Makes this VM the owner of all pools, with a part of the slots.

    Attributes:
        division: Number of routers that share the slots of each server.
    """

    division: int = 1

    def usable_servers(self, service: ServiceId) -> list[BackendServer]:
        """Servers with this router's part of their slots, at least one."""
        return [
            replace(
                server,
                slots=max(1, server.slots // self.division),
                cold_slots=max(1, server.cold_slots // self.division),
            )
            for server in self.configuration.servers(service)
        ]

    def ranking(self, pool: Pool) -> tuple[VmId, ...]:
        """Rank only this VM."""
        return (self.local_vm,)

    def successor_vms(self, pool: Pool) -> tuple[VmId, ...]:
        """Return nothing: no other VM continues this allocation."""
        return ()

    def required_epoch(self, epoch: int) -> int:
        """Return the same number, which does not fence other routers off.

        All routers use a server side by side. If each exceeded the numbers
        of the rest, the numbers would rise without end.
        """
        return epoch

    def routers(self) -> tuple[VmId, ...]:
        """Return only this VM, which holds all of its grants."""
        return (self.local_vm,)
