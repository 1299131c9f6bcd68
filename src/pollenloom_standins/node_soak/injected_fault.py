"""Base classes of the faults that a round injects."""

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
    """A fault that is injected into an environment and removed again."""

    @abstractmethod
    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Inject the fault, wait, and remove it."""


class InjectedNodeFault(InjectedFault):
    """A fault of a node that no other fault acts on."""

    kind: NodeFaultKind

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Inject the fault into a random node, if one is free."""
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
        """Inject and remove the fault; return when the node serves again.

        Sets `ended` of the record when it begins to remove the fault.
        """


class InjectedBackendFault(InjectedFault):
    """A fault of a backend server that no other fault acts on."""

    kind: NodeFaultKind

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Inject the fault into a random server, if enough are free."""
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
        """Inject the fault, wait, and remove it."""
