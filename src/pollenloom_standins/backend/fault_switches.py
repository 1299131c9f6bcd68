"""Faults in force and their assignment to requests."""

import asyncio

import msgspec

from pollenloom_standins.backend.backend_faults import BackendFaults
from pollenloom_standins.backend.fault_plan import FaultPlan
from pollenloom_standins.fault_sampler import decrement_count


class FaultSwitches:
    """Holds the faults in force and assigns them to requests.

    Attributes:
        faults: Faults in force.
        unfrozen: Set while the server is not frozen.
    """

    def __init__(self, faults: BackendFaults) -> None:
        self.faults = faults
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()

    def put(self, faults: BackendFaults) -> None:
        """Replace the faults in force; `turn_cold` is reset to false."""
        self.faults = msgspec.structs.replace(faults, turn_cold=False)
        if faults.frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()

    def next_plan(self) -> FaultPlan:
        """Return the faults of the next request and update the counts."""
        faults = self.faults
        self.faults = msgspec.structs.replace(
            faults,
            next_errors=decrement_count(faults.next_errors),
            next_late=decrement_count(faults.next_late),
            next_crossed=decrement_count(faults.next_crossed),
            next_cut=decrement_count(faults.next_cut),
            next_died=decrement_count(faults.next_died),
        )
        return FaultPlan(
            fails=faults.next_errors != 0,
            late_seconds=faults.late_seconds if faults.next_late else 0,
            crossed=faults.next_crossed != 0,
            cut=faults.next_cut != 0,
            aborted=faults.next_died != 0,
            events_before=faults.events_before,
        )
