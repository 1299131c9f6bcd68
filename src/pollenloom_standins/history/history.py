"""Records of a round."""

from collections.abc import Iterator
from typing import Final

import msgspec

from pollenloom_standins.history.call_record import CallRecord
from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.samples import (
    ConfirmedPublish,
    OrderRun,
    RevisionSample,
    ServerRun,
    ServerSample,
)

LINK_FAULTS: Final = (FaultKind.LINKS_CUT, FaultKind.LINKS_CUT_ONE_WAY)
PLATFORM_FAULTS: Final = (
    FaultKind.PLATFORM_DOWN,
    FaultKind.PLATFORM_SLOW,
    FaultKind.PLATFORM_LOSES_ANSWERS,
    FaultKind.PLATFORM_LOSES_APPENDS,
)


class History(msgspec.Struct, kw_only=True):
    """Records of a round; times are wall time of the same computer.

    Attributes:
        seed: Seed of load and faults.
        started: When the load began.
        ended: When the load generator was stopped.
        calls: Calls with their outcomes, as callers saw them.
        faults: Faults and planned operations.
        runs: Runs, as backend servers saw them.
        orders: Orders, as applications listed them.
        servers: Samples of the backend servers' counts.
        revisions: Samples of the routers' revisions.
        publishes: Publishes that were confirmed to their operators.
    """

    seed: int
    started: float = 0
    ended: float = 0
    calls: list[CallRecord] = msgspec.field(default_factory=list)
    faults: list[FaultRecord] = msgspec.field(default_factory=list)
    runs: list[ServerRun] = msgspec.field(default_factory=list)
    orders: list[OrderRun] = msgspec.field(default_factory=list)
    servers: list[ServerSample] = msgspec.field(default_factory=list)
    revisions: list[RevisionSample] = msgspec.field(default_factory=list)
    publishes: list[ConfirmedPublish] = msgspec.field(default_factory=list)

    def faults_of(self, *kinds: FaultKind) -> Iterator[FaultRecord]:
        """Return the faults of some kinds."""
        return (fault for fault in self.faults if fault.kind in kinds)

    def had_fault(
        self,
        kinds: tuple[FaultKind, ...],
        start: float,
        end: float,
        target: str | None = None,
    ) -> bool:
        """Whether a fault of these kinds overlaps a span of time.

        Faults of all targets count if `target` is None.
        """
        return any(
            fault.overlaps(start, end)
            for fault in self.faults_of(*kinds)
            if target in {None, fault.target}
        )
