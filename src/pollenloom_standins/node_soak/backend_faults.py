"""Faults of backend servers."""

import asyncio

from pollenloom_standins.node_soak.injected_fault import InjectedBackendFault
from pollenloom_standins.node_soak.node_fault_record import NodeFaultKind
from pollenloom_standins.node_soak.node_round_environment import (
    NodeRoundEnvironment,
)
from pollenloom_standins.node_soak.soak_backend import (
    ResponseFault,
    SoakBackend,
)

# A leaving server serves for at least this time after its announcement.
MIN_LEAVING_SECONDS = 3.0
# Requests a second; a server gets several times as many.
RATE_LIMIT = 4.0
MIN_LIMIT_SECONDS = 7.0


class BackendResponseFault(InjectedBackendFault):
    """Makes a server respond with a fault."""

    def __init__(self, kind: NodeFaultKind, fault: ResponseFault) -> None:
        self.kind = kind
        self.fault = fault

    async def inject(
        self,
        _environment: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Set the fault of the responses and reset it."""
        backend.fault = self.fault
        await asyncio.sleep(seconds)
        backend.fault = ResponseFault.NONE


class BackendLimit(InjectedBackendFault):
    """Makes a server name a limit on the requests that it takes."""

    kind = NodeFaultKind.BACKEND_LIMITED

    async def inject(
        self,
        _environment: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Name the limit for long enough that the nodes must keep to it."""
        backend.rate_limit = RATE_LIMIT
        await asyncio.sleep(MIN_LIMIT_SECONDS + seconds)
        backend.rate_limit = None


class LeavingBackendFault(InjectedBackendFault):
    """Lets a server leave and starts another one."""

    kind = NodeFaultKind.BACKEND_LEAVES

    async def inject(
        self,
        environment: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Announce that the server leaves; stop it later."""
        await environment.backends.retire(backend)
        await environment.backends.start(backend.data_centre)
        await asyncio.sleep(max(MIN_LEAVING_SECONDS, seconds))
        await environment.backends.remove_entry(backend)
        await backend.stop()


class BackendCrash(InjectedBackendFault):
    """Crashes a server; its entry stays in the store for a while."""

    kind = NodeFaultKind.BACKEND_CRASH

    async def inject(
        self,
        environment: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Stop the server; later remove its entry and start another one."""
        await environment.backends.crash(backend)
        await asyncio.sleep(seconds)
        await environment.backends.remove_entry(backend)
        await environment.backends.start(backend.data_centre)
