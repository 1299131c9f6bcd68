"""Base classes of what happens to a site during a round."""

from abc import ABC, abstractmethod

from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_round_environment import (
    NodeRoundEnvironment,
)
from pollenloom_standins.node_soak.soak_backend import SoakBackend
from pollenloom_standins.node_soak.soak_node import SoakNode


class InjectedFault(ABC):
    """Something that happens to a site and ends again."""

    @abstractmethod
    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Let it happen, wait, and end it."""


class InjectedNodeFault(InjectedFault):
    """Happens to a node that no other fault acts on."""

    kind: NodeFaultKind

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Let it happen to a node, if one is free."""
        node = environment.pick_node()
        if node is None:
            environment.record_skipped_fault(self.kind)
            return
        fault = environment.begin_fault(self.kind, node.vm)
        await self.inject(environment, node, fault, seconds)
        environment.finish_fault(fault)

    @abstractmethod
    async def inject(
        self,
        environment: NodeRoundEnvironment,
        node: SoakNode,
        fault: NodeFaultRecord,
        seconds: float,
    ) -> None:
        """Let it happen and note its end; return when the node serves."""


class InjectedBackendFault(InjectedFault):
    """Happens to a server that no other fault acts on."""

    kind: NodeFaultKind

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Let it happen to a server, if one is free."""
        backend = environment.backends.pick(
            environment.busy, environment.random_source
        )
        if backend is None:
            environment.record_skipped_fault(self.kind)
            return
        fault = environment.begin_fault(self.kind, backend.server)
        await self.inject(environment, backend, seconds)
        environment.finish_fault(fault)

    @abstractmethod
    async def inject(
        self,
        environment: NodeRoundEnvironment,
        backend: SoakBackend,
        seconds: float,
    ) -> None:
        """Let it happen and end."""
