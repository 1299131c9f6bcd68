"""Metrics and records of callers that were refused for what they sent."""

from collections import Counter
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from pollenloom.core.error_kind import ErrorKind
from pollenloom.gateway.caller_connections import CallerConnections
from pollenloom.gateway.caller_memory import CallerMemory
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.observability.metrics import Metrics


@unique
class RefusalCause(Enum):
    """Why a caller was refused before its request was evaluated."""

    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    HEAD = 'head'
    BODY = 'body'
    MALFORMED = 'malformed'


CAUSES: Final = MappingProxyType(
    {
        ErrorKind.MEMORY_FULL: RefusalCause.MEMORY,
        ErrorKind.HEADER_TOO_LARGE: RefusalCause.HEAD,
        ErrorKind.BODY_TOO_LARGE: RefusalCause.BODY,
    }
)


class RefusalLog:
    """Counts refusals, and writes at most one record of each cause a second.

    Attributes:
        counts: Refusals since they were last recorded.
    """

    def __init__(
        self,
        events: EventLog,
        metrics: Metrics,
        memory: CallerMemory,
        connections: CallerConnections,
    ) -> None:
        self.events = events
        self.metrics = metrics
        self.memory = memory
        self.connections = connections
        self.counts: Counter[RefusalCause] = Counter()
        metrics.caller_held_bytes.set_function(lambda: memory.held_bytes)
        metrics.caller_connections.set_function(lambda: len(connections.open))

    def add(self, cause: RefusalCause) -> None:
        """Count a refusal."""
        self.counts[cause] += 1

    def add_failure(self, kind: ErrorKind) -> None:
        """Count a refusal by the failure that the caller is told."""
        self.add(CAUSES.get(kind, RefusalCause.MALFORMED))

    def record(self) -> None:
        """Record the refusals since the last call; called once a second."""
        for cause, refused in self.counts.items():
            self.metrics.caller_refusals.labels(cause.value).inc(refused)
            self.events.record(
                EventName.CALLERS_REFUSED,
                cause.value,
                refused=refused,
                held_bytes=self.memory.held_bytes,
                begun_bytes=self.memory.begun_bytes,
                connections=len(self.connections.open),
            )
        self.counts.clear()
