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

# A leaving server serves at least so long after it has said so.
MIN_LEAVING_SECONDS = 3.0


class BackendResponseFault(InjectedBackendFault):
    """A server answers badly for a while."""

    def __init__(self, kind: NodeFaultKind, fault: ResponseFault) -> None:
        self.kind = kind
        self.fault = fault

    async def inject(
        self,
        _ground: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Let it answer so."""
        backend.fault = self.fault
        await asyncio.sleep(seconds)
        backend.fault = ResponseFault.NONE


class LeavingBackend(InjectedBackendFault):
    """A server leaves, and another one takes its place."""

    kind = NodeFaultKind.BACKEND_LEAVES

    async def inject(
        self,
        environment: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Let it say so, and go later."""
        await environment.backends.retire(backend)
        await environment.backends.start(backend.data_centre)
        await asyncio.sleep(max(MIN_LEAVING_SECONDS, seconds))
        await environment.backends.remove_entry(backend)
        await backend.stop()


class BackendCrash(InjectedBackendFault):
    """A server vanishes; its entry lapses, and another one starts."""

    kind = NodeFaultKind.BACKEND_CRASH

    async def inject(
        self,
        environment: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Let it vanish."""
        await environment.backends.crash(backend)
        await asyncio.sleep(seconds)
        await environment.backends.remove_entry(backend)
        await environment.backends.start(backend.data_centre)
