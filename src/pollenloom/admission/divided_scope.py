"""Scope of a router that allocates its own part of the slots."""

from dataclasses import replace

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.pool_map import Pool
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import ServiceId, VmId


class DividedScope(AdmissionScope):
    """This VM owns all pools, with its part of each server's slots.

    Attributes:
        division: Routers that share the slots.
    """

    division: int = 1

    def usable_servers(self, service: ServiceId) -> list[BackendServer]:
        """Servers with the slots that are this router's part."""
        return [
            replace(
                server,
                slots=max(1, server.slots // self.division),
                cold_slots=max(1, server.cold_slots // self.division),
            )
            for server in self.configuration.servers(service)
        ]

    def ranking(self, pool: Pool) -> tuple[VmId, ...]:
        """Only this VM."""
        return (self.own,)

    def successor_vms(self, pool: Pool) -> tuple[VmId, ...]:
        """No other VM continues this router's allocation."""
        return ()

    def required_epoch(self, epoch: int) -> int:
        """Equal numbers do: the routers share a server, none replaces another.

        Numbers that exceed each other's would rise without end.
        """
        return epoch

    def routers(self) -> tuple[VmId, ...]:
        """Only this VM."""
        return (self.own,)
