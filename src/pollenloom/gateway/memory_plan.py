"""Parts of a machine's memory and descriptors that callers may use."""

from dataclasses import dataclass
from typing import Final, Self

from pollenloom.gateway.caller_memory import UNCOUNTED_BYTES
from pollenloom.settings.node_settings import MachineSettings

MEGABYTE: Final = 1_048_576
# What a router takes under load without what it holds for callers.
PROCESS_BYTES: Final = 64 * MEGABYTE
# Parts of the rest. The other half is left for responses, which
# `ResponseBuffers` bounds, and for fragmentation of the heap.
REQUESTS_SHARE: Final = 0.25
CONNECTIONS_SHARE: Final = 0.25
# Two bodies of the largest usual size, and room for small requests.
LEAST_REQUEST_BYTES: Final = 10 * MEGABYTE
# Task, transport, channel and parser of a connection.
CONNECTION_BYTES: Final = 13_312 + UNCOUNTED_BYTES
LEAST_CONNECTIONS: Final = 64
# Descriptors that platforms reserve for files.
FILE_DESCRIPTORS: Final = 200
# The rest is for connections to backend servers, and for those of callers that
# are accepted before others are closed.
CALLERS_DESCRIPTORS_SHARE: Final = 0.75


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What a process may hold for callers.

    Attributes:
        request_bytes: Memory for requests.
        connections: Open connections of callers.
    """

    request_bytes: int
    connections: int

    @classmethod
    def from_config(cls, machine: MachineSettings) -> Self:
        """Return the plan for a machine."""
        rest = max(0, machine.memory_megabytes * MEGABYTE - PROCESS_BYTES)
        sockets = machine.max_descriptors - FILE_DESCRIPTORS
        connections = min(
            rest * CONNECTIONS_SHARE / CONNECTION_BYTES,
            sockets * CALLERS_DESCRIPTORS_SHARE,
        )
        return cls(
            request_bytes=max(LEAST_REQUEST_BYTES, int(rest * REQUESTS_SHARE)),
            connections=max(LEAST_CONNECTIONS, int(connections)),
        )
